import type {UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	countTicksWithoutAnswer, createStateRead, resetAfterPause, isStateUnknown, recordAnswer, scheduleRetry, takeDueReads, type StateReads,
} from './state-reads.js';

const engine = 'e1' as UpstreamId;

describe('an engine of a shard that was just taken over', () => {
	it('is used from the first answer on, and asked again after an interval', () => {
		const read = createStateRead(0);
		const reads: StateReads = new Map([[engine, read]]);
		expect(isStateUnknown(read)).toBe(true);
		expect(takeDueReads(reads, 0)).toEqual([engine]);
		expect(takeDueReads(reads, 500)).toEqual([]);
		expect(recordAnswer(read)).toBe(true);
		expect(recordAnswer(read)).toBe(false);
		expect(isStateUnknown(read)).toBe(false);
		expect(takeDueReads(reads, 1000)).toEqual([engine]);
	});

	it('is used without an answer after two seconds of ticks, so that requests do not wait for an unresponsive engine', () => {
		const read = createStateRead(0);
		const reads: StateReads = new Map([[engine, read]]);
		const changes = Array.from({length: 45}, () => countTicksWithoutAnswer(reads));
		expect(changes.indexOf(true)).toBe(39);
		expect(isStateUnknown(read)).toBe(false);
	});

	it('is asked again before it is used without an answer, so that one that restarts and leaves is detected', () => {
		const reads: StateReads = new Map([[engine, createStateRead(0)]]);
		let asked = 0;
		for (let now = 0; isStateUnknown(reads.get(engine)); now += 50) {
			asked += takeDueReads(reads, now).length;
			// A read without an answer times out after one second.
			if (now === 1000) {
				scheduleRetry(reads.get(engine)!, now);
			}

			countTicksWithoutAnswer(reads);
		}

		expect(asked).toBeGreaterThanOrEqual(2);
	});
});

describe('a pause of the process', () => {
	it('makes known states unknown, since an engine may have begun to leave meanwhile', () => {
		const read = createStateRead(0);
		recordAnswer(read);
		const reads: StateReads = new Map([[engine, read]]);
		expect(resetAfterPause(reads, 1000, 1050)).toBe(false);
		expect(isStateUnknown(reads.get(engine))).toBe(false);
		expect(resetAfterPause(reads, 1000, 2100)).toBe(true);
		expect(isStateUnknown(reads.get(engine))).toBe(true);
		expect(takeDueReads(reads, 2100)).toEqual([engine]);
	});
});
