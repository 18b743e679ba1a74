import type {Transaction} from './row-store.js';

/** The store accepts so many entries in a transaction: preconditions, writes and deletes. */
export const maxTransactionEntries = 100;
/** The store accepts a call with a transaction of so many bytes. */
export const maxTransactionBytes = 1_000_000;
/** Maximum size of the value of a row in bytes. */
export const maxRowBytes = 65_536;
/** Maximum size of the name of a table, a part or a key in bytes. */
export const maxNameBytes = 200;

/** Names of fields, quotes and a version in an encoded entry. */
const entryOverheadBytes = 80;
const callOverheadBytes = 100;

/** What a transaction takes up of the limits of the store. `bytes` is an upper bound for its encoded size. */
export type TransactionSize = Readonly<{entries: number; bytes: number}>;

/** An entry of a transaction: a precondition, a write or a delete. */
export type TransactionEntry = Readonly<{table: string; key: string; value?: Uint8Array}>;

export const emptyTransactionSize: TransactionSize = {entries: 0, bytes: callOverheadBytes};

/** Returns the size of a transaction with further entries. */
export function addEntries(size: TransactionSize, part: string, entries: readonly TransactionEntry[]): TransactionSize {
	let {bytes} = size;
	for (const entry of entries) {
		bytes += entryOverheadBytes + nameBytes(entry.table) + nameBytes(part) + nameBytes(entry.key) + base64Bytes(entry.value?.length ?? 0);
	}

	return {entries: size.entries + entries.length, bytes};
}

export function sizeOf({part, expected = [], writes, deletes = []}: Transaction): TransactionSize {
	return addEntries(emptyTransactionSize, part, [...expected, ...writes, ...deletes]);
}

/** Whether the store accepts a transaction of this size. */
export function fitsTransaction({entries, bytes}: TransactionSize): boolean {
	return entries <= maxTransactionEntries && bytes <= maxTransactionBytes;
}

/** Returns which limit of the store a transaction exceeds, or undefined if the store can accept it. */
export function exceededLimit(transaction: Transaction): string | undefined {
	const size = sizeOf(transaction);
	if (!fitsTransaction(size)) {
		return `${size.entries} entries with up to ${size.bytes} bytes, of which ${maxTransactionEntries} and ${maxTransactionBytes} are allowed`;
	}

	const row = transaction.writes.find(({value}) => value.length > maxRowBytes);
	if (row !== undefined) {
		return `a row of ${row.value.length} bytes in table ${row.table}, of which ${maxRowBytes} are allowed`;
	}

	const {part, expected = [], writes, deletes = []} = transaction;
	const name = [part, ...[...expected, ...writes, ...deletes].flatMap(({table, key}) => [table, key])].find(other => Buffer.byteLength(other) > maxNameBytes);
	return name === undefined ? undefined : `a name of ${Buffer.byteLength(name)} bytes, of which ${maxNameBytes} are allowed`;
}

/** Splits a list into pieces of at most `count` elements, such as the deletes of a transaction. */
export function chunksOf<Element>(elements: readonly Element[], count = maxTransactionEntries): Element[][] {
	return Array.from({length: Math.ceil(elements.length / count)}, (_, index) => elements.slice(index * count, (index + 1) * count));
}

function base64Bytes(length: number): number {
	return Math.ceil(length / 3) * 4;
}

/** Size of a name in JSON, in which some characters are escaped. */
function nameBytes(name: string): number {
	return Buffer.byteLength(JSON.stringify(name));
}
