import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {RateLimiter, type RequestLimits} from '@cicadapost/rate-limits';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {encodeList, TableCopy} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	Clock, type BatchId, type DaemonId, type DataCentreId, type ItemId, type Millis, type ModelId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {BatchCache} from './batch-cache.js';
import type {BatchPlan} from './batch.js';
import {
	batchTable, bodyTable, encodeBodies, encodePlan, planKey,
} from './encode-rows.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import type {ItemOutcome} from './plan-commit.js';
import {SampleRunner} from './run-samples.js';

const batch = 'b1' as BatchId;
const engine: UpstreamRecord = {
	id: 'e1' as UpstreamId, service: 's' as ServiceId, address: '10.0.0.1:80', dataCentre: 'a' as DataCentreId, slots: 4, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
	warmUpMs: 0, models: new Map(), bornAt: 0,
};
const items = ['i0', 'i1'] as ItemId[];
const plan: BatchPlan = {
	host: 'h', path: '/p/', step: 1, model: 'draft' as ModelId, minVersion: 3, targetGroups: 1, submittedAt: 0, groups: [{items: items.map(id => ({id, expectedTokens: 100}))}],
};

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

/** Keeps the handlers of each run, so that a test can script the behaviour of the engine. */
class ScriptedEngineClient extends EngineClient {
	readonly runs: Array<{call: SampleCall; handlers: SampleHandlers; isAborted: boolean}> = [];

	override run(call: SampleCall, handlers: SampleHandlers): SampleRun {
		const run = {call, handlers, isAborted: false};
		this.runs.push(run);
		return {
			abort() {
				run.isAborted = true;
			},
		};
	}
}

let client: ScriptedEngineClient;
let store: MemoryRowStore;
let outcomes: ItemOutcome[];
let reportedVersions: number[];
let runner: SampleRunner;

async function startRunner(limits: RequestLimits): Promise<void> {
	client = new ScriptedEngineClient();
	outcomes = [];
	reportedVersions = [];
	store = new MemoryRowStore();
	const bodies = items.map(id => ({
		id, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 100, group: 'g0', expectedTokens: 100,
	}));
	await store.transact({
		part: batch,
		writes: [{table: batchTable, key: planKey, value: encodePlan(plan)}, ...encodeBodies([bodies]).map(row => ({...row, table: bodyTable}))],
	});
	const batchCache = new BatchCache();
	batchCache.apply(store.all().filter(row => row.table === batchTable).map(row => ({kind: 'written', row})));
	const directory = new UpstreamDirectory();
	directory.upsert(engine);
	runner = new SampleRunner({
		clock: new TestClock(),
		store,
		batchCache,
		directory,
		client,
		limits,
		commits: {
			push(_batch, outcome) {
				outcomes.push(outcome);
			},
		},
		rulesOf: () => ({maxAttempts: 3, isSingleVersion: false, runMs: 60_000}),
		isLoading: () => false,
		onVersion(_engine, _batch, version) {
			reportedVersions.push(version);
		},
		onTextComplete: vi.fn(),
		onUnreadableRow: vi.fn(),
		onSlotFreed() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onRunReport() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	await runner.start(engine, {batch, group: 0, items: [0, 1]});
}

beforeEach(async () => {
	vi.useFakeTimers();
	await startRunner(new UnlimitedRequests());
});

afterEach(() => {
	runner.stop();
	vi.useRealTimers();
});

describe('SampleRunner', () => {
	describe('an engine that limits its rate', () => {
		const requestsPerSecond = 2;

		/** Refuses each run and names the limit. Returns the times at which runs arrived. */
		const refuseRuns = async (durationMs: Millis) => {
			const arrivals: Millis[] = [];
			for (const endAt = Date.now() + durationMs; Date.now() < endAt;) {
				for (const {handlers} of client.runs.splice(0)) {
					arrivals.push(Date.now());
					handlers.onLimit(requestsPerSecond);
					handlers.onEnd({kind: 'not-run', status: 503});
				}

				await vi.advanceTimersByTimeAsync(10);
			}

			return arrivals;
		};

		const mostIn4Seconds = (arrivals: readonly Millis[]) => Math.max(...arrivals.map(start => arrivals.filter(at => at >= start && at < start + 4000).length));

		const startLimitedRunner = async () => {
			runner.stop();
			await startRunner(new RateLimiter({
				clock: new TestClock(),
				store: new MemoryRowStore(),
				follower: {
					copy: new TableCopy('fleet'), on: vi.fn(), mergeRows: vi.fn(), storeTime: now => now, connectedFor: () => 0,
				},
				self: 'd1' as DaemonId,
				daemons: () => ['d1' as DaemonId],
				isListed: () => true,
				isOwner: () => false,
				onLimitReport: vi.fn(),
				onLimitedSend: vi.fn(),
			}));
		};

		it('gets more than its limit from refused samples if they are sent again without a turn, so that the next case can fail', async () => {
			expect(mostIn4Seconds(await refuseRuns(8000))).toBeGreaterThan((requestsPerSecond * 4 * 1.5) + 5);
		});

		it('gets refused samples again within its limit', async () => {
			await startLimitedRunner();
			expect(mostIn4Seconds(await refuseRuns(8000))).toBeLessThanOrEqual((requestsPerSecond * 4) + 2);
		});

		it('does not count as silent while a sample waits for its turn', async () => {
			await startLimitedRunner();
			const refuse = ({handlers}: (typeof client.runs)[number]) => {
				handlers.onLimit(0.6);
				handlers.onEnd({kind: 'not-run', status: 503});
			};

			client.runs[1]!.handlers.onEnd({kind: 'impossible'});
			refuse(client.runs[0]!);
			await vi.advanceTimersByTimeAsync(100);
			refuse(client.runs[2]!);
			await vi.advanceTimersByTimeAsync(1500);
			expect(client.runs).toHaveLength(3);
			expect(runner.watch.isSuspended(engine.id, Date.now())).toBe(false);
			await vi.advanceTimersByTimeAsync(500);
			expect(client.runs).toHaveLength(4);
		});
	});

	it('releases a sample that was refused and sent again if its events stop, so that it does not hang', async () => {
		client.runs[0]!.handlers.onEnd({kind: 'not-run', status: 429});
		await vi.advanceTimersByTimeAsync(100);
		expect(client.runs).toHaveLength(3);
		const again = client.runs.at(-1);
		again!.handlers.onStart(3);
		again!.handlers.onEvent({id: 0, data: 'x', version: 3});
		// The events of the other run keep the engine as a whole from counting as silent.
		for (let id = 0; id < 200; id++) {
			client.runs[1]!.handlers.onEvent({id, data: 'y', version: 3});
			await vi.advanceTimersByTimeAsync(50);
		}

		expect(again!.isAborted).toBe(true);
		expect(outcomes.map(({kind}) => kind)).toContain('released');
	});

	it('reports a version that an event announces, so that a load does not count as in progress until it times out', () => {
		const [{handlers}] = client.runs as [(typeof client.runs)[number]];
		handlers.onStart(3);
		handlers.onEvent({id: 0, data: 'x', version: undefined});
		handlers.onEvent({id: 1, data: 'x', version: 4});
		expect(reportedVersions).toEqual([3, 4]);
	});

	it('releases samples whose bodies can\'t be read, so that an unreadable row ends no daemon', async () => {
		const rows = [{table: bodyTable, key: '000000/000000-000001', value: encodeList([['i0', '/p/', 7, 'no bytes']])}];
		await store.transact({part: batch, writes: rows});
		outcomes = [];
		await runner.start(engine, {batch, group: 0, items: [0, 1]});
		expect(outcomes.map(({kind}) => kind)).toEqual(['released', 'released']);
		expect(runner.countStartingAt(engine.id)).toBe(0);
	});
});
