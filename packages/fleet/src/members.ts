import type {
	DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId, UpstreamId,
} from '@cicadapost/types';

/** The record that a daemon publishes about itself in the store. */
export type MemberRecord = Readonly<{
	daemon: DaemonId;
	incarnation: DaemonIncarnation;
	dataCentre: DataCentreId;
	region: RegionId;
	state: 'live' | 'leaving';
	/** A candidate takes engines. A standby becomes a candidate when too few are left, and until then writes heartbeats rarely. */
	role: 'candidate' | 'standby';
	/** Processor time that the VM has, in cores. */
	cores: number;
	/** Interval at which the daemon writes heartbeats. Undefined in rows of builds that wrote none. */
	heartbeatMs?: Millis;
	/** Measured time between two events of a run on each engine of this daemon. Undefined in rows of builds that wrote none. */
	paces?: ReadonlyMap<UpstreamId, Millis>;
	/** Engines that this daemon can't reach at the moment. Undefined in rows of builds that do not take over engines of others for that reason. */
	unreachable?: ReadonlySet<UpstreamId>;
	/** Incremented with each heartbeat, so that each one changes the row. */
	heartbeatCount: number;
}>;

/** Minimum interval between the heartbeats of a candidate, used by small fleets to detect crashes quickly. */
const minCandidateIntervalMs = 700;
/** Minimum interval of a standby, on which no work depends. */
const minStandbyIntervalMs = 3000;
/**
Heartbeat interval for each member of the same role. All daemons read all heartbeats: 106 per second at about 150 bytes each
use up the 16 KB/s of control traffic allowed per daemon, of which candidates get 85 and standbys 20.
*/
const intervalPerCandidateMs = 11.8;
const intervalPerStandbyMs = 50;
/** A member is considered dead after this many missed heartbeats. */
const missedHeartbeats = 3;
/** Maximum additional delay of a heartbeat, from a slow store call and the batching of changes. */
const maxHeartbeatDelayMs = 500;

/** Returns the interval between the heartbeats of a member of a role that this many members have. */
export function heartbeatIntervalMs(role: MemberRecord['role'], count: number): Millis {
	return role === 'candidate' ? Math.max(minCandidateIntervalMs, count * intervalPerCandidateMs) : Math.max(minStandbyIntervalMs, count * intervalPerStandbyMs);
}

/** Returns the time without a heartbeat after which a member with this interval is considered dead. */
export function memberTimeoutMs(heartbeatMs: Millis): Millis {
	return (missedHeartbeats * heartbeatMs) + maxHeartbeatDelayMs;
}

export type MemberObservation = Readonly<{
	record: MemberRecord;
	/** Time at which this daemon received the last heartbeat. */
	seenAt: Millis;
}>;

export type LivenessContext = Readonly<{
	/** Number of members in the table, including dead ones. */
	members: number;
	/** Time for which the store has responded to this daemon without a failure. */
	connectedForMs: Millis;
	now: Millis;
}>;

/**
Returns whether the observed incarnation may still be running. A daemon that was disconnected from the store can't tell which
members are dead, so until it has been connected for long enough, all known members count as alive.
*/
export function mayBeRunning({record, seenAt}: MemberObservation, {members, connectedForMs, now}: LivenessContext): boolean {
	const silenceMs = memberTimeoutMs(record.heartbeatMs ?? heartbeatIntervalMs('candidate', members));
	return connectedForMs < silenceMs || now - seenAt < silenceMs;
}

/** Returns the members that may be running and accept work, sorted by daemon id. */
export function liveMembers(observations: readonly MemberObservation[], context: LivenessContext): MemberRecord[] {
	return observations
		.filter(observation => observation.record.state === 'live' && mayBeRunning(observation, context))
		.map(({record}) => record)
		.sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
}
