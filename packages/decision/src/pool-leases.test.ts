import type {CallId, DaemonId, PoolId} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {Bench} from './test-bench.js';

const document = JSON.stringify({
	base: {members: {}, pools: {lm: {kind: 'engine'}}, dataCentres: {a: {region: 'a'}}},
	overlays: {a: {upstreams: {e1: {pool: 'lm', url: 'http://e1:1'}}}},
});

let bench: Bench;

function row(): {holder: string; fence: number} {
	return JSON.parse(bench.rows.get('leases/a/lm')!.value) as {holder: string; fence: number};
}

function holder(): DaemonId {
	return row().holder.split('/')[0] as DaemonId;
}

beforeEach(() => {
	bench = new Bench();
	for (const daemon of ['a1', 'a2', 'a3']) {
		bench.start(daemon, 'a');
	}

	bench.listVms();
	bench.run(2000);
	bench.post('a1', {
		kind: 'apply-configuration', call: 'first' as CallId, expectedVersion: 0, document,
	});
	bench.run(3000);
});

describe('the lease of a pool', () => {
	it('of a holder that dies is taken within ten seconds, since the next holder has watched the row', () => {
		bench.daemons.delete(holder());
		bench.run(10_000);
		expect(row().fence).toBe(2);
		expect(bench.daemons.has(holder())).toBe(true);
	});

	it('is given up by a daemon that shuts down only when no order can be on its way, so that none overtakes the next holder', () => {
		const leaving = holder();
		bench.post(leaving, {kind: 'weights', pool: 'lm' as PoolId, version: 2});
		bench.run(50);
		expect(bench.actions('send-order', leaving)).toHaveLength(1);
		bench.post(leaving, {kind: 'shut-down'});
		bench.run(3800);
		expect(row().fence).toBe(1);
		expect(bench.actions('stopped', leaving)).toEqual([]);
		bench.run(2500);
		expect(row().fence).toBe(2);
		expect(bench.actions('stopped', leaving)).toHaveLength(1);
	});
});
