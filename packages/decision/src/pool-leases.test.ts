import type {CallId, DaemonId, PoolId} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {SimulatedCluster} from './simulated-cluster.js';

const document = JSON.stringify({
	base: {members: {}, pools: {lm: {kind: 'engine'}}, dataCentres: {a: {region: 'a'}}},
	overlays: {a: {upstreams: {e1: {pool: 'lm', url: 'http://e1:1'}}}},
});

let cluster: SimulatedCluster;

function row(): {holder: string; fence: number} {
	return JSON.parse(cluster.rows.get('leases/a/lm')!.value) as {holder: string; fence: number};
}

function holder(): DaemonId {
	return row().holder.split('/')[0] as DaemonId;
}

beforeEach(() => {
	cluster = new SimulatedCluster();
	for (const daemon of ['a1', 'a2', 'a3']) {
		cluster.start(daemon, 'a');
	}

	cluster.publishVmList();
	cluster.run(2000);
	cluster.post('a1', {
		kind: 'apply-configuration', call: 'first' as CallId, expectedVersion: 0, document,
	});
	cluster.run(3000);
});

describe('the lease of a pool', () => {
	it('of a holder that dies is taken within ten seconds, since the next holder has watched the row', () => {
		cluster.daemons.delete(holder());
		cluster.run(10_000);
		expect(row().fence).toBe(2);
		expect(cluster.daemons.has(holder())).toBe(true);
	});

	it('is released by a daemon that shuts down only when no order can be in transit, so that none arrives after the next holder took over', () => {
		const leaving = holder();
		cluster.post(leaving, {kind: 'weights', pool: 'lm' as PoolId, version: 2});
		cluster.run(50);
		expect(cluster.actions('send-order', leaving)).toHaveLength(1);
		cluster.post(leaving, {kind: 'shut-down'});
		cluster.run(3800);
		expect(row().fence).toBe(1);
		expect(cluster.actions('stopped', leaving)).toEqual([]);
		cluster.run(2500);
		expect(row().fence).toBe(2);
		expect(cluster.actions('stopped', leaving)).toHaveLength(1);
	});
});
