import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	Clock, type DaemonId, type Millis, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {Turn} from './request-limits.js';
import {TurnQueue} from './turn-queue.js';

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

describe('TurnQueue', () => {
	let store: MemoryRowStore;
	let limit: number | undefined;

	beforeEach(() => {
		vi.useFakeTimers({now: 1_000_000});
		store = new MemoryRowStore();
		limit = 2;
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const createQueue = () => new TurnQueue({
		clock: new TestClock(),
		store,
		storeTime: () => Date.now(),
		upstream: {id: 'u1' as UpstreamId, bornAt: 1},
		requestsPerSecond: () => limit,
		self: 'd1' as DaemonId,
		daemons: () => ['d1' as DaemonId],
	});

	const collectTurns = (queue: TurnQueue, count: number, maxWaitMs = 5000) => {
		const turns: Array<Readonly<{turn: Turn; at: Millis}>> = [];
		const start = Date.now();
		const withdrawals = Array.from({length: count}, () => queue.add(maxWaitMs, turn => {
			turns.push({turn, at: Date.now() - start});
		}));
		return {turns, withdrawals};
	};

	it('spaces the requests of two daemons whose reservations conflict', async () => {
		const first = collectTurns(createQueue(), 2);
		const second = collectTurns(createQueue(), 2);
		await vi.advanceTimersByTimeAsync(5000);
		const times = [...first.turns, ...second.turns].map(({at}) => at).sort((a, b) => a - b);
		expect(times).toEqual([0, 500, 1000, 1500]);
	});

	it('does not use a reserved turn after the daemon was suspended', async () => {
		const suspended = collectTurns(createQueue(), 4, 10_000);
		await vi.advanceTimersByTimeAsync(10);
		vi.setSystemTime(Date.now() + 4000);
		const other = collectTurns(createQueue(), 3);
		await vi.advanceTimersByTimeAsync(6000);
		const times = [...suspended.turns.slice(1), ...other.turns.map(({turn, at}) => ({turn, at: at + 4010}))].map(({at}) => at).sort((a, b) => a - b);
		expect(times).toHaveLength(6);
		expect(times.slice(1).every((at, index) => at - times[index]! >= 490)).toBe(true);
	});

	it('never decides before the sender has the function that withdraws its request', async () => {
		const onTurn = vi.fn();
		createQueue().add(-1, onTurn);
		expect(onTurn).not.toHaveBeenCalled();
		await vi.advanceTimersByTimeAsync(10);
		limit = undefined;
		createQueue().add(5000, onTurn);
		expect(onTurn.mock.calls).toEqual([['none']]);
		await vi.advanceTimersByTimeAsync(10);
		expect(onTurn.mock.calls).toEqual([['none'], ['granted']]);
	});

	it('expects a finite wait while the store is away and the others do not know this daemon, so that callers are told when to come back', async () => {
		const queue = new TurnQueue({
			clock: new TestClock(),
			store,
			storeTime: () => Date.now(),
			upstream: {id: 'u1' as UpstreamId, bornAt: 1},
			requestsPerSecond: () => limit,
			self: 'd1' as DaemonId,
			daemons: () => [],
		});
		store.fault = 'down';
		const {turns} = collectTurns(queue, 1);
		await vi.advanceTimersByTimeAsync(10);
		expect(turns.map(({turn}) => turn)).toEqual(['none']);
		expect(queue.waitMs(2)).toBeGreaterThan(1000);
		expect(queue.waitMs(2)).toBeLessThan(10_000);
	});

	it('gives no turn to a request that was withdrawn', async () => {
		const {turns, withdrawals} = collectTurns(createQueue(), 2);
		withdrawals[1]!();
		await vi.advanceTimersByTimeAsync(5000);
		expect(turns).toHaveLength(1);
	});

	it('reserves again after an answer of the store was lost, and never two requests for one turn', async () => {
		const queue = createQueue();
		store.fault = 'answers-lost';
		const lost = collectTurns(queue, 1, 100);
		await vi.advanceTimersByTimeAsync(1000);
		store.fault = 'none';
		const {turns} = collectTurns(queue, 3);
		await vi.advanceTimersByTimeAsync(5000);
		expect(lost.turns).toHaveLength(1);
		expect(turns.map(({turn}) => turn)).toEqual(['granted', 'granted', 'granted']);
		expect(turns[1]!.at - turns[0]!.at).toBeGreaterThanOrEqual(500);
	});

	it('grants all waiting requests once the limit is lifted', async () => {
		const queue = createQueue();
		const {turns} = collectTurns(queue, 4);
		await vi.advanceTimersByTimeAsync(10);
		limit = undefined;
		queue.grantAll();
		expect(turns).toHaveLength(4);
	});
});
