import {createHash} from 'node:crypto';
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
only on an equal share of the engines, of those that no step of the model can use any more first. The others keep serving the
step and load a later version. This limits the load when several trainers name versions in turn. The model whose version has
reached the fewest engines goes first, so that a trainer that names versions quickly does not delay the others.

Of the engines that a model may load, those that serve the fewest other models come first. Otherwise the models crowd on the same
engines, whose slots then limit all steps while other engines are idle.
*/
export function planLoads({engines, named, models}: PlanLoadsOptions): PlannedLoad[] {
	const enginesPerVersion = Math.max(1, Math.floor(engines.length / Math.max(1, models)));
	const maxRunning = maxConcurrentLoads(engines.length);
	const loads: PlannedLoad[] = [];
	let running = engines.filter(engine => engine.loading !== undefined).length;
	const candidates = named
		.flatMap(version => candidatesFor(version, {engines, named, enginesPerVersion}))
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

function candidatesFor(
	{model, version}: NamedVersion,
	{engines, named, enginesPerVersion}: Readonly<{engines: readonly EngineWeights[]; named: readonly NamedVersion[]; enginesPerVersion: number}>,
): Candidate[] {
	const missing = engines.filter(engine => !serves(engine, {model, version}));
	const served = engines.length - missing.length;
	// Engines with the version before the named one still serve the running step of the model.
	const isUsed = (engine: EngineWeights) => Number(versionOf(engine, model) >= version - 1);
	const others = named.filter(other => other.model !== model);
	return missing
		.map(engine => ({engine, usedBy: countModels(engine, others), score: rankScore(model, engine.id)}))
		.sort((a, b) => isUsed(a.engine) - isUsed(b.engine) || a.usedBy - b.usedBy || a.score - b.score)
		.slice(0, Math.max(0, enginesPerVersion - served))
		.map(({engine}, index) => ({load: {engine: engine.id, model, version}, isBusy: engine.loading !== undefined, position: served + index}));
}

/** Whether the engine has the version or a newer one, or is loading it. */
function serves(engine: EngineWeights, {model, version}: NamedVersion): boolean {
	return versionOf(engine, model) >= version || (engine.loading?.model === model && engine.loading.version >= version);
}

/** Number of models whose running or next step the engine can serve. */
function countModels(engine: EngineWeights, named: readonly NamedVersion[]): number {
	return named.filter(({model, version}) => serves(engine, {model, version: version - 1})).length;
}

function versionOf(engine: EngineWeights, model: ModelId): number {
	return engine.versions.get(model) ?? 0;
}

/** Number of scores kept. More pairs than this occur only after engines have been replaced many times. */
const maxScores = 20_000;
const scores = new Map<string, number>();

/** A fixed order of the engines for each model, which differs between models. All daemons compute the same. */
function rankScore(model: ModelId, engine: UpstreamId): number {
	const pair = `${model}\n${engine}`;
	let score = scores.get(pair);
	if (score === undefined) {
		score = createHash('sha1').update(pair).digest().readUInt32BE(0);
		if (scores.size >= maxScores) {
			scores.clear();
		}

		scores.set(pair, score);
	}

	return score;
}
