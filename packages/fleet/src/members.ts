import type {
	DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId,
} from '@cicadapost/types';

/** The record that a daemon publishes about itself in the store. */
export type MemberRecord = Readonly<{
	daemon: DaemonId;
	incarnation: DaemonIncarnation;
	dataCentre: DataCentreId;
	region: RegionId;
	state: 'live' | 'leaving';
	/** Incremented with each heartbeat, so that each one changes the row. */
	heartbeatCount: number;
}>;

/** Minimum interval between heartbeats, used by small fleets to detect crashes quickly. */
const minHeartbeatIntervalMs = 700;
/**
Heartbeat interval per member. All daemons read all heartbeats: 106 per second at about 150 bytes each use up the 16 KB/s
of control traffic allowed per daemon. The interval therefore grows with the fleet from 75 members on.
*/
const heartbeatIntervalPerMemberMs = 9.4;
/** A member is considered dead after this many missed heartbeats. */
const missedHeartbeats = 3;
/** Maximum additional delay of a heartbeat, from a slow store call and the batching of changes. */
const maxHeartbeatDelayMs = 500;

/** Returns the interval between the heartbeats of a member in a fleet of this size. */
export function heartbeatIntervalMs(members: number): Millis {
	return Math.max(minHeartbeatIntervalMs, members * heartbeatIntervalPerMemberMs);
}

/** Returns the time without a heartbeat after which a member is considered dead in a fleet of this size. */
export function memberTimeoutMs(members: number): Millis {
	return (missedHeartbeats * heartbeatIntervalMs(members)) + maxHeartbeatDelayMs;
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
export function mayBeRunning({seenAt}: MemberObservation, {members, connectedForMs, now}: LivenessContext): boolean {
	const silenceMs = memberTimeoutMs(members);
	return connectedForMs < silenceMs || now - seenAt < silenceMs;
}

/** Returns the members that may be running and accept work, sorted by daemon id. */
export function liveMembers(observations: readonly MemberObservation[], context: LivenessContext): MemberRecord[] {
	return observations
		.filter(observation => observation.record.state === 'live' && mayBeRunning(observation, context))
		.map(({record}) => record)
		.sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
}
