import type {Millis} from '@cicadapost/types';
import type {RowChange, RowKey, StoredRow} from './row-store.js';

type Entry = Readonly<{row: StoredRow; changedAt: Millis}>;
type Tombstone = Readonly<{version: number; changedAt: Millis}>;

/** How long deleted rows are remembered, so that an older value that arrives late does not restore them. */
const tombstoneMs = 60_000;

function rowId({part, key}: Readonly<{part: string; key: string}>): string {
	return `${part}\n${key}`;
}

/**
A local copy of one table. Changes may arrive in any order, because their versions order them.
Times are on the local daemon's clock.
*/
export class TableCopy {
	private readonly rows = new Map<string, Entry>();
	private readonly tombstones = new Map<string, Tombstone>();
	private readonly byPart = new Map<string, Map<string, Entry>>();

	constructor(readonly table: string) {}

	get(part: string, key: string): StoredRow | undefined {
		return this.rows.get(rowId({part, key}))?.row;
	}

	/** Local time at which the row's current value arrived. */
	changedAt(part: string, key: string): Millis | undefined {
		return this.rows.get(rowId({part, key}))?.changedAt;
	}

	part(part: string): StoredRow[] {
		return [...(this.byPart.get(part)?.values() ?? [])].map(entry => entry.row);
	}

	parts(): string[] {
		return [...this.byPart.keys()];
	}

	/** Applies changes and returns those that modified the copy. */
	apply(changes: readonly RowChange[], now: Millis): RowChange[] {
		return changes.filter(change => this.applyOne(change, now));
	}

	/** Replaces the table by a snapshot read at `version`, but keeps newer rows. Returns the changes that modified the copy. */
	replace(rows: readonly StoredRow[], version: number, now: Millis): RowChange[] {
		const presentIds = new Set(rows.map(row => rowId(row)));
		const removed = [...this.rows.entries()].filter(([id, entry]) => !presentIds.has(id) && entry.row.version <= version);
		return this.apply([
			...removed.map(([, entry]): RowChange => ({kind: 'deleted', key: entry.row, version})),
			...rows.map((row): RowChange => ({kind: 'written', row})),
		], now);
	}

	private applyOne(change: RowChange, now: Millis): boolean {
		const key: RowKey = change.kind === 'written' ? change.row : change.key;
		const version = change.kind === 'written' ? change.row.version : change.version;
		const id = rowId(key);
		const knownVersion = this.rows.get(id)?.row.version ?? this.tombstones.get(id)?.version ?? 0;
		if (version < knownVersion || (version === knownVersion && change.kind === 'written')) {
			return false;
		}

		if (change.kind === 'written') {
			const entry = {row: change.row, changedAt: now};
			this.rows.set(id, entry);
			this.tombstones.delete(id);
			const part = this.byPart.get(key.part) ?? new Map<string, Entry>();
			part.set(key.key, entry);
			this.byPart.set(key.part, part);
			return true;
		}

		const existed = this.rows.delete(id);
		const part = this.byPart.get(key.part);
		part?.delete(key.key);
		if (part?.size === 0) {
			this.byPart.delete(key.part);
		}

		this.tombstones.set(id, {version, changedAt: now});
		this.pruneTombstones(now);
		return existed;
	}

	private pruneTombstones(now: Millis): void {
		for (const [id, tombstone] of this.tombstones) {
			if (now - tombstone.changedAt < tombstoneMs) {
				return;
			}

			this.tombstones.delete(id);
		}
	}
}
