import type {Millis, RunOutcome} from '@cicadapost/types';

/** Stable problem types. Each is the last segment of the `type` URI in an `application/problem+json` response. */
export type ProblemKind =
	| 'invalid-request'
	| 'unauthenticated'
	| 'forbidden'
	| 'not-found'
	| 'body-too-large'
	| 'deadline-passed'
	| 'over-cap'
	| 'overloaded'
	| 'no-upstream'
	| 'request-blocked'
	| 'upstream-failed'
	| 'upstream-rejected'
	| 'idempotency-conflict'
	| 'outcome-unknown'
	| 'store-unavailable'
	| 'configuration-conflict'
	| 'configuration-missing'
	| 'shutting-down'
	| 'too-old'
	| 'internal';

const statusByKind: Readonly<Record<ProblemKind, number>> = {
	'invalid-request': 400,
	unauthenticated: 401,
	forbidden: 403,
	'not-found': 404,
	'body-too-large': 413,
	'deadline-passed': 504,
	'over-cap': 429,
	overloaded: 503,
	'no-upstream': 503,
	'request-blocked': 503,
	'upstream-failed': 502,
	'upstream-rejected': 502,
	'idempotency-conflict': 409,
	'outcome-unknown': 502,
	'store-unavailable': 503,
	'configuration-conflict': 409,
	'configuration-missing': 503,
	'shutting-down': 503,
	'too-old': 409,
	internal: 500,
};

export type ProblemOptions = Readonly<{
	kind: ProblemKind;
	/** What happened, including the name of the affected field or component. */
	detail: string;
	/** How to resolve the problem. */
	remedy: string;
	outcome?: RunOutcome;
	/** Set if a retry can succeed. */
	retryAfterMs?: Millis;
	/** Name of the invalid field or header. */
	field?: string;
}>;

/** The body of an `application/problem+json` response (RFC 9457). */
export type ProblemBody = Readonly<{
	type: string;
	title: string;
	status: number;
	detail: string;
	outcome: RunOutcome;
	remedy: string;
	field?: string;
}>;

/** An expected failure. The message states the remedy, and `outcome` whether the request was executed. */
export class ProblemError extends Error {
	readonly kind: ProblemKind;
	readonly detail: string;
	readonly remedy: string;
	readonly outcome: RunOutcome;
	readonly retryAfterMs: Millis | undefined;
	readonly field: string | undefined;

	constructor(options: ProblemOptions) {
		super(`${options.detail}; ${options.remedy}`);
		this.name = 'ProblemError';
		this.kind = options.kind;
		this.detail = options.detail;
		this.remedy = options.remedy;
		this.outcome = options.outcome ?? 'not-run';
		this.retryAfterMs = options.retryAfterMs;
		this.field = options.field;
	}

	get status(): number {
		return statusByKind[this.kind];
	}

	toBody(): ProblemBody {
		return {
			type: `urn:cicadapost:problem:${this.kind}`,
			title: this.kind.replaceAll('-', ' '),
			status: this.status,
			detail: this.detail,
			outcome: this.outcome,
			remedy: this.remedy,
			...(this.field === undefined ? {} : {field: this.field}),
		};
	}
}

/** Value of the `Retry-After` header: whole seconds, rounded up, with a minimum of 1. */
export function retryAfterSeconds(retryAfterMs: Millis): number {
	return Math.max(1, Math.ceil(retryAfterMs / 1000));
}
