import {
	addEntries, emptyTransactionSize, fitsTransaction, type Transaction, type TransactionEntry, type TransactionSize,
} from '@cicadapost/store';
import type {DaemonIncarnation} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {ItemClaim, SampleResult, SampleText} from './batch.js';
import type {ItemReference} from './plan-claims.js';
import {
	batchTable, claimKey, encodeClaims, encodeListing, encodePartial, encodeResult, listingTable, partialTable, planKey, resultTable,
} from './encode-rows.js';

/** Outcome, or intermediate state, of an item that this daemon ran. */
export type ItemOutcome = Readonly<{group: number; item: number}> & (
	/** The result gets the position after all those that were listed before. */
	| Readonly<{kind: 'result'; result: SampleResult}>
	/** Another engine may run the item, resuming from the text if there is one. */
	| Readonly<{kind: 'released'; failures: number; text: SampleText | undefined}>
	/** The text is complete. It is stored, and this daemon then sends the item's reward call. */
	| Readonly<{kind: 'text-complete'; failures: number; text: SampleText}>
	/** Another daemon may send the reward call. */
	| Readonly<{kind: 'reward-released'; rewardFailures: number}>
	/** The text so far is stored in case this daemon dies. */
	| Readonly<{kind: 'progress'; text: SampleText}>
);

export type CommitPlan = Readonly<{
	/** Transactions to commit before, in this order, with rows that count only once `transaction` is committed. Only for a result that does not fit into one. */
	preceding: readonly Transaction[];
	transaction: Transaction;
	/** Outcomes that the transaction records. The others wait for the next transaction. */
	included: readonly ItemOutcome[];
	/** Outcomes to discard, because the item has been listed or is now running elsewhere. */
	obsolete: readonly ItemOutcome[];
}>;

/** Room for a claim that grows by the names of its daemon, engine and software version. */
const claimGrowthBytes = 1000;

type RowWrite = Readonly<{table: string; key: string; value: Uint8Array}>;

type TransactionDraft = Readonly<{
	claims: ReadonlyMap<number, readonly ItemClaim[]>;
	writes: readonly RowWrite[];
	/** Number of results that the transaction lists. */
	results: number;
	size: TransactionSize;
}>;

/** What an outcome changes. */
type Addition = Readonly<{claim: ItemClaim; rows: readonly RowWrite[]; isResult: boolean}>;

export type PlanCommitOptions = Readonly<{
	incarnation: DaemonIncarnation;
	/** Key of the listing that the transaction adds if it has results; no other transaction uses it. */
	listing: string;
}>;

/**
Builds the transaction that records outcomes, as many as the store accepts in one call. It only succeeds if the claims of its
groups still match `view`, so an item is never listed twice. Daemons that run different groups of a batch do not contend, since
listings are ordered by the store. An outcome that exceeds the limits of the store alone is split if it is a result. Of all
others the text is left out, so that an engine starts the item again.
*/
export function planCommit(view: BatchView, outcomes: readonly ItemOutcome[], options: PlanCommitOptions): CommitPlan {
	let draft = emptyDraft(view, options);
	const included: ItemOutcome[] = [];
	const obsolete: ItemOutcome[] = [];
	for (const outcome of outcomes) {
		const addition = additionOf(draft, view, outcome, options);
		if (addition === undefined) {
			obsolete.push(outcome);
			continue;
		}

		const next = withAddition(draft, view, outcome, addition);
		if (fitsTransaction(next.size)) {
			draft = next;
			included.push(outcome);
			continue;
		}

		if (included.length > 0) {
			break;
		}

		if (addition.isResult) {
			return {...splitResult(draft, view, {outcome, addition, options}), included: [outcome], obsolete};
		}

		const reduced = withoutText(outcome, view);
		const smaller = reduced === undefined ? undefined : additionOf(draft, view, reduced, options);
		if (smaller === undefined) {
			obsolete.push(outcome);
		} else {
			draft = withAddition(draft, view, outcome, smaller);
			included.push(outcome);
		}
	}

	return {
		preceding: [], transaction: buildTransaction(draft, view, options), included, obsolete,
	};
}

/** Whether the text of an item can be stored, which takes a single transaction. */
export function canStoreText(view: BatchView, {group, item, text}: Omit<ItemReference, 'batch'> & Readonly<{text: SampleText}>): boolean {
	const rows = encodePartial(group, item, text).map(row => ({...row, table: partialTable}));
	return fitsTransaction(addEntries(emptyDraft(view, {incarnation: '' as DaemonIncarnation, listing: ''}).size, view.id, [...rows, ...claimEntries(view, group)]));
}

/** Returns the outcome to record in place of one that the store never accepts, so that an engine runs the item again. Undefined if there is none. */
export function withoutText(outcome: ItemOutcome, view: BatchView): ItemOutcome | undefined {
	const {group, item} = outcome;
	const claim = view.claims[group]?.items[item];
	const failures = claim === undefined || claim.kind === 'listed' ? 0 : claim.failures;
	const isWithoutText = outcome.kind === 'progress' || outcome.kind === 'reward-released' || (outcome.kind === 'released' && outcome.text === undefined);
	return isWithoutText
		? undefined
		: {
			group, item, kind: 'released', failures: outcome.kind === 'result' ? failures + 1 : outcome.failures, text: undefined,
		};
}

function emptyDraft(view: BatchView, {listing}: PlanCommitOptions): TransactionDraft {
	const planRow = {table: batchTable, key: planKey};
	// The listing is counted even if there is no result.
	const listingRow = {table: listingTable, key: listing};
	return {
		claims: new Map(), writes: [], results: 0, size: addEntries(emptyTransactionSize, view.id, [planRow, listingRow, {...listingRow, value: encodeListing(0)}]),
	};
}

function withAddition(draft: TransactionDraft, view: BatchView, {group, item}: ItemOutcome, {claim, rows, isResult}: Addition): TransactionDraft {
	const claims = [...draft.claims.get(group) ?? view.claims[group]?.items ?? []];
	claims[item] = claim;
	const size = addEntries(draft.size, view.id, [...rows, ...draft.claims.has(group) ? [] : claimEntries(view, group)]);
	return {
		claims: new Map([...draft.claims, [group, claims]]),
		writes: [...draft.writes, ...rows],
		results: draft.results + (isResult ? 1 : 0),
		size: {...size, bytes: size.bytes + claimGrowthBytes},
	};
}

/** The precondition and the write of a group's claims. */
function claimEntries(view: BatchView, group: number): TransactionEntry[] {
	const entry = {table: batchTable, key: claimKey(group)};
	return [entry, {...entry, value: encodeClaims(view.claims[group]?.items ?? [])}];
}

function buildTransaction({claims, writes, results}: TransactionDraft, view: BatchView, {listing}: PlanCommitOptions): Transaction {
	const hasResults = results > 0;
	return {
		part: view.id,
		expected: [
			{table: batchTable, key: planKey, version: view.planVersion},
			...(hasResults ? [{table: listingTable, key: listing, version: 0}] : []),
			...[...claims.keys()].map(group => ({table: batchTable, key: claimKey(group), version: view.claims[group]?.version ?? 0})),
		],
		writes: [
			...(hasResults ? [{table: listingTable, key: listing, value: encodeListing(results)}] : []),
			...[...claims.entries()].map(([group, items]) => ({table: batchTable, key: claimKey(group), value: encodeClaims(items)})),
			...writes,
		],
	};
}

/** Splits a result that does not fit into one transaction. Its rows can't be found before the last one, which lists it. */
function splitResult(
	draft: TransactionDraft,
	view: BatchView,
	{outcome, addition, options}: Readonly<{outcome: ItemOutcome; addition: Addition; options: PlanCommitOptions}>,
): Pick<CommitPlan, 'preceding' | 'transaction'> {
	const expected = [{table: batchTable, key: planKey, version: view.planVersion}];
	const preceding: Transaction[] = [];
	let writes: RowWrite[] = [];
	for (const row of addition.rows) {
		if (!fitsTransaction(addEntries(emptyTransactionSize, view.id, [...expected, ...writes, row]))) {
			preceding.push({part: view.id, expected, writes});
			writes = [];
		}

		writes.push(row);
	}

	return {
		preceding: [...preceding, {part: view.id, expected, writes}],
		transaction: buildTransaction(withAddition(draft, view, outcome, {...addition, rows: []}), view, options),
	};
}

/** Returns undefined if the outcome is obsolete. */
function additionOf(draft: TransactionDraft, view: BatchView, outcome: ItemOutcome, {incarnation, listing}: PlanCommitOptions): Addition | undefined {
	const claim = (draft.claims.get(outcome.group) ?? view.claims[outcome.group]?.items ?? [])[outcome.item];
	if (claim === undefined || claim.kind === 'listed') {
		return undefined;
	}

	switch (outcome.kind) {
		case 'result': {
			return {claim: {kind: 'listed'}, rows: rowsOf(resultTable, encodeResult({listing, index: draft.results}, outcome.result)), isResult: true};
		}

		case 'text-complete': {
			return claim.kind === 'rewarding'
				? undefined
				: {
					claim: {
						kind: 'rewarding', incarnation, rewardFailures: 0, failures: outcome.failures, hasPartialText: true, textVersion: outcome.text.softwareVersion,
					},
					rows: textRows(outcome),
					isResult: false,
				};
		}

		case 'reward-released': {
			return claim.kind !== 'rewarding' || claim.incarnation !== incarnation
				? undefined
				: {claim: {...claim, incarnation: undefined, rewardFailures: outcome.rewardFailures}, rows: [], isResult: false};
		}

		case 'released': {
			return claim.kind === 'open' || claim.incarnation !== incarnation
				? undefined
				: {
					claim: {
						kind: 'open',
						failures: outcome.failures,
						hasPartialText: claim.hasPartialText || outcome.text !== undefined,
						textVersion: outcome.text === undefined ? claim.textVersion : outcome.text.softwareVersion,
					},
					rows: textRows(outcome),
					isResult: false,
				};
		}

		case 'progress': {
			return claim.kind !== 'running' || claim.incarnation !== incarnation
				? undefined
				: {claim: {...claim, hasPartialText: true, textVersion: outcome.text.softwareVersion}, rows: textRows(outcome), isResult: false};
		}
	}
}

function textRows({group, item, text}: Readonly<{group: number; item: number; text: SampleText | undefined}>): RowWrite[] {
	return text === undefined ? [] : rowsOf(partialTable, encodePartial(group, item, text));
}

function rowsOf(table: string, rows: ReadonlyArray<Readonly<{key: string; value: Uint8Array}>>): RowWrite[] {
	return rows.map(row => ({...row, table}));
}
