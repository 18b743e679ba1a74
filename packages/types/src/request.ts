import type {
	Fingerprint, MemberId, Millis, PoolId, RequestId,
} from './ids.js';

export type RequestClass = 'live' | 'training';

/** The properties of a request that a shard owner needs. Excludes the payload to keep messages small. */
export type RequestSummary = Readonly<{
	requestId: RequestId;
	member: MemberId;
	requestClass: RequestClass;
	pool: PoolId;
	promptTokens: number;
	maxTokens: number;
	/** False if the request must run at most once. */
	idempotent: boolean;
	fingerprint: Fingerprint;
	/** Identical for requests that share a long prompt prefix, such as the samples of a group. */
	prefixKey: string;
}>;

/**
Whether a request may be blamed for crashes of the upstreams that ran it. A sample of a training step never is: it is owed
to its trainer, who cannot take it back, so a burst of crashes must not block it.
*/
export function canBeSuspect(request: Pick<RequestSummary, 'requestClass'>): boolean {
	return request.requestClass === 'live';
}

/** The HTTP request that is sent to an upstream. */
export type Payload = Readonly<{
	method: string;
	path: string;
	contentType: string;
	body: string;
	/** With `latin1`, `body` and the response text hold one character per byte, which preserves arbitrary binary content. */
	encoding?: 'utf8' | 'latin1';
}>;

export type Request = RequestSummary & Readonly<{
	payload: Payload;
	deadlineAt: Millis;
	idempotencyKey?: string;
	/** SHA-256 of the payload, in hex. */
	bodyHash: string;
	/** Whether a resumed stream may continue on another weight version. */
	mixedVersions: boolean;
}>;

/** Tokens `from` (inclusive) to `to` (exclusive) of a completion were generated with weight version `version`. */
export type VersionSpan = Readonly<{
	from: number;
	to: number;
	version: number;
}>;

/** Part of a completion. `offset` is the number of tokens before it. */
export type Chunk = Readonly<{
	offset: number;
	tokens: number;
	text: string;
	version: number;
}>;

/** Whether a failed request was executed. `unknown` unless it is certain. */
export type RunOutcome = 'not-run' | 'ran' | 'unknown';

/** Why an attempt failed. */
export type AttemptFailure =
	/** The connection was refused, or the upstream rejected new work. */
	| 'unreachable'
	/** The upstream closed the connection mid-stream; its process is presumed dead. */
	| 'upstream-died'
	/** No progress within the idle limit. Only the connection is considered broken, not the upstream. */
	| 'silent'
	/** The upstream responded with a client error, so a retry would fail too. */
	| 'rejected'
	/** The upstream responded with a server error. */
	| 'server-error'
	/** The deadline passed. */
	| 'deadline'
	/** The daemon in another data centre that was running the attempt is gone. */
	| 'relay-lost'
	/** The attempt was not sent before its claim expired. */
	| 'late'
	/** The upstream continued with another weight version, and the caller does not allow mixed versions. */
	| 'version-changed';
