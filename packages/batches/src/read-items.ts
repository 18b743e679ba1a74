import {readAll, type RowStore} from '@cicadapost/store';
import type {BatchId} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {SampleText} from './batch.js';
import {
	bodyRange, decodeBodies, decodePartial, partialRange, type ItemBody,
} from './encode-rows.js';

/** Reads the request bodies of a group, or returns undefined if the store does not respond. */
export async function readBodies(store: RowStore, {batch, group}: Readonly<{batch: BatchId; group: number}>): Promise<ItemBody[] | undefined> {
	const rows = await readAll(store, bodyRange(batch, group));
	return rows === undefined ? undefined : decodeBodies(rows);
}

/** Reads the stored text of an item. Returns undefined if there is none, or if the store does not respond. */
export async function readText(store: RowStore, view: BatchView | undefined, {group, item}: Readonly<{group: number; item: number}>): Promise<SampleText | undefined> {
	const claim = view?.claims[group]?.items[item];
	if (view === undefined || claim === undefined || claim.kind === 'listed' || !claim.hasPartialText) {
		return undefined;
	}

	const rows = await readAll(store, partialRange(view.id, group, item));
	return rows === undefined ? undefined : decodePartial(rows);
}
