import {ProblemError, type ProblemKind} from '@cicadapost/errors';
import type {
	AttemptFailure, Millis, RefusalReason, RunOutcome,
} from '@cicadapost/types';

/** Why a request failed. */
export type FailureCause = AttemptFailure | RefusalReason;

type ProblemText = readonly [kind: ProblemKind, detail: string, remedy: string];

const problemOf: Readonly<Record<FailureCause, ProblemText>> = {
	unreachable: ['upstream-failed', 'the upstream refused the connection', 'send the request again'],
	'upstream-died': ['upstream-failed', 'the upstream ended while it ran the request', 'send the request again'],
	silent: ['upstream-failed', 'the upstream stopped sending', 'send the request again'],
	rejected: ['upstream-rejected', 'the upstream rejected the request', 'correct the request body'],
	'server-error': ['upstream-failed', 'the upstream answered with an error', 'send the request again'],
	deadline: ['deadline-passed', 'the deadline passed', 'send the request again with a larger X-Deadline-Ms'],
	'relay-lost': ['upstream-failed', 'the connection to the other data centre was lost', 'send the request again'],
	late: ['upstream-failed', 'the request could not be sent in time', 'send the request again'],
	'version-changed': [
		'upstream-failed', 'no upstream could continue the completion with the weight version that it was started with', 'send the request again, or set "mixed_versions" to true',
	],
	overloaded: ['overloaded', 'the queue is too long for the deadline', 'wait for Retry-After'],
	'no-upstream': ['no-upstream', 'no upstream of the pool is available', 'wait for Retry-After'],
	'over-cap': ['over-cap', 'the member has used up its cap', 'wait for Retry-After or ask the operator for a larger cap'],
	blocked: ['request-blocked', 'the request ended each upstream that ran it', 'change the request, or wait for Retry-After'],
	'not-owner': ['no-upstream', 'the shard is moving to another daemon', 'wait for Retry-After'],
	leaving: ['shutting-down', 'the daemon is shutting down', 'send the request again'],
};

const defaultRetryAfterMs: Millis = 1000;
const refusals: ReadonlySet<string> = new Set<RefusalReason>(['overloaded', 'no-upstream', 'over-cap', 'blocked', 'not-owner', 'leaving']);

export function isRefusal(cause: FailureCause): cause is RefusalReason {
	return refusals.has(cause);
}

export type FailureOptions = Readonly<{
	cause: FailureCause;
	/** Whether a byte may have reached an upstream. */
	sent: boolean;
	idempotent: boolean;
	retryAfterMs?: Millis | undefined;
	detail?: string | undefined;
}>;

function outcomeOf(options: FailureOptions): RunOutcome {
	if (options.cause === 'rejected') {
		return 'ran';
	}

	return options.sent ? 'unknown' : 'not-run';
}

/** Creates the problem for the caller. It is retryable unless the upstream rejected the request, or the request is not idempotent and may have run. */
export function failureProblem(options: FailureOptions): ProblemError {
	const [kind, text, remedy] = problemOf[options.cause];
	const outcome = outcomeOf(options);
	const mustNotRepeat = !options.idempotent && outcome !== 'not-run';
	const isRetryable = kind !== 'upstream-rejected' && !mustNotRepeat;
	return new ProblemError({
		kind,
		detail: options.detail ?? text,
		remedy: mustNotRepeat ? 'find out whether it took effect before you send it with a new Idempotency-Key' : remedy,
		outcome,
		// A peer that specifies no retry delay sends 0.
		...(isRetryable ? {retryAfterMs: options.retryAfterMs === undefined || options.retryAfterMs <= 0 ? defaultRetryAfterMs : options.retryAfterMs} : {}),
	});
}
