import {
	baselines, Bench, fixedWindows, policy, type Variant,
} from '../bench.js';
import {failureRateBound, type MeasurementCase, type RunResult} from '../case.js';
import {
	describeSlowest, firstTokenMs, type CallRecord,
} from '../collector.js';
import {quantile, sum} from '../statistics.js';

const liveJob = {tokens: 16, promptTokens: 200};
const trainingJob = {tokens: 256, promptTokens: 400};
const liveLoad = 0.1;
const trainingLoad = 2;
const engines = 4;
const warmUpMs = 10_000;
const endMs = 30_000;

function runOnce(variant: Variant, seed: number, hasTrainers: boolean): {bench: Bench; live: CallRecord[]} {
	const bench = new Bench({
		seed, variant, engines, members: {clerks: {}, planner: {}},
	});
	bench.scheduleArrivals(liveLoad * bench.capacity(liveJob), 0, endMs, index => {
		bench.send({
			member: 'clerks', requestClass: 'live', key: `live${index}`, job: liveJob, deadlineMs: 10_000,
		});
	});
	if (hasTrainers) {
		bench.scheduleArrivals(trainingLoad * bench.capacity(trainingJob), 0, endMs, index => {
			bench.send({
				member: 'planner', requestClass: 'training', key: `train${index}`, job: trainingJob, deadlineMs: 20_000,
			});
		});
	}

	bench.runUntil(endMs + 10_000);
	const live = bench.collector.list(call => call.requestClass === 'live' && call.sentAt >= bench.startAt + warmUpMs);
	return {bench, live};
}

function run(variant: Variant, seed: number): RunResult {
	const busy = runOnce(variant, seed, true);
	const quiet = runOnce(variant, seed, false);
	const p99 = quantile(busy.live.map(call => firstTokenMs(call)), 0.99);
	const quietP99 = quantile(quiet.live.map(call => firstTokenMs(call)), 0.99);
	const completedTraining = busy.bench.collector.list(call => call.requestClass === 'training' && call.result === 'completed');
	const capacityTokens = busy.bench.capacity(trainingJob) * trainingJob.tokens * (endMs + 10_000) / 1000;
	return {
		figures: {
			ratio: p99 / quietP99,
			p99,
			quietP99,
			failed: 100 * busy.live.filter(call => call.result !== 'completed').length / busy.live.length,
			training: 100 * sum(completedTraining.map(call => call.tokens)) / capacityTokens,
		},
		worst: describeSlowest(busy.live),
	};
}

export const headOfLine: MeasurementCase = {
	name: 'head-of-line',
	setting: `${engines} engines, trainers offer 200% of capacity (256 tokens each, deadline 20 s), live calls of 16 tokens 10% of capacity`,
	figures: [
		{key: 'ratio', title: 'p99 first token / alone', digits: 2},
		{key: 'p99', title: 'p99 ms', digits: 0},
		{key: 'quietP99', title: 'alone p99 ms', digits: 0},
		{key: 'failed', title: 'live failed %', digits: 1},
		{key: 'training', title: 'training % of capacity', digits: 0},
	],
	bounds: [{figure: 'ratio', comparison: 'at most', limit: 2}, failureRateBound],
	variants: [policy, fixedWindows, ...baselines],
	run,
};
