import type {ModelId, UpstreamId} from '@cicadapost/types';

export type EngineWeights = Readonly<{
	id: UpstreamId;
	versions: ReadonlyMap<ModelId, number>;
	/** Load order that is in transit or being executed. */
	loading: Readonly<{model: ModelId; version: number}> | undefined;
}>;

export type NamedVersion = Readonly<{model: ModelId; version: number}>;

export type PlanLoadsOptions = Readonly<{
	/** Engines of one service that accept new work. */
	engines: readonly EngineWeights[];
	/** Newest version of each model that its trainer has named. */
	named: readonly NamedVersion[];
	/** Number of models that share the engines. */
	models: number;
}>;

export type PlannedLoad = Readonly<{engine: UpstreamId; model: ModelId; version: number}>;

/** More concurrent loads than this slow each other down. */
export const maxConcurrentLoads = 2;

/**
Chooses the engines that load new weights. A step may still use the version before the named one, so each version is loaded
only on an equal share of the engines, starting with those that have the oldest weights of the model. The others keep
serving the step and load a later version. This limits the load when several trainers name versions in turn.
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
	// Interleave the models, so that none waits for all loads of another.
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
