import {setTimeout as sleep} from 'node:timers/promises';
import {UpstreamDirectory} from '@cicadapost/fleet';
import type {Transaction, TransactionOutcome} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	type BatchId, type DaemonIncarnation, type ItemId, type ModelId, type UpstreamId,
} from '@cicadapost/types';
import * as fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {BatchDaemon, engineRecord} from './batch-daemon.test-helper.js';
import type {BatchView} from './batch-cache.js';
import {unclaimed, type ItemClaim} from './batch.js';
import {
	EngineClient, type SampleCall, type SampleHandlers, type SampleRun,
} from './engine-client.js';
import {batchTable, decodeClaims, groupOfKey} from './encode-rows.js';
import {planClaimReleases} from './plan-claim-releases.js';
import {planCommit} from './plan-commit.js';
import {itemKeyOf} from './sample-run.js';

const batch = 'b1' as BatchId;
const model = 'draft' as ModelId;

/** Completes each sample after the same time. */
class SteadyEngines extends EngineClient {
	readonly runs: Array<Readonly<{engine: UpstreamId; item: ItemId}>> = [];
	runMs = 5;

	override run({engine, item}: SampleCall, handlers: SampleHandlers): SampleRun {
		this.runs.push({engine: engine.id, item});
		const timer = setTimeout(() => {
			handlers.onStart(1);
			handlers.onEvent({id: 0, data: 'x', version: undefined});
			handlers.onEnd({kind: 'complete'});
		}, this.runMs);
		return {
			abort() {
				clearTimeout(timer);
			},
		};
	}
}

/** Loses the response to the first claim for an engine, and applies that claim after a delay. */
class ForgetfulStore extends MemoryRowStore {
	onLost = () => undefined as void;
	hasLost = false;

	constructor(private readonly engine: string, private readonly delayMs: number) {
		super({now: () => performance.now()});
	}

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		if (this.hasLost || !this.isClaim(transaction)) {
			return super.transact(transaction);
		}

		this.hasLost = true;
		this.onLost();
		if (this.delayMs === 0) {
			await super.transact(transaction);
		} else {
			setTimeout(() => {
				void super.transact(transaction);
			}, this.delayMs);
		}

		return {kind: 'unknown'};
	}

	private isClaim({writes}: Transaction): boolean {
		return writes.length > 0 && writes.every(({table, key, value}) => table === batchTable && groupOfKey(key) !== undefined
			&& decodeClaims(value).some(claim => claim.kind === 'running' && claim.engine === this.engine));
	}
}

describe('a claim that takes effect although the store does not respond to it', () => {
	let daemons: BatchDaemon[];
	let client: SteadyEngines;
	let directory: UpstreamDirectory;

	beforeEach(() => {
		daemons = [];
		client = new SteadyEngines();
		directory = new UpstreamDirectory();
		directory.upsert(engineRecord('e1'));
		directory.upsert(engineRecord('e2'));
	});

	afterEach(() => {
		for (const daemon of daemons) {
			daemon.stop();
		}
	});

	const readyEngine = (engine: string) => directory.all().filter(({id, state}) => id === engine && state === 'ready');

	/** Starts two daemons with an engine each, of which the first leaves as soon as the claim for it is lost. */
	const start = async (store: ForgetfulStore, options: Readonly<{releasesClaims?: boolean}> = {}) => {
		store.onLost = () => {
			directory.upsert(engineRecord('e1', {state: 'leaving'}));
		};

		for (const [incarnation, engine] of [['d1#1', 'e1'], ['d2#1', 'e2']] as const) {
			daemons.push(new BatchDaemon({
				store, client, directory, incarnation: incarnation as DaemonIncarnation, ...options,
				ownedEngines: () => readyEngine(engine),
			}));
		}

		await vi.waitUntil(() => daemons.every(({follower}) => follower.isLoaded));
		const items = Array.from({length: 12}, (_, index) => ({
			id: `i${index}` as ItemId, path: '/p/', headers: [], body: new Uint8Array([1]), tokens: 10, group: `g${index % 3}`, expectedTokens: 10,
		}));
		await daemons[1]!.service.submit({
			id: batch, host: 'h', path: '/p/', step: 0, model, minVersion: 1, targetGroups: 3, items,
		});
	};

	const countResults = async () => {
		const read = await daemons[1]!.service.results(batch, {after: 0, waitMs: 0, signal: new AbortController().signal});
		return read.kind === 'page' ? read.page.results.length : 0;
	};

	it.each([
		['at once', 0],
		['after its engine has left', 300],
	])('%s leaves no item with a daemon that owns no engine and does not run it', async (_, delayMs) => {
		await start(new ForgetfulStore('e1', delayMs));
		await vi.waitUntil(async () => await countResults() === 12, {timeout: 5000});
		expect(new Set(client.runs.map(({engine}) => engine))).toEqual(new Set(['e2']));
	});

	it('keeps its items from all engines if it is not released', async () => {
		const store = new ForgetfulStore('e1', 0);
		await start(store, {releasesClaims: false});
		await sleep(1500);
		expect(store.hasLost).toBe(true);
		expect(await countResults()).toBeLessThan(12);
	});

	it('is not released while its daemon works on the items', async () => {
		client.runMs = 600;
		await start(new ForgetfulStore('none', 0));
		await vi.waitUntil(async () => await countResults() === 12, {timeout: 5000});
		expect(daemons.flatMap(({released}) => released)).toEqual([]);
		expect(client.runs).toHaveLength(12);
	});
});

describe('planClaimReleases', () => {
	const self = 'd1#1' as DaemonIncarnation;
	const other = 'd2#1';
	const claimOf = fc.oneof(
		fc.constant<ItemClaim>(unclaimed),
		fc.constant<ItemClaim>({kind: 'listed'}),
		fc.record({
			kind: fc.constant('running' as const), incarnation: fc.constantFrom<string>(self, other), engine: fc.constant('e1'), failures: fc.nat(2), hasPartialText: fc.boolean(),
		}),
		fc.record({
			kind: fc.constant('rewarding' as const),
			incarnation: fc.constantFrom<string | undefined>(self, other, undefined),
			rewardFailures: fc.nat(2),
			failures: fc.nat(2),
			hasPartialText: fc.constant(true),
		}),
	);
	const viewOf = (groups: readonly ItemClaim[][]): BatchView => ({
		id: batch,
		plan: {
			host: 'h', path: '/p/', step: 1, model, minVersion: 1, targetGroups: 1, submittedAt: 0,
			groups: groups.map((claims, group) => ({items: claims.map((_, item) => ({id: `${group}.${item}` as ItemId, expectedTokens: 1}))})),
		},
		planVersion: 1, count: 0, isEnded: false, claims: groups.map(items => ({version: 2, items})),
	});

	it('finds each claim of this daemon that it does not work on, and no other one', () => {
		fc.assert(fc.property(fc.array(fc.array(claimOf, {minLength: 1, maxLength: 4}), {minLength: 1, maxLength: 4}), fc.func(fc.boolean()), (groups, isWorkedOn) => {
			const found = new Set(planClaimReleases({
				batches: [viewOf(groups)], incarnation: self, isWorkedOn: key => isWorkedOn(key),
			}).flatMap(({group, items}) => items.map(item => itemKeyOf({batch, group, item}))));
			for (const [group, claims] of groups.entries()) {
				for (const [item, claim] of claims.entries()) {
					const key = itemKeyOf({batch, group, item});
					const isOwn = 'incarnation' in claim && claim.incarnation === self;
					expect(found.has(key)).toBe(isOwn && !isWorkedOn(key));
				}
			}
		}), {seed: 20_261_205, numRuns: 300});
	});

	it('finds a text whose takeover took effect without a response, so that another daemon gets its score', () => {
		const claim: ItemClaim = {
			kind: 'rewarding', incarnation: self, rewardFailures: 1, failures: 0, hasPartialText: true,
		};
		const view = viewOf([[claim]]);
		const [target] = planClaimReleases({batches: [view], incarnation: self, isWorkedOn: () => false});
		expect(target).toEqual({batch, group: 0, items: [0]});
		const {transaction} = planCommit(view, [{
			group: 0, item: 0, kind: 'reward-released', rewardFailures: claim.rewardFailures,
		}], {incarnation: self, listing: 'l'});
		expect(decodeClaims(transaction.writes[0]!.value)).toMatchObject([{kind: 'rewarding', incarnation: undefined, rewardFailures: 1}]);
	});
});
