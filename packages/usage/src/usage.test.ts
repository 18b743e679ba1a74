import type {DaemonId, TeamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {countIntervalMs} from './count-writer.js';
import {BeginEstimator} from './estimate-begin.js';
import {fleetOffset} from './fleet-time.js';
import {nextWindow, settleMs} from './plan-reports.js';
import {addCounts, encodeCounts} from './usage-rows.js';
import {WindowCounts} from './window-counts.js';

const team = 'a' as TeamId;

describe('the begin of a request', () => {
	const times = {route: 'r', upstream: undefined, sentAt: 1000};
	const load = (waiting: number) => ({
		running: 6, waiting, slots: 6, slowdown: 1,
	});

	it('is the time of sending without a queue or without a response, and later after a wait in the queue of the upstream', () => {
		const estimator = new BeginEstimator();
		expect(estimator.estimate({...times, answeredAt: 1100, load: load(0)})).toBe(1000);
		expect(estimator.estimate({...times, answeredAt: undefined, load: undefined})).toBe(1000);
		expect(estimator.estimate({...times, answeredAt: 3100, load: load(4)})).toBe(3000);
		expect(estimator.estimate({...times, answeredAt: 1050, load: load(4)})).toBe(1000);
	});
});

describe('true time', () => {
	const offset = (offsets: readonly number[], previousMs?: number, members = offsets.length) => fleetOffset({
		published: offsets.map((offsetMs, index) => ({daemon: `d${index}` as DaemonId, offsetMs})),
		members: Array.from({length: members}, (_, index) => `d${index}` as DaemonId),
		previousMs,
	});

	it('is not moved by stepped clocks of a minority', () => {
		expect(offset([0, 4000, 5])).toBe(5);
		expect(offset([0, 4000, 5], 4)).toBeUndefined();
	});

	it('waits for the clocks of most daemons', () => {
		expect(offset([4000], undefined, 3)).toBeUndefined();
		expect(offset([4000, 0], undefined, 3)).toBe(0);
	});

	it('keeps what it was if two daemons disagree or a single one is stepped, and follows drift', () => {
		expect(offset([4000, 0], 1)).toBeUndefined();
		expect(offset([4000], 0)).toBeUndefined();
		expect(offset([100], 0)).toBe(100);
	});
});

describe('counts by window', () => {
	it('include the requests of the time before true time was known', () => {
		const counts = new WindowCounts(5000);
		counts.record(team, 100, undefined);
		counts.record(team, 4000, 2000);
		expect([...counts.countsOf(0)]).toEqual([[team, 1]]);
		expect([...counts.countsOf(1)]).toEqual([[team, 1]]);
		expect(counts.takeChanged()).toEqual([0, 1]);
		expect(counts.takeChanged()).toEqual([]);
	});

	it('fit into rows however many teams there are, and are summed again', () => {
		const counts = new Map(Array.from({length: 3000}, (_, index) => [`team-with-a-long-name-${index}` as TeamId, index]));
		const rows = encodeCounts('d1#1', counts);
		expect(Math.max(...rows.map(({value}) => value.length))).toBeLessThan(65_536);
		const sum = new Map<TeamId, number>();
		expect(rows.every(({value}) => addCounts(value, sum))).toBe(true);
		expect(sum).toEqual(counts);
		expect(addCounts(new Uint8Array([0xC1]), sum)).toBe(false);
	});

	it('are written often by few daemons, and by all together within the writes of the store', () => {
		expect([9, 65, 300].map(daemons => countIntervalMs(daemons))).toEqual([250, 500, 1500]);
	});
});

describe('the time until a window is summed', () => {
	it('leaves a daemon that takes over after the rest of the lease in time', () => {
		expect(settleMs({lateMs: 10_000, leaseMs: 3000})).toBe(5000);
		expect(settleMs({lateMs: 1000, leaseMs: 3000})).toBe(300);
	});

	it('passes over empty windows after a very long outage, but not over counts', () => {
		expect(nextWindow(100, 110, [])).toBe(100);
		expect(nextWindow(100, 1_000_000, [99, 200])).toBe(200);
		expect(nextWindow(100, 1_000_000, [])).toBe(998_560);
	});
});
