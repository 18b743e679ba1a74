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
with the same view compute the same assignment. Each engine goes to a near candidate with few engines for its size, and a
member that joins or leaves moves few engines. Without candidates, any member may become an owner. An engine that its owner
can't reach goes to another one, and all others stay where they are. A temporary disagreement between daemons is harmless,
because claims and order permits are conditional writes.
*/
export function assignEngines({engines, members, regionOf}: OwnershipOptions): Map<UpstreamId, DaemonId> {
	const candidates = members.filter(({role}) => role === 'candidate');
	const eligible = candidates.length > 0 ? candidates : members;
	const owned = new Map<DaemonId, number>();
	const owners = new Map<UpstreamId, DaemonId>();
	const sorted = engines.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	const nearTo = new Map<DataCentreId, MemberRecord[]>();
	for (const engine of sorted) {
		const near = nearTo.get(engine.dataCentre) ?? nearestMembers(eligible, engine.dataCentre, regionOf);
		nearTo.set(engine.dataCentre, near);
		const loadWithEngine = ({daemon, cores}: MemberRecord) => ((owned.get(daemon) ?? 0) + 1) / cores;
		const leastLoad = Math.min(...near.map(member => loadWithEngine(member)));
		const best = ownerOf(engine.id, near.filter(member => loadWithEngine(member) === leastLoad).map(({daemon}) => daemon));
		if (best !== undefined) {
			owners.set(engine.id, best);
			owned.set(best, (owned.get(best) ?? 0) + 1);
		}
	}

	for (const engine of sorted) {
		const substitute = substituteFor(engine, owners.get(engine.id), eligible, regionOf);
		if (substitute !== undefined) {
			owners.set(engine.id, substitute);
		}
	}

	return owners;
}

/** Returns the daemon that takes an engine which its owner can't reach, or undefined if the owner keeps it. */
function substituteFor(engine: UpstreamRecord, owner: DaemonId | undefined, eligible: readonly MemberRecord[], regionOf: OwnershipOptions['regionOf']): DaemonId | undefined {
	const isCutOff = eligible.some(({daemon, unreachable}) => daemon === owner && unreachable?.has(engine.id) === true);
	// Daemons of earlier builds do not take engines of others for this reason.
	const reaching = isCutOff ? eligible.filter(({unreachable}) => unreachable?.has(engine.id) === false) : [];
	return reaching.length === 0 ? undefined : ownerOf(engine.id, nearestMembers(reaching, engine.dataCentre, regionOf).map(({daemon}) => daemon));
}

/** Returns the members at the nearest level that has any. */
export function nearestMembers(members: readonly MemberRecord[], dataCentre: DataCentreId, regionOf: OwnershipOptions['regionOf']): MemberRecord[] {
	const levels = members.map(member => proximityOf(member, dataCentre, regionOf));
	const best = Math.max(...levels);
	return members.filter((_, index) => levels[index] === best);
}

function proximityOf(member: MemberRecord, dataCentre: DataCentreId, regionOf: OwnershipOptions['regionOf']): number {
	if (member.dataCentre === dataCentre) {
		return proximity.sameDataCentre;
	}

	return member.region === regionOf(dataCentre) ? proximity.sameRegion : proximity.elsewhere;
}
