import {EventEmitter} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, Millis} from '@cicadapost/types';
import {
	readAll, type RowChange, type RowStore, type StoredRow,
} from './row-store.js';
import {TableCopy} from './table-copy.js';

/** How long one call for changes waits. Short, because a connection that went silent shows only when the answer is overdue. */
const defaultPollWaitMs = 700;
/** Pause after a failed call, so that a store that returns is not met by a crowd and the daemon does not spin. */
const retryDelayMs = 120;
/** Parts read at the same time when a table is read as a whole. */
const maxConcurrentPartReads = 8;

type FollowerEvents = {
	/** Rows that changed, in the order of their versions. */
	changed: [changes: readonly RowChange[]];
	/** The store stopped answering this task. */
	lost: never[];
	/** The store answers again; `awayMs` since the last answer before. */
	regained: [awayMs: Millis];
};

export type TableFollowerOptions = Readonly<{
	store: RowStore;
	clock: Clock;
	table: string;
	/** The table has rows in the empty part only, so its parts need not be listed. */
	hasSinglePart?: boolean;
	waitMs?: Millis;
	/** Pause after changes, in which further ones gather. 0 for tables whose changes others wait for. */
	coalesceMs?: Millis;
}>;

/** A task that keeps a local copy of one table up to date through the feed of changes. */
export class TableFollower extends EventEmitter<FollowerEvents> {
	readonly copy: TableCopy;
	private version: number | undefined;
	private lastAnsweredCallSentAt: Millis | undefined;
	private connectedSince: Millis | undefined;
	/** What the store's clock shows more than this daemon's. */
	private storeClockOffsetMs = 0;
	private hasReceivedChanges = false;
	private isStopped = false;

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

	/** Whether the table has been read once. */
	get isLoaded(): boolean {
		return this.version !== undefined;
	}

	/** Version of the store up to which the copy is complete; 0 before the first read. */
	get copyVersion(): number {
		return this.version ?? 0;
	}

	/** Age of the copy: time since the last call that the store answered was sent; infinite before the first. */
	age(now: Millis): Millis {
		return this.lastAnsweredCallSentAt === undefined ? Number.POSITIVE_INFINITY : now - this.lastAnsweredCallSentAt;
	}

	/** How long the store has answered this task without a failure. */
	connectedFor(now: Millis): Millis {
		return this.connectedSince === undefined ? 0 : now - this.connectedSince;
	}

	/** The present time on the store's clock, estimated from its last answer. */
	storeTime(now: Millis): Millis {
		return now + this.storeClockOffsetMs;
	}

	/** Takes over rows that this daemon has written or read itself, before the feed brings them. */
	mergeRows(rows: readonly StoredRow[]): void {
		this.emitChanges(this.copy.apply(rows.map(row => ({kind: 'written', row})), this.options.clock.now()));
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			const sentAt = this.options.clock.now();
			const isAnswered = await (this.version === undefined ? this.load() : this.poll(this.version));
			if (isAnswered) {
				this.recordAnswer(sentAt);
				if (this.hasReceivedChanges && this.options.coalesceMs !== undefined) {
					await sleep(this.options.coalesceMs);
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

	private recordAnswer(sentAt: Millis): void {
		const now = this.options.clock.now();
		const before = this.lastAnsweredCallSentAt;
		this.lastAnsweredCallSentAt = sentAt;
		if (this.connectedSince === undefined) {
			this.connectedSince = now;
			this.emit('regained', before === undefined ? 0 : now - before);
		}
	}

	private async poll(after: number): Promise<boolean> {
		const {store, table, waitMs} = this.options;
		const outcome = await store.changes({table, after, waitMs: waitMs ?? defaultPollWaitMs});
		switch (outcome.kind) {
			case 'changes': {
				this.version = Math.max(after, outcome.version);
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

	/** Reads the whole table. Changes made meanwhile come with the feed from the version before the first read. */
	private async load(): Promise<boolean> {
		const {store, table} = this.options;
		const first = await store.read({table, part: '', limit: 1});
		if (first.kind === 'unavailable') {
			return false;
		}

		const parts = this.options.hasSinglePart === true ? [''] : await store.parts(table);
		if (parts === undefined) {
			return false;
		}

		const rows: StoredRow[] = [];
		for (let index = 0; index < parts.length; index += maxConcurrentPartReads) {
			const read = await Promise.all(parts.slice(index, index + maxConcurrentPartReads).map(async part => readAll(store, {table, part})));
			for (const found of read) {
				if (found === undefined) {
					return false;
				}

				rows.push(...found);
			}
		}

		this.version = first.version;
		this.storeClockOffsetMs = first.storeTime - this.options.clock.now();
		this.emitChanges(this.copy.replace(rows, first.version, this.options.clock.now()));
		return true;
	}

	private emitChanges(changes: readonly RowChange[]): void {
		if (changes.length > 0) {
			this.emit('changed', changes);
		}
	}
}
