import {
	assignEngines, type MemberRecord, type UpstreamDirectory, type UpstreamRecord,
} from '@cicadapost/fleet';
import type {
	Clock, DaemonId, DataCentreId, Millis, ModelId, RegionId, ServiceId, UpstreamId,
} from '@cicadapost/types';
import type {EngineService, NamedVersion} from '@cicadapost/weights';

export type FleetViewOptions = Readonly<{
	clock: Clock;
	self: DaemonId;
	directory: UpstreamDirectory;
	members: (now: Millis) => readonly MemberRecord[];
	regionOf: (dataCentre: DataCentreId) => RegionId | undefined;
}>;

/** Owners are computed again after this time, since silence alone changes them. */
const ownersValidMs = 300;

/** Which daemon looks after which engine, as this daemon sees it. */
export class FleetView {
	private cached: Readonly<{at: Millis; owners: ReadonlyMap<UpstreamId, DaemonId>}> | undefined;

	constructor(private readonly options: FleetViewOptions) {}

	/** Members or upstreams have changed. */
	invalidate(): void {
		this.cached = undefined;
	}

	isOwner(engine: UpstreamId): boolean {
		return this.owners().get(engine) === this.options.self;
	}

	ownedEngines(): UpstreamRecord[] {
		return this.readyEngines().filter(engine => this.isOwner(engine.id));
	}

	/** Engines that take new work, by service, with the versions that trainers have named for their models. */
	engineServices(named: ReadonlyMap<ModelId, number>): EngineService[] {
		const services = new Map<ServiceId, UpstreamRecord[]>();
		for (const engine of this.readyEngines()) {
			services.set(engine.service, [...services.get(engine.service) ?? [], engine]);
		}

		return [...services.entries()].map(([service, engines]) => {
			const models = new Set(engines.flatMap(engine => [...engine.models.keys()]));
			const versions: NamedVersion[] = [...named.entries()]
				.filter(([model]) => models.has(model))
				.map(([model, version]) => ({model, version}));
			return {
				service, engines, named: versions, models: models.size,
			};
		});
	}

	private readyEngines(): UpstreamRecord[] {
		return this.options.directory.all().filter(record => record.models.size > 0 && record.state === 'ready');
	}

	private owners(): ReadonlyMap<UpstreamId, DaemonId> {
		const {clock, members, regionOf} = this.options;
		const now = clock.now();
		if (this.cached === undefined || now - this.cached.at > ownersValidMs) {
			this.cached = {at: now, owners: assignEngines({engines: this.readyEngines(), members: members(now), regionOf})};
		}

		return this.cached.owners;
	}
}
