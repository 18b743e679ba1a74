import type {
	BatchId, DaemonIncarnation, Millis, ModelId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import type {ItemClaim} from './batch.js';

/** An engine that this daemon owns, and the capacity that it has. */
export type EngineCapacity = Readonly<{
	id: UpstreamId;
	slots: number;
	/** Number of samples on the engine, and how many of them are long. */
	running: number;
	runningLong: number;
	softwareVersion: SoftwareVersion;
	/** Software versions of all engines that may run the same samples. */
	readyVersions: ReadonlySet<SoftwareVersion>;
	/** Whether the engine currently generates events much more slowly than usual. */
	isSlow: boolean;
	/** Weight version of each model that new samples would run with, without a model that is being loaded. */
	versions: ReadonlyMap<ModelId, number>;
	/** Zero-based index among the engines that may run the same samples, and their number. */
	rank: number;
	engines: number;
}>;

export type ClaimTarget = Readonly<{batch: BatchId; group: number; items: readonly number[]}>;

/** A batch that the engine's service may run. */
export type EligibleBatch = Readonly<{
	view: BatchView;
	/** When all results of the batch are due, on the store's clock. */
	dueAt: Millis;
}>;

export type PlanClaimsOptions = Readonly<{
	engine: EngineCapacity;
	batches: readonly EligibleBatch[];
	isClaimLive: IsClaimLive;
	/** Whether an item is held back for an engine of the software version that generated its text. */
	isHeld: (item: ItemReference) => boolean;
	/** Whether this daemon still has to record the outcome of an earlier run of the item, which must not end the claim of the next. Defaults to none. */
	hasOutcome?: (item: ItemReference) => boolean;
	/** On the store's clock. */
	now: Millis;
}>;

export type ItemReference = Readonly<{batch: BatchId; group: number; item: number}>;

/** Whether the daemon that made a claim is still working on the item. Other claims are void. `rowVersion` is the version of the claim row. */
export type IsClaimLive = (claim: Extract<ItemClaim, {kind: 'running'}>, item: ItemReference, rowVersion: number) => boolean;

/** Time per token on an engine with most of its slots in use. */
const tokenMs = 0.9;
/** Safety factor for token estimates, of which only the median is accurate. It covers most samples above the median. */
const estimateMargin = 1.5;
/** A sample with more expected tokens than this is long. It runs for at least two seconds, others for half a second. */
export const longSampleTokens = 3500;
/**
Maximum number of runs on an engine with a long sample. An engine generates the events of its runs in turn, so it is a sixth
faster at half of its capacity, and a step has to wait for its longest sample.
*/
export const maxRunsBesideLong = 5;
/** Long samples wait no longer than this for an engine that is reserved for them. */
const maxLongWaitMs = 600;
/** If a sample has less slack than this, all slots of every engine may be used. */
export const urgentSlackMs = 800;

type ItemWork = Readonly<{
	batch: BatchId;
	group: number;
	item: number;
	isLong: boolean;
	waitedMs: Millis;
	slackMs: Millis;
	groupSlackMs: Millis;
	/** Software version of the engine that generated the item's partial text. */
	textVersion: SoftwareVersion | undefined;
}>;

/**
Chooses the samples that an engine runs next. Designed for bursts in which several trainers submit whole batches at the same
time, with several times as many samples as slots, lengths that are only roughly known and some of them many times longer:
- As many engines as the long samples need are reserved for them and limited in concurrency. The others run the short samples.
- Samples are ordered by slack, which is the time until the batch is due minus the estimated duration of the sample.
- Engines of the same kind start with different groups in that order, so that their claims rarely conflict.
- An engine that is currently slow gets no long samples.
- Samples whose text only engines of another software version can continue are held back for these, and then come last.
*/
export function planClaims({engine, batches, isClaimLive, isHeld, hasOutcome = () => false, now}: PlanClaimsOptions): ClaimTarget[] {
	const usable = batches.filter(({view}) => (engine.versions.get(view.plan.model) ?? -1) >= view.plan.minVersion);
	const work = usable
		.flatMap(batch => openItems(batch, isClaimLive, now))
		.filter(item => !hasOutcome(item) && (!hasForeignText(item, engine) || item.slackMs < urgentSlackMs || !isHeld(item)));
	const reservedCount = countEnginesForLong(batches, engine.engines);
	const isReservedForLong = engine.rank < reservedCount && !engine.isSlow;
	const long = engine.isSlow ? [] : work.filter(item => item.isLong && (isReservedForLong || item.waitedMs > maxLongWaitMs));
	const short = work.filter(item => !item.isLong);
	long.sort((a, b) => a.slackMs - b.slackMs);
	short.sort((a, b) => a.groupSlackMs - b.groupSlackMs || a.slackMs - b.slackMs);
	const isUrgent = work.some(item => item.slackMs < urgentSlackMs && item.waitedMs > maxLongWaitMs);
	const ordered = putForeignTextsLast(isReservedForLong
		? [...preferEveryNthGroup(long, engine.rank, reservedCount), ...short]
		: [...long, ...preferEveryNthGroup(short, engine.rank - reservedCount, engine.engines - reservedCount)], engine);
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

/** Whether only engines of another software version can continue the item's text, and one of them accepts work. */
export function hasForeignText(
	{textVersion}: Readonly<{textVersion?: SoftwareVersion | undefined}>,
	{softwareVersion, readyVersions}: Pick<EngineCapacity, 'softwareVersion' | 'readyVersions'>,
): boolean {
	return textVersion !== undefined && textVersion !== softwareVersion && readyVersions.has(textVersion);
}

function putForeignTextsLast(items: readonly ItemWork[], engine: EngineCapacity): readonly ItemWork[] {
	return [...items.filter(item => !hasForeignText(item, engine)), ...items.filter(item => hasForeignText(item, engine))];
}

/** Returns the number of engines to reserve for long samples: as many as the open and running ones need, but at most half. */
function countEnginesForLong(batches: readonly EligibleBatch[], engines: number): number {
	const count = batches.reduce((sum, {view}) => sum + view.claims.reduce((inGroups, claims, group) => inGroups
		+ claims.items.filter((claim, item) => claim.kind !== 'listed' && claim.kind !== 'rewarding' && isLong(view, group, item)).length, 0), 0);
	return Math.min(Math.floor(engines / 2), Math.ceil(count / maxRunsBesideLong));
}

export function isLong(view: BatchView, group: number, item: number): boolean {
	return expectedTokens(view, group, item) > longSampleTokens;
}

/** Moves the items of every `step`-th group, starting with group `first`, to the front. */
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
			.map(({claim, item}) => ({item, textVersion: claim.kind === 'listed' ? undefined : claim.textVersion, slackMs: dueAt - now - (expectedTokens(view, group, item) * estimateMargin * tokenMs)}));
		const groupSlackMs = Math.min(...items.map(({slackMs}) => slackMs));
		return items.map(({item, slackMs, textVersion}) => ({
			batch: view.id, group, item, isLong: isLong(view, group, item), waitedMs: now - view.plan.submittedAt, slackMs, groupSlackMs, textVersion,
		}));
	});
}

export function expectedTokens(batch: BatchView, group: number, item: number): number {
	return batch.plan.groups[group]?.items[item]?.expectedTokens ?? 0;
}

/** Counts the samples of other daemons on an engine according to their claims, and how many of them are long. */
export function countRemoteRuns(
	engine: UpstreamId,
	batches: readonly BatchView[],
	options: Readonly<{incarnation: DaemonIncarnation; isClaimLive: IsClaimLive}>,
): Readonly<{running: number; long: number}> {
	let running = 0;
	let long = 0;
	for (const batch of batches) {
		for (const [group, claims] of batch.claims.entries()) {
			for (const [item, claim] of claims.items.entries()) {
				if (claim.kind === 'running' && claim.engine === engine && claim.incarnation !== options.incarnation && options.isClaimLive(claim, {batch: batch.id, group, item}, claims.version)) {
					running += 1;
					long += isLong(batch, group, item) ? 1 : 0;
				}
			}
		}
	}

	return {running, long};
}

/** Returns the claims of a group after a daemon has claimed some of its items for an engine. */
export function applyClaim(claims: readonly ItemClaim[], items: readonly number[], by: Readonly<{incarnation: DaemonIncarnation; engine: UpstreamId}>): ItemClaim[] {
	return claims.map((claim, index) => (items.includes(index) && claim.kind !== 'listed' && claim.kind !== 'rewarding'
		? {
			...claim, kind: 'running', incarnation: by.incarnation, engine: by.engine,
		}
		: claim));
}

/** Returns the claims of a group after a daemon has taken over the rewards of some of its items. */
export function applyRewardClaim(claims: readonly ItemClaim[], items: readonly number[], incarnation: DaemonIncarnation): ItemClaim[] {
	return claims.map((claim, index) => (items.includes(index) && claim.kind === 'rewarding' ? {...claim, incarnation} : claim));
}

/** Returns the time after which the items of a batch may be abandoned, on the store's clock. */
export function queueDeadlineOf(batch: BatchView, maxQueueMs: Millis): Millis {
	return batch.plan.submittedAt + maxQueueMs;
}
