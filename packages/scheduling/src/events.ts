/** Events that the scheduler of a shard takes, and actions that it returns. */

import type {
	Acquire, AttemptId, DaemonId, MemberId, Millis, RefusalReason, Release, RunningAttempt, SuspectEntry, UpstreamId,
} from '@cicadapost/types';

/** An upstream of the shard as configuration and health checks know it. */
export type ShardUpstream = Readonly<{
	upstream: UpstreamId;
	/** A leaving upstream gets no new grant. */
	leaving: boolean;
	/** Nobody has told this daemon yet whether the upstream is leaving: requests wait for it, and none is granted. */
	isUnread?: boolean;
	/** Smallest window, and the one to start with. */
	initialWindow: number;
	maxWindow: number;
}>;

export type SchedulerEvent =
	| Readonly<{kind: 'acquire'; from: DaemonId; acquire: Acquire}>
	| Readonly<{kind: 'release'; release: Release}>
	| Readonly<{
		kind: 'upstreams-changed';
		upstreams: readonly ShardUpstream[];
		/** Weights of the members; 1 for a member that is not listed. Absent: unchanged. */
		weights?: ReadonlyMap<MemberId, number>;
		/** Share of the tokens that training keeps while live requests wait. Absent: unchanged. */
		trainingFloor?: number;
	}>
	/** The grants of a dead entry daemon return to the shard. */
	| Readonly<{kind: 'daemon-lost'; daemon: DaemonId}>
	/** What an entry daemon already runs on the shard, after a change of its owner. */
	| Readonly<{kind: 'running'; from: DaemonId; attempts: readonly RunningAttempt[]}>
	/** The suspect table has changed in another way than by an event of this scheduler. */
	| Readonly<{kind: 'suspects-changed'}>
	/** To be sent at least every 100 ms. */
	| Readonly<{kind: 'tick'}>;

export type SchedulerAction =
	| Readonly<{kind: 'grant'; to: DaemonId; attempt: AttemptId; upstream: UpstreamId}>
	| Readonly<{kind: 'refuse'; to: DaemonId; attempt: AttemptId; reason: RefusalReason; retryAfterMs: Millis}>
	/** To be sent to each daemon of each data centre. */
	| Readonly<{kind: 'share-suspects'; entries: readonly SuspectEntry[]}>;
