/** Messages between daemons. Times in them are durations, since daemons do not share a clock. */

import type {
	AttemptId, CallId, DaemonId, DataCentreId, MemberId, Millis, ShardId, UpstreamId,
} from './ids.js';
import type {
	AttemptFailure, Chunk, Payload, RequestSummary,
} from './request.js';
import type {TouchCall, TrainerAnswer, TrainerCall} from './rollout.js';

/** Peers with another protocol version are refused at the handshake. */
export const protocolVersion = 1;

export type Heartbeat = Readonly<{
	kind: 'heartbeat';
	dataCentre: DataCentreId;
	/** Grows with each start of the daemon, so that messages of an earlier process are recognised. */
	incarnation: number;
	configurationVersion: number;
	/** The daemon is shutting down and takes no new work. */
	leaving: boolean;
	/** Upstreams of the sender's data centre that must get no new work. */
	leavingUpstreams: readonly UpstreamId[];
}>;

/** Asks the owner of `shard` for a slot on one of its upstreams. */
export type Acquire = Readonly<{
	kind: 'acquire';
	attempt: AttemptId;
	shard: ShardId;
	request: RequestSummary;
	remainingMs: Millis;
	/** Upstreams that this request has failed on or runs on already. */
	avoid: readonly UpstreamId[];
}>;

export type Grant = Readonly<{
	kind: 'grant';
	attempt: AttemptId;
	upstream: UpstreamId;
}>;

export type RefusalReason = 'overloaded' | 'no-upstream' | 'over-cap' | 'blocked' | 'not-owner' | 'leaving';

export type Refuse = Readonly<{
	kind: 'refuse';
	attempt: AttemptId;
	reason: RefusalReason;
	/** Time after which a later try is likely to succeed. */
	retryAfterMs: Millis;
}>;

/** How an attempt ended, for the shard owner. */
export type ReleaseResult = 'finished' | 'cancelled' | AttemptFailure;

/** Returns a slot to the shard owner, or withdraws an `acquire` that still waits. */
export type Release = Readonly<{
	kind: 'release';
	attempt: AttemptId;
	shard: ShardId;
	result: ReleaseResult;
	tokens: number;
	/** From sending the request to its first token; absent if there was none. */
	firstTokenMs?: Millis;
	/** From the first token to the last. */
	generationMs: Millis;
}>;

/** Asks a daemon of another data centre to run a request there. */
export type Relay = Readonly<{
	kind: 'relay';
	attempt: AttemptId;
	request: RequestSummary;
	payload: Payload;
	remainingMs: Millis;
	/** Tokens that the caller already has. */
	resumeFrom: number;
}>;

export type RelayChunk = Readonly<{
	kind: 'relay-chunk';
	attempt: AttemptId;
	chunk: Chunk;
}>;

export type RelayFinished = Readonly<{
	kind: 'relay-finished';
	attempt: AttemptId;
	/** Total tokens of the completion, so that a lost or late chunk is noticed. */
	tokens: number;
	status: number;
	contentType: string;
}>;

export type RelayFailed = Readonly<{
	kind: 'relay-failed';
	attempt: AttemptId;
	failure: AttemptFailure | RefusalReason;
	/** Whether a byte may have reached an upstream. */
	sent: boolean;
	retryAfterMs: Millis;
}>;

export type CancelRelay = Readonly<{
	kind: 'cancel-relay';
	attempt: AttemptId;
}>;

/** An accepted configuration document; `document` is JSON text. */
export type ConfigurationMessage = Readonly<{
	kind: 'configuration';
	version: number;
	document: string;
}>;

/** Asks for the configuration of a peer whose heartbeat names a higher version. */
export type ConfigurationPull = Readonly<{
	kind: 'configuration-pull';
	haveVersion: number;
}>;

/** A trainer's call, passed on to the owner of its step. */
export type RolloutCall = Readonly<{
	kind: 'rollout-call';
	call: CallId;
	member: MemberId;
	request: TrainerCall | TouchCall;
}>;

export type RolloutAnswer = Readonly<{
	kind: 'rollout-answer';
	call: CallId;
	answer: TrainerAnswer;
}>;

export type PeerMessage =
	| Heartbeat
	| Acquire
	| Grant
	| Refuse
	| Release
	| Relay
	| RelayChunk
	| RelayFinished
	| RelayFailed
	| CancelRelay
	| ConfigurationMessage
	| ConfigurationPull
	| RolloutCall
	| RolloutAnswer;

export type Addressed = Readonly<{
	to: DaemonId;
	message: PeerMessage;
}>;
