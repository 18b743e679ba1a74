import {UpstreamDirectory} from '@cicadapost/fleet';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	type BatchId, type ItemId, type ModelId, SystemClock,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import {
	EngineClient, type RunEnd, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';

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
		const directory = new UpstreamDirectory();
		for (const id of ['e1', 'e2', 'e3', 'e4']) {
			directory.upsert(engineRecord(id));
		}

		const clock = new SystemClock();
		const daemon = new BatchDaemon({
			store: new MemoryRowStore({now: () => clock.now()}), client, directory, maxAttempts,
		});
		cleanups.push(() => {
			daemon.stop();
		});
		return daemon;
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
