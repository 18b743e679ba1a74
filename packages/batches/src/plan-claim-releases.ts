import type {DaemonIncarnation} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {ClaimTarget} from './plan-claims.js';
import {itemKeyOf} from './sample-run.js';

export type PlanClaimReleasesOptions = Readonly<{
	batches: readonly BatchView[];
	/** This daemon. */
	incarnation: DaemonIncarnation;
	/** Whether this daemon claims, starts, runs or scores an item, or has an outcome of it to record. `itemKey` is a key from `itemKeyOf`. */
	isWorkedOn: (itemKey: string) => boolean;
}>;

/**
Finds claims that name this daemon although it does not work on their items. The store applies a claim whose response is lost,
at once or seconds later. Only the daemon that wrote it can tell that nobody works on the items: all others take the claim for
live as long as this process runs. It has to release them whoever owns their engine now.
*/
export function planClaimReleases({batches, incarnation, isWorkedOn}: PlanClaimReleasesOptions): ClaimTarget[] {
	return batches.flatMap(view => view.claims.flatMap((claims, group) => {
		const items = claims.items.flatMap((claim, item) => {
			const isOwn = (claim.kind === 'running' || claim.kind === 'rewarding') && claim.incarnation === incarnation;
			return isOwn && !isWorkedOn(itemKeyOf({batch: view.id, group, item})) ? [item] : [];
		});
		return items.length > 0 ? [{batch: view.id, group, items}] : [];
	}));
}
