import {EventEmitter} from 'node:events';
import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	type BatchId, type DaemonIncarnation, type DataCentreId, type ItemId, type ModelId, type ServiceId, type SoftwareVersion, SystemClock, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {BatchCache} from './batch-cache.js';
import {BatchService} from './batch-service.js';
import {ClaimWorker} from './claim-work.js';
import {CommitQueue} from './commit-queue.js';
import {batchTable} from './encode-rows.js';
import {
	EngineClient, type RunEnd, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import {SampleRunner} from './run-samples.js';

const batch = 'b1' as BatchId;
const model = 'draft' as ModelId;
const unlucky = 'i0' as ItemId;

/** Engines that crash while they run one item, and complete all others. */
class CrashingEngines extends EngineClient {
	readonly runs: string[] = [];

	constructor(private readonly crashes: RunEnd[]) {
		super();
	}

	override run(call: SampleCall, handlers: SampleHandlers): SampleRun {
		this.runs.push(call.item);
		const crash = call.item === unlucky ? this.crashes.shift() : undefined;
		const timer = setTimeout(() => {
			handlers.onStart(1);
			if (crash !== undefined) {
				handlers.onEnd(crash);
				return;
			}

			handlers.onEvent({id: 0, data: 'x', version: undefined});
			handlers.onEnd({kind: 'complete'});
		}, 2);
		return {
			abort() {
				clearTimeout(timer);
			},
		};
	}
}

describe('a burst of crashes', () => {
	const cleanups: Array<() => void> = [];

	afterEach(() => {
		for (const cleanup of cleanups.splice(0)) {
			cleanup();
		}
	});

	/** Starts a daemon that owns all engines. */
	const start = (client: EngineClient, maxAttempts: number) => {
		const clock = new SystemClock();
		const store = new MemoryRowStore({now: () => clock.now()});
		const follower = new TableFollower({
			store, clock, table: batchTable, waitMs: 50,
		});
		const batchCache = new BatchCache();
		const directory = new UpstreamDirectory();
		for (const id of ['e1', 'e2', 'e3', 'e4'] as UpstreamId[]) {
			directory.upsert({
				id, service: 'lm' as ServiceId, address: '127.0.0.1:1', dataCentre: 'dc' as DataCentreId, slots: 2, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
				warmUpMs: 0, models: new Map([[model, 1]]), bornAt: 1,
			});
		}

		const incarnation = 'd1#1' as DaemonIncarnation;
		const commits = new CommitQueue({
			clock, store, follower, batchCache, incarnation, onCommitFailure: vi.fn(),
		});
		const freed = new EventEmitter();
		const runner = new SampleRunner({
			clock, store, batchCache, directory, client, limits: new UnlimitedRequests(), commits,
			rulesOf: () => ({maxAttempts, isSingleVersion: false, runMs: 60_000}), isLoading: () => false, onVersion: vi.fn(),
			onSlotFreed() {
				freed.emit('slot');
			},
			onTextComplete: vi.fn(),
			onUnreadableRow: vi.fn(),
			onRunReport: vi.fn(),
		});
		const worker = new ClaimWorker({
			clock, store, follower, batchCache, directory, runner, limits: new UnlimitedRequests(), commits, incarnation,
			ownedEngines: () => [...directory.all()],
			isAlive: () => true,
			versionsOf: (engine: UpstreamRecord) => engine.models,
			dueAt: view => view.plan.submittedAt + 7500,
			storeTime: () => follower.storeTime(clock.now()),
			onPlanned: vi.fn(),
			onClaimed: vi.fn(),
		});
		freed.on('slot', () => {
			worker.wake();
		});
		follower.on('changed', changes => {
			batchCache.apply(changes);
			worker.wake();
		});
		follower.start();
		cleanups.push(() => {
			follower.stop();
			worker.stop();
			runner.stop();
		});
		return {
			follower, service: new BatchService({
				clock, store, follower, batchCache, storeTime: () => follower.storeTime(clock.now()),
			}),
		};
	};

	const crashesOf = (count: number): RunEnd[] => Array.from({length: count}, (_, index) => (index % 4 === 3
		? {kind: 'unreachable', cause: 'ECONNREFUSED'}
		: {kind: 'broken', cause: 'ECONNRESET'}));

	it('that ends many engines under the same item leaves it owed: it is placed again and completed', async () => {
		const client = new CrashingEngines(crashesOf(12));
		const {follower, service} = start(client, 3);
		await vi.waitUntil(() => follower.isLoaded);
		const items = [unlucky, 'i1', 'i2', 'i3'].map(id => ({
			id: id as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: 'g0', expectedTokens: 10,
		}));
		await service.submit({
			id: batch, host: 'h', path: '/p/', step: 0, model, minVersion: 1, targetGroups: 1, items,
		});
		await vi.waitUntil(() => client.runs.filter(id => id === unlucky).length === 13, {timeout: 20_000});
		await vi.waitUntil(async () => {
			const read = await service.results(batch, {after: 0, waitMs: 0, signal: new AbortController().signal});
			return read.kind === 'page' && read.page.results.length === items.length && read.page.results.every(result => result.state === 'completed');
		}, {timeout: 5000});
	}, 30_000);
});
