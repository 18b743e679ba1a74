/** Messages between daemons. Times are durations, because daemons do not share a clock. */

import type {
	AttemptId, CallId, DaemonId, DataCentreId, Fingerprint, MemberId, Millis, RequestId, ShardId, UpstreamId,
} from './ids.js';
import type {
	AttemptFailure, Chunk, Payload, RequestSummary,
} from './request.js';
import type {TouchCall, TrainerAnswer, TrainerCall} from './rollout.js';

/** The handshake rejects peers with another protocol version. */
export const protocolVersion = 1;

export type Heartbeat = Readonly<{
	kind: 'heartbeat';
	dataCentre: DataCentreId;
	/** Increases with each start of the daemon, so that receivers can discard messages of an earlier incarnation. */
	incarnation: number;
	configurationVersion: number;
	/** The daemon is shutting down and takes no new work. */
	leaving: boolean;
	/** Upstreams in the sender's data centre that must not get new work, as read by the sender itself. */
	leavingUpstreams: readonly UpstreamId[];
	/** Increases with each heartbeat of an incarnation, so that receivers can discard late and duplicate ones. */
	sequence?: number;
	/** Live daemons in the sender's data centre. Sent by its gateways to other data centres. */
	live?: readonly DaemonId[];
	/** Other data centres that the sender is connected to. Sent by a gateway within its own data centre. */
	reaches?: readonly DataCentreId[];
}>;

/** Requests a slot on an upstream of `shard` from the shard's owner. */
export type Acquire = Readonly<{
	kind: 'acquire';
	attempt: AttemptId;
	shard: ShardId;
	request: RequestSummary;
	remainingMs: Millis;
	/** Upstreams on which this request has failed or is already running. */
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
	/** Delay after which a retry is likely to succeed. */
	retryAfterMs: Millis;
}>;

/** Result of an attempt, as reported to the shard owner. */
export type ReleaseResult = 'finished' | 'cancelled' | AttemptFailure;

/** Returns a slot to the shard owner, or withdraws a pending `acquire`. */
export type Release = Readonly<{
	kind: 'release';
	attempt: AttemptId;
	shard: ShardId;
	result: ReleaseResult;
	tokens: number;
	/** Time from sending the request to its first token; absent if no token arrived. */
	firstTokenMs?: Millis;
	/** Time from the first token to the last. */
	generationMs: Millis;
	/** Set if the upstream died, so that an owner that does not know the attempt still counts the death. `fingerprint` is absent if the request can't be a suspect. */
	death?: Readonly<{upstream: UpstreamId; fingerprint?: Fingerprint}>;
	/** Forwarded once, by a daemon that is no longer the owner. */
	isForwarded?: boolean;
}>;

/** Asks a daemon in another data centre to run a request there. */
export type Relay = Readonly<{
	kind: 'relay';
	attempt: AttemptId;
	request: RequestSummary;
	payload: Payload;
	remainingMs: Millis;
	/** Time within which the request may be sent to an upstream. Shorter than `remainingMs` for a claimed request. */
	sendWithinMs: Millis;
	/** Number of tokens that the caller already has. */
	resumeFrom: number;
	/** Weight version of the tokens before `resumeFrom`. */
	version?: number;
	/** Whether the remaining tokens may come from another weight version. */
	mixedVersions: boolean;
}>;

/** Part of a completion. A chunk without tokens is a keep-alive of the relay. */
export type RelayChunk = Readonly<{
	kind: 'relay-chunk';
	attempt: AttemptId;
	chunk: Chunk;
}>;

export type RelayFinished = Readonly<{
	kind: 'relay-finished';
	attempt: AttemptId;
	/** Total number of tokens in the completion, to detect lost and late chunks. */
	tokens: number;
	status: number;
	contentType: string;
}>;

export type RelayFailed = Readonly<{
	kind: 'relay-failed';
	attempt: AttemptId;
	failure: AttemptFailure | RefusalReason;
	/** Whether any part of the request may have reached an upstream. */
	sent: boolean;
	retryAfterMs: Millis;
}>;

export type CancelRelay = Readonly<{
	kind: 'cancel-relay';
	attempt: AttemptId;
}>;

/** An accepted configuration. `document` is JSON text. */
export type ConfigurationMessage = Readonly<{
	kind: 'configuration';
	version: number;
	document: string;
	/** Ids of the latest changes, newest first; see `StoredConfiguration` in packages/configuration. */
	nonces?: readonly string[];
	/** The receiver forwards the message to the data centres for which it is a gateway. */
	passOn?: boolean;
}>;

/** Requests the configuration of a peer whose heartbeat announces a newer version. */
export type ConfigurationPull = Readonly<{
	kind: 'configuration-pull';
	haveVersion: number;
}>;

/** A trainer's call, forwarded to the owner of its step. */
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

/** An attempt that an entry daemon is running on a shard whose owner has changed. */
export type RunningAttempt = Readonly<{
	attempt: AttemptId;
	upstream: UpstreamId;
	request: RequestSummary;
	/** Time since the grant. */
	elapsedMs: Millis;
	/** Time until the deadline. */
	remainingMs: Millis;
}>;

/** Reports the sender's running attempts to the new owner of `shard`, which counts their slots as occupied. */
export type Running = Readonly<{
	kind: 'running';
	shard: ShardId;
	attempts: readonly RunningAttempt[];
}>;

/** A daemon's record of a request fingerprint that was running on upstreams when they died. */
export type SuspectEntry = Readonly<{
	fingerprint: Fingerprint;
	/** Ids of the upstream deaths. Receivers merge them by set union. */
	deaths: readonly string[];
	/** 0 if the fingerprint is not blocked. */
	blockedForMs: Millis;
	/** A request with this fingerprint has completed, so it is no longer suspected. */
	cleared: boolean;
}>;

/** Broadcast to all daemons in all data centres on a change, and sent with all entries to a daemon that has just joined. */
export type Suspects = Readonly<{
	kind: 'suspects';
	entries: readonly SuspectEntry[];
}>;

/** Requests tokens under a member's cap from the member's meter, before a request runs. */
export type CapAsk = Readonly<{
	kind: 'cap-ask';
	member: MemberId;
	requestId: RequestId;
	fingerprint: Fingerprint;
	/** Prompt tokens plus the maximum number of completion tokens. */
	tokens: number;
}>;

export type CapAllow = Readonly<{
	kind: 'cap-allow';
	member: MemberId;
	requestId: RequestId;
	/** At least the number of tokens asked for. The sender keeps the surplus for its next requests. */
	tokens: number;
}>;

export type CapDeny = Readonly<{
	kind: 'cap-deny';
	member: MemberId;
	requestId: RequestId;
	retryAfterMs: Millis;
}>;

/** Returns tokens that a request did not use. */
export type CapReturn = Readonly<{
	kind: 'cap-return';
	member: MemberId;
	tokens: number;
}>;

/** Reports the demand of the sender's data centre to a member's meter in another data centre. */
export type CapDemand = Readonly<{
	kind: 'cap-demand';
	member: MemberId;
	dataCentre: DataCentreId;
	tokensPerSecond: number;
	/** Latest version of the row `caps/<member>` known to the sender. */
	version: number;
}>;

/** The row `caps/<member>` after a change. */
export type CapParts = Readonly<{
	kind: 'cap-parts';
	member: MemberId;
	version: number;
	row: Readonly<{
		cap: number;
		/** Tokens per second for each data centre. The sum is the cap. */
		parts: Readonly<Record<string, number>>;
		configurationVersion: number;
	}>;
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
	| RolloutAnswer
	| Running
	| Suspects
	| CapAsk
	| CapAllow
	| CapDeny
	| CapReturn
	| CapDemand
	| CapParts;

export type AddressedMessage = Readonly<{
	to: DaemonId;
	message: PeerMessage;
}>;
