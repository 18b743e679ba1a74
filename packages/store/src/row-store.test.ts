import {describe, expect, it} from 'vitest';
import {MemoryRowStore} from './memory-row-store.js';
import {readAppendOnly, type ReadOutcome, type RowRange} from './row-store.js';

const range = {table: 't', part: 'p'};

/** Returns one row per page, and adds a row between the first and the second page. */
class GrowingStore extends MemoryRowStore {
	private pages = 0;

	override async read(wanted: RowRange): Promise<ReadOutcome> {
		this.pages += 1;
		if (this.pages === 2) {
			await this.add('z');
		}

		return super.read({...wanted, limit: 1});
	}

	async add(key: string): Promise<void> {
		await this.transact({part: 'p', writes: [{table: 't', key, value: new Uint8Array([1])}]});
	}
}

describe('readAppendOnly', () => {
	it('leaves out rows that were added between two pages, so that a position is never given to a later row', async () => {
		const store = new GrowingStore();
		await store.add('b');
		await store.add('d');
		const rows = await readAppendOnly(store, range);
		expect(rows?.map(row => row.key)).toEqual(['b', 'd']);
	});

	it('returns undefined if a page can\'t be read', async () => {
		const store = new GrowingStore();
		store.fault = 'down';
		expect(await readAppendOnly(store, range)).toBeUndefined();
	});
});
