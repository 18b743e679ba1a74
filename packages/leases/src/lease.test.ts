import type {CallId, RowResponse} from '@cicadapost/types';
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

/** Executes an action against a table service in memory. */
function execute(action: LeaseAction): RowResponse {
	if (action.kind === 'read-row') {
		return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
	}

	if ((row?.version ?? 0) !== action.expectedVersion) {
		return {kind: 'conflict', ...row!};
	}

	row = {version: action.expectedVersion + 1, value: action.value};
	return {kind: 'written', version: row.version};
}

/** Ticks a daemon every 100 ms from `from` to `until`, with immediate responses from the table service. */
function run(lease: LeaseState, from: number, until: number, wants: 'hold' | 'watch' | 'release' = 'hold'): void {
	for (let now = from; now <= until; now += 100) {
		const action = tick(lease, now, wants);
		if (action !== undefined) {
			decideLease(lease, {kind: 'answer', call, answer: execute(action)}, now);
		}
	}
}

beforeEach(() => {
	row = undefined;
});

describe('lease holder', () => {
	it('loses the lease while paused past its expiry, so that it sends no order after resuming', () => {
		const lease = createLease('a');
		run(lease, 0, 3000);
		expect(isHeld(lease, 3000)).toBe(true);
		expect(isHeld(lease, 9000)).toBe(false);
	});

	it('measures the lease from when the write was issued, so that a slow response does not extend it', () => {
		const lease = createLease('a');
		run(lease, 0, 0);
		const action = tick(lease, 1000)!;
		decideLease(lease, {kind: 'answer', call, answer: execute(action)}, 5000);
		expect(lease.held).toMatchObject({fence: 1, expiresAt: 7000});
	});

	it('recognises its write by the nonce after a lost response, and measures the lease from when it was issued', () => {
		const lease = createLease('a');
		run(lease, 0, 0);
		execute(tick(lease, 1000)!);
		decideLease(lease, {kind: 'answer', call, answer: {kind: 'unavailable'}}, 1500);
		expect(isHeld(lease, 1500)).toBe(false);
		run(lease, 1700, 1700);
		expect(lease.held).toMatchObject({fence: 1, expiresAt: 7000});
	});

	it('keeps its fencing token when it renews the lease', () => {
		const lease = createLease('a');
		run(lease, 0, 20_000);
		expect(lease.held?.fence).toBe(1);
		expect(isHeld(lease, 20_000)).toBe(true);
	});
});

describe('next lease holder', () => {
	it('waits for the lease and transit times after it first saw the row, and increments the fencing token', () => {
		const [first, second] = [createLease('a'), createLease('b')];
		run(first, 0, 1000);
		run(second, 1500, 9400);
		expect(isHeld(second, 9400)).toBe(false);
		run(second, 9500, 11_000);
		expect(second.held?.fence).toBe(2);
	});

	it('does not acquire a lease that is being renewed', () => {
		const [first, second] = [createLease('a'), createLease('b')];
		for (let now = 0; now < 30_000; now += 100) {
			run(first, now, now);
			run(second, now, now);
		}

		expect(second.held).toBeUndefined();
	});

	it('acquires a released lease immediately, so that a shutdown does not interrupt orders', () => {
		const [first, second] = [createLease('a'), createLease('b')];
		run(first, 0, 1000);
		run(first, 1100, 1100, 'release');
		run(second, 1200, 2500);
		expect(second.held?.fence).toBe(2);
	});

	it('waits like any other daemon when it was restarted on the same VM, since the earlier process may have orders in transit', () => {
		run(createLease('a/1'), 0, 1000);
		const restarted = createLease('a/2');
		run(restarted, 1100, 5000);
		expect(canAcquire(restarted, 5000)).toBe(false);
	});
});
