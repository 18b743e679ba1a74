import {
	TableFollower, type ChangesOutcome, type ReadOutcome, RowStore, type RowRange, type Transaction, type TransactionOutcome,
} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	Clock, type BatchId, type DaemonIncarnation, type ItemId, type Millis, type ModelId,
} from '@cicadapost/types';
import {
	describe, expect, it, vi,
} from 'vitest';
import {BatchCache} from './batch-cache.js';
import type {BatchPlan} from './batch.js';
import {CommitQueue} from './commit-queue.js';
import {
	batchTable, claimKey, encodeClaims, encodePlan, planKey, resultTable,
} from './encode-rows.js';

const batch = 'b1' as BatchId;
const daemons = 24;
const roundTripMs = 10;

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

/** A store at the other end of a slow link, which counts transactions. */
class DistantStore extends RowStore {
	transactions = 0;

	constructor(private readonly store: MemoryRowStore) {
		super();
	}

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		this.transactions += 1;
		await this.delay();
		const outcome = await this.store.transact(transaction);
		await this.delay();
		return outcome;
	}

	override async read(range: RowRange): Promise<ReadOutcome> {
		return this.store.read(range);
	}

	override async parts(table: string): Promise<readonly string[] | undefined> {
		return this.store.parts(table);
	}

	override async changes(options: Readonly<{table: string; after: number; waitMs: Millis}>): Promise<ChangesOutcome> {
		return this.store.changes(options);
	}

	private async delay(): Promise<void> {
		return new Promise(resolve => {
			setTimeout(resolve, roundTripMs / 2);
		});
	}
}

describe('CommitQueue', () => {
	describe('with one batch that many engines run at the same time', () => {
		const plan: BatchPlan = {
			host: 'h', path: '/p/', step: 1, model: 'draft' as ModelId, minVersion: 1, targetGroups: daemons, submittedAt: 0,
			groups: Array.from({length: daemons}, (_, group) => ({items: [{id: `i${group}` as ItemId, expectedTokens: 100}]})),
		};

		const startDaemon = async (memory: MemoryRowStore, store: RowStore, name: string) => {
			const follower = new TableFollower({store, clock: new TestClock(), table: batchTable});
			const batchCache = new BatchCache();
			follower.on('changed', changes => {
				batchCache.apply(changes);
			});
			follower.mergeRows(memory.all().filter(row => row.table === batchTable));
			return new CommitQueue({
				clock: new TestClock(), store, follower, batchCache, incarnation: name as DaemonIncarnation, onCommitFailure: vi.fn(),
			});
		};

		it('lists results that end together without conflicts, so that daemons far from the store do not wait for all others', async () => {
			const memory = new MemoryRowStore();
			await memory.transact({
				part: batch,
				writes: [
					{table: batchTable, key: planKey, value: encodePlan(plan)},
					...plan.groups.map((_, group) => ({
						table: batchTable,
						key: claimKey(group),
						value: encodeClaims([{
							kind: 'running', failures: 0, hasPartialText: false, incarnation: `d${group}`, engine: `e${group}`,
						}]),
					})),
				],
			});
			const store = new DistantStore(memory);
			const queues = await Promise.all(plan.groups.map(async (_, group) => startDaemon(memory, store, `d${group}`)));
			for (const [group, queue] of queues.entries()) {
				queue.push(batch, {
					group, item: 0, kind: 'result', result: {
						id: `i${group}` as ItemId, state: 'completed', output: 'x', versions: [1],
					},
				});
			}

			await vi.waitUntil(() => queues.every(queue => queue.isIdle), {timeout: 10_000});
			expect(memory.all().filter(row => row.table === resultTable)).toHaveLength(daemons);
			expect(store.transactions).toBe(daemons);
		});
	});
});
