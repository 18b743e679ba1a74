/** Messages between daemons. Times in them are durations, since daemons do not share a clock. */

import type {
	AttemptId, CallId, DaemonId, DataCentreId, Fingerprint, MemberId, Millis, RequestId, ShardId, UpstreamId,
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
	/** Upstreams of the sender's data centre that must get no new work, as the sender itself has read. */
	leavingUpstreams: readonly UpstreamId[];
	/** Grows with each heartbeat of one incarnation, so that a late or repeated one is recognised. */
	sequence?: number;
	/** Live daemons of the sender's data centre, from its gateways to other data centres. */
	live?: readonly DaemonId[];
	/** Other data centres that the sender has a connection to, from a gateway to its own data centre. */
	reaches?: readonly DataCentreId[];
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
	/** Set when the upstream died, so that also an owner that never heard of the attempt counts the death. */
	death?: Readonly<{upstream: UpstreamId; fingerprint: Fingerprint}>;
	/** Passed on once by a daemon that is not the owner any more. */
	isForwarded?: boolean;
}>;

/** Asks a daemon of another data centre to run a request there. */
export type Relay = Readonly<{
	kind: 'relay';
	attempt: AttemptId;
	request: RequestSummary;
	payload: Payload;
	remainingMs: Millis;
	/** No byte may be sent to an upstream later than this. Shorter than `remainingMs` for a claimed request. */
	sendWithinMs: Millis;
	/** Tokens that the caller already has. */
	resumeFrom: number;
	/** Weight version of the tokens before `resumeFrom`. */
	version?: number;
	/** Whether the rest may come from another weight version. */
	mixedVersions: boolean;
}>;

/** One or more pieces of a completion. A chunk without tokens only says that the relay is alive. */
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
	/** Ids of the last changes, newest first; see `StoredConfiguration` in packages/configuration. */
	nonces?: readonly string[];
	/** The receiver passes it on to the data centres that it is a gateway for. */
	passOn?: boolean;
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

/** An attempt that an entry daemon runs on a shard whose owner has changed. */
export type RunningAttempt = Readonly<{
	attempt: AttemptId;
	upstream: UpstreamId;
	request: RequestSummary;
	/** Since the grant. */
	elapsedMs: Millis;
	/** Until the deadline. */
	remainingMs: Millis;
}>;

/** Tells the new owner of `shard` what the sender runs there, so that it counts these slots as taken. */
export type Running = Readonly<{
	kind: 'running';
	shard: ShardId;
	attempts: readonly RunningAttempt[];
}>;

/** What a daemon knows about a request fingerprint that was on dead upstreams. */
export type SuspectEntry = Readonly<{
	fingerprint: Fingerprint;
	/** Ids of the deaths; receivers merge them as sets. */
	deaths: readonly string[];
	/** 0 if the fingerprint is not blocked. */
	blockedForMs: Millis;
	/** A request with the fingerprint has finished, which ends the suspicion. */
	cleared: boolean;
}>;

/** Sent to each daemon of each data centre on a change, and with all entries to a daemon that has just appeared. */
export type Suspects = Readonly<{
	kind: 'suspects';
	entries: readonly SuspectEntry[];
}>;

/** Asks the meter of a member for tokens under the member's cap, before a request runs. */
export type CapAsk = Readonly<{
	kind: 'cap-ask';
	member: MemberId;
	requestId: RequestId;
	fingerprint: Fingerprint;
	/** Prompt tokens and the most that the completion may have. */
	tokens: number;
}>;

export type CapAllow = Readonly<{
	kind: 'cap-allow';
	member: MemberId;
	requestId: RequestId;
	/** At least what was asked for; the rest is for requests of the next moments. */
	tokens: number;
}>;

export type CapDeny = Readonly<{
	kind: 'cap-deny';
	member: MemberId;
	requestId: RequestId;
	retryAfterMs: Millis;
}>;

/** Returns tokens that a request has not used. */
export type CapReturn = Readonly<{
	kind: 'cap-return';
	member: MemberId;
	tokens: number;
}>;

/** Tells the meter of a member in another data centre what the sender's data centre asks for. */
export type CapDemand = Readonly<{
	kind: 'cap-demand';
	member: MemberId;
	dataCentre: DataCentreId;
	tokensPerSecond: number;
	/** Version of the row `caps/<member>` that the sender knows. */
	version: number;
}>;

/** The row `caps/<member>`, after a change. */
export type CapParts = Readonly<{
	kind: 'cap-parts';
	member: MemberId;
	version: number;
	row: Readonly<{
		cap: number;
		/** Tokens per second of each data centre; they add up to the cap. */
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
