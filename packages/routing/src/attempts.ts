/** Starts and ends the attempts of a request. */

import type {
	Acquire, AttemptId, Millis, Release, ReleaseResult, RequestSummary,
} from '@cicadapost/types';
import {
	mayHaveSent, type Attempt, type Entry, type Place, type RouterState,
} from './router-state.js';
import type {RouterAction} from './router.js';

function summaryOf(entry: Entry): RequestSummary {
	const {requestId, member, requestClass, pool, promptTokens, maxTokens, idempotent, fingerprint, prefixKey} = entry.request;
	return {
		requestId, member, requestClass, pool, promptTokens, maxTokens, idempotent, fingerprint, prefixKey,
	};
}

function homePlace(entry: Entry): Place | undefined {
	const {shards} = entry.places;
	const running = new Set(entry.attempts.map(attempt => attempt.upstream));
	for (let index = 0; index < shards.length; index++) {
		const home = shards[(entry.firstShard + index) % shards.length]!;
		const isUsable = !entry.refusedShards.has(home.shard) && home.upstreams.some(upstream => !entry.avoid.has(upstream) && !running.has(upstream));
		if (isUsable) {
			return {kind: 'shard', shard: home.shard};
		}
	}

	return undefined;
}

/** The nearest data centre that has not refused lately and can still answer in time, if the link costs at most `maxCostMs`. */
export function remotePlace(state: RouterState, entry: Entry, now: Millis, maxCostMs = Number.POSITIVE_INFINITY): Place | undefined {
	const remote = entry.places.dataCentres.find(({dataCentre, costMs}) => {
		const isOpen = !entry.triedDataCentres.has(dataCentre) && (state.closedUntil.get(dataCentre) ?? 0) <= now;
		return isOpen && costMs <= maxCostMs && costMs < entry.notAfter - now;
	});
	return remote === undefined ? undefined : {kind: 'data-centre', dataCentre: remote.dataCentre};
}

/** Home first, then the other data centres, then upstreams of which only a connection failed. */
export function nextPlace(state: RouterState, entry: Entry, now: Millis): Place | undefined {
	const place = homePlace(entry) ?? remotePlace(state, entry, now);
	if (place !== undefined) {
		return place;
	}

	for (const [upstream, kind] of entry.avoid) {
		if (kind === 'soft') {
			entry.avoid.delete(upstream);
		}
	}

	return homePlace(entry);
}

export function startAttempt(state: RouterState, entry: Entry, place: Place, now: Millis, hedgeCost = 0): RouterAction[] {
	const {request} = entry;
	const attempt = `${request.requestId}.${entry.starts}` as AttemptId;
	entry.starts++;
	entry.retryAt = undefined;
	entry.attempts.push({
		attempt,
		place,
		upstream: undefined,
		mayHaveSent: place.kind === 'data-centre',
		written: false,
		hedgeCost,
		openedAt: now,
		firstTokenAt: undefined,
		progressAt: now,
		tokens: 0,
		status: 200,
		contentType: 'application/json',
	});
	state.attempts.set(attempt, request.requestId);
	const remainingMs = request.deadlineAt - now;
	if (place.kind === 'shard') {
		const running = entry.attempts.flatMap(other => (other.upstream === undefined ? [] : [other.upstream]));
		const acquire: Acquire = {
			kind: 'acquire', attempt, shard: place.shard, request: summaryOf(entry), remainingMs, avoid: [...entry.avoid.keys(), ...running],
		};
		return [{kind: 'acquire', acquire}];
	}

	entry.triedDataCentres.add(place.dataCentre);
	return [{
		kind: 'relay', dataCentre: place.dataCentre, relay: {
			kind: 'relay',
			attempt,
			request: summaryOf(entry),
			payload: request.payload,
			remainingMs,
			sendWithinMs: entry.notAfter - now,
			resumeFrom: entry.stream.delivered,
			mixedVersions: request.mixedVersions,
			...(entry.stream.version === undefined ? {} : {version: entry.stream.version}),
		},
	}];
}

function releaseOf(entry: Entry, attempt: Attempt, result: ReleaseResult, now: Millis): Release | undefined {
	const {upstream} = attempt;
	return attempt.place.kind === 'data-centre'
		? undefined
		: {
			kind: 'release',
			attempt: attempt.attempt,
			shard: attempt.place.shard,
			result,
			tokens: attempt.tokens,
			...(attempt.firstTokenAt === undefined ? {} : {firstTokenMs: attempt.firstTokenAt - attempt.openedAt}),
			generationMs: attempt.firstTokenAt === undefined ? 0 : now - attempt.firstTokenAt,
			...(result === 'upstream-died' && upstream !== undefined ? {death: {upstream, fingerprint: entry.request.fingerprint}} : {}),
		};
}

/** Ends an attempt: cancels what still runs and returns its slot. */
export function endAttempt(state: RouterState, entry: Entry, attempt: Attempt, result: ReleaseResult, now: Millis): RouterAction[] {
	entry.mayHaveSent ||= attempt.mayHaveSent;
	entry.written ||= attempt.written;
	if (!attempt.mayHaveSent) {
		state.hedges.available += attempt.hedgeCost;
	}

	entry.attempts = entry.attempts.filter(other => other !== attempt);
	state.attempts.delete(attempt.attempt);
	const release = releaseOf(entry, attempt, result, now);
	if (release === undefined) {
		return result === 'finished' ? [{kind: 'relay-ended', attempt: attempt.attempt}] : [{kind: 'cancel-relay', attempt: attempt.attempt}];
	}

	const cancel: RouterAction[] = attempt.upstream !== undefined && result !== 'finished' ? [{kind: 'cancel', attempt: attempt.attempt}] : [];
	return [...cancel, {kind: 'release', release}];
}

/** Ends all attempts of a request and forgets it. */
export function endRequest(state: RouterState, entry: Entry, result: ReleaseResult, now: Millis): RouterAction[] {
	const actions = entry.attempts.flatMap(attempt => endAttempt(state, entry, attempt, result, now));
	state.requests.delete(entry.request.requestId);
	return actions;
}

/** Whether a further attempt can't make a request run twice that must run at most once. */
export function isSafeToSend(entry: Entry): boolean {
	return entry.request.idempotent || !(mayHaveSent(entry) || entry.written);
}
