import {EventEmitter} from 'node:events';
import type {ConnectionPool} from '@cicadapost/forwarding';
import {Clock, type Millis, type UpstreamId} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {LinkMonitor} from './monitor-links.js';

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

/** Connections whose state a test sets. */
class FakePool extends EventEmitter {
	silentMs = 0;
	reachable = new Set<string>();
	readonly probed: string[] = [];

	silentFor(): Millis {
		return this.silentMs;
	}

	async canConnect(address: string): Promise<boolean> {
		this.probed.push(address);
		return this.reachable.has(address);
	}
}

const addresses = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'];
const upstreams = addresses.map((address, index) => ({id: `u${index}` as UpstreamId, address}));

describe('LinkMonitor', () => {
	const monitors: LinkMonitor[] = [];

	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		for (const monitor of monitors.splice(0)) {
			monitor.stop();
		}

		vi.useRealTimers();
	});

	const start = (listed = upstreams) => {
		const pool = new FakePool();
		const changes: boolean[] = [];
		const monitor = new LinkMonitor({
			clock: new TestClock(), pool: pool as unknown as ConnectionPool, upstreams: () => listed, random: () => 0,
			onChanged(isPartitioned) {
				changes.push(isPartitioned);
			},
		});
		monitors.push(monitor);
		return {pool, changes, monitor};
	};

	it('sends no probes while nothing fails', async () => {
		const {pool} = start();
		await vi.advanceTimersByTimeAsync(60_000);
		expect(pool.probed).toEqual([]);
	});

	it.each([
		['a connection that failed', (pool: FakePool) => pool.emit('failed', 'u0', 'ECONNREFUSED')],
		['silence of all upstreams', (pool: FakePool) => {
			pool.silentMs = 900;
		}],
	])('finds a partition after %s, and its end', async (_, fail) => {
		const {pool, changes, monitor} = start();
		fail(pool);
		await vi.advanceTimersByTimeAsync(300);
		expect(changes).toEqual([true]);
		expect(new Set(pool.probed).size).toBe(3);
		pool.silentMs = 0;
		pool.reachable = new Set(addresses);
		await vi.advanceTimersByTimeAsync(1200);
		expect(changes).toEqual([true, false]);
		expect(monitor.isPartitioned).toBe(false);
	});

	it('does not take an empty list of upstreams for a partition', async () => {
		const {pool, changes} = start([]);
		pool.emit('failed', 'u0', 'ECONNREFUSED');
		await vi.advanceTimersByTimeAsync(3000);
		expect(changes).toEqual([]);
	});

	it('looks for another upstream than one that refuses connections', async () => {
		const {pool, monitor} = start();
		expect(await monitor.reachesAnother('u0' as UpstreamId)).toBe(false);
		expect(pool.probed).not.toContain(addresses[0]);
		pool.reachable = new Set([addresses[2]!]);
		expect(await monitor.reachesAnother('u0' as UpstreamId)).toBe(true);
	});

	it('can\'t judge the only upstream', async () => {
		const {monitor} = start(upstreams.slice(0, 1));
		expect(await monitor.reachesAnother('u0' as UpstreamId)).toBe(true);
	});
});
