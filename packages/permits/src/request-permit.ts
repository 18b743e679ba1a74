import type {RowStore, TableFollower} from '@cicadapost/store';
import type {DaemonId, Millis} from '@cicadapost/types';
import {canRequestPermit, type Permit} from './permit-rules.js';

/** What is needed of a `TableFollower`. */
export type PermitTable = Pick<TableFollower, 'copy' | 'mergeRows'>;

export type PermitRequestOptions<Held extends Permit> = Readonly<{
	store: RowStore;
	/** Follows the table that holds the permits. */
	follower: PermitTable;
	part: string;
	key: string;
	self: DaemonId;
	silenceMs: Millis;
	/** Present time on this daemon's monotonic clock. */
	now: Millis;
	decode: (value: Uint8Array) => Held | undefined;
	encode: (permit: Held) => Uint8Array;
	/** Returns the permit to write. Its token must not be lower than that of the current one, and differ from that of another holder. */
	next: (current: Held | undefined) => Held;
	/** Whether the permit in the copy is the one that the caller has planned with. If not, nothing is written. */
	isCurrent?: (current: Held | undefined) => boolean;
}>;

export type PermitRequestOutcome<Held extends Permit> =
	| Readonly<{kind: 'granted'; permit: Held; version: number}>
	/** The permit of another daemon has not rested for long enough. Nothing was written. */
	| Readonly<{kind: 'held'}>
	/** Another daemon was faster, or an earlier request of this one took effect late. The copy has the present row now. */
	| Readonly<{kind: 'conflict'}>
	/** Nothing is written over a row that this build can't read. */
	| Readonly<{kind: 'unreadable'}>
	/** Nothing was written. */
	| Readonly<{kind: 'refused'; permit: Held}>
	/** The store did not respond. The permit may exist or come into existence, but allows no call. */
	| Readonly<{kind: 'unknown'; permit: Held}>;

/** Writes a permit on the condition that its row is still the one in this daemon's copy. */
export async function requestPermit<Held extends Permit>(options: PermitRequestOptions<Held>): Promise<PermitRequestOutcome<Held>> {
	const {store, follower, part, key, self, silenceMs, now} = options;
	const row = follower.copy.get(part, key);
	const current = row === undefined ? undefined : options.decode(row.value);
	if (row !== undefined && current === undefined) {
		return {kind: 'unreadable'};
	}

	if (options.isCurrent?.(current) === false) {
		return {kind: 'conflict'};
	}

	const unchangedMs = now - (follower.copy.changedAt(part, key) ?? now);
	if (!canRequestPermit({
		permit: current, unchangedMs, self, silenceMs,
	})) {
		return {kind: 'held'};
	}

	const permit = options.next(current);
	const write = {table: follower.copy.table, key, value: options.encode(permit)};
	const outcome = await store.transact({
		part,
		expected: [{table: write.table, key, version: row?.version ?? 0}],
		writes: [write],
	});
	switch (outcome.kind) {
		case 'committed': {
			follower.mergeRows([{...write, part, version: outcome.version}]);
			return {kind: 'granted', permit, version: outcome.version};
		}

		case 'conflict': {
			follower.mergeRows(outcome.rows);
			return {kind: 'conflict'};
		}

		case 'refused':
		case 'rejected': {
			return {kind: 'refused', permit};
		}

		case 'unknown': {
			return {kind: 'unknown', permit};
		}
	}
}
