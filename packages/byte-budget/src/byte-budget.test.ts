import {Clock} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it, vi,
} from 'vitest';
import {BodyMemory} from './body-memory.js';
import {RangeAllocator, type Range} from './range-allocator.js';
import {shareMemory} from './share-memory.js';
import {UnreadOutput} from './unread-output.js';

class TestClock extends Clock {
	at = 0;
	override now() {
		return this.at;
	}

	override wallTime() {
		return this.at;
	}
}

const mebibyte = 1024 * 1024;
const maxBodyBytes = 32 * mebibyte;

describe('RangeAllocator', () => {
	it('never gives a byte to two bodies, and gets back all of them', () => {
		const ranges = new RangeAllocator(64 * mebibyte);
		const taken: Range[] = [];
		let seed = 1;
		const random = () => {
			seed = (seed * 48_271) % 2_147_483_647;
			return seed / 2_147_483_647;
		};

		for (let step = 0; step < 3000; step++) {
			const index = Math.floor(random() * taken.length);
			const known = taken[index];
			const size = Math.ceil((random() ** 4) * 20 * mebibyte);
			const action = random();
			if (known !== undefined && action < 0.4) {
				ranges.release(known);
				taken.splice(index, 1);
			} else if (known !== undefined && action < 0.7) {
				taken[index] = ranges.extend(known, known.bytes + size) ?? known;
			} else {
				const range = ranges.allocate(size);
				taken.push(...(range === undefined ? [] : [range]));
			}

			const sorted = taken.toSorted((a, b) => a.offset - b.offset);
			expect(sorted.every((range, position) => position === 0 || sorted[position - 1]!.offset + sorted[position - 1]!.bytes <= range.offset)).toBe(true);
		}

		for (const range of taken) {
			ranges.release(range);
		}

		expect(ranges.allocate(64 * mebibyte)).toBeDefined();
	});
});

describe('BodyMemory', () => {
	let clock: TestClock;
	let memory: BodyMemory;
	let isHeapShort: boolean;

	beforeEach(() => {
		clock = new TestClock();
		isHeapShort = false;
		memory = new BodyMemory({
			clock, shares: shareMemory(178), random: () => 0.5, isHeapShort: () => isHeapShort,
		});
	});

	const open = (declaredBytes: number | undefined) => {
		const onClosed = vi.fn();
		return {body: memory.open({declaredBytes, onClosed}), onClosed};
	};

	it('takes a body of the largest size in the smallest VM beside smaller ones, in pieces as well', () => {
		open(100_000).body!.append(new Uint8Array(100_000));
		const {body} = open(undefined);
		const piece = new Uint8Array(50_000).map((_, index) => index % 251);
		for (let size = 0; size + piece.length <= maxBodyBytes; size += piece.length) {
			expect(body!.append(piece)).toBe(true);
		}

		const bytes = body!.finish();
		expect(bytes.length).toBe(Math.floor(maxBodyBytes / piece.length) * piece.length);
		expect(Buffer.compare(bytes.subarray(bytes.length - piece.length), piece)).toBe(0);
	});

	it('closes a stalled body for another one, and no body that arrives at a good rate', () => {
		const first = open(maxBodyBytes);
		first.body!.append(new Uint8Array(mebibyte));
		expect(open(maxBodyBytes).body).toBeUndefined();
		expect(first.onClosed).not.toHaveBeenCalled();
		clock.at = 1500;
		first.body!.append(new Uint8Array(mebibyte));
		expect(open(maxBodyBytes).body).toBeUndefined();
		clock.at = 2400;
		expect(open(maxBodyBytes).body).toBeUndefined();
		// A burst does not count for longer than its window.
		clock.at = 2500;
		expect(open(maxBodyBytes).body).toBeDefined();
		expect(first.onClosed).toHaveBeenCalledTimes(1);
	});

	it('closes no body that has arrived, since its request may run', () => {
		const first = open(maxBodyBytes);
		first.body!.append(new Uint8Array(mebibyte));
		first.body!.finish();
		clock.at = 60_000;
		expect(open(maxBodyBytes).body).toBeUndefined();
		expect(first.onClosed).not.toHaveBeenCalled();
		first.body!.release();
		expect(open(maxBodyBytes).body).toBeDefined();
	});

	it('closes stalled small bodies for other small ones', () => {
		const stalled = Array.from({length: 1000}, () => open(60_000));
		expect(stalled.some(({body}) => body === undefined)).toBe(true);
		expect(open(60_000).body).toBeUndefined();
		clock.at = 1000;
		expect(open(1000).body).toBeDefined();
	});

	it('keeps a share for small bodies, also when the heap is nearly full', () => {
		open(maxBodyBytes);
		isHeapShort = true;
		expect(open(1_000_000).body).toBeUndefined();
		expect(open(1000).body).toBeDefined();
	});
});

describe('UnreadOutput', () => {
	it('breaks off the response with the most unread bytes when all together are too many', () => {
		const unread = new UnreadOutput(3000);
		const responses = [1000, 1500, 900].map(writableLength => ({writableLength, peer: undefined, breakOff: vi.fn()}));
		for (const response of responses) {
			unread.update(response);
		}

		expect(responses.map(({breakOff}) => breakOff.mock.calls.length)).toEqual([0, 1, 0]);
		expect(unread.bytes).toBe(1900);
	});
});
