import {
	rankGroups, shouldLeaveToFaster, type GroupWork, type RankedGroup, type StepWork,
} from '@cicadapost/sample-order';
import type {BatchId, Millis, UpstreamId} from '@cicadapost/types';
import type {BatchView} from './batch-cache.js';
import {
	expectedTokens, hasForeignText, isLong, urgentSlackMs, type ClaimTarget, type EligibleBatch, type IsClaimLive, type ItemReference, type PlanClaimsOptions,
} from './plan-claims.js';

/** A batch with what its route says about its share and its value. */
export type ContendedBatch = EligibleBatch & Readonly<{
	/** Name of the route or team that capacity is divided by. */
	share: string;
}>;

export type PlanContendedClaimsOptions = Omit<PlanClaimsOptions, 'batches'> & Readonly<{
	batches: readonly ContendedBatch[];
	/** Mean time for one expected token in a run at this engine, in ms. Undefined if it has not been measured. */
	msPerToken: number | undefined;
	/** Number of samples that all engines of the service run concurrently. */
	slots: number;
	/** Whether the engine has the prompt of a group under the weight version that it has now. Defaults to none. */
	hasPrompt?: (batch: BatchId, group: number) => boolean;
	/** Returns how many times as long the engine takes for an event as faster ones that could take a sample of the batch now. Defaults to 1. */
	slowerBy?: (batch: BatchView) => number;
	/** Whether an item may be left to other engines, which should run it sooner. Defaults to always. */
	mayLeave?: (item: ItemReference, reason: LeaveReason) => boolean;
	/** Position of this engine among the engines with free slots, and their number. */
	free: Readonly<{index: number; count: number}>;
}>;

/** Why an engine with a free slot leaves an item to others: it is slow at the moment, or a faster one is free. */
export type LeaveReason = 'slow-engine' | 'faster-engine';

/**
Chooses the samples that an engine runs next by the rank of their groups (see `rankGroups`), the longest of a group first.
- Engines with free slots begin with different groups of the same class, so that their claims rarely conflict.
- An engine that is currently slow gets no long samples, and leaves those that end clearly earlier at a faster engine to it while that one is free.
- Samples whose text only engines of another software version can continue are held back for these, and then come last.
*/
export function planContendedClaims(options: PlanContendedClaimsOptions): ClaimTarget[] {
	const {engine, batches, msPerToken, slots, now} = options;
	if (engine.running >= engine.slots) {
		return [];
	}

	const ranked = rankGroups({
		steps: batches.map(batch => toStepWork(batch, options)), msPerToken, slots, now,
	});
	const byId = new Map(batches.map(batch => [batch.view.id, batch]));
	const claimable = ranked
		.map(group => ({group, ...claimableItems(byId.get(group.batch)!, group, options)}))
		.filter(({items, foreign}) => items.length + foreign.length > 0);
	const ordered = orderByPrompt(claimable, options);
	return takeItems([
		...ordered.map(({group, items}) => ({...group, items})),
		...ordered.map(({group, foreign}) => ({...group, items: foreign})),
	], engine.slots - engine.running);
}

/** Takes the first `count` items. A group has at most one target. */
function takeItems(groups: readonly ClaimTarget[], count: number): ClaimTarget[] {
	const targets = new Map<string, {batch: BatchId; group: number; items: number[]}>();
	let left = count;
	for (const {batch, group, items} of groups) {
		const taken = items.slice(0, left);
		if (taken.length > 0) {
			const key = `${batch}/${group}`;
			const target = targets.get(key) ?? {batch, group, items: []};
			target.items.push(...taken);
			targets.set(key, target);
			left -= taken.length;
		}
	}

	return [...targets.values()];
}

/** `foreign` are the items whose text only engines of another software version can continue. */
type ClaimableGroup = Readonly<{group: RankedGroup; items: readonly number[]; foreign: readonly number[]; isBegun: boolean}>;

/**
Orders the groups of each window by what the engine has: those whose prompt it has, those that no engine has begun, the others. A
window has as many groups of a class as there are engines, since about as many run at a time, so that a group waits for no
engine in particular. The groups that no engine has begun are rotated, so that engines with free slots begin with different ones.
*/
function orderByPrompt(groups: readonly ClaimableGroup[], options: PlanContendedClaimsOptions): ClaimableGroup[] {
	const {free, engine, hasPrompt = () => false} = options;
	const ordered: ClaimableGroup[] = [];
	for (let from = 0; from < groups.length;) {
		const kind = groups[from]!.group.class;
		const window = groups.slice(from, from + Math.max(free.count, engine.engines)).filter(({group}) => group.class === kind);
		const own = window.filter(({group}) => hasPrompt(group.batch, group.group));
		const others = window.filter(entry => !own.includes(entry));
		const unbegun = others.filter(({isBegun}) => !isBegun);
		ordered.push(...own, ...rotate(unbegun, free), ...others.filter(({isBegun}) => isBegun));
		from += window.length;
	}

	return ordered;
}

/** Moves the group for this engine to the front of each run of as many groups as there are engines with free slots. */
function rotate(groups: readonly ClaimableGroup[], {index, count}: PlanContendedClaimsOptions['free']): ClaimableGroup[] {
	const rotated: ClaimableGroup[] = [];
	for (let from = 0; from < groups.length; from += count) {
		const window = groups.slice(from, from + count);
		const first = index % window.length;
		rotated.push(...window.slice(first), ...window.slice(0, first));
	}

	return rotated;
}

/** Items of a group that the engine may claim, the longest first. */
function claimableItems({view, dueAt}: ContendedBatch, {group}: RankedGroup, options: PlanContendedClaimsOptions): Omit<ClaimableGroup, 'group'> {
	const {engine, isClaimLive, isHeld, hasOutcome = () => false, slowerBy = () => 1, mayLeave = () => true, msPerToken = 0, now} = options;
	const items: number[] = [];
	const foreign: number[] = [];
	if ((engine.versions.get(view.plan.model) ?? -1) < view.plan.minVersion) {
		return {items, foreign, isBegun: false};
	}

	const claims = view.claims[group]!;
	const slower = slowerBy(view);
	for (const [item, claim] of claims.items.entries()) {
		const reference = {batch: view.id, group, item};
		const isOpen = claim.kind === 'open' || (claim.kind === 'running' && !isClaimLive(claim, reference, claims.version));
		if (!isOpen || hasOutcome(reference)) {
			continue;
		}

		if (engine.isSlow && isLong(view, group, item) && mayLeave(reference, 'slow-engine')) {
			continue;
		}

		// A faster engine that is free takes the sample within some milliseconds.
		if (shouldLeaveToFaster({expectedMs: expectedTokens(view, group, item) * msPerToken, slowerBy: slower}) && mayLeave(reference, 'faster-engine')) {
			continue;
		}

		if (!hasForeignText(claim, engine)) {
			items.push(item);
		} else if (dueAt - now < urgentSlackMs || !isHeld(reference)) {
			// The time of a whole run is not subtracted: an engine of the right version only has to generate the rest of the text.
			foreign.push(item);
		}
	}

	const byLength = (a: number, b: number) => expectedTokens(view, group, b) - expectedTokens(view, group, a);
	return {items: items.sort(byLength), foreign: foreign.sort(byLength), isBegun: items.length + foreign.length < claims.items.length};
}

function toStepWork({view, share, dueAt}: ContendedBatch, {isClaimLive}: PlanContendedClaimsOptions): StepWork {
	return {
		batch: view.id,
		share,
		submittedAt: view.plan.submittedAt,
		dueAt,
		targetGroups: view.plan.targetGroups,
		groups: view.claims.map((claims, group): GroupWork => {
			let openTokens = 0;
			let runningTokens = 0;
			let longestTokens = 0;
			for (const [item, claim] of claims.items.entries()) {
				const tokens = expectedTokens(view, group, item);
				if (claim.kind === 'running' && isClaimLive(claim, {batch: view.id, group, item}, claims.version)) {
					runningTokens += tokens;
				} else if (claim.kind === 'open' || claim.kind === 'running') {
					openTokens += tokens;
					longestTokens = Math.max(longestTokens, tokens);
				}
			}

			return {
				openTokens, runningTokens, longestTokens, isComplete: claims.items.every(({kind}) => kind === 'listed' || kind === 'rewarding'),
			};
		}),
	};
}

/** Counts the samples on each engine according to their claims. */
export function countRunsByEngine(batches: readonly BatchView[], isClaimLive: IsClaimLive): ReadonlyMap<UpstreamId, number> {
	const runs = new Map<UpstreamId, number>();
	for (const {id, claims: groups} of batches) {
		for (const [group, claims] of groups.entries()) {
			for (const [item, claim] of claims.items.entries()) {
				if (claim.kind === 'running' && isClaimLive(claim, {batch: id, group, item}, claims.version)) {
					const engine = claim.engine as UpstreamId;
					runs.set(engine, (runs.get(engine) ?? 0) + 1);
				}
			}
		}
	}

	return runs;
}
