import {EventEmitter} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, ClockReadings, Millis} from '@cicadapost/types';
import {
	readAll, type RowChange, type RowStore, type StoredRow,
} from './row-store.js';
import {TableCopy} from './table-copy.js';

/** Duration of a long poll. Kept short because a dead connection is detected only once the response is overdue. */
export const defaultPollWaitMs = 700;
/** Delay after a failed call. Prevents a busy loop and a thundering herd when the store recovers. */
const retryDelayMs = 120;
/**
Longest time between two polls in which no row can have come and gone unseen: the feed may show only the last state of a row, and
rows of upstreams stay for longer than this. A standby polls every two seconds at most.
*/
const maxGapMs = 2500;
/** Parts that are read concurrently when a whole table is loaded. */
const maxConcurrentPartReads = 8;

type FollowerEvents = {
	/** Changed rows in version order. */
	changed: [changes: readonly RowChange[]];
	/** The store stopped responding to this follower. */
	lost: never[];
	/** The store responds again. `awayMs` is the time since the previous successful call was sent, or 0 for the first response. */
	regained: [awayMs: Millis];
	/** So much time has passed between two polls, for example because the process was suspended, that rows may have come and gone unseen. */
	gap: [ms: Millis];
};

function elapsedMs(from: ClockReadings, to: ClockReadings): Millis {
	return Math.max(to.steady - from.steady, to.wall - from.wall);
}

export type TableFollowerOptions = Readonly<{
	store: RowStore;
	clock: Clock;
	table: string;
	/** All rows are in the part with the empty name, so the parts need not be listed. */
	hasSinglePart?: boolean;
	waitMs?: Millis;
	/** Returns the delay after received changes, so that further ones arrive in one poll. Omit it for tables whose changes are latency-sensitive. */
	coalesceMs?: () => Millis;
}>;

/** Keeps a local copy of one table up to date by polling the store's change feed. */
export class TableFollower extends EventEmitter<FollowerEvents> {
	readonly copy: TableCopy;
	private version: number | undefined;
	private lastSuccessfulCall: ClockReadings | undefined;
	/** The call sent last of those whose response has confirmed the copy. */
	private lastConfirmation: Readonly<{call: number; sentAt: ClockReadings}> | undefined;
	/** Number of polls, loads and confirmations sent so far. */
	private callCount = 0;
	private loadCount = 0;
	private isConfirming = false;
	private connectedSince: Millis | undefined;
	/** When the first call was sent since the last response; undefined while no call is in flight. */
	private unansweredSince: Millis | undefined;
	/** Store clock minus this daemon's monotonic clock. */
	private storeClockOffsetMs = 0;
	private hasReceivedChanges = false;
	private isStopped = false;
	/** Ends the current delay between two polls. */
	private endPause: (() => void) | undefined;

	constructor(private readonly options: TableFollowerOptions) {
		super();
		this.copy = new TableCopy(options.table);
	}

	start(): void {
		void this.run();
	}

	stop(): void {
		this.isStopped = true;
	}

	/** Polls without further delay, for a caller that needs the newest rows now. */
	hurry(): void {
		this.endPause?.();
	}

	/**
	Asks the store for changes now, beside the long poll in flight, for a caller that needs the copy to be confirmed. Without effect if
	such a call is in flight already or the table has not been loaded.
	*/
	async confirm(): Promise<void> {
		const {store, table, clock} = this.options;
		if (this.isConfirming || this.version === undefined) {
			return;
		}

		this.isConfirming = true;
		const {loadCount} = this;
		const sent = this.countCall(this.readClocks());
		const outcome = await store.changes({table, after: this.version, waitMs: 0});
		this.isConfirming = false;
		// After a reload the response may be about a history that the store no longer has.
		if (outcome.kind === 'changes' && loadCount === this.loadCount) {
			this.version = Math.max(this.version, outcome.version);
			this.emitChanges(this.copy.apply(outcome.changes, clock.now()));
			this.recordConfirmation(sent);
		}
	}

	/** Whether the table has been loaded at least once. */
	get isLoaded(): boolean {
		return this.version !== undefined;
	}

	/** Store version up to which the copy is complete; 0 before the first load. */
	get copyVersion(): number {
		return this.version ?? 0;
	}

	/** When the call was sent whose response last confirmed the copy: the copy shows every change made before then. Undefined before the first one. */
	get confirmedAt(): ClockReadings | undefined {
		return this.lastConfirmation?.sentAt;
	}

	/** Age of the copy: time since the last successful call was sent; infinite before the first one. */
	age(now: Millis): Millis {
		return this.lastSuccessfulCall === undefined ? Number.POSITIVE_INFINITY : now - this.lastSuccessfulCall.steady;
	}

	/** Whether no row can have come and gone unseen since the last poll. */
	get isContinuous(): boolean {
		return this.lastSuccessfulCall !== undefined && elapsedMs(this.lastSuccessfulCall, this.readClocks()) <= maxGapMs;
	}

	/** How long the store has owed this follower a response. Pauses between polls don't count. */
	silentFor(now: Millis): Millis {
		return this.unansweredSince === undefined ? 0 : now - this.unansweredSince;
	}

	/** How long the store has responded to this follower without a failure. */
	connectedFor(now: Millis): Millis {
		return this.connectedSince === undefined ? 0 : now - this.connectedSince;
	}

	/** Current time on the store's clock, estimated from its last response. */
	storeTime(now: Millis): Millis {
		return now + this.storeClockOffsetMs;
	}

	/** Merges rows that this daemon has written or read itself, before they arrive through the change feed. */
	mergeRows(rows: readonly StoredRow[]): void {
		this.emitChanges(this.copy.apply(rows.map(row => ({kind: 'written', row})), this.options.clock.now()));
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			const sentAt = this.readClocks();
			const sent = this.countCall(sentAt);
			this.unansweredSince ??= sentAt.steady;
			const isSuccessful = await (this.version === undefined ? this.load() : this.poll(this.version));
			if (isSuccessful) {
				this.recordConfirmation(sent);
				this.recordSuccess(sentAt);
				if (this.hasReceivedChanges && this.options.coalesceMs !== undefined) {
					await this.pause(this.options.coalesceMs());
				}

				continue;
			}

			if (this.connectedSince !== undefined) {
				this.connectedSince = undefined;
				this.emit('lost');
			}

			await sleep(retryDelayMs);
		}
	}

	/** Uses a plain timer, since those of node:timers/promises cost several times as much if they can be ended early. */
	private async pause(ms: Millis): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, ms);
			this.endPause = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.endPause = undefined;
	}

	private recordSuccess(sentAt: ClockReadings): void {
		const now = this.options.clock.now();
		const before = this.lastSuccessfulCall;
		this.lastSuccessfulCall = sentAt;
		this.unansweredSince = undefined;
		if (this.connectedSince === undefined) {
			this.connectedSince = now;
			this.emit('regained', before === undefined ? 0 : now - before.steady);
		} else if (before !== undefined && elapsedMs(before, sentAt) > maxGapMs) {
			this.emit('gap', elapsedMs(before, sentAt));
		}
	}

	private countCall(sentAt: ClockReadings): Readonly<{call: number; sentAt: ClockReadings}> {
		this.callCount += 1;
		return {call: this.callCount, sentAt};
	}

	/** A response proves nothing about the time after its call was sent, so the call sent last counts, whichever response arrives last. */
	private recordConfirmation(sent: Readonly<{call: number; sentAt: ClockReadings}>): void {
		if (this.lastConfirmation === undefined || sent.call > this.lastConfirmation.call) {
			this.lastConfirmation = sent;
		}
	}

	private readClocks(): ClockReadings {
		const {clock} = this.options;
		return {steady: clock.now(), wall: clock.wallTime()};
	}

	private async poll(after: number): Promise<boolean> {
		const {store, table, waitMs} = this.options;
		const outcome = await store.changes({table, after, waitMs: waitMs ?? defaultPollWaitMs});
		switch (outcome.kind) {
			case 'changes': {
				this.version = Math.max(this.version ?? after, outcome.version);
				this.storeClockOffsetMs = outcome.storeTime - this.options.clock.now();
				this.hasReceivedChanges = outcome.changes.length > 0;
				this.emitChanges(this.copy.apply(outcome.changes, this.options.clock.now()));
				return true;
			}

			case 'history-lost': {
				return this.load();
			}

			case 'unavailable': {
				return false;
			}
		}
	}

	/** Loads the whole table. The feed then continues from the version of the first read, so changes made during the load are not missed. */
	private async load(): Promise<boolean> {
		const {store, table} = this.options;
		const firstRead = await store.read({table, part: '', limit: 1});
		if (firstRead.kind === 'unavailable') {
			return false;
		}

		const parts = this.options.hasSinglePart === true ? [''] : await store.parts(table);
		if (parts === undefined) {
			return false;
		}

		const rows: StoredRow[] = [];
		for (let index = 0; index < parts.length; index += maxConcurrentPartReads) {
			const partReads = await Promise.all(parts.slice(index, index + maxConcurrentPartReads).map(async part => readAll(store, {table, part})));
			for (const found of partReads) {
				if (found === undefined) {
					return false;
				}

				rows.push(...found);
			}
		}

		this.version = firstRead.version;
		this.loadCount += 1;
		this.storeClockOffsetMs = firstRead.storeTime - this.options.clock.now();
		this.emitChanges(this.copy.replace(rows, firstRead.version, this.options.clock.now()));
		return true;
	}

	private emitChanges(changes: readonly RowChange[]): void {
		if (changes.length > 0) {
			this.emit('changed', changes);
		}
	}
}
