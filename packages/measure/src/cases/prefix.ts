import {
	Bench, firstComeQueue, fixedWindows, leastReportedLoad, policy, roundRobin, type Variant,
} from '../bench.js';
import type {MeasurementCase, RunResult} from '../case.js';
import {latencyMs} from '../collector.js';
import {quantile} from '../statistics.js';

const groupSize = 16;
const groups = 200;
const promptTokens = 2000;
const prefixTokens = 1900;
const tokens = 64;
const engines = 6;
const load = 0.7;
/** The cache of an engine holds the prompts of 10 of the 200 groups. */
const cacheTokens = 10 * prefixTokens;
const groupArrivalSpreadMs = 3000;
const oracle: Variant = {name: 'oracle of caches', kind: 'dispatcher', rule: 'oracle-of-caches'};
const withoutPrefixKeys: Variant = {name: 'policy without prefix keys', kind: 'policy', hasNoPrefixKeys: true};

function runOnce(variant: Variant, seed: number): {hitRate: number; p99: number; failed: number} {
	const bench = new Bench({
		seed, variant, engines, members: {planner: {}}, engine: {cacheTokens, cacheEventLagMs: 2000, cacheEventLossRate: 0.1},
	});
	let cachedPrefixTokens = 0;
	let totalPrefixTokens = 0;
	bench.simulation.recorder.listen(event => {
		if (event.kind === 'upstream-received') {
			cachedPrefixTokens += event.cachedTokens;
			totalPrefixTokens += prefixTokens;
		}
	});
	const random = bench.simulation.random.fork();
	const perSecond = load * bench.capacity({tokens, promptTokens: promptTokens - (prefixTokens * (groupSize - 1) / groupSize)}) / groupSize;
	const endMs = groups / perSecond * 1000;
	bench.scheduleArrivals(perSecond, 0, endMs, group => {
		for (let index = 0; index < groupSize; index++) {
			bench.simulation.queue.schedule(random.next() * groupArrivalSpreadMs, () => {
				bench.send({
					member: 'planner', requestClass: 'training', key: `g${group}.${index}`, job: {
						tokens, promptTokens, prefixKey: `g${group}`, prefixTokens,
					}, deadlineMs: 20_000,
				});
			});
		}
	});
	bench.runUntil(endMs + 30_000);
	const calls = bench.collector.list();
	return {
		hitRate: cachedPrefixTokens / totalPrefixTokens, p99: quantile(calls.map(call => latencyMs(call)), 0.99), failed: 100 * calls.filter(call => call.result !== 'completed').length / calls.length,
	};
}

function run(variant: Variant, seed: number): RunResult {
	const variantResult = runOnce(variant, seed);
	const oracleResult = runOnce(oracle, seed);
	return {
		figures: {
			ofOracle: 100 * variantResult.hitRate / oracleResult.hitRate, hitRate: 100 * variantResult.hitRate, p99: variantResult.p99, failed: variantResult.failed,
		},
	};
}

export const prefix: MeasurementCase = {
	name: 'prefix',
	setting: `${engines} engines whose cache holds 10 prompts, ${100 * load}% load, groups of ${groupSize} with a common prompt of ${prefixTokens} tokens arrive within ${groupArrivalSpreadMs / 1000} s, cache events 2 s late and a tenth of them lost`,
	figures: [
		{key: 'ofOracle', title: 'hit rate, % of the oracle', digits: 1},
		{key: 'hitRate', title: 'hit rate %', digits: 1},
		{key: 'p99', title: 'p99 ms', digits: 0},
		{key: 'failed', title: 'failed %', digits: 1},
	],
	bounds: [{figure: 'ofOracle', comparison: 'at least', limit: 90}],
	variants: [policy, withoutPrefixKeys, fixedWindows, roundRobin, leastReportedLoad, firstComeQueue, oracle],
	run,
};
