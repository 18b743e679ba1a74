import type {
	BatchId, DaemonLife, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {ItemClaim} from './batch.js';

/** An engine that this daemon looks after, with room for samples. */
export type EngineCapacity = Readonly<{
	id: UpstreamId;
	slots: number;
	/** Samples that are at the engine, and how many of them are long. */
	running: number;
	runningLong: number;
	/** Whether it makes events much more slowly than usual now. */
	isSlow: boolean;
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
	engine: EngineCapacity;
	batches: readonly EligibleBatch[];
	isClaimLive: IsClaimLive;
	/** On the store's clock. */
	now: Millis;
}>;

export type ItemReference = Readonly<{batch: BatchId; group: number; item: number}>;

/** Whether the daemon of a claim still works on the item. Other claims are void. `rowVersion` is that of the row with the claim. */
export type IsClaimLive = (claim: Extract<ItemClaim, {kind: 'running'}>, item: ItemReference, rowVersion: number) => boolean;

/** Time that an engine takes for a token when most of its slots are in use. */
const tokenMs = 0.9;
/** Estimates are right at the median only; this factor covers most of the others. */
const estimateMargin = 1.5;
/** A sample with more expected tokens than this is long: it runs for two seconds or more, others for half a second. */
export const longSampleTokens = 3500;
/**
Samples that run beside a long one at most. An engine makes each event of all its samples in turn with the others, so it
is a sixth faster at half of its width, and a step waits for its longest sample.
*/
export const maxRunsBesideLong = 5;
/** Long samples do not wait longer than this for an engine that is kept for them. */
const maxLongWaitMs = 600;
/** Work with less slack than this may use all slots of each engine. */
const urgentSlackMs = 800;

type ItemWork = Readonly<{batch: BatchId; group: number; item: number; isLong: boolean; waitedMs: Millis; slackMs: Millis; groupSlackMs: Millis}>;

/**
Chooses the samples that an engine takes next. Answers the load of whole batches of several trainers that arrive at once
and take several times the slots there are, with lengths known only roughly and some of them many times the others:
- as many engines as the long samples need are kept narrow and take those first, the others take the short ones;
- the sample with the least slack comes first, which is the time until its batch is due less its own;
- engines of one kind begin at different places of that order, so that they rarely claim the same group;
- an engine that is slow now takes no long sample.
*/
export function planClaims({engine, batches, isClaimLive, now}: PlanClaimsOptions): ClaimTarget[] {
	const usable = batches.filter(({view}) => (engine.versions.get(view.plan.model) ?? -1) >= view.plan.minVersion);
	const work = usable.flatMap(batch => openItems(batch, isClaimLive, now));
	const reservedCount = countEnginesForLong(batches, engine.engines);
	const isReservedForLong = engine.rank < reservedCount && !engine.isSlow;
	const long = engine.isSlow ? [] : work.filter(item => item.isLong && (isReservedForLong || item.waitedMs > maxLongWaitMs));
	const short = work.filter(item => !item.isLong);
	long.sort((a, b) => a.slackMs - b.slackMs);
	short.sort((a, b) => a.groupSlackMs - b.groupSlackMs || a.slackMs - b.slackMs);
	const isUrgent = work.some(item => item.slackMs < urgentSlackMs && item.waitedMs > maxLongWaitMs);
	const ordered = isReservedForLong
		? [...preferEveryNthGroup(long, engine.rank, reservedCount), ...short]
		: [...long, ...preferEveryNthGroup(short, engine.rank - reservedCount, engine.engines - reservedCount)];
	const taken: ItemWork[] = [];
	let hasLong = engine.runningLong > 0;
	for (const item of ordered) {
		hasLong ||= item.isLong;
		const maxRuns = isReservedForLong && hasLong && !isUrgent ? Math.min(engine.slots, maxRunsBesideLong) : engine.slots;
		if (engine.running + taken.length >= maxRuns) {
			break;
		}

		taken.push(item);
	}

	return groupIntoTargets(taken);
}

/** Engines that are kept for long samples: as many as those that are open or running need, at most half. */
function countEnginesForLong(batches: readonly EligibleBatch[], engines: number): number {
	const count = batches.reduce((sum, {view}) => sum + view.claims.reduce((inGroups, claims, group) => inGroups
		+ claims.items.filter((claim, item) => claim.kind !== 'listed' && isLong(view, group, item)).length, 0), 0);
	return Math.min(Math.floor(engines / 2), Math.ceil(count / maxRunsBesideLong));
}

export function isLong(view: BatchView, group: number, item: number): boolean {
	return expectedTokens(view, group, item) > longSampleTokens;
}

/** The items at every `step`-th place from `first` on come first, then the others. */
function preferEveryNthGroup(items: readonly ItemWork[], first: number, step: number): readonly ItemWork[] {
	if (step <= 1) {
		return items;
	}

	const groupIndexes = new Map<string, number>();
	const own: ItemWork[] = [];
	const others: ItemWork[] = [];
	for (const item of items) {
		const key = `${item.batch}/${item.group}`;
		const groupIndex = groupIndexes.get(key) ?? groupIndexes.size;
		groupIndexes.set(key, groupIndex);
		(groupIndex % step === first ? own : others).push(item);
	}

	return [...own, ...others];
}

function groupIntoTargets(items: readonly ItemWork[]): ClaimTarget[] {
	const targets = new Map<string, {batch: BatchId; group: number; items: number[]}>();
	for (const {batch, group, item} of items) {
		const key = `${batch}/${group}`;
		const target = targets.get(key) ?? {batch, group, items: []};
		target.items.push(item);
		targets.set(key, target);
	}

	return [...targets.values()];
}

function openItems({view, dueAt}: EligibleBatch, isClaimLive: IsClaimLive, now: Millis): ItemWork[] {
	return view.claims.flatMap((claims, group) => {
		const items = claims.items
			.map((claim, item) => ({claim, item}))
			.filter(({claim, item}) => claim.kind === 'open' || (claim.kind === 'running' && !isClaimLive(claim, {batch: view.id, group, item}, claims.version)))
			.map(({item}) => ({item, slackMs: dueAt - now - (expectedTokens(view, group, item) * estimateMargin * tokenMs)}));
		const groupSlackMs = Math.min(...items.map(({slackMs}) => slackMs));
		return items.map(({item, slackMs}) => ({
			batch: view.id, group, item, isLong: isLong(view, group, item), waitedMs: now - view.plan.submittedAt, slackMs, groupSlackMs,
		}));
	});
}

function expectedTokens(batch: BatchView, group: number, item: number): number {
	return batch.plan.groups[group]?.items[item]?.expectedTokens ?? 0;
}

/** Samples of other daemons that are at an engine now, as the claims say, and how many of them are long. */
export function countRemoteRuns(engine: UpstreamId, batches: readonly BatchView[], options: Readonly<{life: DaemonLife; isClaimLive: IsClaimLive}>): Readonly<{running: number; long: number}> {
	let running = 0;
	let long = 0;
	for (const batch of batches) {
		for (const [group, claims] of batch.claims.entries()) {
			for (const [item, claim] of claims.items.entries()) {
				if (claim.kind === 'running' && claim.engine === engine && claim.life !== options.life && options.isClaimLive(claim, {batch: batch.id, group, item}, claims.version)) {
					running += 1;
					long += isLong(batch, group, item) ? 1 : 0;
				}
			}
		}
	}

	return {running, long};
}

/** The claims of a group after an engine's daemon has taken some of its items. */
export function applyClaim(claims: readonly ItemClaim[], items: readonly number[], by: Readonly<{life: DaemonLife; engine: UpstreamId}>): ItemClaim[] {
	return claims.map((claim, index) => (items.includes(index) && claim.kind !== 'listed'
		? {
			kind: 'running', failures: claim.failures, hasPartialText: claim.hasPartialText, life: by.life, engine: by.engine,
		}
		: claim));
}

/** When a batch's items may be given up, on the store's clock. */
export function queueDeadlineOf(batch: BatchView, maxQueueMs: Millis): Millis {
	return batch.plan.submittedAt + maxQueueMs;
}
