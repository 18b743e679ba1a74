import {
	baselines, Bench, fixedWindows, policy, withoutHedges, type Variant,
} from '../bench.js';
import {failureRateBound, type MeasurementCase, type RunResult} from '../case.js';
import {
	describeSlowest, wastedTokenShare, latencyMs, type CallRecord,
} from '../collector.js';
import {quantile} from '../statistics.js';

const job = {tokens: 64, promptTokens: 400};
const slowFromMs = 30_000;
const slowToMs = 50_000;
const endMs = 70_000;
const slowness = 10;
const load = 0.7;

function runOnce(variant: Variant, seed: number, hasSlowEngine: boolean): {bench: Bench; calls: CallRecord[]} {
	const bench = new Bench({
		seed, variant, engines: 6, members: {inspectors: {}},
	});
	const random = bench.simulation.random.fork();
	bench.scheduleArrivals(load * bench.capacity(job), 0, endMs, index => {
		bench.send({
			member: 'inspectors', requestClass: 'live', key: `c${index}`, job: {...job, tokens: random.int(job.tokens / 2, job.tokens * 3 / 2)}, deadlineMs: 5000,
		});
	});
	if (hasSlowEngine) {
		const engine = bench.engines[0]!;
		bench.scheduleAt(slowFromMs, () => {
			engine.slowness = slowness;
		});
		bench.scheduleAt(slowToMs, () => {
			engine.slowness = 1;
		});
	}

	bench.runUntil(endMs + 20_000);
	// Count only requests sent from the start of the slow period until 10 s after its end, so that the rest of the run doesn't dilute the percentile.
	const from = bench.startAt + slowFromMs;
	const to = bench.startAt + slowToMs + 10_000;
	return {bench, calls: bench.collector.list(call => call.sentAt >= from && call.sentAt < to)};
}

function run(variant: Variant, seed: number): RunResult {
	const slow = runOnce(variant, seed, true);
	const quiet = runOnce(variant, seed, false);
	const p99 = quantile(slow.calls.map(call => latencyMs(call)), 0.99);
	const quietP99 = quantile(quiet.calls.map(call => latencyMs(call)), 0.99);
	return {
		figures: {
			ratio: p99 / quietP99,
			p99,
			quietP99,
			extra: 100 * wastedTokenShare(slow.bench.collector),
			failed: 100 * slow.calls.filter(call => call.result !== 'completed').length / slow.calls.length,
		},
		worst: describeSlowest(slow.calls),
	};
}

export const tail: MeasurementCase = {
	name: 'tail',
	setting: `6 engines, ${100 * load}% load, one slowed ${slowness}-fold from 30 s to 50 s, load reports 5 s late; requests sent from 30 s to 60 s count`,
	figures: [
		{key: 'ratio', title: 'p99 / quiet p99', digits: 2},
		{key: 'p99', title: 'p99 ms', digits: 0},
		{key: 'quietP99', title: 'quiet p99 ms', digits: 0},
		{key: 'extra', title: 'extra work %', digits: 1},
		{key: 'failed', title: 'failed %', digits: 1},
	],
	bounds: [{figure: 'ratio', comparison: 'at most', limit: 1.5}, {figure: 'extra', comparison: 'at most', limit: 5}, failureRateBound],
	variants: [policy, withoutHedges, fixedWindows, ...baselines],
	run,
};
