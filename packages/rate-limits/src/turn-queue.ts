import {
	decodeList, encodeList, type RowStore, type StoredRow,
} from '@cicadapost/store';
import type {Clock, DaemonId, Millis} from '@cicadapost/types';
import type {UpstreamRun} from './named-limits.js';
import {intervalMs, nextOwnSlot, planTurns} from './plan-turns.js';
import type {Turn} from './request-limits.js';

/** Table of the next free turns. The part is the upstream, the key its start. */
export const turnTable = 'turns';

export type TurnQueueOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Returns the current time on the store's clock. */
	storeTime: () => Millis;
	upstream: UpstreamRun;
	/** Returns the current limit, or undefined once it has been lifted. */
	requestsPerSecond: () => number | undefined;
	self: DaemonId;
	/** Returns the daemons that may be running, in the same order at each daemon. Empty if they are not known. */
	daemons: () => readonly DaemonId[];
}>;

/** A reservation that takes longer is abandoned, since most requests cannot wait longer. */
const reservationTimeoutMs = 400;
/** After a failed call the store is not asked again for this time. */
const storePauseMs = 500;
/** Expected wait of a daemon without a time slot of its own. The store is usually back after that. */
const noSlotWaitMs = 5000;
/** A turn that this daemon begins later than this, for example after it was suspended, is void. */
const maxDelayMs = 300;
/**
After a request has got no turn, this daemon expects the queue to stay as long for this time, multiplied by the number of
daemons and up to `maxFullMs`. Otherwise the store calls for requests that get no turn would grow with the load.
*/
const fullMsPerDaemon = 20;
const maxFullMs = 2000;
/** Maximum number of turns in one reservation. */
const maxReservedTurns = 50;

type Waiter = {
	/** On the store's clock. */
	readonly latestStart: Millis;
	readonly onTurn: (turn: Turn) => void;
	timer: NodeJS.Timeout | undefined;
};

/**
The requests of this daemon that wait for their turn at one upstream. Turns are reserved by conditional writes to one row
that all daemons share, so that their sum stays within the limit whatever their number.
*/
export class TurnQueue {
	/** Requests without a turn. */
	private waiting: Waiter[] = [];
	/** Requests whose turn has been reserved but has not begun. */
	private readonly scheduled = new Set<Waiter>();
	private row: Readonly<{version: number; nextFreeAt: Millis}> = {version: 0, nextFreeAt: 0};
	private isReserving = false;
	private lastSlot = -1;
	private storePausedUntil = 0;
	/** The wait that was too long for the last request without a turn, and until when it is expected to stay that long. */
	private full: Readonly<{waitMs: Millis; until: Millis}> = {waitMs: 0, until: 0};

	constructor(private readonly options: TurnQueueOptions) {}

	/** Expected time until a new request gets its turn, as far as this daemon knows. */
	waitMs(requestsPerSecond: number): Millis {
		const now = this.options.storeTime();
		if (this.isStorePaused()) {
			const own = this.nextOwnSlot(requestsPerSecond);
			return own === undefined ? noSlotWaitMs : own.startsAt - now;
		}

		const expectedMs = this.options.clock.now() < this.full.until ? this.full.waitMs : 0;
		return Math.max(expectedMs, this.row.nextFreeAt - now, 0) + (this.waiting.length * intervalMs(requestsPerSecond));
	}

	/** Adds a request. Returns a function that withdraws it, before `onTurn` is called for the first time. */
	add(maxWaitMs: Millis, onTurn: (turn: Turn) => void): () => void {
		const waiter: Waiter = {latestStart: this.options.storeTime() + maxWaitMs, onTurn, timer: undefined};
		this.waiting.push(waiter);
		void this.reserve();
		return () => {
			this.remove(waiter);
		};
	}

	/** Grants all requests, because the limit was lifted. */
	grantAll(): void {
		for (const waiter of [...this.scheduled, ...this.waiting]) {
			this.settle(waiter, 'granted');
		}
	}

	private isStorePaused(): boolean {
		return this.options.clock.now() < this.storePausedUntil;
	}

	private async reserve(): Promise<void> {
		if (this.isReserving) {
			return;
		}

		this.isReserving = true;
		// The sender of a new request must have the function that withdraws it before `onTurn` is called.
		await Promise.resolve();
		try {
			while (this.waiting.length > 0) {
				await this.reserveOnce();
			}
		} finally {
			this.isReserving = false;
		}
	}

	private async reserveOnce(): Promise<void> {
		const {clock, store, upstream, storeTime, requestsPerSecond} = this.options;
		const limit = requestsPerSecond();
		if (limit === undefined) {
			this.grantAll();
			return;
		}

		const waiters = this.waiting.slice(0, maxReservedTurns);
		if (this.isStorePaused()) {
			this.useOwnSlots(waiters, limit);
			return;
		}

		const plan = planTurns({
			requestsPerSecond: limit, nextFreeAt: this.row.nextFreeAt, latestStarts: waiters.map(({latestStart}) => latestStart), now: storeTime(),
		});
		this.rejectWithoutTurn(waiters, plan.starts);
		if (plan.starts.includes(undefined)) {
			this.full = {waitMs: this.row.nextFreeAt - storeTime(), until: clock.now() + Math.min(maxFullMs, this.options.daemons().length * fullMsPerDaemon)};
		}

		if (plan.starts.every(start => start === undefined)) {
			return;
		}

		const key = String(upstream.bornAt);
		const outcome = await store.transact({
			part: upstream.id,
			expected: [{table: turnTable, key, version: this.row.version}],
			writes: [{table: turnTable, key, value: encodeList([plan.nextFreeAt])}],
		}, reservationTimeoutMs);
		switch (outcome.kind) {
			case 'committed': {
				this.row = {version: outcome.version, nextFreeAt: plan.nextFreeAt};
				this.schedule(waiters, plan.starts);
				break;
			}

			case 'conflict': {
				this.row = decodeRow(outcome.rows[0]);
				break;
			}

			case 'refused':
			case 'rejected':
			case 'unknown': {
				this.storePausedUntil = clock.now() + storePauseMs;
				break;
			}
		}
	}

	/** Uses the time slots of this daemon while the store does not respond. */
	private useOwnSlots(waiters: readonly Waiter[], requestsPerSecond: number): void {
		const starts = waiters.map(({latestStart}) => {
			const own = this.nextOwnSlot(requestsPerSecond);
			if (own === undefined || own.startsAt > latestStart) {
				return undefined;
			}

			this.lastSlot = own.slot;
			return own.startsAt;
		});
		this.rejectWithoutTurn(waiters, starts);
		this.schedule(waiters, starts);
	}

	private nextOwnSlot(requestsPerSecond: number): ReturnType<typeof nextOwnSlot> {
		const {self, daemons, storeTime} = this.options;
		return nextOwnSlot({
			requestsPerSecond, daemons: daemons(), self, lastSlot: this.lastSlot, now: storeTime(),
		});
	}

	private rejectWithoutTurn(waiters: readonly Waiter[], starts: ReadonlyArray<Millis | undefined>): void {
		for (const [index, waiter] of waiters.entries()) {
			if (starts[index] === undefined) {
				this.settle(waiter, 'none');
			}
		}
	}

	private schedule(waiters: readonly Waiter[], starts: ReadonlyArray<Millis | undefined>): void {
		for (const [index, waiter] of waiters.entries()) {
			const start = starts[index];
			if (start !== undefined && this.waiting.includes(waiter)) {
				this.waiting = this.waiting.filter(other => other !== waiter);
				this.scheduled.add(waiter);
				this.startAt(waiter, start);
			}
		}
	}

	private startAt(waiter: Waiter, start: Millis): void {
		const delayMs = start - this.options.storeTime();
		if (delayMs > 0) {
			waiter.timer = setTimeout(() => {
				this.startAt(waiter, start);
			}, Math.ceil(delayMs));
		} else if (delayMs >= -maxDelayMs) {
			this.settle(waiter, 'granted');
		} else {
			this.scheduled.delete(waiter);
			this.waiting.push(waiter);
			void this.reserve();
		}
	}

	private settle(waiter: Waiter, turn: Turn): void {
		if (this.remove(waiter)) {
			waiter.onTurn(turn);
		}
	}

	/** Returns whether the request was still waiting. */
	private remove(waiter: Waiter): boolean {
		clearTimeout(waiter.timer);
		const isWaiting = this.waiting.includes(waiter);
		this.waiting = this.waiting.filter(other => other !== waiter);
		return this.scheduled.delete(waiter) || isWaiting;
	}
}

function decodeRow(row: StoredRow | undefined): Readonly<{version: number; nextFreeAt: Millis}> {
	const [nextFreeAt] = row === undefined ? [] : decodeList(row.value) ?? [];
	return {version: row?.version ?? 0, nextFreeAt: typeof nextFreeAt === 'number' ? nextFreeAt : 0};
}
