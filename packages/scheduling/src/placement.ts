/** Selects the upstream on which a waiting request may run now. */

import type {Fingerprint, Millis, RequestClass} from '@cicadapost/types';
import {holdsPrefix} from './affinity.js';
import type {Verdict, QueuedRequest} from './queue.js';
import {isInService, type SchedulerState} from './scheduler-state.js';
import {deathsBeforeIsolation, deathCountOf, upstreamLimit} from './suspects.js';
import type {UpstreamState} from './upstream-state.js';

/** Live requests may exceed the window by this fraction of it, so that they need not wait for a training request to end. */
const liveHeadroom = 0.25;
/**
While live requests arrive, training requests leave this fraction of the maximum window free, because a window of that
size has no headroom: a live request would wait for a training request to end, which takes longer than its own first
token.
*/
const liveReserve = 1 / 16;
/** The reserve for live requests is kept for this long after the last one. */
const liveReserveMs = 10_000;
/** An upstream with a warm prefix is preferred if its load exceeds that of the least loaded one by at most this fraction of its window. */
const maxAffinityLoad = 0.25;

/** An upstream that accepts another request now, and the request classes that it accepts. */
export type Candidate = Readonly<{
	upstream: UpstreamState;
	live: boolean;
	training: boolean;
	/** Whether the request would be a probe of an upstream that is slow or out of service. */
	isProbe: boolean;
}>;

function probeCandidate(state: SchedulerState, upstream: UpstreamState, now: Millis): Candidate | undefined {
	const {health} = upstream;
	if (health.probe !== undefined || now < health.nextProbeAt || (health.status === 'slow' && upstream.running > 0)) {
		return undefined;
	}

	// A probe may fail or be slow, so a training request is preferred if one is waiting.
	return {
		upstream, live: state.queue.training.size === 0, training: true, isProbe: true,
	};
}

function candidateOf(state: SchedulerState, upstream: UpstreamState, isAnyUp: boolean, now: Millis): Candidate | undefined {
	const {settings, health, window, running, reservedFor} = upstream;
	if (settings.leaving || settings.isUnread === true) {
		return undefined;
	}

	if (health.status === 'down' || (health.status === 'slow' && isAnyUp)) {
		return probeCandidate(state, upstream, now);
	}

	if (reservedFor !== undefined && running > 0) {
		return undefined;
	}

	const limit = Math.floor(window.window);
	// While live requests wait, the queue order and the training floor decide instead of the reserve.
	const isReserving = state.queue.live.size === 0 && now - state.lastLiveAt < liveReserveMs;
	const reserve = isReserving ? Math.ceil(settings.maxWindow * liveReserve) : 0;
	const trainingLimit = Math.max(1, Math.min(limit, settings.maxWindow - reserve));
	const liveLimit = Math.min(settings.maxWindow, limit + Math.ceil(limit * liveHeadroom));
	return running < liveLimit
		? {
			upstream, live: true, training: running < trainingLimit, isProbe: false,
		}
		: undefined;
}

/** Returns the upstreams that accept another request now. */
export function findCandidates(state: SchedulerState, now: Millis): Candidate[] {
	let isAnyUp = false;
	for (const upstream of state.upstreams.values()) {
		isAnyUp ||= upstream.health.status === 'up' && !upstream.settings.leaving;
	}

	const candidates: Candidate[] = [];
	for (const upstream of state.upstreams.values()) {
		const candidate = candidateOf(state, upstream, isAnyUp, now);
		if (candidate !== undefined) {
			candidates.push(candidate);
		}
	}

	return candidates;
}

export function acceptsClass(candidate: Candidate, requestClass: RequestClass): boolean {
	return requestClass === 'live' ? candidate.live : candidate.training;
}

/** Returns the relative load with one more request, weighted by how slow the upstream is. */
function loadOf(state: SchedulerState, upstream: UpstreamState): number {
	const {tokenMs, window} = upstream.window;
	const typical = state.normal.tokenMs;
	const slowness = tokenMs === undefined || typical === undefined || typical === 0 ? 1 : Math.max(0.5, Math.min(4, tokenMs / typical));
	return (upstream.running + 1) / window * slowness;
}

/** Returns the first probe, else a candidate with a warm prefix cache if it has little more load than the least loaded one, else that one. */
function pickCandidate(state: SchedulerState, waiting: QueuedRequest, candidates: readonly Candidate[], now: Millis): Candidate | undefined {
	let best: Candidate | undefined;
	let bestLoad = Number.POSITIVE_INFINITY;
	let warm: Candidate | undefined;
	let warmLoad = Number.POSITIVE_INFINITY;
	const {prefixKey} = waiting.request;
	for (const candidate of candidates) {
		if (candidate.isProbe) {
			return candidate;
		}

		const load = loadOf(state, candidate.upstream);
		if (load < bestLoad) {
			best = candidate;
			bestLoad = load;
		}

		if (load < warmLoad && holdsPrefix(state.prefixes, prefixKey, candidate.upstream.settings.upstream, now)) {
			warm = candidate;
			warmLoad = load;
		}
	}

	return warm !== undefined && warmLoad <= bestLoad + maxAffinityLoad ? warm : best;
}

type Constraint = Readonly<{
	fingerprint: Fingerprint;
	/** The upstreams that already run the fingerprint, if it may not run on another one. */
	onlyUpstreams: ReadonlySet<UpstreamState> | undefined;
	isSuspect: boolean;
	needsIsolation: boolean;
}>;

function constraintOf(state: SchedulerState, fingerprint: Fingerprint, now: Millis): Constraint {
	const deaths = deathCountOf(state.suspects, fingerprint, now);
	const runs = state.runs.get(fingerprint);
	const upstreams = runs === undefined ? undefined : new Set(runs.map(run => run.upstream));
	const isFull = upstreams !== undefined && upstreams.size >= upstreamLimit(state.suspects, fingerprint, now);
	return {
		fingerprint, onlyUpstreams: isFull ? upstreams : undefined, isSuspect: deaths > 0, needsIsolation: deaths >= deathsBeforeIsolation,
	};
}

function isAllowed(constraint: Constraint, upstream: UpstreamState): boolean {
	const {fingerprint, onlyUpstreams, isSuspect, needsIsolation} = constraint;
	if (upstream.reservedFor !== undefined && upstream.reservedFor !== fingerprint) {
		return false;
	}

	if (needsIsolation) {
		return onlyUpstreams === undefined && upstream.running === 0;
	}

	if (onlyUpstreams !== undefined && !onlyUpstreams.has(upstream)) {
		return false;
	}

	return !isSuspect || upstream.suspects.size === 0 || (upstream.suspects.size === 1 && upstream.suspects.has(fingerprint));
}

/** Returns whether the request has not failed yet on at least one upstream that is in service. */
function hasAlternative(state: SchedulerState, waiting: QueuedRequest): boolean {
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

/** Reserves the least loaded upstream, so that it becomes idle and the fingerprint can run there alone. */
function reserveUpstream(state: SchedulerState, fingerprint: Fingerprint): void {
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

/** Returns whether one of the candidates is likely to have the prefix of the request in its cache. */
export function hasWarmCandidate(state: SchedulerState, waiting: QueuedRequest, candidates: readonly Candidate[], now: Millis): boolean {
	return candidates.some(({upstream}) => holdsPrefix(state.prefixes, waiting.request.prefixKey, upstream.settings.upstream, now));
}

/** Returns the candidate on which the request can run, or the constraint that keeps it waiting. */
export function placeRequest(state: SchedulerState, waiting: QueuedRequest, candidates: readonly Candidate[], now: Millis): Verdict<Candidate> {
	const {request} = waiting;
	const constraint = constraintOf(state, request.fingerprint, now);
	const enforcesAvoid = waiting.avoid.length > 0 && hasAlternative(state, waiting);
	// If all upstreams are out of service, any request may be the probe; otherwise the shard might never recover.
	const isProbeFit = (request.idempotent && !constraint.isSuspect) || !isAnyInService(state);
	const allowed = candidates.filter(candidate => acceptsClass(candidate, request.requestClass)
		&& (!candidate.isProbe || isProbeFit)
		&& !(enforcesAvoid && waiting.avoid.includes(candidate.upstream.settings.upstream))
		&& isAllowed(constraint, candidate.upstream));
	const candidate = pickCandidate(state, waiting, allowed, now);
	if (candidate !== undefined) {
		const isPreferred = holdsPrefix(state.prefixes, request.prefixKey, candidate.upstream.settings.upstream, now);
		return {kind: 'run', place: candidate, isPreferred};
	}

	if (constraint.needsIsolation && constraint.onlyUpstreams === undefined) {
		reserveUpstream(state, request.fingerprint);
	}

	return {kind: 'defer', constraint: enforcesAvoid ? `attempt:${waiting.attempt}` : `fingerprint:${request.fingerprint}`};
}

