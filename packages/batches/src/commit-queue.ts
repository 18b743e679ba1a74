import {setTimeout as sleep} from 'node:timers/promises';
import type {
	RowStore, StoredRow, TableFollower, TransactionOutcome,
} from '@cicadapost/store';
import type {BatchId, Clock, DaemonIncarnation} from '@cicadapost/types';
import type {BatchCache} from './batch-cache.js';
import {batchTable, listingKey} from './encode-rows.js';
import {
	planCommit, withoutText, type CommitPlan, type ItemOutcome,
} from './plan-commit.js';
import {itemKeyOf} from './sample-run.js';

/** Delay for collecting outcomes into one transaction. */
const coalesceMs = 15;
/** Delay before retrying a transaction that the store has refused or did not respond to. */
const retryMs = 150;

export type CommitQueueOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	batchCache: BatchCache;
	incarnation: DaemonIncarnation;
	onCommitFailure: (batch: BatchId, detail: string) => void;
}>;

/** A background task that records the outcomes of this daemon's runs, with one transaction at a time per batch. */
export class CommitQueue {
	private readonly waiting = new Map<BatchId, ItemOutcome[]>();
	private readonly busy = new Set<BatchId>();
	/** Number of transactions planned so far. */
	private sequence = 0;
	/** Number of outcomes that the next transaction of a batch may have, after the store has rejected one. */
	private readonly maxOutcomes = new Map<BatchId, number>();

	constructor(private readonly options: CommitQueueOptions) {}

	push(batch: BatchId, outcome: ItemOutcome): void {
		const outcomes = this.waiting.get(batch) ?? [];
		outcomes.push(outcome);
		this.waiting.set(batch, outcomes);
		if (!this.busy.has(batch)) {
			this.busy.add(batch);
			void this.drain(batch);
		}
	}

	/** Whether an outcome that ends the claim of an item is waiting to be recorded. `itemKey` is a key from `itemKeyOf`. */
	hasFinalOutcome(itemKey: string): boolean {
		const [batch, group, item] = itemKey.split('/');
		return this.waiting.get(batch as BatchId)?.some(outcome => outcome.kind !== 'progress' && outcome.group === Number(group) && outcome.item === Number(item)) ?? false;
	}

	/** Keys of the items with outcomes that end a claim and wait to be recorded. */
	itemsWithFinalOutcome(): ReadonlySet<string> {
		return new Set([...this.waiting].flatMap(([batch, outcomes]) => outcomes.filter(({kind}) => kind !== 'progress').map(({group, item}) => itemKeyOf({batch, group, item}))));
	}

	/** Whether no outcome is waiting to be recorded. */
	get isIdle(): boolean {
		return this.busy.size === 0;
	}

	private async drain(batch: BatchId): Promise<void> {
		try {
			await sleep(coalesceMs);
			while ((this.waiting.get(batch)?.length ?? 0) > 0) {
				await this.commitOnce(batch);
			}
		} finally {
			this.waiting.delete(batch);
			this.maxOutcomes.delete(batch);
			this.busy.delete(batch);
		}
	}

	private async commitOnce(batch: BatchId): Promise<void> {
		const {clock, follower, batchCache, incarnation, onCommitFailure} = this.options;
		const outcomes = (this.waiting.get(batch) ?? []).slice(0, this.maxOutcomes.get(batch));
		const view = batchCache.get(batch);
		if (view === undefined) {
			onCommitFailure(batch, 'dropped the outcomes of an unknown batch');
			this.waiting.set(batch, []);
			return;
		}

		this.sequence += 1;
		const plan = planCommit(view, outcomes, {
			incarnation, listing: listingKey({storeTime: follower.storeTime(clock.now()), incarnation, sequence: this.sequence}),
		});
		if (plan.included.length === 0) {
			this.remove(batch, plan.obsolete);
			return;
		}

		const outcome = await this.commit(plan);
		switch (outcome.kind) {
			case 'committed': {
				this.maxOutcomes.delete(batch);
				follower.mergeRows(writtenRows(plan.transaction, outcome.version));
				this.remove(batch, [...plan.included, ...plan.obsolete]);
				break;
			}

			case 'conflict': {
				// The current rows contain what another daemon recorded, or show that an earlier transaction was applied although its response was lost.
				follower.mergeRows(outcome.rows);
				if (!hasNewVersion(outcome.rows, plan.transaction.expected ?? [])) {
					await sleep(coalesceMs);
				}

				break;
			}

			case 'rejected': {
				onCommitFailure(batch, `the store never accepts a transaction with ${plan.included.length} outcomes: ${outcome.reason}`);
				this.shrink(batch, plan.included);
				break;
			}

			case 'refused':
			case 'unknown': {
				onCommitFailure(batch, `the store ${outcome.kind === 'refused' ? 'refused' : 'did not respond to'} a transaction with ${plan.included.length} outcomes`);
				await sleep(retryMs);
				break;
			}
		}
	}

	/** Commits the transactions of a plan. Returns the outcome of the first one that was not committed, or of the last. */
	private async commit({preceding, transaction}: CommitPlan): Promise<TransactionOutcome> {
		for (const earlier of preceding) {
			const outcome = await this.options.store.transact(earlier);
			if (outcome.kind !== 'committed') {
				return outcome;
			}
		}

		return this.options.store.transact(transaction);
	}

	/** Commits less in the next transaction after one that the store never accepts, and leaves out the text of an outcome that it never accepts alone. */
	private shrink(batch: BatchId, rejected: readonly ItemOutcome[]): void {
		this.maxOutcomes.set(batch, Math.max(1, Math.floor(rejected.length / 2)));
		const [outcome, ...others] = rejected;
		if (outcome === undefined || others.length > 0) {
			return;
		}

		const view = this.options.batchCache.get(batch);
		const smaller = view === undefined ? undefined : withoutText(outcome, view);
		this.waiting.set(batch, (this.waiting.get(batch) ?? []).flatMap(waiting => (waiting === outcome ? (smaller ?? []) : waiting)));
	}

	private remove(batch: BatchId, done: readonly ItemOutcome[]): void {
		this.waiting.set(batch, (this.waiting.get(batch) ?? []).filter(outcome => !done.includes(outcome)));
	}
}

/** Returns the rows that a committed transaction wrote to the batch table, which is the one that daemons follow. */
export function writtenRows(transaction: Readonly<{part: string; writes: ReadonlyArray<Readonly<{table: string; key: string; value: Uint8Array}>>}>, version: number): StoredRow[] {
	return transaction.writes
		.filter(write => write.table === batchTable)
		.map(write => ({...write, part: transaction.part, version}));
}

function hasNewVersion(rows: readonly StoredRow[], expected: ReadonlyArray<Readonly<{key: string; version: number}>>): boolean {
	return rows.some(row => expected.some(({key, version}) => key === row.key && version !== row.version));
}
