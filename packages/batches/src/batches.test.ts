import {MemoryRowStore, type StoreFault} from '@cicadapost/store/testing';
import {
	chunksOf, decodeList, encodeList, type StoredRow, type Transaction,
} from '@cicadapost/store';
import type {
	BatchId, DaemonIncarnation, ItemId, ModelId, RequestId, SoftwareVersion, TeamId, UpstreamId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BatchCache, type BatchView} from './batch-cache.js';
import {
	anyone, isVisible, unclaimed, type BatchItem, type BatchPlan, type ItemClaim,
} from './batch.js';
import {decideFollowUp, type RunState} from './decide-run.js';
import {
	batchTable, claimKey, decodeBodies, decodeClaims, decodePartial, decodePlan, decodeResults, encodeBodies, encodeClaims, encodePartial, encodePlan, encodeResult,
	listingKey, listingTable, planKey, resultTable, RowShapeError,
} from './encode-rows.js';
import {SlowdownDetector} from './slowdown-detector.js';
import {LivenessMonitor} from './liveness-monitor.js';
import {
	planClaims, maxRunsBesideLong, applyClaim, type EngineCapacity, type IsClaimLive,
} from './plan-claims.js';
import {planCommit, type ItemOutcome} from './plan-commit.js';
import {orderResults} from './result-order.js';
import {BatchSweeper, isExpired} from './sweep-batches.js';

const softwareVersion = 'v1' as SoftwareVersion;
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
		id, plan, planVersion: 1, count: 0, isEnded: false,
		claims: plan.groups.map((group, index) => ({version: claims[index] === undefined ? 0 : 2, items: claims[index] ?? group.items.map(() => unclaimed)})),
	};
}

const capacityWith = (fields: Partial<EngineCapacity> = {}): EngineCapacity => ({
	id: engineId, slots: 16, running: 0, runningLong: 0, softwareVersion, readyVersions: new Set([softwareVersion]), isSlow: false,
	versions: new Map([[model, 3]]), rank: 0, engines: 1, ...fields,
});
const running = (incarnation: string): ItemClaim => ({
	kind: 'running', failures: 0, hasPartialText: false, incarnation, engine: 'e9',
});

const withText = (textVersion: SoftwareVersion): ItemClaim => ({
	kind: 'open', failures: 0, hasPartialText: true, textVersion,
});

describe('encoding of rows', () => {
	it('round-trips plans, claims and texts', () => {
		const plan = planWith(3, 2);
		expect(decodePlan(encodePlan(plan))).toEqual(plan);
		const claims: ItemClaim[] = [unclaimed, running('d1#1'), {kind: 'listed'}, withText(softwareVersion)];
		expect(decodeClaims(encodeClaims(claims))).toEqual(claims);
		const text = {
			events: ['a', 'b'], lastEventId: 1, versions: [3, 4], softwareVersion,
		};
		expect(decodePartial(encodePartial(0, 1, text).map(row => ({...row, version: 1})))).toEqual(text);
	});

	describe('a batch of a team', () => {
		const plan = {...planWith(1, 1), team: 'red' as TeamId};

		it('keeps its team, and is run by builds that know no teams', () => {
			for (const stored of [plan, {...plan, hasRewards: true as const}]) {
				expect(decodePlan(encodePlan(stored))).toEqual(stored);
			}

			// The field of the model with rewards, which such a build reads last.
			expect(decodeList(encodePlan(plan))?.[8]).toBe(null);
			expect(decodeList(encodePlan(planWith(1, 1)))).toHaveLength(8);
		});

		it('does not exist for other teams, while a batch without a team exists for all', () => {
			const readers = [{kind: 'team', team: 'red' as TeamId}, {kind: 'team', team: 'blue' as TeamId}, {kind: 'team', team: undefined}, anyone] as const;
			expect(readers.map(reader => isVisible(plan, reader))).toEqual([true, false, false, true]);
			expect(readers.every(reader => isVisible(planWith(1, 1), reader))).toBe(true);
		});
	});

	describe('a batch with reward calls', () => {
		const reward = {
			id: 'r1' as RequestId, host: 'h', path: '/score/?a=1', body: Buffer.from([1, 2]),
		};

		it('round-trips its plan, claims, reward calls and scores', () => {
			const plan: BatchPlan = {...planWith(1, 2), hasRewards: true};
			expect(decodePlan(encodePlan(plan))).toEqual(plan);
			const claims: ItemClaim[] = ['d1#1', undefined].map(incarnation => ({
				kind: 'rewarding', incarnation, rewardFailures: 2, failures: 1, hasPartialText: true, textVersion: softwareVersion,
			}));
			expect(decodeClaims(encodeClaims(claims))).toEqual(claims);
			const item: BatchItem = {
				id: 'i' as ItemId, path: '/p', headers: [], body: Buffer.from([3]), tokens: 1, group: 'g', expectedTokens: 1,
			};
			expect(decodeBodies(encodeBodies([[{...item, reward}, item]])).map(body => body.reward)).toEqual([reward, undefined]);
			const result = {
				id: item.id, state: 'completed', output: 'x', versions: [3], score: 'signature',
			} as const;
			const reference = {listing: 'l', index: 0};
			expect(decodeResults(encodeResult(reference, result), [reference])).toEqual([result]);
		});

		it('names no model to builds that can\'t send the calls, so that they do not list samples without a score', () => {
			// Those builds read the first eight fields.
			const modelField = 3;
			expect(decodeList(encodePlan({...planWith(1, 1), hasRewards: true}))?.[modelField]).toBe('');
			expect(decodeList(encodePlan(planWith(1, 1)))?.[modelField]).toBe(model);
		});

		it('is read from the rows that those builds have written', () => {
			const rowsOfOldBuild = encodeList(['h', '/p/', 1, model, 3, 1, 0, [[['i', 100]]]]);
			expect(decodePlan(rowsOfOldBuild)).toEqual({...planWith(1, 1), groups: [{items: [{id: 'i', expectedTokens: 100}]}]});
		});
	});

	it('splits and rejoins values that are too long for a row, so that no sample is too long to be listed', () => {
		const output = 'x'.repeat(200_000);
		const result = {
			id: 'i' as ItemId, state: 'completed', output, versions: [3],
		} as const;
		const reference = {listing: '7.d1#1.1', index: 12};
		const rows = encodeResult(reference, result);
		expect(rows.length).toBeGreaterThan(3);
		expect(decodeResults(rows, [reference])).toEqual([result]);
		expect(decodeResults(rows.slice(1), [reference])).toEqual([]);
		const item: BatchItem = {
			id: 'i' as ItemId, path: '/p', headers: ['A', 'b'], body: new Uint8Array(150_000).fill(7), tokens: 1, group: 'g', expectedTokens: 1,
		};
		expect(decodeBodies(encodeBodies([[item]]))[0]?.body).toHaveLength(150_000);
	});

	it('rejects a row of an unknown shape with an error that names the remedy', () => {
		expect(() => decodePlan(new Uint8Array([0xC1]))).toThrow(RowShapeError);
		const batchCache = new BatchCache();
		const errors = batchCache.apply([{
			kind: 'written', row: {
				table: batchTable, part: batch, key: planKey, value: new Uint8Array([1]), version: 1,
			},
		}]);
		expect(errors[0]?.message).toContain('same version');
		expect(batchCache.get(batch)).toBeUndefined();
	});
});

describe('planClaims', () => {
	const claim = (engine: EngineCapacity, views: ReadonlyArray<Readonly<{view: BatchView; dueAt: number}>>, isClaimLive: IsClaimLive = () => false, isHeld = false) => planClaims({
		engine, batches: views, isClaimLive, isHeld: () => isHeld, now: 0,
	});

	const count = (targets: ReturnType<typeof planClaims>) => targets.reduce((sum, target) => sum + target.items.length, 0);
	/** Four groups of eight samples. Each of the first `long` groups starts with a long sample. */
	const mixed = (long: number) => {
		const plan = planWith(4, 8);
		return {...plan, groups: plan.groups.map((group, index) => ({items: group.items.map((item, at) => ({...item, expectedTokens: index < long && at === 0 ? 5000 : 400}))}))};
	};

	describe('with texts of engines of another software version', () => {
		const other = 'v0' as SoftwareVersion;
		const plan = planWith(1, 3);
		const view = viewWith(plan, {0: [withText(other), unclaimed, withText(softwareVersion)]});

		it('claims them last while an engine of that version serves, so that it can continue them', () => {
			const engine = capacityWith({slots: 2, readyVersions: new Set([softwareVersion, other])});
			expect(claim(engine, [{view, dueAt: 7500}])).toMatchObject([{items: [1, 2]}]);
		});

		it('holds them back for engines of that version, unless they are urgent', () => {
			const engine = capacityWith({readyVersions: new Set([softwareVersion, other])});
			expect(claim(engine, [{view, dueAt: 7500}], () => false, true)).toMatchObject([{items: [1, 2]}]);
			expect(count(claim(engine, [{view, dueAt: 500}], () => false, true))).toBe(3);
		});

		it('claims them like others once no engine of that version serves', () => {
			expect(claim(capacityWith({slots: 2}), [{view, dueAt: 7500}])).toMatchObject([{items: [0, 1]}]);
		});

		it('leaves none of them without an engine', () => {
			const engine = capacityWith({readyVersions: new Set([softwareVersion, other])});
			expect(count(claim(engine, [{view, dueAt: 7500}]))).toBe(3);
		});
	});

	describe('with a burst of whole batches and several times as many samples as slots', () => {
		it('starts long samples immediately on the engines that are reserved for them, with limited concurrency', () => {
			const targets = claim(capacityWith({rank: 0, engines: 6}), [{view: viewWith(mixed(4)), dueAt: 7500}]);
			expect(targets.slice(0, 4)).toEqual([0, 1, 2, 3].map(group => expect.objectContaining({group, items: expect.arrayContaining([0]) as number[]}) as unknown));
			expect(count(targets)).toBe(maxRunsBesideLong);
		});

		it('gives short samples to the other engines and uses all of their slots', () => {
			const targets = claim(capacityWith({rank: 3, engines: 6}), [{view: viewWith(mixed(4)), dueAt: 7500}]);
			expect(targets.every(target => !target.items.includes(0))).toBe(true);
			expect(count(targets)).toBe(16);
		});

		it('gives long samples to any engine after a while, in case the reserved engine is dead', () => {
			const targets = planClaims({
				engine: capacityWith({rank: 3, engines: 6}), batches: [{view: viewWith(mixed(1)), dueAt: 9000}], isClaimLive: () => false, isHeld: () => false, now: 1000,
			});
			expect(targets.find(target => target.group === 0)?.items).toContain(0);
		});

		it('prefers the batch that is due first among otherwise equal ones', () => {
			const views = [{view: viewWith(planWith(1, 8)), dueAt: 9000}, {view: viewWith(planWith(1, 8), {}, 'b2' as BatchId), dueAt: 6000}];
			expect(claim(capacityWith({running: 8}), views)).toMatchObject([{batch: 'b2', items: {length: 8}}]);
		});

		it('lets engines start with different groups, so that their claims rarely conflict', () => {
			const view = viewWith(planWith(6, 8));
			const chosen = [0, 1, 2].map(rank => claim(capacityWith({rank, engines: 3}), [{view, dueAt: 9000}]).map(target => target.group));
			expect(new Set(chosen.flat()).size).toBe(6);
		});
	});

	it('uses all slots beside a long sample when work has little slack left', () => {
		const views = [{view: viewWith(mixed(4)), dueAt: 3000}];
		const plan = (now: number) => count(planClaims({
			engine: capacityWith({engines: 6}), batches: views, isClaimLive: () => false, isHeld: () => false, now,
		}));
		expect(plan(0)).toBe(maxRunsBesideLong);
		expect(plan(1500)).toBe(16);
	});

	it('gives no long sample to a slow engine', () => {
		const targets = claim(capacityWith({engines: 6, isSlow: true}), [{view: viewWith(mixed(4)), dueAt: 7500}]);
		expect(targets.every(target => !target.items.includes(0))).toBe(true);
	});

	it('gives no sample to an engine whose weights are older than the batch allows', () => {
		const views = [{view: viewWith(planWith(1, 8)), dueAt: 0}];
		expect(claim(capacityWith({versions: new Map([[model, 2]])}), views)).toEqual([]);
		expect(claim(capacityWith({versions: new Map()}), views)).toEqual([]);
	});

	it('reclaims items of a dead daemon, but not those of a live one', () => {
		const view = viewWith(planWith(1, 2), {0: [running('dead'), running('alive')]});
		expect(claim(capacityWith(), [{view, dueAt: 0}], ({incarnation}) => incarnation === 'alive')).toEqual([{batch, group: 0, items: [0]}]);
	});
});

describe('SlowdownDetector', () => {
	const feed = (detector: SlowdownDetector, gap: number, from: number, count: number) => {
		for (let index = 0; index < count; index++) {
			detector.recordGap(engineId, gap, from + (index * 3));
		}

		return from + (count * 3);
	};

	it('detects a lasting slowdown and the recovery from it', () => {
		const detector = new SlowdownDetector();
		let now = feed(detector, 40, 0, 2000);
		expect(detector.isSlow(engineId, now)).toBe(false);
		now = feed(detector, 130, now, 400);
		expect(detector.isSlow(engineId, now)).toBe(true);
		now = feed(detector, 40, now, 1000);
		expect(detector.isSlow(engineId, now)).toBe(false);
	});

	it('does not treat an engine that fills with prompts after a pause as slow, so that its long samples are not moved', () => {
		const detector = new SlowdownDetector();
		let now = feed(detector, 34, 0, 2000);
		now = feed(detector, 75, now, 600);
		expect(detector.isSlow(engineId, now)).toBe(false);
	});

	it('keeps the baseline through seconds of a slowdown, so that the engine does not count as recovered', () => {
		const detector = new SlowdownDetector();
		let now = feed(detector, 40, 0, 2000);
		now = feed(detector, 160, now, 4000);
		expect(detector.isSlow(engineId, now)).toBe(true);
	});

	it('does not treat one long gap in all runs as a slowdown', () => {
		const detector = new SlowdownDetector();
		let now = feed(detector, 40, 0, 2000);
		now = feed(detector, 1000, now, 3);
		now = feed(detector, 40, now, 300);
		expect(detector.isSlow(engineId, now)).toBe(false);
	});
});

describe('LivenessMonitor', () => {
	const state = {oldestSentAt: 0, isLoading: false};

	it('reports a silent engine and suspends it for a while after the failure', () => {
		const monitor = new LivenessMonitor();
		monitor.recordActivity(engineId, 100);
		expect(monitor.isSilent(engineId, {...state, now: 600})).toBe(false);
		expect(monitor.isSilent(engineId, {...state, now: 1100})).toBe(true);
		monitor.recordFailure(engineId, 1100);
		expect(monitor.isSuspended(engineId, 1200)).toBe(true);
		expect(monitor.isSuspended(engineId, 3000)).toBe(false);
	});

	it('waits longer for an engine that loads weights, and counts from when the run was sent', () => {
		const monitor = new LivenessMonitor();
		expect(monitor.isSilent(engineId, {oldestSentAt: 0, isLoading: true, now: 1500})).toBe(false);
		expect(monitor.isSilent(engineId, {oldestSentAt: 1000, isLoading: false, now: 1500})).toBe(false);
	});

	it('takes an engine for out of reach after two failures in a row, until it has not failed for some time', () => {
		const monitor = new LivenessMonitor();
		monitor.recordFailure(engineId, 1000);
		expect(monitor.isUnreachable(engineId, 1000)).toBe(false);
		monitor.recordFailure(engineId, 3000);
		expect([3000, 12_999, 13_000].map(now => monitor.isUnreachable(engineId, now))).toEqual([true, true, false]);
		monitor.recordActivity(engineId, 3500);
		expect(monitor.isUnreachable(engineId, 3500)).toBe(false);
	});

	it('counts runs of an engine that fail at the same time as one failure', () => {
		const monitor = new LivenessMonitor();
		for (let index = 0; index < 16; index++) {
			monitor.recordFailure(engineId, 1000);
		}

		expect(monitor.isSuspended(engineId, 2000)).toBe(false);
	});
});

describe('decideFollowUp', () => {
	const state: RunState = {
		text: {
			events: ['a'], lastEventId: 0, versions: [3, 4], softwareVersion,
		}, failures: 0, maxAttempts: 3, refusals: 0, isEngineReady: true, minVersion: 3, isSingleVersion: false,
	};

	it('never lists output of a version that is too old, or of two versions if a single one is required', () => {
		expect(decideFollowUp({kind: 'complete'}, state)).toEqual({kind: 'list', state: 'completed'});
		expect(decideFollowUp({kind: 'complete'}, {...state, minVersion: 4})).toMatchObject({kind: 'release', keepText: false});
		expect(decideFollowUp({kind: 'complete'}, {...state, isSingleVersion: true})).toMatchObject({kind: 'release', keepText: false});
	});

	it('terminates an item only after as many failed runs as the route allows', () => {
		expect(decideFollowUp({kind: 'failed', status: 500}, {...state, failures: 1})).toMatchObject({kind: 'release', failures: 2});
		expect(decideFollowUp({kind: 'failed', status: 500}, {...state, failures: 2})).toEqual({kind: 'list', state: 'terminated'});
		expect(decideFollowUp({kind: 'impossible'}, state)).toEqual({kind: 'list', state: 'terminated'});
	});

	it('does not count a broken connection as a failed run, and keeps the text for resuming', () => {
		expect(decideFollowUp({kind: 'broken', cause: 'reset'}, {...state, failures: 2})).toEqual({kind: 'release', failures: 2, keepText: true});
	});

	it('retries on an engine that is full, but not on one that is leaving or whose address now belongs to another engine', () => {
		expect(decideFollowUp({kind: 'not-run', status: 503}, state)).toMatchObject({kind: 'again'});
		expect(decideFollowUp({kind: 'not-run', status: 503}, {...state, isEngineReady: false})).toMatchObject({kind: 'release'});
		expect(decideFollowUp({kind: 'not-run', status: 421}, state)).toMatchObject({kind: 'release'});
	});
});

/** A minimal daemon that only claims and commits, with a cache that may lag behind the store. */
class MinimalDaemon {
	readonly batchCache = new BatchCache();
	readonly incarnation: DaemonIncarnation;
	private sequence = 0;

	constructor(private readonly store: MemoryRowStore, name: string) {
		this.incarnation = name as DaemonIncarnation;
	}

	async refresh(): Promise<void> {
		const read = await this.store.read({table: batchTable, part: batch});
		this.learn(read.kind === 'rows' ? read.rows : []);
	}

	async claim(group: number, items: readonly number[]): Promise<void> {
		const view = this.batchCache.get(batch);
		if (view !== undefined) {
			await this.send({
				part: batch,
				expected: [{table: batchTable, key: claimKey(group), version: view.claims[group]?.version ?? 0}],
				writes: [{table: batchTable, key: claimKey(group), value: encodeClaims(applyClaim(view.claims[group]?.items ?? [], items, {incarnation: this.incarnation, engine: engineId}))}],
			});
		}
	}

	async commit(outcomes: readonly ItemOutcome[]): Promise<void> {
		const view = this.batchCache.get(batch);
		if (view !== undefined) {
			this.sequence += 1;
			const plan = planCommit(view, outcomes, {
				incarnation: this.incarnation,
				// Earlier listings of a daemon may have later times, as after a step of its clock.
				listing: listingKey({storeTime: 1000 - this.sequence, incarnation: this.incarnation, sequence: this.sequence}),
			});
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
		this.batchCache.apply(rows.map(row => ({kind: 'written', row})));
	}
}

describe('deletion of expired batches', () => {
	const view = viewWith(planWith(1, 2));
	const times = {retentionMs: 120_000, queueDeadline: 40_000};

	it('keeps batches that may still be read and batches that are open', () => {
		expect(isExpired({...view, isEnded: true}, {...times, storeTime: 120_000})).toBe(false);
		expect(isExpired(view, {...times, queueDeadline: 1_000_000, storeTime: 500_000})).toBe(false);
		expect(isExpired({...view, isEnded: true}, {...times, storeTime: 500_000})).toBe(true);
	});

	it('leaves no rows behind, even if the store fails during a sweep', async () => {
		const store = new MemoryRowStore();
		const writes = [batchTable, listingTable, resultTable].flatMap(table => Array.from({length: 120}, (_, index) => ({table, key: `k${index}`, value: new Uint8Array([1])})));
		for (const chunk of chunksOf([...writes, {table: batchTable, key: planKey, value: encodePlan(planWith(1, 2))}])) {
			expect(await store.transact({part: batch, writes: chunk})).toMatchObject({kind: 'committed'});
		}

		const batchCache = new BatchCache();
		batchCache.apply(store.all().filter(row => row.key === planKey).map(row => ({kind: 'written', row})));
		const deleted: string[] = [];
		const sweeper = new BatchSweeper({
			store, batchCache, isOwner: () => true, isExpired: () => true, onDeleted: id => deleted.push(id),
		});
		sweeper.stop();
		store.fault = 'answers-lost';
		await sweeper.sweep();
		expect(deleted).toEqual([]);
		expect(store.all().some(row => row.key === planKey)).toBe(true);
		store.fault = 'none';
		await sweeper.sweep();
		expect(store.all()).toEqual([]);
		expect(deleted).toEqual([batch]);
	});
});

describe('results in the store with random schedules of three daemons', () => {
	const step = fc.record({
		daemon: fc.nat(2),
		action: fc.constantFrom('refresh', 'claim', 'list', 'release'),
		group: fc.nat(1),
		item: fc.nat(2),
		fault: fc.constantFrom<StoreFault>('none', 'none', 'none', 'answers-lost', 'down'),
	});

	it('lists each item at most once and never changes a position, despite stale caches and lost responses', async () => {
		await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 60}), async steps => {
			const store = new MemoryRowStore();
			await store.transact({part: batch, writes: [{table: batchTable, key: planKey, value: encodePlan(planWith(2, 3))}]});
			const daemons = ['d1#1', 'd2#1', 'd3#1'].map(name => new MinimalDaemon(store, name));
			let seen: string[] = [];
			for (const {daemon, action, group, item, fault} of steps) {
				const actor = daemons[daemon]!;
				store.fault = fault;
				const result = {
					id: `${group}.${item}` as ItemId, state: 'completed' as const, output: actor.incarnation, versions: [3],
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
							group, item, kind: 'released', failures: 0, text: {
								events: ['x'], lastEventId: 0, versions: [3], softwareVersion,
							},
						}]);
						break;
					}
				}

				const rows = store.all().filter(row => row.table === resultTable);
				const order = orderResults(store.all().filter(row => row.table === listingTable));
				const listed = decodeResults(rows, order).map(found => `${found.id} of ${found.output}`);
				expect(listed).toHaveLength(rows.length);
				expect(listed.slice(0, seen.length)).toEqual(seen);
				expect(new Set(listed.map(text => text.split(' ')[0])).size).toBe(listed.length);
				seen = listed;
			}
		}), {numRuns: 300, seed: 20_261_204});
	});
});
