import type {Millis} from '@cicadapost/types';
import {
	RowStore, type ChangesOutcome, type ReadOutcome, type RowRange, type Transaction, type TransactionOutcome,
} from './row-store.js';

/** A finished call to the store. */
export type StoreCallReport = Readonly<{
	call: 'transact' | 'read' | 'parts' | 'changes';
	/** Table that the call reads, or the first one that a transaction writes. */
	table: string;
	/** Kind of the outcome, such as `committed` or `unavailable`. */
	outcome: string;
	/** Number of rows that the store returned. */
	rows: number;
}>;

/** Passes all calls on to another store and reports each one after it has finished. */
export class ObservedRowStore extends RowStore {
	constructor(private readonly store: RowStore, private readonly onCall: (report: StoreCallReport) => void) {
		super();
	}

	override async transact(transaction: Transaction, timeoutMs?: Millis): Promise<TransactionOutcome> {
		const outcome = await this.store.transact(transaction, timeoutMs);
		const [write] = transaction.writes;
		this.onCall({
			call: 'transact', table: write?.table ?? transaction.deletes?.[0]?.table ?? '', outcome: outcome.kind, rows: outcome.kind === 'conflict' ? outcome.rows.length : 0,
		});
		return outcome;
	}

	override async read(range: RowRange): Promise<ReadOutcome> {
		const outcome = await this.store.read(range);
		this.onCall({
			call: 'read', table: range.table, outcome: outcome.kind, rows: outcome.kind === 'rows' ? outcome.rows.length : 0,
		});
		return outcome;
	}

	override async parts(table: string): Promise<readonly string[] | undefined> {
		const parts = await this.store.parts(table);
		this.onCall({
			call: 'parts', table, outcome: parts === undefined ? 'unavailable' : 'parts', rows: 0,
		});
		return parts;
	}

	override async changes(options: Readonly<{table: string; after: number; waitMs: Millis}>): Promise<ChangesOutcome> {
		const outcome = await this.store.changes(options);
		this.onCall({
			call: 'changes', table: options.table, outcome: outcome.kind, rows: outcome.kind === 'changes' ? outcome.changes.length : 0,
		});
		return outcome;
	}
}
