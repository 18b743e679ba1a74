import type {BatchView, ClaimTarget, ItemClaim} from '@cicadapost/batches';

export type PlanTakeoversOptions = Readonly<{
	batches: readonly BatchView[];
	/** Whether the daemon that holds the claim still works on the item's reward. */
	isHolderAlive: (claim: Extract<ItemClaim, {kind: 'rewarding'}>, item: Readonly<{batch: string; group: number; item: number}>, rowVersion: number) => boolean;
	/** Whether this daemon is the one that takes over texts of the group. */
	isResponsible: (batch: BatchView, group: number) => boolean;
}>;

/** Finds stored texts whose reward no daemon gets, after the daemons that ran the samples have died or stopped. One daemon takes over those of a group. */
export function planTakeovers({batches, isHolderAlive, isResponsible}: PlanTakeoversOptions): ClaimTarget[] {
	return batches.filter(({plan}) => plan.hasRewards === true).flatMap(view => view.claims.flatMap((claims, group) => {
		const items = claims.items.flatMap((claim, item) => {
			const isOrphan = claim.kind === 'rewarding' && (claim.incarnation === undefined || !isHolderAlive(claim, {batch: view.id, group, item}, claims.version));
			return isOrphan ? [item] : [];
		});
		return items.length > 0 && isResponsible(view, group) ? [{batch: view.id, group, items}] : [];
	}));
}
