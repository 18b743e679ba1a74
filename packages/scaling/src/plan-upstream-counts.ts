import type {ScalingRules} from '@cicadapost/forwarding';
import type {DataCentreId, Millis} from '@cicadapost/types';

export type UpstreamKind = 'regular' | 'spot';

/** What is known of a service in one data centre. */
export type DataCentreState = Readonly<{
	dataCentre: DataCentreId;
	/** Numbers that were ordered last, or that run if none was. */
	ordered: Readonly<Record<UpstreamKind, number>>;
	/** Times until which a kind is not ordered there, on the clock of `now`. */
	blockedUntil: Readonly<Record<UpstreamKind, Millis>>;
	/** Whether upstreams of the kind that may be reclaimed leave now. */
	isReclaimed: boolean;
}>;

export type UpstreamPlanOptions = Readonly<{
	rules: ScalingRules;
	dataCentres: readonly DataCentreState[];
	/** Upstreams that the work needs now. Undefined if that can't be told. */
	needed: number | undefined;
	/** The highest need of the calm period. Undefined if it was not observed for so long. */
	heldNeed: number | undefined;
	/** Ordered upstreams that have not served for so long that they can't be counted on. */
	lost: number;
	/** Time since upstreams were last given back. */
	sinceGivenBackMs: Millis;
	now: Millis;
}>;

export type UpstreamCounts = Readonly<Record<UpstreamKind, number> & {reason: string}>;

/** At most this share of the needed upstreams may be of the kind that is reclaimed by data centres, so that a reclaim delays work but does not stop it. */
const maxSpotShare = 1 / 3;
/** Upstreams are given back only if fewer than this share of them were needed. */
const giveBackShare = 0.8;
/** Of the upstreams, at most this share is given back at a time. */
const giveBackStep = 0.1;
const giveBackPauseMs = 30_000;

type Planned = {state: DataCentreState; counts: Record<UpstreamKind, number>; reason: string};

/**
Plans the number of upstreams of each kind in each data centre. Raises the sum to what is needed at once, where it is cheapest
and spread evenly; lowers it by small steps after a long calm, where it is dearest. The result does not depend on the order of
the data centres. Designed for 8 data centres and 770 upstreams.
*/
export function planUpstreamCounts(options: UpstreamPlanOptions): Map<DataCentreId, UpstreamCounts> {
	const {rules, dataCentres, needed, lost, now} = options;
	const planned = dataCentres
		.toSorted((a, b) => (a.dataCentre < b.dataCentre ? -1 : 1))
		.map((state): Planned => ({state, counts: {...state.ordered}, reason: 'unchanged'}));
	for (const plan of planned) {
		applyLimits(plan, rules, now);
	}

	if (needed !== undefined && needed > sum(planned) - lost) {
		raise(planned, needed, options);
	} else {
		giveBack(planned, options);
	}

	return new Map(planned.map(({state, counts, reason}) => [state.dataCentre, {...counts, reason}]));
}

function applyLimits(plan: Planned, {min, max}: ScalingRules, now: Millis): void {
	const {state, counts} = plan;
	if (state.isReclaimed && counts.spot > 0) {
		counts.spot = 0;
		plan.reason = 'the platform reclaims upstreams';
	}

	const missing = min - counts.regular - counts.spot;
	if (missing > 0 && state.blockedUntil.regular <= now) {
		counts.regular += missing;
		plan.reason = 'fewer than the minimum';
	}

	const excess = counts.regular + counts.spot - max;
	if (excess > 0) {
		const fromSpot = Math.min(excess, counts.spot);
		counts.spot -= fromSpot;
		counts.regular -= excess - fromSpot;
		plan.reason = 'more than the maximum';
	}
}

function raise(planned: readonly Planned[], needed: number, {rules, lost, now}: UpstreamPlanOptions): void {
	const maxSpot = Math.floor(needed * maxSpotShare);
	while (sum(planned) - lost < needed) {
		const canHaveSpot = planned.reduce((spot, {counts}) => spot + counts.spot, 0) < maxSpot;
		const best = planned
			.filter(({counts}) => counts.regular + counts.spot < rules.max)
			.flatMap(plan => (['spot', 'regular'] as const).map(kind => ({plan, kind})))
			.filter(({plan, kind}) => (kind === 'regular' || canHaveSpot) && plan.state.blockedUntil[kind] <= now && !(kind === 'spot' && plan.state.isReclaimed))
			.sort((a, b) => priceOf(rules, a.plan, a.kind) - priceOf(rules, b.plan, b.kind) || countOf(a.plan) - countOf(b.plan))[0];
		if (best === undefined) {
			return;
		}

		best.plan.counts[best.kind] += 1;
		best.plan.reason = `the work needs ${needed} upstreams`;
	}
}

function giveBack(planned: readonly Planned[], {rules, needed, heldNeed, lost, sinceGivenBackMs}: UpstreamPlanOptions): void {
	const total = sum(planned) - lost;
	if (needed === undefined || heldNeed === undefined || heldNeed > total * giveBackShare || sinceGivenBackMs < giveBackPauseMs) {
		return;
	}

	for (let left = Math.min(total - heldNeed, Math.max(1, Math.floor(total * giveBackStep))); left > 0; left -= 1) {
		const best = planned
			.filter(plan => countOf(plan) > rules.min)
			.flatMap(plan => (['regular', 'spot'] as const).map(kind => ({plan, kind})))
			.filter(({plan, kind}) => plan.counts[kind] > 0)
			.sort((a, b) => priceOf(rules, b.plan, b.kind) - priceOf(rules, a.plan, a.kind) || countOf(b.plan) - countOf(a.plan))[0];
		if (best === undefined) {
			return;
		}

		best.plan.counts[best.kind] -= 1;
		best.plan.reason = `at most ${heldNeed} upstreams were needed for minutes`;
	}
}

function priceOf({prices, spotPrice}: ScalingRules, {state}: Planned, kind: UpstreamKind): number {
	return (prices.get(state.dataCentre) ?? 1) * (kind === 'spot' ? spotPrice : 1);
}

function countOf({counts}: Planned): number {
	return counts.regular + counts.spot;
}

function sum(planned: readonly Planned[]): number {
	return planned.reduce((total, plan) => total + countOf(plan), 0);
}
