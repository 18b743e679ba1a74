import type {CallId, RowAnswer} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {
	createLease, decideLease, isHeld, canAcquire, type LeaseAction, type LeaseState,
} from './lease.js';

const call = 'call' as CallId;
let row: {version: number; value: string} | undefined;
let nonces = 0;

function tick(lease: LeaseState, now: number, wants: 'hold' | 'watch' | 'release' = 'hold'): LeaseAction | undefined {
	return decideLease(lease, {
		kind: 'tick', call, nonce: String(++nonces), wants,
	}, now).actions[0];
}

/** The table service. */
function carryOut(action: LeaseAction): RowAnswer {
	if (action.kind === 'read-row') {
		return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
	}

	if ((row?.version ?? 0) !== action.expectedVersion) {
		return {kind: 'conflict', ...row!};
	}

	row = {version: action.expectedVersion + 1, value: action.value};
	return {kind: 'written', version: row.version};
}

/** Lets a daemon tick from `from` to `until` with answers at once. */
function run(lease: LeaseState, from: number, until: number, wants: 'hold' | 'watch' | 'release' = 'hold'): void {
	for (let now = from; now <= until; now += 100) {
		const action = tick(lease, now, wants);
		if (action !== undefined) {
			decideLease(lease, {kind: 'answer', call, answer: carryOut(action)}, now);
		}
	}
}

beforeEach(() => {
	row = undefined;
});

describe('a holder', () => {
	it('that was paused past its lease does not hold it, so that it sends no order when it wakes', () => {
		const lease = createLease('a');
		run(lease, 0, 3000);
		expect(isHeld(lease, 3000)).toBe(true);
		expect(isHeld(lease, 9000)).toBe(false);
	});

	it('counts from when the write was requested, so that a slow answer does not lengthen the lease', () => {
		const lease = createLease('a');
		run(lease, 0, 0);
		const action = tick(lease, 1000)!;
		decideLease(lease, {kind: 'answer', call, answer: carryOut(action)}, 5000);
		expect(lease.held).toMatchObject({fence: 1, expiresAt: 7000});
	});

	it('whose answer was lost finds its write by the nonce, and counts from its request', () => {
		const lease = createLease('a');
		run(lease, 0, 0);
		carryOut(tick(lease, 1000)!);
		decideLease(lease, {kind: 'answer', call, answer: {kind: 'unavailable'}}, 1500);
		expect(isHeld(lease, 1500)).toBe(false);
		run(lease, 1700, 1700);
		expect(lease.held).toMatchObject({fence: 1, expiresAt: 7000});
	});

	it('renews under the same number', () => {
		const lease = createLease('a');
		run(lease, 0, 20_000);
		expect(lease.held?.fence).toBe(1);
		expect(isHeld(lease, 20_000)).toBe(true);
	});
});

describe('the next holder', () => {
	it('waits for lease and flight since it saw the row first, and raises the number', () => {
		const [first, second] = [createLease('a'), createLease('b')];
		run(first, 0, 1000);
		run(second, 1500, 9400);
		expect(isHeld(second, 9400)).toBe(false);
		run(second, 9500, 11_000);
		expect(second.held?.fence).toBe(2);
	});

	it('does not take a lease that is renewed', () => {
		const [first, second] = [createLease('a'), createLease('b')];
		for (let now = 0; now < 30_000; now += 100) {
			run(first, now, now);
			run(second, now, now);
		}

		expect(second.held).toBeUndefined();
	});

	it('takes a lease that was given up at once, so that a shutdown does not stop orders', () => {
		const [first, second] = [createLease('a'), createLease('b')];
		run(first, 0, 1000);
		run(first, 1100, 1100, 'release');
		run(second, 1200, 2500);
		expect(second.held?.fence).toBe(2);
	});

	it('of the same VM after a restart waits like any other, since the earlier process may have left orders', () => {
		run(createLease('a/1'), 0, 1000);
		const restarted = createLease('a/2');
		run(restarted, 1100, 5000);
		expect(canAcquire(restarted, 5000)).toBe(false);
	});
});
