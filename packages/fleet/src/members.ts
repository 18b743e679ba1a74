import type {
	DaemonId, DaemonLife, DataCentreId, Millis, RegionId,
} from '@cicadapost/types';

/** What a daemon says of itself in the store. */
export type MemberRecord = Readonly<{
	daemon: DaemonId;
	life: DaemonLife;
	dataCentre: DataCentreId;
	region: RegionId;
	state: 'live' | 'leaving';
	/** Grows with each heartbeat, so that each one changes the row. */
	heartbeatCount: number;
}>;

/** Shortest pause between two heartbeats; small fleets notice a death soon. */
const minHeartbeatIntervalMs = 700;
/**
Pause for each member. All daemons read all heartbeats: 106 a second of some 150 bytes are the 16 KB/s that control may
use for each daemon, so that the pause grows with the fleet from 75 members on.
*/
const heartbeatIntervalPerMemberMs = 9.4;
/** A member is dead after this many heartbeats have stayed out. */
const missedHeartbeats = 3;
/** A heartbeat may take this much longer than the one before: a slow store call and the gathering of changes. */
const maxHeartbeatDelayMs = 500;

/** Pause between two heartbeats in a fleet of this size. */
export function heartbeatIntervalMs(members: number): Millis {
	return Math.max(minHeartbeatIntervalMs, members * heartbeatIntervalPerMemberMs);
}

/** A member without a heartbeat for this long counts as dead in a fleet of this size. */
export function memberTimeoutMs(members: number): Millis {
	return (missedHeartbeats * heartbeatIntervalMs(members)) + maxHeartbeatDelayMs;
}

export type MemberObservation = Readonly<{
	record: MemberRecord;
	/** When this daemon learned of the last heartbeat. */
	seenAt: Millis;
}>;

export type FleetClock = Readonly<{
	/** Members in the table, dead ones included. */
	members: number;
	/** How long the store has answered this daemon without a failure. */
	connectedForMs: Millis;
	now: Millis;
}>;

/**
Whether the process of a sighting still runs, or may still run. A daemon that has not heard from the store for a while
can't tell who is dead: then each member that is known counts as alive.
*/
export function mayBeRunning({seenAt}: MemberObservation, {members, connectedForMs, now}: FleetClock): boolean {
	const silenceMs = memberTimeoutMs(members);
	return connectedForMs < silenceMs || now - seenAt < silenceMs;
}

/** The members that run and take work. */
export function liveMembers(sightings: readonly MemberObservation[], clock: FleetClock): MemberRecord[] {
	return sightings
		.filter(observation => observation.record.state === 'live' && mayBeRunning(observation, clock))
		.map(({record}) => record)
		.sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
}
