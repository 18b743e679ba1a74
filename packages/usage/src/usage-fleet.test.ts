import type {TeamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {
	firstWindow, UsageFleet, windowMs, type ReceiverFault,
} from './usage-fleet.test-helper.js';
import {countPart, encodeCounts, usageTable} from './usage-rows.js';

const three = ['d1', 'd2', 'd3'];

/** Windows that have been reported, counted from the first one. */
const reported = (fleet: UsageFleet) => [...new Set(fleet.arrivals.map(({window}) => window - firstWindow))];

describe('usage reports of three daemons', () => {
	it('are sent once for each window in order by one holder, though the clock of one daemon is wrong', async () => {
		const fleet = new UsageFleet(three, [0, 4000, 0]);
		await fleet.advance(40_000);
		expect(fleet.violations()).toEqual([]);
		expect(reported(fleet)).toEqual([0, 1, 2, 3, 4, 5, 6]);
		expect(fleet.arrivals).toHaveLength(7);
		expect(new Set(fleet.arrivals.map(({holder}) => holder)).size).toBe(1);
		expect(fleet.late()).toEqual([]);
	});

	const faults: ReceiverFault[] = ['killed-before', 'killed-after', 'answer-lost', 'suspended-before'];
	it.each(faults)('have the same content and arrive in time if the holder is hit once: %s', async fault => {
		const fleet = new UsageFleet(three);
		await fleet.advance(20_000);
		const {holder} = fleet;
		fleet.fault = fault;
		await fleet.advance(20_000);
		holder.resume();
		await fleet.advance(10_000);
		expect(fleet.violations(0.2)).toEqual([]);
		expect(reported(fleet)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8]);
		expect(fleet.late()).toEqual([]);
		expect(fleet.holder === holder).toBe(fault === 'answer-lost');
	});

	it('have the same bytes when a call is repeated, though further counts have arrived meanwhile', async () => {
		const fleet = new UsageFleet(three);
		await fleet.advance(17_000);
		fleet.fault = 'answer-lost';
		for (const before = fleet.arrivals.length; fleet.arrivals.length === before;) {
			await fleet.advance(50);
		}

		const [{window, body}] = fleet.arrivals.slice(-1) as [typeof fleet.arrivals[0]];
		const late = encodeCounts('late', new Map([['a' as TeamId, 50]])).map(row => ({...row, table: usageTable}));
		await fleet.store.transact({part: countPart(window, 'late'), writes: late});
		await fleet.advance(3000);
		expect(fleet.arrivals.filter(call => call.window === window).map(call => call.body)).toEqual([body, body]);
	});

	it('wait in the store while the receiver is down, and follow in order', async () => {
		const fleet = new UsageFleet(three);
		await fleet.advance(12_000);
		fleet.fault = 'down';
		await fleet.advance(40_000);
		fleet.fault = 'none';
		await fleet.advance(10_000);
		expect(fleet.violations()).toEqual([]);
		expect(reported(fleet)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10]);
	});

	it('miss no count after the store was away over three windows', async () => {
		const fleet = new UsageFleet(three);
		await fleet.advance(12_000);
		fleet.store.fault = 'down';
		await fleet.advance(3 * windowMs);
		fleet.store.fault = 'none';
		fleet.storeBackAt = fleet.now;
		await fleet.advance(15_000);
		expect(fleet.violations()).toEqual([]);
		expect(reported(fleet)).toEqual([0, 1, 2, 3, 4, 5, 6]);
	});

	it('do not move when the wall clock of the holder is stepped across the end of a window', async () => {
		const fleet = new UsageFleet(three);
		await fleet.advance(12_000);
		fleet.holder.clock.wallStepMs = 4000;
		await fleet.advance(20_000);
		fleet.holder.clock.wallStepMs = -4000;
		await fleet.advance(13_000);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.late()).toEqual([]);
	});

	it('lose only the counts of the last moments if all daemons are killed, and cover the windows in which none ran', async () => {
		const fleet = new UsageFleet(three);
		await fleet.advance(14_400);
		fleet.daemons = [];
		await fleet.advance(12_000);
		fleet.daemons = three.map(name => fleet.start(name));
		await fleet.advance(25_000);
		expect(reported(fleet)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8]);
		// 250 ms of the two seconds that they ran in this window.
		expect(fleet.violations(0.15)).toEqual([]);
		expect(fleet.arrivals.filter(({counts}) => Object.keys(counts).length === 0)).toHaveLength(1);
	});

	it('come from one of two daemons that both believe that they hold the duty', async () => {
		const fleet = new UsageFleet(['d1']);
		await fleet.advance(12_000);
		const [first] = fleet.daemons;
		// The same VM in a second process, as when a daemon is restarted before the old one has ended.
		fleet.daemons.push(fleet.start('d1'));
		await fleet.advance(20_000);
		expect(first?.runner.isHolder).toBe(true);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.arrivals).toHaveLength(reported(fleet).length);
	});
});
