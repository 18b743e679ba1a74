/** Which upstream a waiting request may run on now. */

import type {Fingerprint, Millis, RequestClass} from '@cicadapost/types';
import {holdsPrefix} from './affinity.js';
import type {Verdict, Waiting} from './queue.js';
import {isInService, type SchedulerState} from './scheduler-state.js';
import {deathsBeforeAlone, deathsOf, upstreamLimit} from './suspects.js';
import type {UpstreamState} from './upstream-state.js';

/** Live requests may exceed the window by this part of it, so that they need not wait for a training request to end. */
const liveHeadroom = 0.25;
/**
While live requests come, training leaves this part of the largest window free, because a window of that size has no
headroom: a live request would wait for a training request to end, which takes longer than its own first token.
*/
const liveReserve = 1 / 16;
/** Live requests count as coming for this long after the last one. */
const liveMemoryMs = 10_000;
/** An upstream with a warm prefix is preferred up to this much more load, as a part of its window. */
const affinityLoad = 0.25;

/** An upstream that takes a request now, and of which classes. */
export type Opening = Readonly<{
	upstream: UpstreamState;
	live: boolean;
	training: boolean;
	/** The request is the probe of a slow upstream or of one that is out of service. */
	isProbe: boolean;
}>;

function probeOpening(state: SchedulerState, upstream: UpstreamState, now: Millis): Opening | undefined {
	const {health} = upstream;
	if (health.probe !== undefined || now < health.nextProbeAt || (health.status === 'slow' && upstream.running > 0)) {
		return undefined;
	}

	// A probe may fail or be slow, so that a training request is sent if one waits.
	return {
		upstream, live: state.queue.training.size === 0, training: true, isProbe: true,
	};
}

function openingOf(state: SchedulerState, upstream: UpstreamState, isAnyUp: boolean, now: Millis): Opening | undefined {
	const {settings, health, window, running, reservedFor} = upstream;
	if (settings.leaving || settings.isUnread === true) {
		return undefined;
	}

	if (health.status === 'down' || (health.status === 'slow' && isAnyUp)) {
		return probeOpening(state, upstream, now);
	}

	if (reservedFor !== undefined && running > 0) {
		return undefined;
	}

	const limit = Math.floor(window.window);
	// While live requests wait, the order of the queue and the training floor decide.
	const isReserving = state.queue.live.size === 0 && now - state.liveAt < liveMemoryMs;
	const reserve = isReserving ? Math.ceil(settings.maxWindow * liveReserve) : 0;
	const trainingLimit = Math.max(1, Math.min(limit, settings.maxWindow - reserve));
	const liveLimit = Math.min(settings.maxWindow, limit + Math.ceil(limit * liveHeadroom));
	return running < liveLimit
		? {
			upstream, live: true, training: running < trainingLimit, isProbe: false,
		}
		: undefined;
}

/** The upstreams that take a request now. */
export function openingsOf(state: SchedulerState, now: Millis): Opening[] {
	let isAnyUp = false;
	for (const upstream of state.upstreams.values()) {
		isAnyUp ||= upstream.health.status === 'up' && !upstream.settings.leaving;
	}

	const openings: Opening[] = [];
	for (const upstream of state.upstreams.values()) {
		const opening = openingOf(state, upstream, isAnyUp, now);
		if (opening !== undefined) {
			openings.push(opening);
		}
	}

	return openings;
}

export function isOpenFor(opening: Opening, requestClass: RequestClass): boolean {
	return requestClass === 'live' ? opening.live : opening.training;
}

/** Relative load after one more request, weighted by how slow the upstream is. */
function loadOf(state: SchedulerState, upstream: UpstreamState): number {
	const {tokenMs, window} = upstream.window;
	const usual = state.normal.tokenMs;
	const slowness = tokenMs === undefined || usual === undefined || usual === 0 ? 1 : Math.max(0.5, Math.min(4, tokenMs / usual));
	return (upstream.running + 1) / window * slowness;
}

/** The least loaded opening, or one whose prefix cache is warm and that has little more load. */
function pick(state: SchedulerState, waiting: Waiting, openings: readonly Opening[], now: Millis): Opening | undefined {
	let best: Opening | undefined;
	let bestLoad = Number.POSITIVE_INFINITY;
	let warm: Opening | undefined;
	let warmLoad = Number.POSITIVE_INFINITY;
	const {prefixKey} = waiting.request;
	for (const opening of openings) {
		if (opening.isProbe) {
			return opening;
		}

		const load = loadOf(state, opening.upstream);
		if (load < bestLoad) {
			best = opening;
			bestLoad = load;
		}

		if (load < warmLoad && holdsPrefix(state.prefixes, prefixKey, opening.upstream.settings.upstream, now)) {
			warm = opening;
			warmLoad = load;
		}
	}

	return warm !== undefined && warmLoad <= bestLoad + affinityLoad ? warm : best;
}

type Constraint = Readonly<{
	fingerprint: Fingerprint;
	/** Upstreams that already run the fingerprint, if it may run on no further one. */
	only: ReadonlySet<UpstreamState> | undefined;
	isSuspect: boolean;
	isAlone: boolean;
}>;

function constraintOf(state: SchedulerState, fingerprint: Fingerprint, now: Millis): Constraint {
	const deaths = deathsOf(state.suspects, fingerprint, now);
	const runs = state.runs.get(fingerprint);
	const upstreams = runs === undefined ? undefined : new Set(runs.map(run => run.upstream));
	const isFull = upstreams !== undefined && upstreams.size >= upstreamLimit(state.suspects, fingerprint, now);
	return {
		fingerprint, only: isFull ? upstreams : undefined, isSuspect: deaths > 0, isAlone: deaths >= deathsBeforeAlone,
	};
}

function isAllowed(constraint: Constraint, upstream: UpstreamState): boolean {
	const {fingerprint, only, isSuspect, isAlone} = constraint;
	if (upstream.reservedFor !== undefined && upstream.reservedFor !== fingerprint) {
		return false;
	}

	if (isAlone) {
		return only === undefined && upstream.running === 0;
	}

	if (only !== undefined && !only.has(upstream)) {
		return false;
	}

	return !isSuspect || upstream.suspects.size === 0 || (upstream.suspects.size === 1 && upstream.suspects.has(fingerprint));
}

/** Whether some upstream in service is left that the request has not failed on. */
function canAvoid(state: SchedulerState, waiting: Waiting): boolean {
	for (const upstream of state.upstreams.values()) {
		if (isInService(upstream) && !waiting.avoid.includes(upstream.settings.upstream)) {
			return true;
		}
	}

	return false;
}

function isAnyInService(state: SchedulerState): boolean {
	return [...state.upstreams.values()].some(upstream => isInService(upstream));
}

/** Keeps new requests off the least loaded upstream, so that the fingerprint can run there alone. */
function reserve(state: SchedulerState, fingerprint: Fingerprint): void {
	let best: UpstreamState | undefined;
	for (const upstream of state.upstreams.values()) {
		if (upstream.reservedFor !== undefined) {
			return;
		}

		if (upstream.health.status === 'up' && !upstream.settings.leaving && (best === undefined || upstream.running < best.running)) {
			best = upstream;
		}
	}

	if (best !== undefined) {
		best.reservedFor = fingerprint;
	}
}

/** Whether one of the openings is likely to hold the prefix of the request in its cache. */
export function isWarmAnywhere(state: SchedulerState, waiting: Waiting, openings: readonly Opening[], now: Millis): boolean {
	return openings.some(({upstream}) => holdsPrefix(state.prefixes, waiting.request.prefixKey, upstream.settings.upstream, now));
}

/** The opening that the request takes, or the constraint that keeps it waiting. */
export function place(state: SchedulerState, waiting: Waiting, openings: readonly Opening[], now: Millis): Verdict<Opening> {
	const {request} = waiting;
	const constraint = constraintOf(state, request.fingerprint, now);
	const usesAvoid = waiting.avoid.length > 0 && canAvoid(state, waiting);
	// Where all upstreams are out of service, waiting for a better probe would keep the shard closed for good.
	const isProbeFit = (request.idempotent && !constraint.isSuspect) || !isAnyInService(state);
	const allowed = openings.filter(opening => isOpenFor(opening, request.requestClass)
		&& (!opening.isProbe || isProbeFit)
		&& !(usesAvoid && waiting.avoid.includes(opening.upstream.settings.upstream))
		&& isAllowed(constraint, opening.upstream));
	const opening = pick(state, waiting, allowed, now);
	if (opening !== undefined) {
		const isPreferred = holdsPrefix(state.prefixes, request.prefixKey, opening.upstream.settings.upstream, now);
		return {kind: 'run', place: opening, isPreferred};
	}

	if (constraint.isAlone && constraint.only === undefined) {
		reserve(state, request.fingerprint);
	}

	return {kind: 'hold', constraint: usesAvoid ? `attempt:${waiting.attempt}` : `fingerprint:${request.fingerprint}`};
}

