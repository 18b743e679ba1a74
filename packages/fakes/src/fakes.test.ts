import type {
	AttemptId, Chunk, DaemonId, DataCentreId, Fingerprint, MemberId, PoolId, RequestId, UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	createJob, jobPayload, tokensPerSecond, tokenText, Simulation, type CallerRequest, type FakeDaemon, type Observation,
} from './index.js';

const dataCentres = {west: 'alpen', east: 'lage'};

function request(key: string, tokens = 20): CallerRequest {
	return {
		requestId: `r-${key}` as RequestId, member: 'm' as MemberId, requestClass: 'live', pool: 'p' as PoolId, promptTokens: 32, maxTokens: 64,
		idempotent: true, fingerprint: key as Fingerprint, prefixKey: '', payload: jobPayload(createJob({key, tokens})), bodyHash: key, mixedVersions: false, remainingMs: 5000,
	};
}

function createSimulation(seed: number): {simulation: Simulation; daemons: FakeDaemon[]} {
	const simulation = new Simulation({seed, dataCentres, network: {linkBitsPerSecond: 1e6}});
	for (const upstream of ['e1', 'e2']) {
		simulation.addEngine({upstream: upstream as UpstreamId, pool: 'p' as PoolId, dataCentre: 'west' as DataCentreId});
	}

	simulation.tables.seed('configuration', 'current', simulation.encodeConfigurationRow({members: {m: {}}}));
	const daemons = [['d1', 'west'], ['d2', 'west'], ['d3', 'east']].map(([daemon, dataCentre]) => simulation.addDaemon({daemon: daemon as DaemonId, dataCentre: dataCentre as DataCentreId}));
	simulation.publishVms();
	simulation.queue.runUntil(3000);
	return {simulation, daemons};
}

function observationKinds(events: readonly Observation[], requestId: string): string[] {
	return events.filter(event => 'requestId' in event && event.requestId === requestId).map(event => event.kind);
}

function deliveredText(events: readonly Observation[], requestId: string): string {
	return events.flatMap(event => (event.kind === 'caller-chunk' && event.requestId === requestId ? [event.chunk.text] : [])).join('');
}

function expectedText(key: string, tokens: number): string {
	return Array.from({length: tokens}, (_, offset) => tokenText(key, offset)).join('');
}

describe('Simulation', () => {
	it('records the same observations for the same seed, so that failures can be replayed', () => {
		const run = (seed: number): string => {
			const {simulation, daemons} = createSimulation(seed);
			Object.assign(simulation.network.faults, {lossRate: 0.1, duplicationRate: 0.2, maxReorderDelayMs: 30});
			for (let index = 0; index < 30; index++) {
				daemons[index % 3]!.call(request(`k${index}`));
			}

			simulation.queue.schedule(100, () => {
				daemons[0]!.restart();
			});
			simulation.queue.runUntil(9000);
			return JSON.stringify(simulation.recorder.events);
		};

		expect(run(7)).toBe(run(7));
		expect(run(7)).not.toBe(run(8));
	});

	it('completes a request on an engine in another region and counts the bytes on the link', () => {
		const {simulation, daemons} = createSimulation(1);
		const before = simulation.network.linkBytes.get('alpen>lage') ?? 0;
		daemons[2]!.call(request('far'));
		simulation.queue.runUntil(6000);
		expect(observationKinds(simulation.recorder.events, 'r-far').at(-1)).toBe('caller-completed');
		expect(deliveredText(simulation.recorder.events, 'r-far')).toBe(expectedText('far', 20));
		expect((simulation.network.linkBytes.get('alpen>lage') ?? 0) - before).toBeGreaterThan(100);
	});
});

describe('FakeEngine', () => {
	it('generates tokens at the rate that tokensPerSecond() computes, on which load tests rely', () => {
		const {simulation} = createSimulation(1);
		const engine = simulation.engines.get('e1' as UpstreamId)!;
		const chunks: Chunk[] = [];
		for (let index = 0; index < engine.speed.maxBatch; index++) {
			engine.open(`a${index}` as AttemptId, createJob({key: `k${index}`, tokens: 100_000, promptTokens: 0}), 0, {
				chunk: chunk => chunks.push(chunk), finished: () => undefined, failed: () => undefined,
			});
		}

		simulation.queue.runUntil(simulation.queue.now + 10_000);
		expect(engine.tokensGenerated / 10).toBeCloseTo(tokensPerSecond(engine.speed), -2);
	});

	it('continues the same text after a resume, with the current weight version', () => {
		const {simulation} = createSimulation(1);
		const engine = simulation.engines.get('e1' as UpstreamId)!;
		const chunks: Chunk[] = [];
		engine.loadVersion(2, 1);
		engine.open('a' as AttemptId, createJob({key: 'k', tokens: 12}), 5, {
			chunk: chunk => chunks.push(chunk), finished: () => undefined, failed: () => undefined,
		});
		simulation.queue.runUntil(simulation.queue.now + 5000);
		expect(chunks.map(chunk => chunk.text).join('')).toBe(expectedText('k', 12).slice(expectedText('k', 5).length));
		expect(new Set(chunks.map(chunk => chunk.version))).toEqual(new Set([2]));
	});

	it('breaks all connections when it runs a poison request', () => {
		const {simulation} = createSimulation(1);
		const engine = simulation.engines.get('e1' as UpstreamId)!;
		const failures: string[] = [];
		const sink = {chunk: () => undefined, finished: () => undefined, failed: (failure: string) => failures.push(failure)};
		engine.open('a' as AttemptId, createJob({key: 'bystander', tokens: 1000}), 0, sink);
		engine.open('b' as AttemptId, createJob({key: 'poison', isPoison: true}), 0, sink);
		simulation.queue.runUntil(simulation.queue.now + 1000);
		expect(failures).toEqual(['upstream-died', 'upstream-died']);
		expect(engine.isAlive).toBe(false);
	});
});

describe('FakeDaemon', () => {
	it('disconnects its callers when killed and accepts requests again after a restart', () => {
		const {simulation, daemons} = createSimulation(1);
		daemons[0]!.call(request('cut', 1000));
		simulation.queue.runUntil(simulation.queue.now + 50);
		daemons[0]!.restart();
		simulation.queue.runUntil(simulation.queue.now + 2000);
		daemons[0]!.call(request('again'));
		simulation.queue.runUntil(simulation.queue.now + 3000);
		expect(observationKinds(simulation.recorder.events, 'r-cut').at(-1)).toBe('caller-cut');
		expect(observationKinds(simulation.recorder.events, 'r-again').at(-1)).toBe('caller-completed');
	});

	it('executes the deferred actions of an interrupted event when it resumes, as a suspended process does', () => {
		const {simulation, daemons} = createSimulation(1);
		daemons[0]!.pause({defersActions: true});
		daemons[0]!.call(request('held'));
		simulation.queue.runUntil(simulation.queue.now + 1000);
		expect(daemons[0]!.status).toBe('paused');
		daemons[0]!.resume();
		simulation.queue.runUntil(simulation.queue.now + 3000);
		expect(observationKinds(simulation.recorder.events, 'r-held').at(-1)).toBe('caller-completed');
	});
});

describe('FakeTableService', () => {
	it('applies a write whose response is lost; otherwise this fault would be the same as an outage', () => {
		const {simulation} = createSimulation(1);
		simulation.tables.faults.lostResponseRate = 1;
		const answers: string[] = [];
		simulation.tables.compareAndSet('test', {
			table: 't', key: 'k', expectedVersion: 0, value: 'v',
		}, answer => answers.push(answer.kind));
		simulation.queue.runUntil(simulation.queue.now + 5000);
		expect(answers).toEqual(['unavailable']);
		expect(simulation.tables.current('t', 'k')).toEqual({version: 1, value: 'v'});
	});
});
