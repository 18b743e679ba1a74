import {requestsPerSecond, type FakeEngine} from '@cicadapost/fakes';
import {
	baselines, Bench, fixedWindows, policy, type Variant,
} from '../bench.js';
import type {MeasurementCase, RunResult} from '../case.js';
import {describeSlowest} from '../collector.js';

const samples = 4096;
const groupSize = 16;
const stragglerShare = 0.05;
const sampleTokens = 128;
const stragglerTokens = 10 * sampleTokens;
const promptTokens = 200;
const engines = 12;
const deadlineMs = 540_000;
const maxOpenRequests = 1024;

/** Time of one straggler that runs alone on an engine, a lower bound of the step time. */
function stragglerMs(engine: FakeEngine): number {
	const {stepMs, stepMsPerSequence} = engine.speed;
	return stragglerTokens * (stepMs + stepMsPerSequence);
}

function run(variant: Variant, seed: number): RunResult {
	const bench = new Bench({
		seed, variant, engines, members: {planner: {}},
	});
	const random = bench.simulation.random.fork();
	const lengths = Array.from({length: samples}, () => (random.bernoulli(stragglerShare) ? stragglerTokens : sampleTokens));
	let next = 0;
	let failed = 0;
	const sendNext = (): void => {
		if (next >= samples) {
			return;
		}

		const index = next++;
		bench.send({
			member: 'planner',
			requestClass: 'training',
			key: `s${index}`,
			job: {
				tokens: lengths[index]!, promptTokens, prefixKey: `g${Math.floor(index / groupSize)}`, prefixTokens: promptTokens - 20,
			},
			deadlineMs,
		});
	};

	let lastEndedAt = bench.startAt;
	bench.collector.onEnd(call => {
		lastEndedAt = bench.simulation.queue.now;
		if (call.result !== 'completed') {
			failed++;
		}

		sendNext();
	});
	for (let index = 0; index < maxOpenRequests; index++) {
		sendNext();
	}

	bench.runUntil(deadlineMs);
	const done = bench.collector.list(call => call.result === 'completed').length;
	const {speed} = (bench.engines[0]!);
	const workMs = lengths.reduce((total, tokens) => total + (1000 / requestsPerSecond(speed, {tokens, promptTokens: 20})), 0) / engines;
	const boundMs = Math.max(workMs, stragglerMs(bench.engines[0]!));
	const stepMs = done === samples ? lastEndedAt - bench.startAt : deadlineMs;
	return {
		figures: {
			ratio: stepMs / boundMs, stepSeconds: stepMs / 1000, boundSeconds: boundMs / 1000, idle: (stepMs - boundMs) / 1000, failed: 100 * failed / samples,
		},
		worst: describeSlowest(bench.collector.list()),
	};
}

export const step: MeasurementCase = {
	name: 'step',
	setting: `${engines} engines, ${samples} samples in groups of ${groupSize} with a common prompt, ${100 * stragglerShare}% ten times as long (${stragglerTokens} tokens), up to ${maxOpenRequests} open at a time, sent as training requests`,
	figures: [
		{key: 'ratio', title: 'step time / lower bound', digits: 2},
		{key: 'stepSeconds', title: 'step s', digits: 1},
		{key: 'boundSeconds', title: 'lower bound s', digits: 1},
		{key: 'idle', title: 'trainer idle beyond the bound s', digits: 1},
		{key: 'failed', title: 'failed %', digits: 1},
	],
	bounds: [{figure: 'ratio', comparison: 'at most', limit: 1.1}],
	variants: [policy, fixedWindows, ...baselines],
	run,
};
