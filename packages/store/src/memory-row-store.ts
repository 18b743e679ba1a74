import {EventEmitter} from 'node:events';
import type {Millis} from '@cicadapost/types';
import {
	RowStore, type ChangesOutcome, type ReadOutcome, type RowChange, type RowRange, type StoredRow, type Transaction, type TransactionOutcome,
} from './row-store.js';
import {exceededLimit} from './transaction-limits.js';

/** Fault injected into subsequent calls. */
export type StoreFault =
	| 'none'
	/** Calls fail without any effect. */
	| 'down'
	/** Transactions are applied, but their responses are lost. */
	| 'answers-lost';

export type MemoryRowStoreOptions = Readonly<{
	now?: () => Millis;
	/** Maximum number of changes kept for the change feed. */
	history?: number;
}>;

/** In-memory store with the semantics of the platform's store, for tests and stand-ins. */
export class MemoryRowStore extends RowStore {
	fault: StoreFault = 'none';
	private readonly rows = new Map<string, StoredRow>();
	private readonly events = new EventEmitter<{changed: never[]}>();
	private history: RowChange[] = [];
	/** Changes up to this version have been discarded. */
	private truncatedVersion = 0;
	private version = 0;

	constructor(private readonly options: MemoryRowStoreOptions = {}) {
		super();
		this.events.setMaxListeners(0);
	}

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		if (this.fault === 'down') {
			return {kind: 'refused'};
		}

		const limit = exceededLimit(transaction);
		if (limit !== undefined) {
			return {kind: 'rejected', reason: limit};
		}

		const outcome = this.apply(transaction);
		return this.fault === 'answers-lost' ? {kind: 'unknown'} : outcome;
	}

	override async read(range: RowRange): Promise<ReadOutcome> {
		if (this.fault === 'down') {
			return {kind: 'unavailable'};
		}

		const found = this.all()
			.filter(row => row.table === range.table && row.part === range.part && row.key >= (range.from ?? '') && (range.to === undefined || row.key < range.to))
			.sort((a, b) => (a.key < b.key ? -1 : 1));
		const limit = range.limit ?? 500;
		return {
			kind: 'rows', rows: found.slice(0, limit), hasMore: found.length > limit, version: this.version, storeTime: this.now(),
		};
	}

	override async parts(table: string): Promise<readonly string[] | undefined> {
		return this.fault === 'down' ? undefined : [...new Set(this.all().filter(row => row.table === table).map(row => row.part))].sort();
	}

	override async changes({table, after, waitMs}: Readonly<{table: string; after: number; waitMs: Millis}>): Promise<ChangesOutcome> {
		if (this.fault === 'down') {
			return {kind: 'unavailable'};
		}

		if (after < this.truncatedVersion) {
			return {kind: 'history-lost'};
		}

		const found = () => this.history.filter(change => versionOf(change) > after && tableOf(change) === table);
		if (found().length === 0) {
			await this.waitForChange(() => found().length > 0, waitMs);
		}

		return {
			kind: 'changes', changes: found(), version: this.version, storeTime: this.now(),
		};
	}

	/** Discards the change history, as the platform's store may do at any time. */
	truncateHistory(): void {
		this.history = [];
		this.truncatedVersion = this.version;
	}

	all(): StoredRow[] {
		return [...this.rows.values()];
	}

	private apply(transaction: Transaction): TransactionOutcome {
		const {part} = transaction;
		const expected = (transaction.expected ?? []).map(({table, key, version}) => ({row: this.rows.get(rowId({table, part, key})), version}));
		if (expected.some(({row, version}) => (row?.version ?? 0) !== version)) {
			return {kind: 'conflict', rows: expected.flatMap(({row}) => (row === undefined ? [] : [row]))};
		}

		this.version += 1;
		for (const {table, key, value} of transaction.writes) {
			const row: StoredRow = {
				table, part, key, value: Uint8Array.from(value), version: this.version,
			};
			this.rows.set(rowId(row), row);
			this.history.push({kind: 'written', row});
		}

		for (const {table, key} of transaction.deletes ?? []) {
			this.rows.delete(rowId({table, part, key}));
			this.history.push({kind: 'deleted', key: {table, part, key}, version: this.version});
		}

		this.trimHistory();
		this.events.emit('changed');
		return {kind: 'committed', version: this.version};
	}

	private trimHistory(): void {
		const excess = this.history.length - (this.options.history ?? 10_000);
		for (const change of this.history.splice(0, Math.max(0, excess))) {
			this.truncatedVersion = versionOf(change);
		}
	}

	private async waitForChange(isSatisfied: () => boolean, waitMs: Millis): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.events.off('changed', checkCondition);
				resolve();
			};

			const checkCondition = () => {
				if (isSatisfied()) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			this.events.on('changed', checkCondition);
		});
	}

	private now(): Millis {
		return this.options.now?.() ?? 0;
	}
}

function rowId({table, part, key}: Readonly<{table: string; part: string; key: string}>): string {
	return `${table}\n${part}\n${key}`;
}

function versionOf(change: RowChange): number {
	return change.kind === 'written' ? change.row.version : change.version;
}

function tableOf(change: RowChange): string {
	return change.kind === 'written' ? change.row.table : change.key.table;
}
