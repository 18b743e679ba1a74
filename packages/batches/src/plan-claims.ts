import type {
	BatchId, DaemonLife, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';
import type {BatchView} from './batch-book.js';
import type {ItemClaim} from './batch.js';

/** An engine that this daemon looks after, with room for samples. */
export type EngineRoom = Readonly<{
	id: UpstreamId;
	freeSlots: number;
	/** Weight version of each model that new samples would run with. A model that is being loaded is left out. */
	versions: ReadonlyMap<ModelId, number>;
	/** Its place among the engines that may run the same samples, from 0, and their number. */
	rank: number;
	engines: number;
}>;

export type ClaimTarget = Readonly<{batch: BatchId; group: number; items: readonly number[]}>;

export type PlanClaimsOptions = Readonly<{
	engine: EngineRoom;
	/** Batches that the engine's service may run, with the most urgent first. */
	batches: readonly BatchView[];
	isHeld: IsHeld;
}>;

export type ItemPlace = Readonly<{batch: BatchId; group: number; item: number}>;

/** Whether the daemon of a claim still works on the item. Other claims are void. */
export type IsHeld = (claim: Extract<ItemClaim, {kind: 'running'}>, place: ItemPlace) => boolean;

/**
Chooses the samples that an engine takes next. Answers the load of whole batches that arrive at once and take several
times the slots there are, with lengths known only roughly:
- older batches first, so that each trainer's step ends before its next one needs the slots;
- groups that have been begun first, because a group counts only when it is whole;
- then groups with the longest expected item, so that a long one does not start last;
- engines begin at different places of that order, so that they rarely claim the same group.
*/
export function planClaims({engine, batches, isHeld}: PlanClaimsOptions): ClaimTarget[] {
	const targets: ClaimTarget[] = [];
	let free = engine.freeSlots;
	for (const batch of batches) {
		if ((engine.versions.get(batch.plan.model) ?? -1) < batch.plan.minVersion) {
			continue;
		}

		for (const {group, items} of orderGroups(batch, engine, isHeld)) {
			if (free <= 0) {
				return targets;
			}

			const taken = items.slice(0, free);
			free -= taken.length;
			targets.push({batch: batch.id, group, items: taken});
		}
	}

	return targets;
}

type GroupWork = Readonly<{group: number; items: readonly number[]; isBegun: boolean; longest: number}>;

function orderGroups(batch: BatchView, engine: EngineRoom, isHeld: IsHeld): GroupWork[] {
	const groups = batch.claims
		.map((claims, group): GroupWork => ({
			group,
			items: claims.items
				.map((claim, index) => ({claim, index}))
				.filter(({claim, index}) => claim.kind === 'open' || (claim.kind === 'running' && !isHeld(claim, {batch: batch.id, group, item: index})))
				.map(({index}) => index)
				.sort((a, b) => expectedTokens(batch, group, b) - expectedTokens(batch, group, a)),
			isBegun: claims.version > 0,
			longest: Math.max(...(batch.plan.groups[group]?.items.map(item => item.expectedTokens) ?? [0])),
		}))
		.filter(({items}) => items.length > 0);
	const begun = groups.filter(({isBegun}) => isBegun).sort((a, b) => a.items.length - b.items.length);
	const fresh = groups.filter(({isBegun}) => !isBegun).sort((a, b) => b.longest - a.longest);
	const own = fresh.filter((_, index) => index % Math.max(1, engine.engines) === engine.rank);
	return [...begun, ...own, ...fresh.filter(group => !own.includes(group))];
}

function expectedTokens(batch: BatchView, group: number, item: number): number {
	return batch.plan.groups[group]?.items[item]?.expectedTokens ?? 0;
}

/** Samples of other daemons that are at an engine now, as the claims say. */
export function runningElsewhere(engine: UpstreamId, batches: readonly BatchView[], options: Readonly<{life: DaemonLife; isHeld: IsHeld}>): number {
	let running = 0;
	for (const batch of batches) {
		for (const [group, claims] of batch.claims.entries()) {
			for (const [item, claim] of claims.items.entries()) {
				if (claim.kind === 'running' && claim.engine === engine && claim.life !== options.life && options.isHeld(claim, {batch: batch.id, group, item})) {
					running += 1;
				}
			}
		}
	}

	return running;
}

/** The claims of a group after an engine's daemon has taken some of its items. */
export function withClaimed(claims: readonly ItemClaim[], items: readonly number[], by: Readonly<{life: DaemonLife; engine: UpstreamId}>): ItemClaim[] {
	return claims.map((claim, index) => (items.includes(index) && claim.kind !== 'listed'
		? {
			kind: 'running', failures: claim.failures, hasPartialText: claim.hasPartialText, life: by.life, engine: by.engine,
		}
		: claim));
}

/** When a batch's items may be given up, on the store's clock. */
export function givenUpAt(batch: BatchView, maxQueueMs: Millis): Millis {
	return batch.plan.submittedAt + maxQueueMs;
}
