import type {DaemonId, ModelId, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {decodePermit, encodePermit, type OrderPermit} from './order-permit.js';
import {maxConcurrentLoads, planLoads, type EngineWeights} from './plan-loads.js';

const [draft, score] = ['draft', 'score'] as ModelId[] as [ModelId, ModelId];
const engine = (name: string, versions: Record<string, number>, loading?: EngineWeights['loading']): EngineWeights => ({
	id: name as UpstreamId, versions: new Map(Object.entries(versions)) as Map<ModelId, number>, loading,
});

/** Simulates loads that finish immediately, for versions named in the given order. Returns the number of loads. */
function simulateLoads(engines: EngineWeights[], named: ReadonlyArray<Readonly<{model: ModelId; version: number}>>, models: number): number {
	let loads = 0;
	const newest = new Map<ModelId, number>();
	for (const {model, version} of named) {
		newest.set(model, version);
		for (;;) {
			const planned = planLoads({engines, named: [...newest].map(([name, at]) => ({model: name, version: at})), models});
			if (planned.length === 0) {
				break;
			}

			for (const load of planned) {
				(engines.find(candidate => candidate.id === load.engine)?.versions as Map<ModelId, number>).set(load.model, load.version);
				loads += 1;
			}
		}
	}

	return loads;
}

describe('planLoads', () => {
	describe('with two trainers that name versions in turn on six engines', () => {
		const engines = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].map(name => engine(name, {draft: 1, score: 1}));
		const named = [2, 3, 4, 5].flatMap(version => [{model: draft, version}, {model: score, version}]);

		it('loads each version on half of the engines, which is the number of free loads', () => {
			expect(simulateLoads(engines, named, 2)).toBe(named.length * 3);
		});

		it('leaves every engine with a version that the next step may use', () => {
			for (const {versions} of engines) {
				expect(versions.get(draft)).toBeGreaterThanOrEqual(4);
				expect(versions.get(score)).toBeGreaterThanOrEqual(4);
			}
		});
	});

	it('does not exceed the number of concurrent loads above which they slow each other down', () => {
		const engines = (count: number) => Array.from({length: count}, (_, index) => engine(`e${index}`, {draft: 1}));
		const loadsOn = (count: number) => planLoads({engines: engines(count), named: [{model: draft, version: 2}], models: 1}).length;
		expect(loadsOn(6)).toBe(2);
		expect([27, 31, 34].map(count => loadsOn(count))).toEqual([8, 9, 10]);
	});

	describe('with three trainers that each name a version every 4 s on 34 engines', () => {
		const loadMs = 900;
		const nameMs = 4000;
		/** Simulates loads for 10 versions of each model. Returns for each naming the number of engines that had the version 4 s later. */
		const simulate = () => {
			const models = ['draft', 'score', 'classify'] as ModelId[];
			const fleet = Array.from({length: 34}, (_, index) => ({
				id: `e${index}` as UpstreamId, versions: new Map(models.map(name => [name, 1])), loading: undefined as EngineWeights['loading'], loadedAt: 0,
			}));
			const newest = new Map<ModelId, number>();
			const reached: Array<Readonly<{model: ModelId; version: number; engines: number}>> = [];
			for (let now = 0; now < 10 * nameMs; now += 100) {
				for (const target of fleet) {
					if (target.loading !== undefined && now >= target.loadedAt) {
						target.versions.set(target.loading.model, target.loading.version);
						target.loading = undefined;
					}
				}

				for (const [index, model] of models.entries()) {
					if ((now - (index * 1300)) % nameMs === 0 && now >= index * 1300) {
						const version = newest.get(model) ?? 1;
						reached.push({model, version, engines: fleet.filter(({versions}) => versions.get(model)! >= version).length});
						newest.set(model, version + 1);
					}
				}

				for (const load of planLoads({engines: fleet, named: [...newest].map(([model, version]) => ({model, version})), models: models.length})) {
					Object.assign(fleet.find(({id}) => id === load.engine)!, {loading: load, loadedAt: now + loadMs});
				}
			}

			return reached;
		};

		it('brings every version to its share of the engines before the next one is named, so that no trainer waits for engines', () => {
			expect(simulate().filter(({engines}) => engines < 11)).toEqual([]);
		});
	});

	it('spreads the models of four trainers over 31 engines, so that the slots of a few engines do not limit all steps while others are idle', () => {
		const models = ['draft', 'score', 'classify', 'plan'] as ModelId[];
		const engines = Array.from({length: 31}, (_, index) => engine(`e${index}`, Object.fromEntries(models.map(name => [name, 1]))));
		simulateLoads(engines, [2, 3, 4, 5].flatMap(version => models.map(model => ({model, version}))), models.length);
		const usable = engines.map(({versions}) => models.filter(model => versions.get(model)! >= 4).length);
		// Each of the four models is usable on 14 engines, 1.8 models on the average engine.
		expect(usable.reduce((sum, count) => sum + count)).toBe(56);
		expect(Math.max(...usable)).toBeLessThanOrEqual(2);
		expect(Math.min(...usable)).toBeGreaterThanOrEqual(1);
	});

	it('lets the model with the fewest engines go first, so that no model is never loaded', () => {
		const engines = Array.from({length: 12}, (_, index) => engine(`e${index}`, {draft: index < 3 ? 2 : 1, score: 1}));
		expect(planLoads({engines, named: [{model: draft, version: 2}, {model: score, version: 2}], models: 2}).map(load => load.model)).toEqual([score, score, score]);
	});

	it('counts loads in progress, so that two daemons do not load the same version twice', () => {
		const engines = [engine('e1', {draft: 1}, {model: draft, version: 2}), engine('e2', {draft: 1}), engine('e3', {score: 1})];
		expect(planLoads({engines, named: [{model: draft, version: 2}], models: 3})).toEqual([]);
	});

	it('loads an engine that is two versions behind before one that is one behind', () => {
		const engines = [engine('e1', {draft: 4}), engine('e2', {draft: 3})];
		expect(planLoads({engines, named: [{model: draft, version: 5}], models: 2})).toEqual([{engine: 'e2', model: draft, version: 5}]);
	});
});

describe('order permits', () => {
	const permit: OrderPermit = {
		holder: 'd1' as DaemonId, fencingToken: 4, model: draft, version: 7,
	};

	it('round-trips a permit, and rejects a row of an unknown shape', () => {
		expect(decodePermit(encodePermit(permit))).toEqual(permit);
		expect(decodePermit(new Uint8Array([1, 2, 3]))).toBeUndefined();
	});
});
