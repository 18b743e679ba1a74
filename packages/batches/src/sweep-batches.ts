import {readAll, type RowStore} from '@cicadapost/store';
import type {BatchId, Millis} from '@cicadapost/types';
import type {BatchCache, BatchView} from './batch-cache.js';
import {
	batchTable, bodyTable, partialTable, planKey, resultTable,
} from './encode-rows.js';

/** Added to the time that results are kept, for clocks and answers that are late. */
const expiryMarginMs = 60_000;
/** How often old batches are looked for. */
const sweepIntervalMs = 5000;
/** Rows deleted in one transaction; the store takes 100 entries. */
const rowsPerTransaction = 90;

/** Whether nobody may read a batch any more. Open batches stay, however old they are. */
export function isExpired(view: BatchView, options: Readonly<{storeTime: Millis; retentionMs: Millis; queueDeadline: Millis}>): boolean {
	const {storeTime, retentionMs, queueDeadline} = options;
	const isOver = view.isEnded || storeTime > queueDeadline + expiryMarginMs;
	return isOver && storeTime > view.plan.submittedAt + retentionMs + expiryMarginMs;
}

export type BatchSweeperOptions = Readonly<{
	store: RowStore;
	batchCache: BatchCache;
	/** Whether this daemon is the one that deletes the batch. Two that think so do no harm. */
	isOwner: (batch: BatchId) => boolean;
	isExpired: (view: BatchView) => boolean;
	onDeleted: (batch: BatchId) => void;
}>;

/** A task that deletes the rows of old batches, since nothing in the store expires on its own. */
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

	/** Deletes what is outdated. A batch whose rows could not all be deleted comes again with the next look. */
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
		// The plan goes last: while it is there, other rows that are left are found again.
		for (const table of [bodyTable, partialTable, resultTable, batchTable]) {
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
