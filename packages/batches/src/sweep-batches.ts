import {readAll, type RowStore} from '@cicadapost/store';
import type {BatchId, Millis} from '@cicadapost/types';
import type {BatchCache, BatchView} from './batch-cache.js';
import {
	batchTable, bodyTable, listingTable, partialTable, planKey, resultTable,
} from './encode-rows.js';

/** Safety margin added to the retention time, for clock differences and late responses. */
const expiryMarginMs = 60_000;
/** Interval for deleting expired batches. */
const sweepIntervalMs = 5000;
/** Maximum number of rows deleted in a transaction. The store accepts 100 entries. */
const rowsPerTransaction = 90;

/** Whether a batch may be deleted because it can no longer be read. Open batches never expire, however old they are. */
export function isExpired(view: BatchView, options: Readonly<{storeTime: Millis; retentionMs: Millis; queueDeadline: Millis}>): boolean {
	const {storeTime, retentionMs, queueDeadline} = options;
	const isOver = view.isEnded || storeTime > queueDeadline + expiryMarginMs;
	return isOver && storeTime > view.plan.submittedAt + retentionMs + expiryMarginMs;
}

export type BatchSweeperOptions = Readonly<{
	store: RowStore;
	batchCache: BatchCache;
	/** Whether this daemon is responsible for deleting the batch. It is harmless if two daemons are. */
	isOwner: (batch: BatchId) => boolean;
	isExpired: (view: BatchView) => boolean;
	onDeleted: (batch: BatchId) => void;
}>;

/** A background task that deletes the rows of expired batches, since the store does not expire rows by itself. */
export class BatchSweeper {
	private readonly timer: NodeJS.Timeout;
	private isSweeping = false;

	constructor(private readonly options: BatchSweeperOptions) {
		this.timer = setInterval(() => {
			void this.sweep();
		}, sweepIntervalMs);
	}

	stop(): void {
		clearInterval(this.timer);
	}

	/** Deletes expired batches. A batch of which some rows could not be deleted is retried with the next sweep. */
	async sweep(): Promise<void> {
		if (this.isSweeping) {
			return;
		}

		this.isSweeping = true;
		const {batchCache, isOwner, isExpired: shouldDelete, onDeleted} = this.options;
		for (const view of batchCache.all()) {
			if (isOwner(view.id) && shouldDelete(view) && await this.delete(view.id)) {
				onDeleted(view.id);
			}
		}

		this.isSweeping = false;
	}

	private async delete(batch: BatchId): Promise<boolean> {
		const {store} = this.options;
		// The plan is deleted last: as long as it exists, a later sweep finds the remaining rows.
		for (const table of [bodyTable, partialTable, resultTable, listingTable, batchTable]) {
			const rows = await readAll(store, {table, part: batch});
			if (rows === undefined) {
				return false;
			}

			const keys = rows.map(row => row.key).sort((a, b) => Number(a === planKey) - Number(b === planKey));
			for (let index = 0; index < keys.length; index += rowsPerTransaction) {
				const outcome = await store.transact({part: batch, writes: [], deletes: keys.slice(index, index + rowsPerTransaction).map(key => ({table, key}))});
				if (outcome.kind !== 'committed') {
					return false;
				}
			}
		}

		return true;
	}
}
