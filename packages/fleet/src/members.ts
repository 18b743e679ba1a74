import type {
	DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId,
} from '@cicadapost/types';

/** What a daemon says of itself in the store. */
export type MemberRecord = Readonly<{
	daemon: DaemonId;
	life: DaemonIncarnation;
	dataCentre: DataCentreId;
	region: RegionId;
	state: 'live' | 'leaving';
	/** Grows with each heartbeat, so that each one changes the row. */
	beat: number;
}>;

/** Shortest pause between two heartbeats; small fleets notice a death soon. */
const leastBeatMs = 700;
/**
Pause for each member. All daemons read all heartbeats: 106 a second of some 150 bytes are the 16 KB/s that control may
use for each daemon, so that the pause grows with the fleet from 75 members on.
*/
const beatPerMemberMs = 9.4;
/** A member is dead after this many heartbeats have stayed out. */
const missedBeats = 3;
/** A heartbeat may take this much longer than the one before: a slow store call and the gathering of changes. */
const beatDelayMs = 500;

/** Pause between two heartbeats in a fleet of this size. */
export function memberBeatMs(members: number): Millis {
	return Math.max(leastBeatMs, members * beatPerMemberMs);
}

/** A member without a heartbeat for this long counts as dead in a fleet of this size. */
export function memberSilenceMs(members: number): Millis {
	return (missedBeats * memberBeatMs(members)) + beatDelayMs;
}

export type MemberSighting = Readonly<{
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
export function isRunning({seenAt}: MemberSighting, {members, connectedForMs, now}: FleetClock): boolean {
	const silenceMs = memberSilenceMs(members);
	return connectedForMs < silenceMs || now - seenAt < silenceMs;
}

/** The members that run and take work. */
export function liveMembers(sightings: readonly MemberSighting[], clock: FleetClock): MemberRecord[] {
	return sightings
		.filter(sighting => sighting.record.state === 'live' && isRunning(sighting, clock))
		.map(({record}) => record)
		.sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
}
