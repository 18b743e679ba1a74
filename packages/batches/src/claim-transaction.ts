import {
	addEntries, emptyTransactionSize, fitsTransaction, maxRowBytes, type Transaction,
} from '@cicadapost/store';
import type {DaemonIncarnation, UpstreamId} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import {
	batchTable, claimKey, encodeClaims, endKey, planKey,
} from './encode-rows.js';
import {applyClaim, type ClaimTarget} from './plan-claims.js';

export type ClaimTransaction = Readonly<{
	transaction: Transaction;
	/** The items that the transaction claims. The others have to wait for the next one. */
	targets: readonly ClaimTarget[];
}>;

/** Builds the transaction that claims the first targets of a batch for an engine, as many as the store accepts in one call. */
export function planClaimTransaction(
	view: BatchView,
	targets: readonly ClaimTarget[],
	by: Readonly<{incarnation: DaemonIncarnation; engine: UpstreamId}>,
): ClaimTransaction {
	const expected = [{table: batchTable, key: planKey, version: view.planVersion}, {table: batchTable, key: endKey, version: 0}];
	const writes: Array<{table: string; key: string; value: Uint8Array}> = [];
	const claimed: ClaimTarget[] = [];
	let size = addEntries(emptyTransactionSize, view.id, expected);
	for (const target of targets) {
		const fitting = fittingClaim(view, target, by);
		if (fitting === undefined) {
			continue;
		}

		const key = claimKey(target.group);
		const precondition = {table: batchTable, key, version: view.claims[target.group]?.version ?? 0};
		const write = {table: batchTable, key, value: fitting.value};
		const next = addEntries(size, view.id, [precondition, write]);
		if (!fitsTransaction(next)) {
			break;
		}

		size = next;
		expected.push(precondition);
		writes.push(write);
		claimed.push({...target, items: fitting.items});
	}

	return {transaction: {part: view.id, expected, writes}, targets: claimed};
}

/** Returns the first items of a target whose claims fit into the row of their group, undefined if none does. */
function fittingClaim(view: BatchView, {group, items}: ClaimTarget, by: Readonly<{incarnation: DaemonIncarnation; engine: UpstreamId}>): Readonly<{items: readonly number[]; value: Uint8Array}> | undefined {
	for (let count = items.length; count > 0; count = Math.floor(count / 2)) {
		const fitting = items.slice(0, count);
		const value = encodeClaims(applyClaim(view.claims[group]?.items ?? [], fitting, by));
		if (value.length <= maxRowBytes) {
			return {items: fitting, value};
		}
	}

	return undefined;
}
