import {setTimeout as sleep} from 'node:timers/promises';
import {UpstreamDirectory} from '@cicadapost/fleet';
import {exceededLimit, type Transaction, type TransactionOutcome} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import type {
	BatchId, DaemonIncarnation, ItemId, ModelId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {BatchView} from './batch-cache.js';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import {unclaimed, type ItemClaim, type SampleText} from './batch.js';
import {planClaimTransaction} from './claim-transaction.js';
import {batchTable, decodePartial, encodePartial} from './encode-rows.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import {canStoreText, planCommit, type ItemOutcome} from './plan-commit.js';

const batch = 'b1' as BatchId;
const incarnation = 'd1#1' as DaemonIncarnation;
const claimed: ItemClaim = {
	kind: 'running', failures: 0, hasPartialText: false, incarnation, engine: 'e1',
};

function viewOf(groups: number, size: number, claim: ItemClaim): BatchView {
	return {
		id: batch, planVersion: 1, count: 0, isEnded: false,
		plan: {
			host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: groups, submittedAt: 0,
			groups: Array.from({length: groups}, (_, group) => ({items: Array.from({length: size}, (_unused, item) => ({id: `${group}.${item}` as ItemId, expectedTokens: 10}))})),
		},
		claims: Array.from({length: groups}, () => ({version: 2, items: Array.from({length: size}, () => claim)})),
	};
}

const textOf = (bytes: number): SampleText => ({
	events: ['x'.repeat(bytes)], lastEventId: 0, versions: [1], softwareVersion: 'v1' as SoftwareVersion,
});

/** Text of a size that is hardly compressible into few rows. */
const outcomeOf = (kind: ItemOutcome['kind'], group: number, bytes: number): ItemOutcome => {
	const reference = {group, item: 0};
	switch (kind) {
		case 'result': {
			return {
				...reference, kind, result: {
					id: `${group}.0` as ItemId, state: 'completed', output: 'x'.repeat(bytes), versions: [1],
				},
			};
		}

		case 'text-complete':
		case 'released': {
			return {
				...reference, kind, failures: 0, text: textOf(bytes),
			};
		}

		case 'progress': {
			return {...reference, kind, text: textOf(bytes)};
		}

		case 'reward-released': {
			return {...reference, kind, rewardFailures: 0};
		}
	}
};

describe('claims', () => {
	it('of more small groups than a transaction has entries are made in several, each of which the store accepts', () => {
		const view = viewOf(240, 1, unclaimed);
		let targets = view.claims.map((_, group) => ({batch, group, items: [0]}));
		const sizes: number[] = [];
		while (targets.length > 0) {
			const plan = planClaimTransaction(view, targets, {incarnation, engine: 'e1' as UpstreamId});
			expect(exceededLimit(plan.transaction)).toBe(undefined);
			sizes.push(plan.targets.length);
			targets = targets.slice(plan.targets.length);
		}

		expect(sizes).toEqual([49, 49, 49, 49, 44]);
	});

	it('of a group whose claims exceed a row take as many items as fit', () => {
		const view = viewOf(1, 4000, unclaimed);
		const {transaction, targets} = planClaimTransaction(view, [{batch, group: 0, items: Array.from({length: 4000}, (_, item) => item)}], {incarnation, engine: 'e1' as UpstreamId});
		expect(exceededLimit(transaction)).toBe(undefined);
		expect(targets[0]!.items.length).toBeGreaterThan(500);
	});
});

describe('outcomes', () => {
	const kinds = fc.constantFrom<ItemOutcome['kind']>('result', 'text-complete', 'released', 'progress', 'reward-released');

	it('of any kind, size and number are recorded by transactions that the store accepts, and each makes progress', () => {
		fc.assert(fc.property(fc.array(fc.tuple(kinds, fc.oneof(fc.integer({min: 0, max: 2000}), fc.integer({min: 0, max: 3_000_000}))), {minLength: 1, maxLength: 130}), drawn => {
			const view = viewOf(drawn.length, 2, claimed);
			let waiting = drawn.map(([kind, bytes], group) => outcomeOf(kind, group, bytes));
			while (waiting.length > 0) {
				const plan = planCommit(view, waiting, {incarnation, listing: '000.d1#1.1'});
				const done = new Set([...plan.included, ...plan.obsolete]);
				if (done.size === 0 || [...plan.preceding, plan.transaction].some(transaction => exceededLimit(transaction) !== undefined)) {
					return false;
				}

				waiting = waiting.filter(outcome => !done.has(outcome));
			}

			return true;
		}), {seed: 20_261_207, numRuns: 30});
	}, 60_000);

	it('of several texts of 264,000 bytes are split between transactions', () => {
		const view = viewOf(8, 1, claimed);
		const plan = planCommit(view, Array.from({length: 8}, (_, group) => outcomeOf('result', group, 264_000)), {incarnation, listing: 'l'});
		expect(exceededLimit(plan.transaction)).toBe(undefined);
		expect(plan.included).toHaveLength(2);
	});

	it('that exceed a transaction alone are split if they are results, and lose their text otherwise', () => {
		const view = viewOf(1, 1, claimed);
		const result = planCommit(view, [outcomeOf('result', 0, 2_000_000)], {incarnation, listing: 'l'});
		expect(result.preceding).toHaveLength(3);
		expect(result.transaction.writes.map(({table}) => table)).toContain(batchTable);
		const released = planCommit(view, [outcomeOf('released', 0, 2_000_000)], {incarnation, listing: 'l'});
		expect([released.preceding.length, released.included.length, released.transaction.writes.length]).toEqual([0, 1, 1]);
		const progress = planCommit(view, [outcomeOf('progress', 0, 2_000_000)], {incarnation, listing: 'l'});
		expect([progress.included.length, progress.obsolete.length]).toEqual([0, 1]);
	});
});

describe('the stored text of an item', () => {
	it('is that of the last transaction, although a shorter one has left its rows behind', () => {
		const [short, long] = [textOf(1000), textOf(200_000)];
		const rows = new Map<string, {key: string; value: Uint8Array; version: number}>();
		for (const [index, text] of [short, long].entries()) {
			for (const row of encodePartial(0, 0, text)) {
				rows.set(row.key, {...row, version: index + 1});
			}
		}

		expect(decodePartial([...rows.values()])).toEqual(long);
		for (const row of encodePartial(0, 0, short)) {
			rows.set(row.key, {...row, version: 3});
		}

		expect(decodePartial([...rows.values()])).toEqual(short);
	});

	it('fits into the store up to a size', () => {
		const view = viewOf(1, 1, claimed);
		expect([264_000, 2_000_000].map(bytes => canStoreText(view, {group: 0, item: 0, text: textOf(bytes)}))).toEqual([true, false]);
	});
});

class QuickEngines extends EngineClient {
	constructor(private readonly output: string) {
		super();
	}

	override run(_: SampleCall, handlers: SampleHandlers): SampleRun {
		const timer = setTimeout(() => {
			handlers.onStart(1);
			handlers.onEvent({id: 0, data: this.output, version: undefined});
			handlers.onEnd({kind: 'complete'});
		}, 5);
		return {
			abort() {
				clearTimeout(timer);
			},
		};
	}
}

/** Remembers the transactions that the store has rejected for good. */
class StrictStore extends MemoryRowStore {
	readonly rejected: string[] = [];
	maxWrites = Number.POSITIVE_INFINITY;

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		const isTooLong = transaction.writes.filter(({table}) => table === batchTable).length > this.maxWrites;
		const outcome: TransactionOutcome = isTooLong ? {kind: 'rejected', reason: 'status 413'} : await super.transact(transaction);
		if (outcome.kind === 'rejected') {
			this.rejected.push(JSON.stringify([transaction.expected, transaction.writes.map(({key}) => key)]));
		}

		return outcome;
	}
}

async function play({store, slots, groups, groupSize = 1, output = 'text'}: Readonly<{store: StrictStore; slots: number; groups: number; groupSize?: number; output?: string}>): Promise<number> {
	const directory = new UpstreamDirectory();
	directory.upsert(engineRecord('e1', {slots}));
	const daemon = new BatchDaemon({store, client: new QuickEngines(output), directory});
	const items = Array.from({length: groups * groupSize}, (_, index) => ({
		id: `i${index}` as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: `g${index % groups}`, expectedTokens: 10,
	}));
	try {
		for (let isAccepted = false; !isAccepted;) {
			const outcome = await daemon.service.submit({
				id: batch, host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: groups, items,
			});
			isAccepted = outcome.kind === 'accepted';
			await sleep(20);
		}

		const until = performance.now() + 15_000;
		let listed = 0;
		while (listed < items.length && performance.now() < until) {
			await sleep(50);
			const read = await daemon.service.results(batch, {after: listed, waitMs: 0, signal: new AbortController().signal});
			listed = read.kind === 'page' ? read.page.next : listed;
		}

		return listed;
	} finally {
		daemon.stop();
	}
}

describe('a batch on a store that enforces its limits', () => {
	it('is run at an engine with more free slots than a claim may have entries', async () => {
		const store = new StrictStore({now: () => performance.now()});
		expect(await play({store, slots: 64, groups: 150})).toBe(150);
		expect(store.rejected).toEqual([]);
	}, 30_000);

	it('lists texts of which few fit into a transaction, and one that exceeds it alone', async () => {
		const store = new StrictStore({now: () => performance.now()});
		expect(await play({
			store, slots: 16, groups: 12, output: 'x'.repeat(264_000),
		})).toBe(12);
		const other = new StrictStore({now: () => performance.now()});
		expect(await play({
			store: other, slots: 16, groups: 2, output: 'x'.repeat(2_000_000),
		})).toBe(2);
		expect([...store.rejected, ...other.rejected]).toEqual([]);
	}, 60_000);

	it('is run although its group has more items than the claims of a row', async () => {
		const store = new StrictStore({now: () => performance.now()});
		expect(await play({
			store, slots: 64, groups: 1, groupSize: 1000,
		})).toBe(1000);
		expect(store.rejected).toEqual([]);
	}, 60_000);

	it('is run although the store accepts less than it says, and no rejected transaction is repeated unchanged', async () => {
		const store = new StrictStore({now: () => performance.now()});
		store.maxWrites = 5;
		expect(await play({store, slots: 32, groups: 60})).toBe(60);
		expect(store.rejected.length).toBeGreaterThan(0);
		expect(new Set(store.rejected).size).toBe(store.rejected.length);
	}, 30_000);

	it('is rejected at once if its plan exceeds a row', async () => {
		const store = new StrictStore({now: () => performance.now()});
		const daemon = new BatchDaemon({store, client: new QuickEngines(''), directory: new UpstreamDirectory()});
		await expect.poll(() => daemon.follower.connectedFor(daemon.clock.now())).toBeGreaterThan(0);
		const items = Array.from({length: 5000}, (_, index) => ({
			id: `item-${String(index).padStart(16, '0')}` as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: `g${index % 50}`, expectedTokens: 10,
		}));
		const outcome = await daemon.service.submit({
			id: batch, host: 'h', path: '/p/', step: 0, model: 'draft' as ModelId, minVersion: 1, targetGroups: 50, items,
		});
		daemon.stop();
		expect(outcome).toMatchObject({kind: 'too-large'});
		expect(store.all()).toEqual([]);
	});
});
