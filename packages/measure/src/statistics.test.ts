import {describe, expect, it} from 'vitest';
import {fitLine, maxMinShares, quantile} from './index.js';

describe('statistics', () => {
	it('takes the nearest rank; another rule would move each p99 that the bounds are checked against', () => {
		const values = Array.from({length: 200}, (_, index) => 200 - index);
		expect(quantile(values, 0.99)).toBe(198);
		expect(quantile([], 0.99)).toBeNaN();
	});

	it('gives what one member leaves over to the others by weight; otherwise the entitlement of case share is wrong', () => {
		const shares = maxMinShares([{weight: 5, demand: 20}, {weight: 3, demand: 60}, {weight: 2, demand: 30}], 100);
		expect(shares).toEqual([20, 50, 30]);
		expect(maxMinShares([{weight: 5, demand: 100}, {weight: 3, demand: 100}, {weight: 2, demand: 100}], 100)).toEqual([50, 30, 20]);
	});

	it('finds the slope of points on a line; the values at the target size are taken from it', () => {
		expect(fitLine([{x: 9, y: 19}, {x: 90, y: 181}, {x: 770, y: 1541}])).toEqual({slope: expect.closeTo(2, 9), intercept: expect.closeTo(1, 9)});
	});
});
