import {exceededLimit, maxRowBytes} from '@cicadapost/store';
import type {TeamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	addCounts, encodeCounts, reportOf, reportPart, reportRows, usageTable, windowOfReport,
} from './usage-rows.js';

describe('rows of counts', () => {
	const countsOf = (count: number) => new Map(Array.from({length: 900}, (_, index): [TeamId, number] => [`${index}-`.padEnd(200, 't') as TeamId, count]));

	it('fit into the store however long the names of teams are, and a team keeps its row while counts grow', () => {
		const [few, many] = [1, 4_000_000_000].map(count => encodeCounts('d1#1', countsOf(count)));
		expect(few!.map(({key}) => key)).toEqual(many!.map(({key}) => key));
		expect(many!.every(({value}) => value.length <= maxRowBytes)).toBe(true);
		const sums = many!.map(({value}) => {
			const sum = new Map<TeamId, number>();
			addCounts(value, sum);
			return sum;
		});
		expect(sums.reduce((total, {size}) => total + size, 0)).toBe(900);
		const firsts = few!.map(({value}) => {
			const sum = new Map<TeamId, number>();
			addCounts(value, sum);
			return [...sum.keys()];
		});
		expect(firsts).toEqual(sums.map(sum => [...sum.keys()]));
	});
});

describe('rows of a report', () => {
	it('are one for a usual report, and several for one that does not fit into a row', () => {
		for (const bytes of [1000, 300_000]) {
			const report = Buffer.alloc(bytes, 'r');
			const rows = reportRows(7, report);
			expect(rows.length).toBe(bytes === 1000 ? 1 : 5);
			expect(exceededLimit({part: reportPart, writes: rows.map(row => ({...row, table: usageTable}))})).toBe(undefined);
			expect(Buffer.from(reportOf(rows, 7)!).equals(report)).toBe(true);
			expect(reportOf(rows, 8)).toBe(undefined);
			expect(rows.every(({key}) => windowOfReport(key) === 7)).toBe(true);
		}
	});

	it('are no report while some are missing', () => {
		expect(reportOf(reportRows(7, Buffer.alloc(300_000)).slice(1), 7)).toBe(undefined);
	});
});
