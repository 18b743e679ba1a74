import {fc, test} from '@fast-check/vitest';
import type {DaemonId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {maxTurnWaitMs, nextOwnSlot, planTurns} from './plan-turns.js';

describe('planTurns', () => {
	it('spaces turns evenly and gives none to a request that cannot wait for the next one', () => {
		const plan = planTurns({
			requestsPerSecond: 2, nextFreeAt: 1000, latestStarts: [5000, 1200, 5000], now: 800,
		});
		expect(plan).toEqual({starts: [1000, undefined, 1500], nextFreeAt: 2000});
	});

	it('does not keep unused turns, so that an upstream gets no burst after a pause', () => {
		expect(planTurns({
			requestsPerSecond: 2, nextFreeAt: 1000, latestStarts: [9000, 9000], now: 8000,
		}).starts).toEqual([8000, 8500]);
	});

	it('ignores a row from before the store\'s clock started again', () => {
		expect(planTurns({
			requestsPerSecond: 2, nextFreeAt: 1_000_000, latestStarts: [100], now: 50,
		}).starts).toEqual([50]);
	});

	it('tries an upstream that takes no requests once in four seconds, so that the end of its limit is seen', () => {
		expect(planTurns({
			requestsPerSecond: 0, nextFreeAt: 0, latestStarts: [9000, 9000], now: 100,
		}).starts).toEqual([100, 4100]);
	});
});

describe('nextOwnSlot', () => {
	const daemons = Array.from({length: 82}, (_, index) => `d${index}` as DaemonId);

	it('returns nothing for a daemon that the others may not know', () => {
		expect(nextOwnSlot({
			requestsPerSecond: 1, daemons, self: 'new' as DaemonId, lastSlot: -1, now: 0,
		})).toBeUndefined();
	});

	test.prop([fc.integer({min: 1, max: 82}), fc.double({min: 0.3, max: 20, noNaN: true}), fc.integer({min: 0, max: 1_000_000})], {seed: 20_261_204})(
		'keeps the sum of all daemons below a third of the limit, whatever their number',
		(count, requestsPerSecond, from) => {
			const known = daemons.slice(0, count);
			const starts = known.flatMap(self => {
				const own: number[] = [];
				let lastSlot = -1;
				for (let now = from; now < from + 4000;) {
					const next = nextOwnSlot({
						requestsPerSecond, daemons: known, self, lastSlot, now,
					})!;
					own.push(next.startsAt);
					lastSlot = next.slot;
					now = next.startsAt;
				}

				return own.filter(start => start < from + 4000);
			});
			expect(starts.length).toBeLessThanOrEqual(Math.ceil(4 * Math.max(0.25, requestsPerSecond / 3)) + 1);
		},
	);
});

describe('maxTurnWaitMs', () => {
	const wait = {remainingMs: 3000, targetLatencyMs: 200, requestsPerSecond: 1};

	it('allows for one waiting request at least, and otherwise for those that are answered within the target latency', () => {
		expect(maxTurnWaitMs(wait)).toBe(1000);
		expect(maxTurnWaitMs({...wait, requestsPerSecond: 50})).toBe(200);
	});

	it('leaves time for the work before the deadline', () => {
		expect(maxTurnWaitMs({...wait, remainingMs: 300})).toBeLessThan(300);
	});
});
