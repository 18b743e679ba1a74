import {describe, expect, it} from 'vitest';
import {
	fitLine, evaluateBound, voidUnreliableRatios, maxMinShares, quantile, summarize,
} from './index.js';

describe('statistics', () => {
	it('uses the nearest-rank method; another method would shift every p99 that is checked against a bound', () => {
		const values = Array.from({length: 200}, (_, index) => 200 - index);
		expect(quantile(values, 0.99)).toBe(198);
		expect(quantile([], 0.99)).toBeNaN();
	});

	it('redistributes what one member leaves unused to the others by weight; otherwise the entitlements in the share case are wrong', () => {
		const shares = maxMinShares([{weight: 5, demand: 20}, {weight: 3, demand: 60}, {weight: 2, demand: 30}], 100);
		expect(shares).toEqual([20, 50, 30]);
		expect(maxMinShares([{weight: 5, demand: 100}, {weight: 3, demand: 100}, {weight: 2, demand: 100}], 100)).toEqual([50, 30, 20]);
	});

	it('recovers slope and intercept of points on a line; the values at the target size are taken from it', () => {
		expect(fitLine([{x: 9, y: 19}, {x: 90, y: 181}, {x: 770, y: 1541}])).toEqual({slope: expect.closeTo(2, 9), intercept: expect.closeTo(1, 9)});
	});
});

describe('verdicts', () => {
	const ratio = {figure: 'ratio', comparison: 'at most', limit: 1.5} as const;
	const failed = {figure: 'failed', comparison: 'at most', limit: 1} as const;

	it('are void for a ratio while calls fail; in the tail case, a run with 79% failed calls had a ratio of 1.00', () => {
		const bounds = voidUnreliableRatios([evaluateBound(ratio, 'ratio', summarize([1, 1])), evaluateBound(failed, 'failed', summarize([79, 80]))]);
		expect(bounds.map(bound => bound.verdict)).toEqual(['void, calls failed', 'missed']);
	});

	it('are met only if every seed meets the bound; the median alone would hide a seed that misses it', () => {
		expect(evaluateBound(ratio, 'ratio', summarize([1, 1.2, 1.9])).verdict).toBe('met by the median only');
	});
});
