import type {SampleResult} from '@cicadapost/batches';
import type {Millis} from '@cicadapost/types';

/** How a reward call has ended. */
export type CallEnd =
	/** A complete successful response with the signature of its upstream. */
	| Readonly<{kind: 'scored'; score: string}>
	/** A complete response with another status. */
	| Readonly<{kind: 'answered'; status: number}>
	/** The call has not run. */
	| Readonly<{kind: 'refused'; retryAfterMs: Millis; reason: string}>
	/** The call may have run; its response is missing or incomplete. */
	| Readonly<{kind: 'unanswered'; reason: string}>
	| Readonly<{kind: 'timed-out'}>;

export type CallHistory = Readonly<{
	/** Number of responses with status 500. */
	failures: number;
	/** Number of calls that ended without a score and without a response of status 500, since the last such response. */
	retries: number;
}>;

export type CallFollowUp =
	| Readonly<{kind: 'list'; state: SampleResult['state']; score?: string}>
	| Readonly<{kind: 'again'; afterMs: Millis; history: CallHistory}>;

const failed = 500;
const firstRetryMs = 40;
const maxRetryMs = 640;

/**
Decides how to proceed after a reward call has ended. A few calls fail each time. They are given up after the attempts that
the route allows, so that they don't hold up their group.
*/
export function decideAfterCall(end: CallEnd, history: CallHistory, maxFailures: number): CallFollowUp {
	switch (end.kind) {
		case 'scored': {
			return {kind: 'list', state: 'completed', score: end.score};
		}

		case 'answered': {
			if (end.status !== failed) {
				return retry(history, 0);
			}

			const failures = history.failures + 1;
			return failures >= maxFailures
				? {kind: 'list', state: 'terminated'}
				: {kind: 'again', afterMs: firstRetryMs, history: {failures, retries: 0}};
		}

		case 'refused': {
			return retry(history, end.retryAfterMs);
		}

		case 'unanswered':
		case 'timed-out': {
			return retry(history, 0);
		}
	}
}

function retry({failures, retries}: CallHistory, minMs: Millis): CallFollowUp {
	return {
		kind: 'again',
		afterMs: Math.max(minMs, Math.min(maxRetryMs, firstRetryMs * (2 ** retries))),
		history: {failures, retries: retries + 1},
	};
}

/** A call ends after this time, whatever its route allows. With `maxPlanAgeMs`, it bounds how long after the end of its batch a call may reach an upstream. */
const maxCallMs = 1500;
/** A call may take this multiple of its route's target latency, and twice as long after each one without a response. */
const targetMultiple = 2;

/** Returns the time limit of a call. A short one finds an upstream that hangs early, but slow work must be able to end. */
export function callDeadline({targetLatencyMs, timeoutMs, retries}: Readonly<{targetLatencyMs: Millis; timeoutMs: Millis; retries: number}>): Millis {
	return Math.min(timeoutMs, maxCallMs, targetLatencyMs * targetMultiple * (2 ** retries));
}
