import type {
	Fingerprint, MemberId, Millis, PoolId, RequestId,
} from './ids.js';

export type RequestClass = 'live' | 'training';

/** What a shard owner needs to know about a request. It holds no payload, so that it stays small on the wire. */
export type RequestSummary = Readonly<{
	requestId: RequestId;
	member: MemberId;
	requestClass: RequestClass;
	pool: PoolId;
	promptTokens: number;
	maxTokens: number;
	/** False for requests that must run at most once. */
	idempotent: boolean;
	fingerprint: Fingerprint;
	/** Equal for requests that share a long prompt prefix, such as the samples of a group. */
	prefixKey: string;
}>;

/** The HTTP request as an upstream receives it. */
export type Payload = Readonly<{
	method: string;
	path: string;
	contentType: string;
	body: string;
	/** `latin1`: `body`, and the text of the answer, hold one character for each byte, so that any content passes unchanged. */
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

/** A piece of a completion. `offset` counts the tokens before it. */
export type Chunk = Readonly<{
	offset: number;
	tokens: number;
	text: string;
	version: number;
}>;

/** Whether a request that failed has run: never claimed without knowledge. */
export type RunOutcome = 'not-run' | 'ran' | 'unknown';

/** Why an attempt failed. */
export type AttemptFailure =
	/** The connection was refused or the upstream answered that it does not accept work. */
	| 'unreachable'
	/** The upstream closed the connection in mid-stream: its process is taken for dead. */
	| 'upstream-died'
	/** No progress for the silence limit. Only this connection is suspected, not the upstream. */
	| 'silent'
	/** The upstream answered with a client error, which a repeat would meet again. */
	| 'rejected'
	/** The upstream answered with a server error. */
	| 'server-error'
	/** The deadline passed. */
	| 'deadline'
	/** The daemon in the other data centre that ran the attempt is gone. */
	| 'relay-lost'
	/** The attempt was not sent in time, because its claim had lapsed. */
	| 'late'
	/** The upstream continued with another weight version and the caller does not allow mixed ones. */
	| 'version-changed';
