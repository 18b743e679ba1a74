import {EventEmitter} from 'node:events';
import {
	TableCopy, type RowChange, type StoredRow,
} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {SystemClock, type DaemonId, type UpstreamId} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {UpstreamRun} from './named-limits.js';
import {RateLimiter} from './rate-limiter.js';
import {turnTable} from './turn-queue.js';

const table = 'fleet';
const upstream: UpstreamRun = {id: 'u1' as UpstreamId, bornAt: 1};

/** A copy of the table that the test updates. */
class ManualTable extends EventEmitter<{changed: [changes: readonly RowChange[]]}> {
	readonly copy = new TableCopy(table);
	private version = 0;

	constructor(private readonly store: MemoryRowStore) {
		super();
	}

	mergeRows(rows: readonly StoredRow[]): void {
		this.emit('changed', this.copy.apply(rows.map(row => ({kind: 'written', row})), 0));
	}

	storeTime(now: number): number {
		return now;
	}

	connectedFor(): number {
		return 60_000;
	}

	async update(): Promise<void> {
		const outcome = await this.store.changes({table, after: this.version, waitMs: 0});
		if (outcome.kind === 'changes') {
			this.version = outcome.version;
			this.emit('changed', this.copy.apply(outcome.changes, 0));
		}
	}
}

describe('RateLimiter', () => {
	const open: RateLimiter[] = [];
	let store: MemoryRowStore;
	let listed: UpstreamRun[];

	beforeEach(() => {
		store = new MemoryRowStore();
		listed = [upstream];
	});

	afterEach(() => {
		for (const limiter of open.splice(0)) {
			limiter.stop();
		}
	});

	const startDaemon = (self: string) => {
		const follower = new ManualTable(store);
		const onLimitReport = vi.fn();
		const limiter = new RateLimiter({
			clock: new SystemClock(),
			store,
			follower,
			self: self as DaemonId,
			daemons: () => [self as DaemonId],
			isListed: ({id, bornAt}) => listed.some(other => other.id === id && other.bornAt === bornAt),
			isOwner: () => true,
			onLimitReport,
			onLimitedSend: vi.fn(),
		});
		open.push(limiter);
		return {limiter, follower, onLimitReport};
	};

	const answer = (limiter: RateLimiter, requestsPerSecond: number | undefined) => {
		limiter.recordResponse(upstream, {requestsPerSecond, sentAt: performance.now()});
	};

	it('tells daemons that have had no response of the upstream of its limit, and of the end of the limit', async () => {
		const first = startDaemon('d1');
		const second = startDaemon('d2');
		answer(first.limiter, 2);
		await vi.waitFor(async () => {
			await second.follower.update();
			expect(second.limiter.limitOf(upstream)?.requestsPerSecond).toBe(2);
		});
		expect(second.onLimitReport).toHaveBeenCalledWith({
			upstream: 'u1', bornAt: 1, requestsPerSecond: 2, source: 'daemon',
		});
		await vi.waitFor(async () => {
			answer(first.limiter, 2);
			answer(second.limiter, undefined);
			await first.follower.update();
			expect(first.limiter.limitOf(upstream)).toBeUndefined();
		}, {timeout: 3000, interval: 600});
	});

	it('writes a limit again that the store has not taken', async () => {
		const {limiter} = startDaemon('d1');
		store.fault = 'down';
		answer(limiter, 2);
		store.fault = 'none';
		await vi.waitFor(() => {
			answer(limiter, 2);
			expect(store.all().map(row => row.table)).toContain(table);
		}, {timeout: 3000});
	});

	it('keeps no rows of upstreams that are gone', async () => {
		const {limiter, follower} = startDaemon('d1');
		answer(limiter, 2);
		limiter.requestTurn(upstream, 1000, vi.fn());
		await vi.waitFor(() => {
			expect(store.all().map(row => row.table).sort()).toEqual([table, turnTable]);
		});
		await follower.update();
		await limiter.sweep();
		expect(store.all()).toHaveLength(2);
		listed = [];
		await limiter.sweep();
		expect(store.all()).toEqual([]);
		expect(limiter.limitOf(upstream)).toBeUndefined();
	});
});
