import type {StoredRow} from '@cicadapost/store';
import {decodeListing} from './encode-rows.js';

/** Where the result at some position is stored. */
export type ResultReference = Readonly<{
	listing: string;
	/** Index among the results that the transaction of the listing has stored. */
	index: number;
}>;

/**
Returns the results of a batch in the order of their positions. A listing is never rewritten, and the store gives each
transaction a higher version than those before it. So a new listing is always the last one, and a position never changes.
*/
export function orderResults(listings: readonly StoredRow[]): ResultReference[] {
	return listings
		.toSorted((a, b) => a.version - b.version)
		.flatMap(row => Array.from({length: decodeListing(row.value)}, (_, index) => ({listing: row.key, index})));
}
