import {ProblemError} from '@cicadapost/errors';
import type {Millis, RequestId, VersionSpan} from '@cicadapost/types';
import type {ClaimRecord} from './claim-record.js';

/** The recorded response to an earlier call with the same key. */
export type RecordedResponse = Readonly<{
	status: number;
	contentType: string;
	tokens: number;
	versions: readonly VersionSpan[];
	body: string;
}>;

type Refusal = Readonly<{kind: 'refuse'; requestId: RequestId; problem: ProblemError}>;

export type ClaimResponse =
	| Readonly<{kind: 'replay'; requestId: RequestId; answer: RecordedResponse}>
	| Refusal;

/** Retry-After for a call whose key belongs to a call that is still running. */
const runningRetryMs: Millis = 1000;
/** Retry-After for a call that could not reach the store. */
const storeRetryMs: Millis = 2000;

function refuse(requestId: RequestId, problem: ProblemError): Refusal {
	return {kind: 'refuse', requestId, problem};
}

export function keyConflict(requestId: RequestId): Refusal {
	return refuse(requestId, new ProblemError({
		kind: 'idempotency-conflict',
		field: 'Idempotency-Key',
		detail: 'the Idempotency-Key was used with another request',
		remedy: 'use a new key for each request, and the same key only to repeat a request without a change',
	}));
}

export function keyMissing(requestId: RequestId): Refusal {
	return refuse(requestId, new ProblemError({
		kind: 'invalid-request',
		field: 'Idempotency-Key',
		detail: 'a non-idempotent request needs an Idempotency-Key',
		remedy: 'send one, so that a repeat is recognised',
	}));
}

export function stillRunning(requestId: RequestId): ClaimResponse {
	return refuse(requestId, new ProblemError({
		kind: 'outcome-unknown',
		detail: 'a call with this Idempotency-Key was started and has no recorded outcome',
		remedy: 'ask again with the same key after Retry-After; it is not run a second time',
		outcome: 'unknown',
		retryAfterMs: runningRetryMs,
	}));
}

export function storeUnavailable(requestId: RequestId): ClaimResponse {
	return refuse(requestId, new ProblemError({
		kind: 'store-unavailable',
		detail: 'the claim could not be stored, so this call has not run; an earlier call with the same key may have',
		remedy: 'send it again with the same key after Retry-After',
		outcome: 'not-run',
		retryAfterMs: storeRetryMs,
	}));
}

export function claimStoredTooLate(requestId: RequestId): ClaimResponse {
	return refuse(requestId, new ProblemError({
		kind: 'store-unavailable',
		detail: 'the claim was stored too late to send the request, so it has not run',
		remedy: 'send it again with the same key after Retry-After',
		outcome: 'not-run',
		retryAfterMs: runningRetryMs,
	}));
}

/** Returns the response to a repeated call, based on the record of the earlier one, or undefined if the key may be claimed again. */
export function responseFromRecord(requestId: RequestId, bodyHash: string, record: ClaimRecord): ClaimResponse | undefined {
	// A call that never ran has no outcome, so a different body is no conflict.
	if (record.state === 'not-run') {
		return undefined;
	}

	if (record.bodyHash !== bodyHash) {
		return keyConflict(requestId);
	}

	if (record.state === 'claimed') {
		return stillRunning(requestId);
	}

	if (record.state === 'failed') {
		return refuse(requestId, new ProblemError({
			kind: record.outcome === 'ran' ? 'upstream-rejected' : 'outcome-unknown',
			detail: `the earlier call with this key failed: ${record.detail}`,
			remedy: 'find out whether it took effect before you send it with a new key',
			outcome: record.outcome,
		}));
	}

	const {status, contentType, tokens, versions, body} = record;
	if (body === undefined) {
		return refuse(requestId, new ProblemError({
			kind: 'outcome-unknown',
			detail: `the earlier call with this key finished with status ${status}; its answer was too long to be kept`,
			remedy: 'do not send it again; it has run',
			outcome: 'ran',
		}));
	}

	return {
		kind: 'replay', requestId, answer: {
			status, contentType, tokens, versions, body,
		},
	};
}
