import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MemoryRowStore} from './memory-row-store.js';
import {
	chunksOf, exceededLimit, fitsTransaction, maxRowBytes, maxTransactionBytes, maxTransactionEntries, sizeOf,
} from './transaction-limits.js';

const row = (key: string, bytes = 1) => ({table: 't', key, value: new Uint8Array(bytes)});

describe('limits of a transaction', () => {
	it('count preconditions, writes and deletes together', () => {
		const expected = Array.from({length: 40}, (_, index) => ({table: 't', key: `e${index}`, version: 0}));
		const writes = Array.from({length: 40}, (_, index) => row(`w${index}`));
		const deletes = Array.from({length: 21}, (_, index) => ({table: 't', key: `d${index}`}));
		expect(exceededLimit({
			part: 'p', expected, writes, deletes: deletes.slice(1),
		})).toBe(undefined);
		expect(exceededLimit({
			part: 'p', expected, writes, deletes,
		})).toContain(`${maxTransactionEntries + 1} entries`);
	});

	it('hold for the bytes of the call, of each row and of each name', () => {
		const large = Array.from({length: 13}, (_, index) => row(`w${index}`, maxRowBytes));
		expect(exceededLimit({part: 'p', writes: large})).toContain('bytes');
		expect(exceededLimit({part: 'p', writes: large.slice(0, 10)})).toBe(undefined);
		expect(exceededLimit({part: 'p', writes: [row('k', maxRowBytes + 1)]})).toContain('a row of');
		expect(exceededLimit({part: 'p'.repeat(201), writes: [row('k')]})).toContain('a name of');
	});

	it('are never underestimated, whatever the names and values', () => {
		const name = fc.string({unit: 'binary', maxLength: 40});
		const entry = fc.record({table: name, key: name, value: fc.uint8Array({maxLength: 300})});
		fc.assert(fc.property(name, fc.array(entry, {maxLength: 20}), (part, writes) => {
			const call = JSON.stringify({
				expected: writes.map(({table, key}) => ({
					table, part, key, ver: Number.MAX_SAFE_INTEGER,
				})),
				set_keys: writes.map(({table, key, value}) => ({
					table, part, key, value: Buffer.from(value).toString('base64'),
				})),
				remove: [],
			});
			const {bytes} = sizeOf({part, expected: writes.map(({table, key}) => ({table, key, version: 1})), writes});
			return bytes >= Buffer.byteLength(call);
		}), {seed: 20_261_207, numRuns: 300});
	});

	it('are those of the store that tests use, which applies no part of a transaction that exceeds them', async () => {
		const store = new MemoryRowStore();
		const writes = Array.from({length: maxTransactionEntries + 1}, (_, index) => row(`k${index}`));
		expect(await store.transact({part: 'p', writes})).toMatchObject({kind: 'rejected'});
		expect(store.all()).toEqual([]);
		for (const chunk of chunksOf(writes)) {
			expect(await store.transact({part: 'p', writes: chunk})).toMatchObject({kind: 'committed'});
		}

		expect(store.all()).toHaveLength(maxTransactionEntries + 1);
	});

	it('allow transactions up to a size', () => {
		expect([fitsTransaction({entries: 100, bytes: maxTransactionBytes}), fitsTransaction({entries: 1, bytes: maxTransactionBytes + 1})]).toEqual([true, false]);
	});
});
