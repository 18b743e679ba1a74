import type {
	BatchId, DaemonLife, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';
import type {BatchView} from './batch-book.js';
import type {ItemClaim} from './batch.js';

/** An engine that this daemon looks after, with room for samples. */
export type EngineRoom = Readonly<{
	id: UpstreamId;
	slots: number;
	/** Samples that are at the engine. */
	running: number;
	/** Weight version of each model that new samples would run with. A model that is being loaded is left out. */
	versions: ReadonlyMap<ModelId, number>;
	/** Its place among the engines that may run the same samples, from 0, and their number. */
	rank: number;
	engines: number;
}>;

export type ClaimTarget = Readonly<{batch: BatchId; group: number; items: readonly number[]}>;

/** A batch that the engine's service may run. */
export type EligibleBatch = Readonly<{
	view: BatchView;
	/** When all its results are due, on the store's clock. */
	dueAt: Millis;
}>;

export type PlanClaimsOptions = Readonly<{
	engine: EngineRoom;
	batches: readonly EligibleBatch[];
	isHeld: IsHeld;
	/** On the store's clock. */
	now: Millis;
}>;

export type ItemPlace = Readonly<{batch: BatchId; group: number; item: number}>;

/** Whether the daemon of a claim still works on the item. Other claims are void. */
export type IsHeld = (claim: Extract<ItemClaim, {kind: 'running'}>, place: ItemPlace) => boolean;

/** Time that an engine takes for a token when its usual width is in use. */
const tokenMs = 0.9;
/**
Part of an engine's slots that is used while nothing is urgent. Each further sample slows all others at the engine, and
a step waits for its longest one.
*/
const usualWidthShare = 0.75;
/** Work with less slack than this may use all slots. */
const urgentSlackMs = 2500;

type GroupWork = Readonly<{batch: BatchId; group: number; items: readonly number[]; slackMs: Millis}>;

/**
Chooses the samples that an engine takes next. Answers the load of whole batches of several trainers that arrive at once
and take several times the slots there are, with lengths known only roughly and some of them many times the others:
- the group with the least slack first, which is the time until its batch is due less that of its longest sample; so a
  long sample never waits for short ones, and an older batch comes before a newer one of the same kind;
- engines begin at different places of that order, so that they rarely claim the same group;
- a part of the slots stays free while there is slack, so that long samples run faster.
*/
export function planClaims({engine, batches, isHeld, now}: PlanClaimsOptions): ClaimTarget[] {
	const work = batches
		.filter(({view}) => (engine.versions.get(view.plan.model) ?? -1) >= view.plan.minVersion)
		.flatMap(batch => openGroups(batch, isHeld, now))
		.sort((a, b) => a.slackMs - b.slackMs);
	const own = work.filter((_, index) => index % Math.max(1, engine.engines) === engine.rank);
	const isUrgent = (work[0]?.slackMs ?? Number.POSITIVE_INFINITY) < urgentSlackMs;
	let free = (isUrgent ? engine.slots : Math.ceil(engine.slots * usualWidthShare)) - engine.running;
	const targets: ClaimTarget[] = [];
	for (const {batch, group, items} of [...own, ...work.filter(candidate => !own.includes(candidate))]) {
		if (free <= 0) {
			break;
		}

		const taken = items.slice(0, free);
		free -= taken.length;
		targets.push({batch, group, items: taken});
	}

	return targets;
}

function openGroups({view, dueAt}: EligibleBatch, isHeld: IsHeld, now: Millis): GroupWork[] {
	return view.claims.flatMap((claims, group) => {
		const items = claims.items
			.map((claim, item) => ({claim, item}))
			.filter(({claim, item}) => claim.kind === 'open' || (claim.kind === 'running' && !isHeld(claim, {batch: view.id, group, item})))
			.map(({item}) => item)
			.sort((a, b) => expectedTokens(view, group, b) - expectedTokens(view, group, a));
		const [longest] = items;
		return longest === undefined
			? []
			: [{
				batch: view.id, group, items, slackMs: dueAt - now - (expectedTokens(view, group, longest) * tokenMs),
			}];
	});
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
