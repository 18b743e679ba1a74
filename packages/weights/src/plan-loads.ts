import type {ModelId, UpstreamId} from '@cicadapost/types';

export type EngineWeights = Readonly<{
	id: UpstreamId;
	versions: ReadonlyMap<ModelId, number>;
	/** Order that is on its way or being carried out. */
	loading: Readonly<{model: ModelId; version: number}> | undefined;
}>;

export type NamedVersion = Readonly<{model: ModelId; version: number}>;

export type PlanLoadsOptions = Readonly<{
	/** Engines of one service that take new work. */
	engines: readonly EngineWeights[];
	/** Newest version of each model that its trainer has named. */
	named: readonly NamedVersion[];
	/** Models that share the engines. */
	models: number;
}>;

export type PlannedLoad = Readonly<{engine: UpstreamId; model: ModelId; version: number}>;

/** Loads at the same time above this number slow each other down. */
export const maxConcurrentLoads = 2;

/**
Chooses the engines that load new weights. A step may still use the version before the named one, so each version goes
to an equal part of the engines only, to those with the oldest weights of the model first. The others serve the step
until their turn comes with a later version. Answers the load of several trainers that name versions in turn.
*/
export function planLoads({engines, named, models}: PlanLoadsOptions): PlannedLoad[] {
	const enginesPerVersion = Math.max(1, Math.floor(engines.length / Math.max(1, models)));
	const loads: PlannedLoad[] = [];
	let running = engines.filter(engine => engine.loading !== undefined).length;
	const candidates = named.flatMap(({model, version}) => {
		const isServed = (engine: EngineWeights) => versionOf(engine, model) >= version
			|| (engine.loading?.model === model && engine.loading.version >= version);
		const missing = enginesPerVersion - engines.filter(engine => isServed(engine)).length;
		return engines
			.filter(engine => !isServed(engine))
			.sort((a, b) => versionOf(a, model) - versionOf(b, model) || (a.id < b.id ? -1 : 1))
			.slice(0, Math.max(0, missing))
			.map((engine, index) => ({load: {engine: engine.id, model, version}, isBusy: engine.loading !== undefined, index}));
	});
	// The models take turns, so that none waits for all loads of another.
	candidates.sort((a, b) => a.index - b.index);
	for (const {load, isBusy} of candidates) {
		if (running >= maxConcurrentLoads) {
			break;
		}

		if (!isBusy && loads.every(planned => planned.engine !== load.engine)) {
			loads.push(load);
			running += 1;
		}
	}

	return loads;
}

function versionOf(engine: EngineWeights, model: ModelId): number {
	return engine.versions.get(model) ?? 0;
}
