import {rankByRendezvousScore} from '@cicadapost/membership';
import type {DaemonId, DataCentreId} from '@cicadapost/types';
import {nearestMembers, type OwnershipOptions} from './engine-ownership.js';

/** Candidates of a data centre beyond one for each of its engines, so that the loss of two needs no promotion. */
const spareCandidates = 2;
/** Candidates of a data centre with fewer engines, or none: engines that crash or are replaced come back. */
const minCandidates = 4;

/**
Chooses the daemons that take engines: for each data centre as many of the nearest as it has engines, and some spare ones,
larger VMs first. This suits fleets with many more daemons than engines, where most daemons would write and follow heartbeats
for work that they never get. In fleets of up to four daemons for each data centre every daemon is chosen.
*/
export function chooseCandidates({engines, members, regionOf}: OwnershipOptions): ReadonlySet<DaemonId> {
	const engineCounts = new Map<DataCentreId, number>(members.map(({dataCentre}) => [dataCentre, 0]));
	for (const {dataCentre} of engines) {
		engineCounts.set(dataCentre, (engineCounts.get(dataCentre) ?? 0) + 1);
	}

	return new Set([...engineCounts.entries()].flatMap(([dataCentre, count]) => {
		const near = nearestMembers(members, dataCentre, regionOf);
		const sizes = [...new Set(near.map(({cores}) => cores))].sort((a, b) => b - a);
		return sizes
			.flatMap(size => rankByRendezvousScore(dataCentre, near.filter(({cores}) => cores === size).map(({daemon}) => daemon), near.length))
			.slice(0, Math.max(minCandidates, count + spareCandidates));
	}));
}
