/** Events that the scheduler of a shard handles, and actions that it returns. */

import type {
	Acquire, AttemptId, DaemonId, MemberId, Millis, RefusalReason, Release, RunningAttempt, SuspectEntry, UpstreamId,
} from '@cicadapost/types';

/** An upstream of the shard as described by configuration and health checks. */
export type ShardUpstream = Readonly<{
	upstream: UpstreamId;
	/** A leaving upstream gets no new grant. */
	leaving: boolean;
	/** Whether this daemon does not know yet if the upstream is leaving. Until it does, requests wait and none is granted on the upstream. */
	isUnread?: boolean;
	/** Initial size of the window, which is also its minimum. */
	initialWindow: number;
	maxWindow: number;
}>;

export type SchedulerEvent =
	| Readonly<{kind: 'acquire'; from: DaemonId; acquire: Acquire}>
	| Readonly<{kind: 'release'; release: Release}>
	| Readonly<{
		kind: 'upstreams-changed';
		upstreams: readonly ShardUpstream[];
		/** Weights of the members; a member that is not listed has weight 1. Unchanged if absent. */
		weights?: ReadonlyMap<MemberId, number>;
		/** Minimum share of the tokens for training requests while live requests wait. Unchanged if absent. */
		trainingFloor?: number;
	}>
	/** An entry daemon has crashed: its grants are returned to the shard. */
	| Readonly<{kind: 'daemon-lost'; daemon: DaemonId}>
	/** Attempts that an entry daemon is already running on the shard, reported after the shard's owner has changed. */
	| Readonly<{kind: 'running'; from: DaemonId; attempts: readonly RunningAttempt[]}>
	/** The suspect table was changed by something other than an event of this scheduler. */
	| Readonly<{kind: 'suspects-changed'}>
	/** Must be sent at least every 100 ms. */
	| Readonly<{kind: 'tick'}>;

export type SchedulerAction =
	| Readonly<{kind: 'grant'; to: DaemonId; attempt: AttemptId; upstream: UpstreamId}>
	| Readonly<{kind: 'refuse'; to: DaemonId; attempt: AttemptId; reason: RefusalReason; retryAfterMs: Millis}>
	/** Must be sent to every daemon in every data centre. */
	| Readonly<{kind: 'share-suspects'; entries: readonly SuspectEntry[]}>;
