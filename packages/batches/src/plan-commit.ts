import type {Transaction} from '@cicadapost/store';
import type {DaemonIncarnation} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {ItemClaim, SampleResult, SampleText} from './batch.js';
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
	transaction: Transaction;
	/** Outcomes that the transaction records. The others wait for the next transaction. */
	included: readonly ItemOutcome[];
	/** Outcomes to discard, because the item has been listed or is now running elsewhere. */
	obsolete: readonly ItemOutcome[];
}>;

/** The store accepts 100 entries and 1 MB per transaction, in which encoded values grow by a third. */
const maxEntries = 90;
const maxBytes = 600 * 1024;

type TransactionDraft = {
	claims: Map<number, ItemClaim[]>;
	writes: Array<{table: string; key: string; value: Uint8Array}>;
	bytes: number;
	/** Number of results that the transaction lists. */
	results: number;
};

export type PlanCommitOptions = Readonly<{
	incarnation: DaemonIncarnation;
	/** Key of the listing that the transaction adds if it has results; no other transaction uses it. */
	listing: string;
}>;

/**
Builds the transaction that records outcomes. It only succeeds if the claims of its groups still match `view`, so an item is
never listed twice. Daemons that run different groups of a batch do not contend, since listings are ordered by the store.
*/
export function planCommit(view: BatchView, outcomes: readonly ItemOutcome[], options: PlanCommitOptions): CommitPlan {
	const draft: TransactionDraft = {
		claims: new Map(), writes: [], bytes: 0, results: 0,
	};
	const included: ItemOutcome[] = [];
	const obsolete: ItemOutcome[] = [];
	for (const outcome of outcomes) {
		// Each group adds an expected and a written row, and the listing another two.
		if (draft.writes.length + (2 * draft.claims.size) + 8 > maxEntries || draft.bytes > maxBytes) {
			break;
		}

		if (addOutcome(draft, view, outcome, options)) {
			included.push(outcome);
		} else {
			obsolete.push(outcome);
		}
	}

	const hasResults = draft.results > 0;
	return {
		transaction: {
			part: view.id,
			expected: [
				{table: batchTable, key: planKey, version: view.planVersion},
				...(hasResults ? [{table: listingTable, key: options.listing, version: 0}] : []),
				...[...draft.claims.keys()].map(group => ({table: batchTable, key: claimKey(group), version: view.claims[group]?.version ?? 0})),
			],
			writes: [
				...(hasResults ? [{table: listingTable, key: options.listing, value: encodeListing(draft.results)}] : []),
				...[...draft.claims.entries()].map(([group, claims]) => ({table: batchTable, key: claimKey(group), value: encodeClaims(claims)})),
				...draft.writes,
			],
		},
		included,
		obsolete,
	};
}

/** Adds an outcome to the draft. Returns false if the outcome is obsolete. */
function addOutcome(draft: TransactionDraft, view: BatchView, outcome: ItemOutcome, {incarnation, listing}: PlanCommitOptions): boolean {
	const claims = draft.claims.get(outcome.group) ?? [...view.claims[outcome.group]?.items ?? []];
	const claim = claims[outcome.item];
	if (claim === undefined || claim.kind === 'listed') {
		return false;
	}

	switch (outcome.kind) {
		case 'result': {
			claims[outcome.item] = {kind: 'listed'};
			addRows(draft, resultTable, encodeResult({listing, index: draft.results}, outcome.result));
			draft.results += 1;
			break;
		}

		case 'text-complete': {
			if (claim.kind === 'rewarding') {
				return false;
			}

			claims[outcome.item] = {
				kind: 'rewarding', incarnation, rewardFailures: 0, failures: outcome.failures, hasPartialText: true, textVersion: outcome.text.softwareVersion,
			};
			addRows(draft, partialTable, encodePartial(outcome.group, outcome.item, outcome.text));
			break;
		}

		case 'reward-released': {
			if (claim.kind !== 'rewarding' || claim.incarnation !== incarnation) {
				return false;
			}

			claims[outcome.item] = {...claim, incarnation: undefined, rewardFailures: outcome.rewardFailures};
			break;
		}

		case 'released': {
			if (claim.kind === 'open' || claim.incarnation !== incarnation) {
				return false;
			}

			claims[outcome.item] = {
				kind: 'open',
				failures: outcome.failures,
				hasPartialText: claim.hasPartialText || outcome.text !== undefined,
				textVersion: outcome.text === undefined ? claim.textVersion : outcome.text.softwareVersion,
			};
			if (outcome.text !== undefined) {
				addRows(draft, partialTable, encodePartial(outcome.group, outcome.item, outcome.text));
			}

			break;
		}

		case 'progress': {
			if (claim.kind !== 'running' || claim.incarnation !== incarnation) {
				return false;
			}

			claims[outcome.item] = {...claim, hasPartialText: true, textVersion: outcome.text.softwareVersion};
			addRows(draft, partialTable, encodePartial(outcome.group, outcome.item, outcome.text));
			break;
		}
	}

	draft.claims.set(outcome.group, claims);
	return true;
}

function addRows(draft: TransactionDraft, table: string, rows: ReadonlyArray<Readonly<{key: string; value: Uint8Array}>>): void {
	for (const {key, value} of rows) {
		draft.writes.push({table, key, value});
		draft.bytes += value.length;
	}
}
