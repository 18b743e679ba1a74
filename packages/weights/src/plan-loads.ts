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

/** More concurrent loads than this share of the engines slow each other down. */
const concurrentLoadShare = 0.3;
const minConcurrentLoads = 2;

/** Returns the number of loads that may run at the same time on this many engines. */
export function maxConcurrentLoads(engines: number): number {
	return Math.max(minConcurrentLoads, Math.floor(engines * concurrentLoadShare));
}

type Candidate = Readonly<{
	load: PlannedLoad;
	isBusy: boolean;
	/** Number of engines that will have the version before this one. */
	position: number;
}>;

/**
Chooses the engines that load new weights. A step may still use the version before the named one, so each version is loaded
only on an equal share of the engines, starting with those that have the oldest weights of the model. The others keep
serving the step and load a later version. This limits the load when several trainers name versions in turn. The model whose
version has reached the fewest engines goes first, so that a trainer that names versions quickly does not delay the others.
*/
export function planLoads({engines, named, models}: PlanLoadsOptions): PlannedLoad[] {
	const enginesPerVersion = Math.max(1, Math.floor(engines.length / Math.max(1, models)));
	const maxRunning = maxConcurrentLoads(engines.length);
	const loads: PlannedLoad[] = [];
	let running = engines.filter(engine => engine.loading !== undefined).length;
	const candidates = named
		.flatMap(version => candidatesFor(version, engines, enginesPerVersion))
		.sort((a, b) => a.position - b.position);
	for (const {load, isBusy} of candidates) {
		if (running >= maxRunning) {
			break;
		}

		if (!isBusy && loads.every(planned => planned.engine !== load.engine)) {
			loads.push(load);
			running += 1;
		}
	}

	return loads;
}

function candidatesFor({model, version}: NamedVersion, engines: readonly EngineWeights[], enginesPerVersion: number): Candidate[] {
	const isServed = (engine: EngineWeights) => versionOf(engine, model) >= version
		|| (engine.loading?.model === model && engine.loading.version >= version);
	const missing = engines.filter(engine => !isServed(engine));
	const served = engines.length - missing.length;
	return missing
		.sort((a, b) => versionOf(a, model) - versionOf(b, model) || (a.id < b.id ? -1 : 1))
		.slice(0, Math.max(0, enginesPerVersion - served))
		.map((engine, index) => ({load: {engine: engine.id, model, version}, isBusy: engine.loading !== undefined, position: served + index}));
}

function versionOf(engine: EngineWeights, model: ModelId): number {
	return engine.versions.get(model) ?? 0;
}
