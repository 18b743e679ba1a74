import {describe, expect, it} from 'vitest';
import {TextHolds} from './text-holds.js';

describe('TextHolds', () => {
	it('holds an item for a second, so that an engine of its text\'s version can claim it, and not longer', () => {
		const holds = new TextHolds();
		expect(holds.isHeld('a', 0)).toBe(true);
		expect(holds.isHeld('a', 900)).toBe(true);
		expect(holds.isHeld('b', 900)).toBe(true);
		expect(holds.isHeld('a', 1000)).toBe(false);
		expect(holds.isHeld('a', 4000)).toBe(false);
	});

	it('holds an item again that is released much later', () => {
		const holds = new TextHolds();
		holds.isHeld('a', 0);
		expect(holds.isHeld('a', 6000)).toBe(true);
	});
});
