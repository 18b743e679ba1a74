import {describe, expect, it} from 'vitest';
import type {RowChange} from './row-store.js';
import {TableCopy} from './table-copy.js';

const written = (key: string, version: number): RowChange => ({
	kind: 'written', row: {
		table: 't', part: 'p', key, value: new Uint8Array([version]), version,
	},
});
const deleted = (key: string, version: number): RowChange => ({kind: 'deleted', key: {table: 't', part: 'p', key}, version});

describe('TableCopy', () => {
	describe('changes out of order', () => {
		it('keeps the newest version when an older value arrives late', () => {
			const copy = new TableCopy('t');
			copy.apply([written('a', 5)], 0);
			expect(copy.apply([written('a', 4)], 1)).toEqual([]);
			expect(copy.get('p', 'a')?.version).toBe(5);
		});

		it('does not restore a deleted row when an older value arrives late', () => {
			const copy = new TableCopy('t');
			copy.apply([written('a', 3), deleted('a', 7)], 0);
			copy.apply([written('a', 6)], 1);
			expect(copy.get('p', 'a')).toBeUndefined();
			copy.apply([written('a', 8)], 2);
			expect(copy.get('p', 'a')?.version).toBe(8);
		});
	});

	describe('reloading the whole table', () => {
		it('reports deleted rows and keeps rows that are newer than the snapshot', () => {
			const copy = new TableCopy('t');
			copy.apply([written('old', 2), written('new', 12)], 0);
			const appliedChanges = copy.replace([], 10, 1);
			expect(appliedChanges).toMatchObject([{kind: 'deleted', version: 10}]);
			expect(copy.parts()).toEqual(['p']);
			expect(copy.get('p', 'new')?.version).toBe(12);
		});
	});

	it('changedAt is the time at which a value first arrived, not that of a repeat', () => {
		const copy = new TableCopy('t');
		copy.apply([written('a', 1)], 100);
		copy.apply([written('a', 1)], 200);
		expect(copy.changedAt('p', 'a')).toBe(100);
		copy.apply([written('a', 2)], 300);
		expect(copy.changedAt('p', 'a')).toBe(300);
	});
});
