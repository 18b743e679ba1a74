import {describe, expect, it} from 'vitest';
import {claimableSlots} from './claimable-slots.js';

describe('claimableSlots', () => {
	const engine = {
		slots: 16, running: 4, starting: 0, limit: {requestsPerSecond: 2, waitMs: 0},
	};

	it('allows claims for all slots of an engine without a limit', () => {
		expect(claimableSlots({...engine, limit: undefined})).toBe(16);
	});

	it('allows claims for the turns of the next second only, so that other engines can run the rest', () => {
		expect(claimableSlots(engine)).toBe(7);
		expect(claimableSlots({...engine, limit: {requestsPerSecond: 2, waitMs: 900}})).toBe(5);
		expect(claimableSlots({...engine, limit: {requestsPerSecond: 2, waitMs: 1100}})).toBe(4);
	});

	it('counts claimed samples that have not asked for a turn yet', () => {
		expect(claimableSlots({...engine, starting: 2})).toBe(5);
		expect(claimableSlots({...engine, starting: 9})).toBe(4);
	});

	it('never exceeds the slots of the engine', () => {
		expect(claimableSlots({...engine, running: 15, limit: {requestsPerSecond: 50, waitMs: 0}})).toBe(16);
	});
});
