import {ownerOf} from '@cicadapost/membership';
import type {
	DaemonId, DataCentreId, RegionId, UpstreamId,
} from '@cicadapost/types';
import type {MemberRecord} from './members.js';
import type {UpstreamRecord} from './upstream.js';

export type OwnershipOptions = Readonly<{
	engines: readonly UpstreamRecord[];
	members: readonly MemberRecord[];
	regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
}>;

/** Engines are assigned to the nearest daemons: a level is used only if there is no daemon at a nearer one. */
const proximity = {sameDataCentre: 2, sameRegion: 1, elsewhere: 0} as const;

/**
Assigns each engine to an owner: the daemon that claims samples for its slots, runs them and sends its orders. All daemons
with the same view compute the same assignment. Each engine goes to a near daemon with few engines, and a member that
joins or leaves moves few engines. A temporary disagreement between daemons is harmless, because claims and order permits
are conditional writes.
*/
export function assignEngines({engines, members, regionOf}: OwnershipOptions): Map<UpstreamId, DaemonId> {
	const owned = new Map<DaemonId, number>();
	const owners = new Map<UpstreamId, DaemonId>();
	const sorted = engines.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	const nearTo = new Map<DataCentreId, DaemonId[]>();
	for (const engine of sorted) {
		const near = nearTo.get(engine.dataCentre) ?? nearestMembers(members, engine, regionOf);
		nearTo.set(engine.dataCentre, near);
		const leastLoad = Math.min(...near.map(daemon => owned.get(daemon) ?? 0));
		const best = ownerOf(engine.id, near.filter(daemon => (owned.get(daemon) ?? 0) === leastLoad));
		if (best !== undefined) {
			owners.set(engine.id, best);
			owned.set(best, leastLoad + 1);
		}
	}

	return owners;
}

/** Returns the members at the nearest level that has any. */
function nearestMembers(members: readonly MemberRecord[], engine: UpstreamRecord, regionOf: OwnershipOptions['regionOf']): DaemonId[] {
	const levels = members.map(member => proximityOf(member, engine, regionOf));
	const best = Math.max(...levels);
	return members.filter((_, index) => levels[index] === best).map(member => member.daemon);
}

function proximityOf(member: MemberRecord, engine: UpstreamRecord, regionOf: OwnershipOptions['regionOf']): number {
	if (member.dataCentre === engine.dataCentre) {
		return proximity.sameDataCentre;
	}

	return member.region === regionOf(engine.dataCentre) ? proximity.sameRegion : proximity.elsewhere;
}
