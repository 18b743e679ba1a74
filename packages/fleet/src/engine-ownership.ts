import {rankedFor} from '@cicadapost/membership';
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

/** Ownership prefers near daemons; each level is used only if the one before is empty. */
const nearness = {sameDataCentre: 2, sameRegion: 1, elsewhere: 0} as const;

/**
Names for each engine the daemon that looks after it: claims samples for its slots, runs them and gives its orders.
All daemons with the same view agree. Each engine goes to a near daemon with few engines; a member that comes or goes
moves few of them. Two daemons that disagree for a moment do no harm: claims and order permits are conditional writes.
*/
export function assignEngines({engines, members, regionOf}: OwnershipOptions): Map<UpstreamId, DaemonId> {
	const owned = new Map<DaemonId, number>();
	const owners = new Map<UpstreamId, DaemonId>();
	const sorted = engines.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	for (const engine of sorted) {
		const ranks = rankedFor(engine.id, members.map(member => member.daemon), members.length);
		const ranked = members.map(member => ({
			member,
			near: nearnessOf(member, engine, regionOf),
			load: owned.get(member.daemon) ?? 0,
			rank: ranks.indexOf(member.daemon),
		})).sort((a, b) => b.near - a.near || a.load - b.load || a.rank - b.rank);
		const [best] = ranked;
		if (best !== undefined) {
			owners.set(engine.id, best.member.daemon);
			owned.set(best.member.daemon, best.load + 1);
		}
	}

	return owners;
}

function nearnessOf(member: MemberRecord, engine: UpstreamRecord, regionOf: OwnershipOptions['regionOf']): number {
	if (member.dataCentre === engine.dataCentre) {
		return nearness.sameDataCentre;
	}

	return member.region === regionOf(engine.dataCentre) ? nearness.sameRegion : nearness.elsewhere;
}
