import {Simulation} from '@cicadapost/fakes';
import type {DaemonId, DataCentreId, UpstreamId} from '@cicadapost/types';
import {
	policy, pool, createRequest, type Variant, type RequestSpec,
} from '../bench.js';
import {failureRateBound, type MeasurementCase, type RunResult} from '../case.js';
import {
	Collector, describeSlowest, latencyMs, type CallRecord,
} from '../collector.js';
import {quantile, sum} from '../statistics.js';

/** Link and bodies are scaled down to a tenth of the real ones; this keeps their ratio and makes a run ten times as fast. */
const linkBitsPerSecond = 30e6;
const trainingBodyBytes = 20_000;
const liveBodyBytes = 1000;
const tokenBytes = 8;
const trainingLoad = 1.2;
const livePerSecond = 20;
const engines = 12;
const startMs = 5000;
const endMs = 20_000;
const job = {tokens: 16, promptTokens: 200};
const callerDataCentre = 'alpen-west-1' as DataCentreId;
const engineDataCentre = 'lage-landen-1' as DataCentreId;
const withoutClasses: Variant = {name: 'policy without classes', kind: 'policy', hasNoClasses: true};

type LinkRunResult = {live: CallRecord[]; calls: CallRecord[]; billed: number};

function createSimulation(seed: number): Simulation {
	const simulation = new Simulation({
		seed, dataCentres: {[callerDataCentre]: 'alpen-west', [engineDataCentre]: 'lage-landen'}, network: {linkBitsPerSecond}, recordsEvents: false,
	});
	for (let index = 0; index < engines; index++) {
		simulation.addEngine({upstream: `engine-${index}` as UpstreamId, pool, dataCentre: engineDataCentre});
	}

	simulation.tables.seed('configuration', 'current', simulation.encodeConfigurationRow({members: {inspectors: {}, planner: {}}, pool: {maxWindow: 32}}));
	for (const [index, dataCentre] of [callerDataCentre, callerDataCentre, engineDataCentre, engineDataCentre].entries()) {
		simulation.addDaemon({daemon: `daemon-${index}` as DaemonId, dataCentre});
	}

	simulation.publishVms();
	simulation.queue.runUntil(startMs);
	return simulation;
}

function runOnce(variant: Variant, seed: number, hasTrainers: boolean): LinkRunResult {
	const simulation = createSimulation(seed);
	const collector = new Collector(simulation.recorder, () => simulation.queue.now);
	const entries = [...simulation.daemons.values()].filter(daemon => daemon.dataCentre === callerDataCentre);
	const billed = (): number => sum(simulation.network.linkBytes.values());
	const before = billed();
	const generateLoad = (perSecond: number, createSpec: (index: number) => RequestSpec): void => {
		const random = simulation.random.fork();
		let index = 0;
		const scheduleNext = (): void => {
			if (simulation.queue.now >= startMs + endMs) {
				return;
			}

			const next = createSpec(index);
			collector.recordSend({
				requestId: createRequest(next).requestId, job: next.key, member: next.member, requestClass: next.requestClass, deadlineMs: next.deadlineMs,
			});
			entries[index++ % entries.length]!.call(createRequest(next));
			simulation.queue.schedule(random.exponential(1000 / perSecond), scheduleNext);
		};

		scheduleNext();
	};

	generateLoad(livePerSecond, index => ({
		member: 'inspectors', requestClass: 'live', key: `live${index}`, job, deadlineMs: 10_000, bodyBytes: liveBodyBytes,
	}));
	if (hasTrainers) {
		const requestClass = variant.kind === 'policy' && variant.hasNoClasses === true ? 'live' : 'training';
		generateLoad(trainingLoad * linkBitsPerSecond / 8 / trainingBodyBytes, index => ({
			member: 'planner', requestClass, key: `train${index}`, job, deadlineMs: 10_000, bodyBytes: trainingBodyBytes,
		}));
	}

	simulation.queue.runUntil(startMs + endMs + 15_000);
	const calls = collector.list();
	return {live: calls.filter(call => call.member === 'inspectors'), calls, billed: billed() - before};
}

function run(variant: Variant, seed: number): RunResult {
	const busy = runOnce(variant, seed, true);
	const quiet = runOnce(variant, seed, false);
	const p99 = quantile(busy.live.map(call => latencyMs(call)), 0.99);
	const quietP99 = quantile(quiet.live.map(call => latencyMs(call)), 0.99);
	// The minimum: each body that led to a complete response crosses the link once, and so do the tokens of that response.
	const minimumBytes = sum(busy.calls.filter(call => call.result === 'completed').map(call => (call.member === 'inspectors' ? liveBodyBytes : trainingBodyBytes) + (tokenBytes * call.tokens)));
	return {
		figures: {
			ratio: p99 / quietP99, billed: busy.billed / minimumBytes, p99, quietP99, failed: 100 * busy.live.filter(call => call.result !== 'completed').length / busy.live.length,
		},
		worst: describeSlowest(busy.live),
	};
}

export const link: MeasurementCase = {
	name: 'link',
	setting: `callers in one region, ${engines} engines in the other, link of 30 Mb/s with bodies of 20 kB (both a tenth of the real ones), trainers offer ${100 * trainingLoad}% of the link`,
	figures: [
		{key: 'ratio', title: 'live p99 / quiet', digits: 2},
		{key: 'billed', title: 'bytes billed / needed', digits: 2},
		{key: 'p99', title: 'p99 ms', digits: 0},
		{key: 'quietP99', title: 'quiet p99 ms', digits: 0},
		{key: 'failed', title: 'live failed %', digits: 1},
	],
	bounds: [{figure: 'ratio', comparison: 'at most', limit: 1.2}, {figure: 'billed', comparison: 'at most', limit: 1.1}, failureRateBound],
	variants: [policy, withoutClasses],
	run,
};
