import type {
	AttemptFailure, Chunk, Millis, RefusalReason,
} from '@cicadapost/types';
import {errors} from 'undici';
import {NoProgressError} from './progress-watchdog.js';
import {MalformedStreamError, TruncatedStreamError} from './read-events.js';

/** Progress or result of an attempt. */
export type AttemptReport =
	| Readonly<{kind: 'sent'}>
	| Readonly<{kind: 'chunk'; chunk: Chunk}>
	| Readonly<{kind: 'finished'; tokens: number; status: number; contentType: string}>
	/** `sent` is false if no byte was written, or if the upstream stated that it did not run the request. */
	| Readonly<{kind: 'failed'; failure: AttemptFailure | RefusalReason; sent: boolean; retryAfterMs?: Millis; detail?: string}>;

export type FailureReport = Extract<AttemptReport, {kind: 'failed'}>;

/** `maySend` returned false when a connection was ready. */
export class SendDeadlineError extends Error {}

const maxRetryAfterMs: Millis = 60_000;

/** Milliseconds from a `Retry-After` header in seconds. A date counts as one second, since the clocks of two machines may differ. */
function parseRetryAfter(header: string | string[] | undefined): Millis | undefined {
	if (typeof header !== 'string') {
		return undefined;
	}

	const seconds = Number(header);
	return Number.isFinite(seconds) && seconds >= 0 ? Math.min(maxRetryAfterMs, seconds * 1000) : 1000;
}

export type ResponseStatus = Readonly<{
	status: number;
	retryAfter: string | string[] | undefined;
	isService: boolean;
	idempotent: boolean;
}>;

/** Maps a response status to a failure, or to undefined if the response is passed on. */
export function failureFromResponse(answer: ResponseStatus): FailureReport | undefined {
	const {status, isService} = answer;
	const retryAfterMs = parseRetryAfter(answer.retryAfter);
	const detail = `the upstream answered with status ${status}`;
	if ((status === 429 || status === 503) && retryAfterMs !== undefined) {
		return {
			kind: 'failed', failure: 'overloaded', sent: false, retryAfterMs, detail,
		};
	}

	if (status < 200 || status > 599) {
		return {
			kind: 'failed', failure: 'server-error', sent: true, detail,
		};
	}

	// A call that must not be repeated can get no other response, so its caller receives the server error.
	const isPassedToCaller = isService && (status < 500 || !answer.idempotent);
	if (status < 400 || isPassedToCaller) {
		return undefined;
	}

	return {
		kind: 'failed', failure: status >= 500 ? 'server-error' : 'rejected', sent: true, detail,
	};
}

/** Maps an exception to a failure. `isSent` tells whether the request was passed to a connection. */
export function failureFromError(err: unknown, isSent: boolean): FailureReport {
	const detail = err instanceof Error ? err.message : String(err);
	if (err instanceof SendDeadlineError) {
		return {
			kind: 'failed', failure: 'late', sent: false, detail,
		};
	}

	// Undici calls `onRequestStart` before it writes, so an unsent request never had a connection.
	if (!isSent) {
		return {
			kind: 'failed', failure: 'unreachable', sent: false, detail,
		};
	}

	const isInvalidResponse = err instanceof MalformedStreamError || err instanceof TruncatedStreamError;
	// A process that sent an invalid response is still alive; one that closed the connection may not be.
	if (isInvalidResponse) {
		return {
			kind: 'failed', failure: 'server-error', sent: true, detail,
		};
	}

	const isSilent = err instanceof NoProgressError || err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError;
	return {
		kind: 'failed', failure: isSilent ? 'silent' : 'upstream-died', sent: true, detail,
	};
}
