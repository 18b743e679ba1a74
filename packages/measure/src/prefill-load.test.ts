import {describe, expect, it} from 'vitest';
import {playLoad, type LoadOptions} from './prefill-load.js';

const faults: ReadonlyArray<readonly [name: string, fields: Partial<LoadOptions>]> = [
	['all engines alike', {}],
	['one engine 4 times slower', {slowFactor: 4}],
	['one engine gone', {goneAt: 2000}],
];

describe('prompts of 1, 10 and 100 times the median', () => {
	for (const load of [0.5, 0.8]) {
		describe(`at ${load * 100}% of capacity`, () => {
			it.each(faults)('both kinds meet their targets, and the short ones miss theirs without the mechanism: %s', (_, fields) => {
				for (const seed of [1, 2, 3]) {
					const {short, long} = playLoad({
						load, seed, isPlaced: true, ...fields,
					});
					expect(Math.min(short.inTime, long.inTime, short.gapsInTime, long.gapsInTime)).toBeGreaterThan(0.95);
					const unplaced = playLoad({
						load, seed, isPlaced: false, ...fields,
					});
					expect(1 - unplaced.short.inTime).toBeGreaterThan(3 * (1 - short.inTime));
					expect(unplaced.short.inTime).toBeLessThan(load === 0.8 ? 0.9 : 0.97);
				}
			});
		});
	}

	describe('at 110% of capacity', () => {
		it.each(faults)('neither kind starves, nor waits longer than without the mechanism by more than a half: %s', (_, fields) => {
			const options = {load: 1.1, seed: 1, ...fields};
			const placed = playLoad({...options, isPlaced: true});
			const unplaced = playLoad({...options, isPlaced: false});
			for (const kind of ['short', 'long'] as const) {
				expect(placed[kind].served).toBe(placed[kind].sent);
				expect(placed[kind].worstFirstEventMs).toBeLessThan(1.5 * unplaced[kind].worstFirstEventMs);
			}

			expect(placed.short.inTime).toBeGreaterThan(1.5 * unplaced.short.inTime);
		});
	});
});

describe('prompts that are all alike', () => {
	it('are sent in the same order to the same engines as without the mechanism', () => {
		const options = {load: 0.8, seed: 1, isAlike: true};
		expect(playLoad({...options, isPlaced: true}).order).toEqual(playLoad({...options, isPlaced: false}).order);
	});
});
