import {MemoryRowStore, type StoreFault} from '@cicadapost/store/testing';
import type {StoredRow, Transaction} from '@cicadapost/store';
import type {
	BatchId, DaemonLife, ItemId, ModelId, UpstreamId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BatchBook, type BatchView} from './batch-book.js';
import {
	unclaimed, type BatchItem, type BatchPlan, type ItemClaim,
} from './batch.js';
import {decideAfterRun, type RunState} from './decide-run.js';
import {
	batchTable, claimKey, decodeBodies, decodeClaims, decodePartial, decodePlan, decodeResults, encodeBodies, encodeClaims, encodePartial, encodePlan, encodeResult,
	planKey, resultTable, RowShapeError,
} from './encode-rows.js';
import {planClaims, withClaimed, type EngineRoom} from './plan-claims.js';
import {planCommit, type ItemOutcome} from './plan-commit.js';

const batch = 'b1' as BatchId;
const model = 'draft' as ModelId;
const engineId = 'e1' as UpstreamId;

function planWith(groups: number, size: number, expected: (group: number) => number = () => 100): BatchPlan {
	return {
		host: 'h', path: '/p/', step: 1, model, minVersion: 3, targetGroups: groups, submittedAt: 0,
		groups: Array.from({length: groups}, (_, group) => ({
			items: Array.from({length: size}, (__, item) => ({id: `${group}.${item}` as ItemId, expectedTokens: expected(group)})),
		})),
	};
}

function viewWith(plan: BatchPlan, claims: Record<number, ItemClaim[]> = {}, id = batch): BatchView {
	return {
		id, plan, planVersion: 1, count: 0, headVersion: 0, isEnded: false,
		claims: plan.groups.map((group, index) => ({version: claims[index] === undefined ? 0 : 2, items: claims[index] ?? group.items.map(() => unclaimed)})),
	};
}

const room = (fields: Partial<EngineRoom> = {}): EngineRoom => ({
	id: engineId, freeSlots: 16, versions: new Map([[model, 3]]), rank: 0, engines: 1, ...fields,
});
const running = (life: string): ItemClaim => ({
	kind: 'running', failures: 0, hasPartialText: false, life, engine: 'e9',
});

describe('rows of batches', () => {
	it('keeps plans, claims and texts through a round trip', () => {
		const plan = planWith(3, 2);
		expect(decodePlan(encodePlan(plan))).toEqual(plan);
		const claims: ItemClaim[] = [unclaimed, running('d1#1'), {kind: 'listed'}];
		expect(decodeClaims(encodeClaims(claims))).toEqual(claims);
		const text = {events: ['a', 'b'], lastEventId: 1, versions: [3, 4]};
		expect(decodePartial(encodePartial(0, 1, text))).toEqual(text);
	});

	it('splits what is too long for a row and joins it again, so that no sample is too long to be listed', () => {
		const output = 'x'.repeat(200_000);
		const result = {
			id: 'i' as ItemId, state: 'completed', output, versions: [3],
		} as const;
		const rows = encodeResult(12, result);
		expect(rows.length).toBeGreaterThan(3);
		expect(decodeResults(rows, 12)).toEqual([result]);
		expect(decodeResults(rows.slice(1), 12)).toEqual([]);
		const item: BatchItem = {
			id: 'i' as ItemId, path: '/p', headers: ['A', 'b'], body: new Uint8Array(150_000).fill(7), tokens: 1, group: 'g', expectedTokens: 1,
		};
		expect(decodeBodies(encodeBodies([[item]]))[0]?.body).toHaveLength(150_000);
	});

	it('rejects a row of another shape with the remedy', () => {
		expect(() => decodePlan(new Uint8Array([0xC1]))).toThrow(RowShapeError);
		const book = new BatchBook();
		const faults = book.apply([{
			kind: 'written', row: {
				table: batchTable, part: batch, key: planKey, value: new Uint8Array([1]), version: 1,
			},
		}]);
		expect(faults[0]?.message).toContain('same version');
		expect(book.get(batch)).toBeUndefined();
	});
});

describe('planClaims', () => {
	const nobody = () => false;

	describe('a burst of whole batches that takes several times the slots', () => {
		it('fills the slots with the older batch first', () => {
			const older = viewWith(planWith(1, 8));
			const newer = viewWith(planWith(4, 8), {}, 'b2' as BatchId);
			const targets = planClaims({engine: room(), batches: [older, newer], isHeld: nobody});
			expect(targets.map(target => [target.batch, target.items.length])).toEqual([['b1', 8], ['b2', 8]]);
		});

		it('starts groups with the longest expected sample first', () => {
			const plan = planWith(3, 8, group => [10, 900, 50][group] ?? 0);
			const targets = planClaims({engine: room({freeSlots: 8}), batches: [viewWith(plan)], isHeld: nobody});
			expect(targets.map(target => target.group)).toEqual([1]);
		});

		it('completes a group that is begun before it begins another', () => {
			const plan = planWith(3, 4, group => [10, 900, 50][group] ?? 0);
			const begun = {0: [{kind: 'listed'}, {kind: 'listed'}, unclaimed, unclaimed] as ItemClaim[]};
			const targets = planClaims({engine: room({freeSlots: 2}), batches: [viewWith(plan, begun)], isHeld: nobody});
			expect(targets).toEqual([{batch, group: 0, items: [2, 3]}]);
		});

		it('lets engines begin with different groups, so that their claims rarely conflict', () => {
			const view = viewWith(planWith(6, 8));
			const chosen = [0, 1, 2].map(rank => planClaims({engine: room({rank, engines: 3, freeSlots: 16}), batches: [view], isHeld: nobody}).map(target => target.group));
			expect(new Set(chosen.flat()).size).toBe(6);
		});
	});

	it('gives no sample to an engine whose weights are older than the batch allows', () => {
		const view = viewWith(planWith(1, 8));
		expect(planClaims({engine: room({versions: new Map([[model, 2]])}), batches: [view], isHeld: nobody})).toEqual([]);
		expect(planClaims({engine: room({versions: new Map()}), batches: [view], isHeld: nobody})).toEqual([]);
	});

	it('takes over what a dead daemon ran, and leaves alone what a live one runs', () => {
		const view = viewWith(planWith(1, 2), {0: [running('dead'), running('alive')]});
		expect(planClaims({engine: room(), batches: [view], isHeld: claim => claim.life === 'alive'})).toEqual([{batch, group: 0, items: [0]}]);
	});
});

describe('decideAfterRun', () => {
	const state: RunState = {
		text: {events: ['a'], lastEventId: 0, versions: [3, 4]}, failures: 0, maxAttempts: 3, refusals: 0, isEngineReady: true, minVersion: 3, isSingleVersion: false,
	};

	it('never lists a text with an event of a version that is too old, or of two versions where one is asked for', () => {
		expect(decideAfterRun({kind: 'complete'}, state)).toEqual({kind: 'list', state: 'completed'});
		expect(decideAfterRun({kind: 'complete'}, {...state, minVersion: 4})).toMatchObject({kind: 'release', keepText: false});
		expect(decideAfterRun({kind: 'complete'}, {...state, isSingleVersion: true})).toMatchObject({kind: 'release', keepText: false});
	});

	it('gives an item up only after as many failed runs as the route allows', () => {
		expect(decideAfterRun({kind: 'failed', status: 500}, {...state, failures: 1})).toMatchObject({kind: 'release', failures: 2});
		expect(decideAfterRun({kind: 'failed', status: 500}, {...state, failures: 2})).toEqual({kind: 'list', state: 'terminated'});
		expect(decideAfterRun({kind: 'impossible'}, state)).toEqual({kind: 'list', state: 'terminated'});
	});

	it('does not count a broken connection as a failed run, and goes on from the text', () => {
		expect(decideAfterRun({kind: 'broken', cause: 'reset'}, {...state, failures: 2})).toEqual({kind: 'release', failures: 2, keepText: true});
	});

	it('waits for an engine that is full, but not for one that is leaving or another one at its address', () => {
		expect(decideAfterRun({kind: 'not-run', status: 503}, state)).toMatchObject({kind: 'again'});
		expect(decideAfterRun({kind: 'not-run', status: 503}, {...state, isEngineReady: false})).toMatchObject({kind: 'release'});
		expect(decideAfterRun({kind: 'not-run', status: 421}, state)).toMatchObject({kind: 'release'});
	});
});

/** A daemon that only claims and commits, with a book that may lag behind the store. */
class SmallDaemon {
	readonly book = new BatchBook();
	readonly life: DaemonLife;

	constructor(private readonly store: MemoryRowStore, name: string) {
		this.life = name as DaemonLife;
	}

	async refresh(): Promise<void> {
		const read = await this.store.read({table: batchTable, part: batch});
		this.learn(read.kind === 'rows' ? read.rows : []);
	}

	async claim(group: number, items: readonly number[]): Promise<void> {
		const view = this.book.get(batch);
		if (view !== undefined) {
			await this.send({
				part: batch,
				expected: [{table: batchTable, key: claimKey(group), version: view.claims[group]?.version ?? 0}],
				writes: [{table: batchTable, key: claimKey(group), value: encodeClaims(withClaimed(view.claims[group]?.items ?? [], items, {life: this.life, engine: engineId}))}],
			});
		}
	}

	async commit(outcomes: readonly ItemOutcome[]): Promise<void> {
		const view = this.book.get(batch);
		if (view !== undefined) {
			const plan = planCommit(view, outcomes, this.life);
			if (plan.included.length > 0) {
				await this.send(plan.transaction);
			}
		}
	}

	private async send(transaction: Transaction): Promise<void> {
		const outcome = await this.store.transact(transaction);
		if (outcome.kind === 'conflict') {
			this.learn(outcome.rows);
		}
	}

	private learn(rows: readonly StoredRow[]): void {
		this.book.apply(rows.map(row => ({kind: 'written', row})));
	}
}

describe('results in the store', () => {
	const step = fc.record({
		daemon: fc.nat(2),
		action: fc.constantFrom('refresh', 'claim', 'list', 'release'),
		group: fc.nat(1),
		item: fc.nat(2),
		fault: fc.constantFrom<StoreFault>('none', 'none', 'none', 'answers-lost', 'down'),
	});

	it('lists each item at most once and never changes a position, whatever three daemons with old views and lost answers do', async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 60}), async steps => {
			const store = new MemoryRowStore();
			await store.transact({part: batch, writes: [{table: batchTable, key: planKey, value: encodePlan(planWith(2, 3))}]});
			const daemons = ['d1#1', 'd2#1', 'd3#1'].map(name => new SmallDaemon(store, name));
			let seen: string[] = [];
			for (const {daemon, action, group, item, fault} of steps) {
				const actor = daemons[daemon]!;
				store.fault = fault;
				const result = {
					id: `${group}.${item}` as ItemId, state: 'completed' as const, output: actor.life, versions: [3],
				};
				switch (action) {
					case 'refresh': {
						await actor.refresh();
						break;
					}

					case 'claim': {
						await actor.claim(group, [item]);
						break;
					}

					case 'list': {
						await actor.commit([{
							group, item, kind: 'result', result,
						}]);
						break;
					}

					case 'release': {
						await actor.commit([{
							group, item, kind: 'released', failures: 0, text: {events: ['x'], lastEventId: 0, versions: [3]},
						}]);
						break;
					}
				}

				const rows = store.all().filter(row => row.table === resultTable).sort((a, b) => (a.key < b.key ? -1 : 1));
				const listed = decodeResults(rows, 0).map(found => `${found.id} of ${found.output}`);
				expect(listed).toHaveLength(rows.length);
				expect(listed.slice(0, seen.length)).toEqual(seen);
				expect(new Set(listed.map(text => text.split(' ')[0])).size).toBe(listed.length);
				seen = listed;
			}
		}), {numRuns: 300, seed: 20_261_204});
	});
});
