import {readAll, type RowStore} from '@cicadapost/store';
import type {BatchId} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {SampleText} from './batch.js';
import {
	bodyRange, decodeBodies, decodePartial, isItemBodyKey, itemBodyRange, partialRange, RowShapeError, type ItemBody,
} from './encode-rows.js';
import type {ClaimTarget} from './plan-claims.js';

export type ItemReaderOptions = Readonly<{
	store: RowStore;
	onUnreadableRow: (err: RowShapeError) => void;
}>;

/** Reads the request bodies of items, and those of their whole group if they are stored together. Returns undefined if they can't be read. */
export async function readBodies({store, onUnreadableRow}: ItemReaderOptions, {batch, group, items}: ClaimTarget): Promise<ItemBody[] | undefined> {
	const first = await store.read({...bodyRange(batch, group), limit: 1});
	if (first.kind === 'unavailable') {
		return undefined;
	}

	const [row] = first.rows;
	if (row === undefined || !isItemBodyKey(row.key)) {
		const rows = first.hasMore ? await readAll(store, bodyRange(batch, group)) : first.rows;
		return rows === undefined ? undefined : reportUnreadable(() => decodeBodies(rows), onUnreadableRow);
	}

	const bodies: ItemBody[] = [];
	for (const item of items) {
		const rows = await readAll(store, itemBodyRange(batch, group, item));
		const decoded = rows === undefined ? undefined : reportUnreadable(() => decodeBodies(rows), onUnreadableRow);
		if (decoded === undefined) {
			return undefined;
		}

		bodies.push(...decoded);
	}

	return bodies;
}

/** Reads the stored text of an item. Returns undefined if there is none or it can't be read. */
export async function readText({store, onUnreadableRow}: ItemReaderOptions, view: BatchView | undefined, {group, item}: Readonly<{group: number; item: number}>): Promise<SampleText | undefined> {
	const claim = view?.claims[group]?.items[item];
	if (view === undefined || claim === undefined || claim.kind === 'listed' || !claim.hasPartialText) {
		return undefined;
	}

	const rows = await readAll(store, partialRange(view.id, group, item));
	return rows === undefined ? undefined : reportUnreadable(() => decodePartial(rows), onUnreadableRow);
}

function reportUnreadable<Decoded>(decode: () => Decoded, onUnreadableRow: ItemReaderOptions['onUnreadableRow']): Decoded | undefined {
	try {
		return decode();
	} catch (err) {
		if (!(err instanceof RowShapeError)) {
			throw err;
		}

		onUnreadableRow(err);
		return undefined;
	}
}
