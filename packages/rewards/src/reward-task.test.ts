import {
	BatchCache, batchTable, bodyTable, claimKey, CommitQueue, decodeClaims, decodeResults, encodeBodies, encodeClaims, encodePlan, endKey, listingTable, orderResults, planKey, resultTable,
	type BatchPlan, type ItemClaim, type RewardCall, type SampleText,
} from '@cicadapost/batches';
import type {Route} from '@cicadapost/forwarding';
import {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	Clock, type BatchId, type DaemonIncarnation, type ItemId, type Millis, type ModelId, type RequestId, type SoftwareVersion,
} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {RewardSender, type SendOptions} from './reward-sender.js';
import {maxPlanAgeMs, RewardTask, type RewardReport} from './reward-task.js';

// Vitest's fake timers don't cover this module.
vi.mock('node:timers/promises', () => ({
	async setTimeout(ms: Millis, value: unknown, options?: Readonly<{signal?: AbortSignal}>) {
		return new Promise((resolve, reject) => {
			setTimeout(resolve, ms, value);
			options?.signal?.addEventListener('abort', () => {
				reject(new Error('aborted'));
			});
		});
	},
}));

const batch = 'b1' as BatchId;
const ids = ['i0', 'i1'] as ItemId[];
const rewardOf = (id: string): RewardCall => ({
	id: `reward-${id}` as RequestId, host: 'h', path: '/score/', body: new Uint8Array([1, 2]),
});
const plan: BatchPlan = {
	host: 'h', path: '/p/', step: 1, model: 'draft' as ModelId, minVersion: 3, targetGroups: 1, submittedAt: 0, hasRewards: true,
	groups: [{items: ids.map(id => ({id, expectedTokens: 100}))}],
};
const text: SampleText = {
	events: ['a', 'b'], lastEventId: 1, versions: [3], softwareVersion: 'v1' as SoftwareVersion,
};
const route: Route = {
	name: 'score', host: 'h', prefix: '/score/', kind: 'idempotent', services: [], timeoutMs: 2000, targetLatencyMs: 500, maxAttempts: 2, priority: 0, isResumable: false,
	batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false,
};

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

/** Keeps each call, so that a test can script its end. */
class ScriptedSender extends RewardSender {
	readonly calls: Array<SendOptions & {call: RewardCall; isCancelled: boolean}> = [];

	override send(call: RewardCall, options: SendOptions): () => void {
		const sent = {...options, call, isCancelled: false};
		this.calls.push(sent);
		return () => {
			sent.isCancelled = true;
		};
	}
}

class TestDaemon {
	readonly sender = new ScriptedSender();
	readonly reports: RewardReport[] = [];
	readonly commits: CommitQueue;
	readonly task: RewardTask;
	readonly follower: TableFollower;
	private readonly batchCache = new BatchCache();

	constructor(store: MemoryRowStore, name: string, alive: ReadonlySet<string>) {
		const clock = new TestClock();
		const incarnation = name as DaemonIncarnation;
		this.follower = new TableFollower({store, clock, table: batchTable});
		this.follower.on('changed', changes => {
			this.batchCache.apply(changes);
			this.task.wake();
		});
		this.commits = new CommitQueue({
			clock, store, follower: this.follower, batchCache: this.batchCache, incarnation, onCommitFailure: vi.fn(),
		});
		this.task = new RewardTask({
			clock, store, follower: this.follower, batchCache: this.batchCache, commits: this.commits, incarnation, sender: this.sender,
			rulesOf: () => ({maxAttempts: 3, dueAt: 8000}),
			routeOf: () => route,
			shareOf: () => ({maxInFlight: 8, pauseFactor: 0}),
			isAlive: other => alive.has(other),
			isResponsible: (key, waitedMs) => alive.has(name) && isResponsible(key, waitedMs),
			onReport: report => {
				this.reports.push(report);
			},
			onTakeover: vi.fn(),
			onUnreadableRow: vi.fn(),
		});
		this.follower.start();
	}

	/** Ends the text of an item like a run of the sample does. */
	completeText(item: number): void {
		this.commits.push(batch, {
			group: 0, item, kind: 'text-complete', failures: 0, text,
		});
		this.task.add({
			batch, group: 0, item, id: ids[item]!, text, reward: rewardOf(ids[item]!), isStored: true,
		});
	}

	stop(): void {
		this.task.stop();
		this.follower.stop();
	}
}

let store: MemoryRowStore;
let alive: Set<string>;
let isResponsible: (key: string, waitedMs: number) => boolean;
let daemon: TestDaemon;

const running = (incarnation: string): ItemClaim => ({
	kind: 'running', failures: 0, hasPartialText: false, incarnation, engine: 'e',
});

const claims = () => decodeClaims(store.all().find(row => row.table === batchTable && row.key === claimKey(0))!.value);

const results = () => {
	const references = orderResults(store.all().filter(row => row.table === listingTable));
	return decodeResults(store.all().filter(row => row.table === resultTable), references);
};

const settle = async (ms = 100) => vi.advanceTimersByTimeAsync(ms);

beforeEach(async () => {
	vi.useFakeTimers();
	store = new MemoryRowStore();
	isResponsible = () => true;
	alive = new Set(['d1', 'd2']);
	const items = ids.map(id => ({
		id, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 100, group: 'g', expectedTokens: 100, reward: rewardOf(id),
	}));
	await store.transact({
		part: batch,
		writes: [
			{table: batchTable, key: planKey, value: encodePlan(plan)},
			{table: batchTable, key: claimKey(0), value: encodeClaims([running('d1'), running('d1')])},
			...encodeBodies([items]).map(row => ({...row, table: bodyTable})),
		],
	});
	daemon = new TestDaemon(store, 'd1', alive);
	await settle();
});

afterEach(() => {
	daemon.stop();
	vi.useRealTimers();
});

describe('RewardTask', () => {
	it('sends the call only after the store has the text, so that no daemon can forget a text whose call was sent', async () => {
		store.fault = 'down';
		daemon.completeText(0);
		await settle(2000);
		expect(daemon.sender.calls).toHaveLength(0);
		store.fault = 'none';
		await settle(1000);
		expect(claims()[0]).toMatchObject({kind: 'rewarding', incarnation: 'd1'});
		expect(daemon.sender.calls.map(({call}) => call)).toEqual([rewardOf('i0')]);
	});

	it('lists the sample with the score, once', async () => {
		daemon.completeText(0);
		await settle();
		daemon.sender.calls[0]!.onEnd({kind: 'scored', score: 'signature'});
		await settle();
		expect(results()).toEqual([{
			id: 'i0', state: 'completed', output: 'a\nb', versions: [3], score: 'signature',
		}]);
		expect(daemon.task.count).toBe(0);
		await settle(2000);
		expect(daemon.sender.calls).toHaveLength(1);
	});

	it('terminates a sample whose call fails at each attempt, without a score', async () => {
		daemon.completeText(0);
		for (let attempt = 0; attempt < 3; attempt++) {
			await settle();
			expect(results()).toEqual([]);
			daemon.sender.calls.at(-1)!.onEnd({kind: 'answered', status: 500});
		}

		await settle();
		expect(results()).toMatchObject([{id: 'i0', state: 'terminated'}]);
		expect(results()[0]).not.toHaveProperty('score');
		expect(daemon.sender.calls).toHaveLength(3);
	});

	it('goes on if the response to the transaction that stored the text was lost', async () => {
		store.fault = 'answers-lost';
		daemon.completeText(0);
		await settle(40);
		store.fault = 'none';
		await settle(400);
		expect(daemon.sender.calls).toHaveLength(1);
	});

	it('lists one result if the response to the transaction that listed it was lost', async () => {
		daemon.completeText(0);
		await settle();
		store.fault = 'answers-lost';
		daemon.sender.calls[0]!.onEnd({kind: 'scored', score: 'signature'});
		await settle(40);
		store.fault = 'none';
		await settle(1500);
		expect(results()).toHaveLength(1);
		expect(daemon.sender.calls).toHaveLength(1);
	});

	describe('a batch that is over', () => {
		const endBatch = async () => store.transact({part: batch, writes: [{table: batchTable, key: endKey, value: new Uint8Array([1])}]});

		it('gets no further call, and the one in flight is cancelled', async () => {
			daemon.completeText(0);
			await settle();
			await endBatch();
			await settle();
			expect(daemon.sender.calls[0]!.isCancelled).toBe(true);
			daemon.completeText(1);
			await settle(2000);
			expect(daemon.sender.calls).toHaveLength(1);
			expect(daemon.task.count).toBe(0);
		});

		it('gets no further call from a daemon that can\'t see whether it is over', async () => {
			daemon.completeText(0);
			await settle();
			store.fault = 'down';
			await settle(maxPlanAgeMs + 1000);
			daemon.sender.calls[0]!.onEnd({kind: 'timed-out'});
			await settle(5000);
			expect(daemon.sender.calls).toHaveLength(1);
			store.fault = 'none';
			await settle(1000);
			expect(daemon.sender.calls).toHaveLength(2);
		});
	});

	describe('a daemon that dies', () => {
		let other: TestDaemon;

		beforeEach(async () => {
			other = new TestDaemon(store, 'd2', alive);
			await settle();
		});

		afterEach(() => {
			other.stop();
		});

		const kill = () => {
			daemon.stop();
			alive.delete('d1');
		};

		it.each([
			['before the call is sent', 30],
			['while the call is in flight', 100],
		])('%s costs neither the text nor a second run: another daemon sends the call', async (_, ms) => {
			daemon.completeText(0);
			await settle(ms);
			kill();
			await settle(1000);
			expect(claims()[0]).toMatchObject({kind: 'rewarding', incarnation: 'd2'});
			other.sender.calls[0]!.onEnd({kind: 'scored', score: 'other'});
			await settle();
			expect(results()).toMatchObject([{
				id: 'i0', state: 'completed', output: 'a\nb', score: 'other',
			}]);
		});

		it('leaves its texts to another one also if no daemon takes itself for the responsible one', async () => {
			isResponsible = (_, waitedMs) => waitedMs >= 3000;
			daemon.completeText(0);
			await settle();
			kill();
			await settle(2500);
			expect(other.sender.calls).toEqual([]);
			await settle(1500);
			expect(other.sender.calls).toHaveLength(1);
		});

		it('after the response and before the commit leaves one result', async () => {
			daemon.completeText(0);
			await settle();
			store.fault = 'down';
			daemon.sender.calls[0]!.onEnd({kind: 'scored', score: 'first'});
			await settle(50);
			kill();
			store.fault = 'none';
			await settle(2000);
			for (const call of other.sender.calls) {
				call.onEnd({kind: 'scored', score: 'second'});
			}

			await settle();
			expect(results()).toHaveLength(1);
		});

		it('only in the view of the others leaves one result, and no position changes', async () => {
			daemon.completeText(0);
			daemon.completeText(1);
			await settle();
			alive.delete('d1');
			await settle(1000);
			expect(other.sender.calls).toHaveLength(2);
			expect(daemon.sender.calls.every(({isCancelled}) => isCancelled)).toBe(true);
			for (const call of [...other.sender.calls, ...daemon.sender.calls]) {
				call.onEnd({kind: 'scored', score: call.call.id});
			}

			await settle(2000);
			expect(results().map(({id, score}) => [id, score])).toEqual([['i0', 'reward-i0'], ['i1', 'reward-i1']]);
		});

		it('hands its texts over when it stops, with the failures that it has counted', async () => {
			daemon.completeText(0);
			await settle();
			daemon.sender.calls[0]!.onEnd({kind: 'answered', status: 500});
			daemon.task.startDraining();
			daemon.task.releaseAll();
			await settle(1000);
			expect(claims()[0]).toMatchObject({kind: 'rewarding', incarnation: 'd2', rewardFailures: 1});
			for (let attempt = 0; attempt < 2; attempt++) {
				other.sender.calls.at(-1)!.onEnd({kind: 'answered', status: 500});
				await settle();
			}

			expect(results()).toMatchObject([{state: 'terminated'}]);
		});
	});
});
