import {createHash} from 'node:crypto';
import {
	assignEngines, chooseCandidates, type MemberRecord, type UpstreamDirectory, type UpstreamRecord,
} from '@cicadapost/fleet';
import {ownerOf} from '@cicadapost/membership';
import type {
	Clock, DaemonId, DataCentreId, Millis, ModelId, RegionId, ServiceId, UpstreamId,
} from '@cicadapost/types';
import type {EngineService, NamedVersion} from '@cicadapost/weights';

/** Work is left to the daemon that is responsible for it for this time. */
const minPatienceMs = 3000;
/** The others step in over this time, so that few of them try at once. */
const patienceSpreadMs = 3000;

/** Returns how long a daemon waits for the responsible one. */
function patienceMs(daemon: DaemonId): Millis {
	const share = createHash('sha1').update(daemon).digest().readUInt32BE(0) / (2 ** 32);
	return minPatienceMs + (share * patienceSpreadMs);
}

export type FleetViewOptions = Readonly<{
	clock: Clock;
	self: DaemonId;
	directory: UpstreamDirectory;
	members: (now: Millis) => readonly MemberRecord[];
	regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
}>;

/** Owners are recomputed after this time, because members can expire without any change to the table. */
const ownerCacheMs = 300;

/** This daemon's view of which daemon owns which engine. */
export class FleetView {
	/** Time at which the members were last checked; undefined if they or the upstreams have changed since. */
	private checkedAt: Millis | undefined;
	private engines: Readonly<{source: readonly UpstreamRecord[]; ready: readonly UpstreamRecord[]}> = {source: [], ready: []};
	private assignment: Readonly<{key: string; owners: ReadonlyMap<UpstreamId, DaemonId>; candidates: ReadonlySet<DaemonId>}> = {key: '', owners: new Map(), candidates: new Set()};

	constructor(private readonly options: FleetViewOptions) {}

	/** Call this when members or upstreams have changed. */
	invalidate(): void {
		this.checkedAt = undefined;
	}

	isOwner(engine: UpstreamId): boolean {
		return this.owners().get(engine) === this.options.self;
	}

	/** Whether this daemon should be a candidate for engines. */
	get isCandidate(): boolean {
		return this.current().candidates.has(this.options.self);
	}

	ownedEngines(): UpstreamRecord[] {
		return this.readyEngines().filter(engine => this.isOwner(engine.id));
	}

	/** Daemons that own engines, or all members if there are no engines. */
	engineOwners(): readonly DaemonId[] {
		const owners = [...new Set(this.owners().values())].sort((a, b) => (a < b ? -1 : 1));
		return owners.length > 0 ? owners : this.options.members(this.options.clock.now()).map(({daemon}) => daemon);
	}

	/**
	Whether this daemon does work that any daemon with an engine could do. All daemons with the same view name the same one. After
	some time each daemon does it, one after the other, since views may differ for long.
	*/
	isResponsibleFor(key: string, waitedMs: Millis = 0): boolean {
		const {self} = this.options;
		return ownerOf(key, this.engineOwners()) === self || waitedMs >= patienceMs(self);
	}

	/** Engines that accept new work, grouped by service, with the versions that trainers have named for their models. */
	engineServices(namedVersions: ReadonlyMap<ModelId, number>): EngineService[] {
		const services = new Map<ServiceId, UpstreamRecord[]>();
		for (const engine of this.readyEngines()) {
			services.set(engine.service, [...services.get(engine.service) ?? [], engine]);
		}

		return [...services.entries()].map(([service, engines]) => {
			const models = new Set(engines.flatMap(engine => [...engine.models.keys()]));
			const versions: NamedVersion[] = [...namedVersions.entries()]
				.filter(([model]) => models.has(model))
				.map(([model, version]) => ({model, version}));
			return {
				service, engines, named: versions, models: models.size,
			};
		});
	}

	private readyEngines(): readonly UpstreamRecord[] {
		const all = this.options.directory.all();
		if (this.engines.source !== all) {
			this.engines = {source: all, ready: all.filter(record => record.models.size > 0 && record.state === 'ready')};
		}

		return this.engines.ready;
	}

	private owners(): ReadonlyMap<UpstreamId, DaemonId> {
		return this.current().owners;
	}

	private current(): FleetView['assignment'] {
		const {clock, members} = this.options;
		const now = clock.now();
		if (this.checkedAt === undefined || now - this.checkedAt > ownerCacheMs) {
			this.checkedAt = now;
			this.updateAssignment(members(now), this.readyEngines());
		}

		return this.assignment;
	}

	/** Reassigns the engines only if members or engines differ from the last check, which is rare. */
	private updateAssignment(members: readonly MemberRecord[], engines: readonly UpstreamRecord[]): void {
		const {regionOf} = this.options;
		const key = JSON.stringify([members.map(member => [member.daemon, member.dataCentre, member.region, member.role, member.cores, [...member.unreachable ?? []]]), engines.map(engine => [engine.id, engine.dataCentre])]);
		if (key !== this.assignment.key) {
			this.assignment = {key, owners: assignEngines({engines, members, regionOf}), candidates: chooseCandidates({engines, members, regionOf})};
		}
	}
}
