import type {DaemonId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	canRequestPermit, isPermitValid, permitValidityMs, type Permit,
} from './permit-rules.js';

describe('permits', () => {
	const permit: Permit = {holder: 'd1' as DaemonId, fencingToken: 4};

	describe('with two holders for one receiver', () => {
		const state = {permit, self: 'd2' as DaemonId, silenceMs: 3000};

		it('makes another daemon wait until no order under the old permit can still arrive, plus the required silence', () => {
			expect(canRequestPermit({...state, unchangedMs: 3000})).toBe(false);
			expect(canRequestPermit({...state, unchangedMs: permitValidityMs + 3300})).toBe(true);
		});

		it('lets the current holder continue without waiting', () => {
			expect(canRequestPermit({...state, self: 'd1' as DaemonId, unchangedMs: 0})).toBe(true);
		});
	});

	describe('when the holder was suspended between its permit and its order', () => {
		it('rejects the permit if the monotonic clock shows it', () => {
			expect(isPermitValid({steady: 0, wall: 0}, {steady: 4000, wall: 4000})).toBe(false);
		});

		it('rejects the permit if only the wall clock shows it', () => {
			expect(isPermitValid({steady: 0, wall: 0}, {steady: 20, wall: 4000})).toBe(false);
		});

		it('rejects the permit if the wall clock was set back meanwhile, which could hide the suspension', () => {
			expect(isPermitValid({steady: 0, wall: 0}, {steady: 20, wall: -2000})).toBe(false);
		});

		it('accepts the permit if both clocks show that little time has passed', () => {
			expect(isPermitValid({steady: 0, wall: 0}, {steady: 12, wall: 11})).toBe(true);
		});
	});
});
