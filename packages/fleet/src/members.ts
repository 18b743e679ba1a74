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
	beat: number;
}>;

/** Pause between two heartbeats. */
export const memberBeatMs = 700;
/** A member without a heartbeat for this long counts as dead: three heartbeats and a slow store call. */
export const memberSilenceMs = 2600;

export type MemberSighting = Readonly<{
	record: MemberRecord;
	/** When this daemon learned of the last heartbeat. */
	seenAt: Millis;
}>;

export type LiveMembersOptions = Readonly<{
	sightings: readonly MemberSighting[];
	/** How long the store has answered this daemon without a failure. */
	connectedForMs: Millis;
	now: Millis;
}>;

/**
The members that are alive. A daemon that has not heard from the store for a while can't tell who is dead: then each
member that is known counts as alive.
*/
export function liveMembers({sightings, connectedForMs, now}: LiveMembersOptions): MemberRecord[] {
	return sightings
		.filter(({record, seenAt}) => record.state === 'live' && (connectedForMs < memberSilenceMs || now - seenAt < memberSilenceMs))
		.map(({record}) => record)
		.sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
}
