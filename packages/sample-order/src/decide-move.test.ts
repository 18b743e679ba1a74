import type {UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	shouldLeaveToFaster, shouldMove, slowerThanFreeEngines, type EngineRoom,
} from './decide-move.js';

const room = (engine: string, eventMs: number | undefined, freeSlots = 4): EngineRoom => ({engine: engine as UpstreamId, eventMs, freeSlots});
const self = (eventMs: number | undefined) => ({engine: 'self' as UpstreamId, eventMs});

describe('slowerThanFreeEngines', () => {
	it('compares with faster engines that have room, so that nothing waits for a full one', () => {
		expect(slowerThanFreeEngines(self(60), [room('a', 45), room('b', 48), room('c', 59)])).toBeCloseTo(60 / 48);
		expect(slowerThanFreeEngines(self(60), [room('a', 45, 1), room('c', 59)])).toBe(1);
	});

	it('is 1 while paces are not known, so that a fresh fleet holds nothing back', () => {
		expect([slowerThanFreeEngines(self(undefined), [room('a', 45)]), slowerThanFreeEngines(self(60), [room('a', undefined)])]).toEqual([1, 1]);
	});
});

describe('shouldMove', () => {
	it('moves a long sample off an engine that is a third slower, which would make the step a second late', () => {
		expect(shouldMove({elapsedMs: 1000, expectedMs: 8000, slowerBy: 1.3})).toBe(true);
	});

	it('keeps a sample that ends before another engine could go on with it', () => {
		expect(shouldMove({elapsedMs: 1000, expectedMs: 1800, slowerBy: 1.3})).toBe(false);
		expect(shouldMove({elapsedMs: 7000, expectedMs: 7000, slowerBy: 1.1})).toBe(false);
	});

	it('moves a sample that has outlasted its estimate at an engine that has turned slow', () => {
		expect(shouldMove({elapsedMs: 3000, expectedMs: 1500, slowerBy: 3.5})).toBe(true);
	});

	it('does not move a sample again that has just been moved', () => {
		expect(shouldMove({elapsedMs: 300, expectedMs: 8000, slowerBy: 3})).toBe(false);
	});
});

describe('shouldLeaveToFaster', () => {
	it('leaves long samples to faster engines and takes the short ones, so that slow engines do not stand idle', () => {
		expect([8000, 1000].map(expectedMs => shouldLeaveToFaster({expectedMs, slowerBy: 1.3}))).toEqual([true, false]);
		expect(shouldLeaveToFaster({expectedMs: 8000, slowerBy: 1})).toBe(false);
	});
});
