import {setTimeout as sleep} from 'node:timers/promises';
import {
	addEntries, chunksOf, emptyTransactionSize, exceededLimit, fitsTransaction, readAll, readAppendOnly, type RowStore, type TableFollower, type Transaction,
} from '@cicadapost/store';
import type {
	BatchId, Clock, ItemId, Millis,
} from '@cicadapost/types';
import type {BatchCache} from './batch-cache.js';
import {
	anyone, isVisible, itemCount, type BatchItem, type BatchPlan, type BatchReader, type BatchSubmission, type GroupPlan, type SampleResult,
} from './batch.js';
import {groupPromptOf} from './group-prompt.js';
import {writtenRows} from './commit-queue.js';
import {
	batchTable, bodyTable, decodeResults, encodeGroupBodies, encodePlan, endKey, listingTable, planKey, resultRange,
} from './encode-rows.js';
import {readBodies} from './read-items.js';
import {orderResults} from './result-order.js';

export type SubmitOutcome =
	/** The whole batch is in the store. */
	| Readonly<{kind: 'accepted'; isRepeated: boolean}>
	/** No part of the batch will run. */
	| Readonly<{kind: 'refused'; retryAfterMs: Millis}>
	/** Another team has a batch with this id. No part of the batch will run. */
	| Readonly<{kind: 'taken'}>
	/** The store can't hold the batch, however often it is submitted. No part of the batch will run. */
	| Readonly<{kind: 'too-large'; reason: string}>
	/** The batch may have been stored. The caller must submit the same batch again. */
	| Readonly<{kind: 'unknown'}>;

export type ResultsPage = Readonly<{total: number; next: number; results: readonly SampleResult[]}>;

export type ReadResult =
	| Readonly<{kind: 'page'; page: ResultsPage}>
	| Readonly<{kind: 'not-found'}>
	| Readonly<{kind: 'unavailable'}>;

export type BodyOutcome =
	| Readonly<{kind: 'body'; body: Uint8Array}>
	| Readonly<{kind: 'not-found'}>
	| Readonly<{kind: 'unavailable'}>;

export type EndOutcome = 'ended' | 'not-found' | 'unavailable';

export type BatchServiceOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	batchCache: BatchCache;
	/** Returns the current time on the store's clock. */
	storeTime: () => Millis;
}>;

/** Retry delay sent by a daemon that cannot reach the store. It is short because the next attempt reaches another daemon. */
const disconnectedRetryMs = 50;
/** Time limit for all attempts at a write before the caller gets a response. */
const writeTimeoutMs = 2500;
const retryMs = 60;
/** Larger groups are stored as several, so that the claims of each fit into a row. */
const maxGroupItems = 256;
/** Maximum size of the results in one response, which is limited to 1 MB. */
const maxPageBytes = 800 * 1024;
/** Maximum number of results in one response. */
const maxPageResults = 100;

/** Handles the batch calls of trainers. Responses are based on the store, so all daemons give the same ones. */
export class BatchService {
	private waitingCalls = 0;

	constructor(private readonly options: BatchServiceOptions) {}

	/** Number of calls that wait for a result. */
	get waiting(): number {
		return this.waitingCalls;
	}

	/** Stores a batch. Repeated submissions of the same batch have no further effect. */
	async submit(submission: BatchSubmission): Promise<SubmitOutcome> {
		const {clock, follower, batchCache} = this.options;
		const known = batchCache.get(submission.id);
		if (known !== undefined) {
			return repeatedOutcome(known.plan, submission);
		}

		if (follower.connectedFor(clock.now()) === 0) {
			return {kind: 'refused', retryAfterMs: disconnectedRetryMs};
		}

		const giveUpAt = clock.now() + writeTimeoutMs;
		const groups = groupItems(submission.items);
		const plan = encodePlan(createPlan(submission, groups, this.options.storeTime()));
		const reason = reasonOfTooLarge(submission.id, plan);
		if (reason !== undefined) {
			return {kind: 'too-large', reason};
		}

		for (const {transaction, hasPlan} of planTransactions(submission.id, plan, groups)) {
			if (hasPlan) {
				return this.writePlan(submission, transaction, giveUpAt);
			}

			const outcome = await this.write(transaction, giveUpAt);
			if (outcome === 'conflict') {
				return this.outcomeOfStored(submission);
			}

			if (outcome === 'rejected') {
				return {kind: 'too-large', reason: 'the store never accepts the bodies'};
			}

			if (outcome !== 'committed') {
				// A batch does not exist without its plan, even if some bodies were stored.
				return {kind: 'refused', retryAfterMs: disconnectedRetryMs};
			}
		}

		return {kind: 'unknown'};
	}

	private async writePlan(submission: BatchSubmission, transaction: Transaction, giveUpAt: Millis): Promise<SubmitOutcome> {
		switch (await this.write(transaction, giveUpAt)) {
			case 'committed': {
				return {kind: 'accepted', isRepeated: false};
			}

			case 'conflict': {
				return this.outcomeOfStored(submission);
			}

			case 'refused': {
				return {kind: 'refused', retryAfterMs: disconnectedRetryMs};
			}

			case 'rejected': {
				return {kind: 'too-large', reason: 'the store never accepts the plan'};
			}

			case 'unknown': {
				return {kind: 'unknown'};
			}
		}
	}

	/** Returns the results from position `after` on. Waits up to `waitMs` until there is one. */
	async results(id: BatchId, options: Readonly<{after: number; waitMs: Millis; signal: AbortSignal; reader?: BatchReader}>): Promise<ReadResult> {
		const plan = await this.findPlan(id, options.reader);
		if (typeof plan === 'string') {
			return {kind: plan};
		}

		const total = itemCount(plan);
		if (options.waitMs > 0 && options.after < total) {
			await this.waitForCount(id, options.after, options);
		}

		const {store} = this.options;
		const listings = await readAppendOnly(store, {table: listingTable, part: id});
		if (listings === undefined) {
			return {kind: 'unavailable'};
		}

		const wanted = orderResults(listings).slice(options.after, options.after + maxPageResults);
		const rows = wanted.length === 0 ? [] : await readAll(store, resultRange(id, wanted));
		if (rows === undefined) {
			return {kind: 'unavailable'};
		}

		const results = limitBytes(decodeResults(rows, wanted), maxPageBytes);
		return {kind: 'page', page: {total, next: options.after + results.length, results}};
	}

	async body(id: BatchId, item: ItemId, reader?: BatchReader): Promise<BodyOutcome> {
		const plan = await this.findPlan(id, reader);
		if (typeof plan === 'string') {
			return {kind: plan};
		}

		const group = plan.groups.findIndex(({items}) => items.some(candidate => candidate.id === item));
		const index = plan.groups[group]?.items.findIndex(candidate => candidate.id === item) ?? -1;
		if (index === -1) {
			return {kind: 'not-found'};
		}

		const bodies = await readBodies({
			store: this.options.store,
			onUnreadableRow() {
				// The caller is told that the body is not available.
			},
		}, {batch: id, group, items: [index]});
		const body = bodies?.find(candidate => candidate.id === item)?.body;
		return body === undefined ? {kind: 'unavailable'} : {kind: 'body', body};
	}

	async end(id: BatchId, reader?: BatchReader): Promise<EndOutcome> {
		const plan = await this.findPlan(id, reader);
		if (typeof plan === 'string') {
			return plan;
		}

		if (this.options.batchCache.get(id)?.isEnded === true) {
			return 'ended';
		}

		const outcome = await this.write({
			part: id,
			writes: [{table: batchTable, key: endKey, value: new Uint8Array([1])}],
		}, this.options.clock.now() + writeTimeoutMs);
		return outcome === 'committed' ? 'ended' : 'unavailable';
	}

	/** Returns the outcome of a submission that the store has rejected because the batch has a plan, which is in the cache then. */
	private outcomeOfStored(submission: BatchSubmission): SubmitOutcome {
		const plan = this.options.batchCache.get(submission.id)?.plan;
		return plan === undefined ? {kind: 'accepted', isRepeated: true} : repeatedOutcome(plan, submission);
	}

	/** Returns the plan from the cache, or reads it from the store. A batch of another team looks as if it did not exist. */
	private async findPlan(id: BatchId, reader: BatchReader = anyone): Promise<BatchPlan | 'not-found' | 'unavailable'> {
		const {batchCache, store, follower} = this.options;
		const known = batchCache.get(id);
		if (known !== undefined) {
			return isVisible(known.plan, reader) ? known.plan : 'not-found';
		}

		const rows = await readAll(store, {table: batchTable, part: id});
		if (rows === undefined) {
			return 'unavailable';
		}

		follower.mergeRows(rows);
		const plan = batchCache.get(id)?.plan;
		return plan !== undefined && isVisible(plan, reader) ? plan : 'not-found';
	}

	private async waitForCount(id: BatchId, after: number, {waitMs, signal}: Readonly<{waitMs: Millis; signal: AbortSignal}>): Promise<void> {
		const {follower, batchCache} = this.options;
		const isReady = () => (batchCache.get(id)?.count ?? 0) > after || signal.aborted;
		if (isReady()) {
			return;
		}

		this.waitingCalls += 1;
		follower.hurry();
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				follower.off('changed', onChanged);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const onChanged = () => {
				if (isReady()) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			follower.on('changed', onChanged);
			signal.addEventListener('abort', finish);
		});
		this.waitingCalls -= 1;
	}

	/** Retries a write until the store has given a definite response or the time limit is reached. */
	private async write(transaction: Transaction, giveUpAt: Millis): Promise<'committed' | 'conflict' | 'refused' | 'rejected' | 'unknown'> {
		const {store, follower, clock} = this.options;
		let mayBeCommitted = false;
		for (;;) {
			const outcome = await store.transact(transaction);
			switch (outcome.kind) {
				case 'committed': {
					follower.mergeRows(writtenRows(transaction, outcome.version));
					return 'committed';
				}

				case 'conflict': {
					follower.mergeRows(outcome.rows);
					return 'conflict';
				}

				case 'rejected': {
					return mayBeCommitted ? 'unknown' : 'rejected';
				}

				case 'unknown': {
					mayBeCommitted = true;
					break;
				}

				case 'refused': {
					break;
				}
			}

			if (clock.now() + retryMs >= giveUpAt) {
				return mayBeCommitted ? 'unknown' : 'refused';
			}

			await sleep(retryMs);
		}
	}
}

/** Returns the outcome of a submission whose id belongs to a stored batch. */
function repeatedOutcome(plan: BatchPlan, {team}: BatchSubmission): SubmitOutcome {
	return plan.team === undefined || team === undefined || plan.team === team ? {kind: 'accepted', isRepeated: true} : {kind: 'taken'};
}

function groupItems(items: readonly BatchItem[]): BatchItem[][] {
	const groups = new Map<string, BatchItem[]>();
	for (const item of items) {
		const group = groups.get(item.group) ?? [];
		group.push(item);
		groups.set(item.group, group);
	}

	return [...groups.values()].flatMap(group => chunksOf(group, maxGroupItems));
}

/** Returns why the store can't hold a batch, or undefined if it can. */
function reasonOfTooLarge(id: BatchId, plan: Uint8Array): string | undefined {
	return exceededLimit({part: id, writes: [{table: batchTable, key: planKey, value: plan}]});
}

function createPlan(submission: BatchSubmission, groups: readonly BatchItem[][], submittedAt: Millis): BatchPlan {
	const {host, path, step, model, minVersion, targetGroups} = submission;
	return {
		host,
		path,
		step,
		model,
		minVersion,
		targetGroups,
		submittedAt,
		groups: groups.map((group): GroupPlan => {
			const prompt = groupPromptOf(group);
			return {items: group.map(({id, expectedTokens}) => ({id, expectedTokens})), ...(prompt === undefined ? {} : {prompt})};
		}),
		...(submission.items.some(({reward}) => reward !== undefined) ? {hasRewards: true} : {}),
		...(submission.team === undefined ? {} : {team: submission.team}),
	};
}

/**
Builds the transactions that store a batch, each when it is asked for, so that only one is in memory. If one cannot hold all
bodies, the others come first, and the last one includes the plan. Each expects that there is no plan, so that a submission with
the id of a stored batch, perhaps of another team, does not replace its bodies.
*/
function * planTransactions(id: BatchId, plan: Uint8Array, groups: readonly BatchItem[][]): Generator<Readonly<{transaction: Transaction; hasPlan: boolean}>> {
	const expected = [{table: batchTable, key: planKey, version: 0}];
	const planRow = {table: batchTable, key: planKey, value: plan};
	// Each transaction leaves room for the plan, since any of them may turn out to be the last.
	const emptySize = addEntries(emptyTransactionSize, id, [...expected, planRow]);
	let writes: Array<{table: string; key: string; value: Uint8Array}> = [];
	let size = emptySize;
	for (const [group, items] of groups.entries()) {
		for (const chunk of encodeGroupBodies(items, group)) {
			const row = {...chunk, table: bodyTable};
			if (!fitsTransaction(addEntries(size, id, [row]))) {
				yield {transaction: {part: id, expected, writes}, hasPlan: false};
				writes = [];
				size = emptySize;
			}

			writes.push(row);
			size = addEntries(size, id, [row]);
		}
	}

	yield {transaction: {part: id, expected, writes: [...writes, planRow]}, hasPlan: true};
}

function limitBytes(results: readonly SampleResult[], maxBytes: number): SampleResult[] {
	const chosen: SampleResult[] = [];
	let bytes = 0;
	for (const result of results) {
		bytes += result.output.length + 200;
		if (bytes > maxBytes && chosen.length > 0) {
			break;
		}

		chosen.push(result);
	}

	return chosen;
}

