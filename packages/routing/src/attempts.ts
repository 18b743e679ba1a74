/** Starts and ends the attempts of a request. */

import {
	canBeSuspect, type Acquire, type AttemptId, type Millis, type Release, type ReleaseResult, type RequestSummary,
} from '@cicadapost/types';
import {
	mayHaveSent, type Attempt, type RequestEntry, type Destination, type RouterState,
} from './router-state.js';
import type {RouterAction} from './router.js';

function summaryOf(entry: RequestEntry): RequestSummary {
	const {requestId, member, requestClass, pool, promptTokens, maxTokens, idempotent, fingerprint, prefixKey} = entry.request;
	return {
		requestId, member, requestClass, pool, promptTokens, maxTokens, idempotent, fingerprint, prefixKey,
	};
}

function localDestination(entry: RequestEntry): Destination | undefined {
	const {shards} = entry.destinations;
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

/** Returns the nearest untried data centre that is not refusing relays and can still answer in time, if its link costs at most `maxCostMs`. */
export function remoteDestination(state: RouterState, entry: RequestEntry, now: Millis, maxCostMs = Number.POSITIVE_INFINITY): Destination | undefined {
	const remote = entry.destinations.dataCentres.find(({dataCentre, costMs}) => {
		const isOpen = !entry.triedDataCentres.has(dataCentre) && (state.closedUntil.get(dataCentre) ?? 0) <= now;
		return isOpen && costMs <= maxCostMs && costMs < entry.notAfter - now;
	});
	return remote === undefined ? undefined : {kind: 'data-centre', dataCentre: remote.dataCentre};
}

/** Returns the next destination: a local shard, else another data centre, else a local shard whose upstreams had only connection failures. */
export function nextDestination(state: RouterState, entry: RequestEntry, now: Millis): Destination | undefined {
	const destination = localDestination(entry) ?? remoteDestination(state, entry, now);
	if (destination !== undefined) {
		return destination;
	}

	for (const [upstream, kind] of entry.avoid) {
		if (kind === 'soft') {
			entry.avoid.delete(upstream);
		}
	}

	return localDestination(entry);
}

export function startAttempt(state: RouterState, entry: RequestEntry, destination: Destination, now: Millis, hedgeCost = 0): RouterAction[] {
	const {request} = entry;
	const attempt = `${request.requestId}.${entry.attemptCount}` as AttemptId;
	entry.attemptCount++;
	entry.retryAt = undefined;
	entry.attempts.push({
		attempt,
		destination,
		upstream: undefined,
		mayHaveSent: destination.kind === 'data-centre',
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
	if (destination.kind === 'shard') {
		const running = entry.attempts.flatMap(other => (other.upstream === undefined ? [] : [other.upstream]));
		const acquire: Acquire = {
			kind: 'acquire', attempt, shard: destination.shard, request: summaryOf(entry), remainingMs, avoid: [...entry.avoid.keys(), ...running],
		};
		return [{kind: 'acquire', acquire}];
	}

	entry.triedDataCentres.add(destination.dataCentre);
	return [{
		kind: 'relay', dataCentre: destination.dataCentre, relay: {
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

function releaseOf(entry: RequestEntry, attempt: Attempt, result: ReleaseResult, now: Millis): Release | undefined {
	const {upstream} = attempt;
	return attempt.destination.kind === 'data-centre'
		? undefined
		: {
			kind: 'release',
			attempt: attempt.attempt,
			shard: attempt.destination.shard,
			result,
			tokens: attempt.tokens,
			...(attempt.firstTokenAt === undefined ? {} : {firstTokenMs: attempt.firstTokenAt - attempt.openedAt}),
			generationMs: attempt.firstTokenAt === undefined ? 0 : now - attempt.firstTokenAt,
			...(result === 'upstream-died' && upstream !== undefined ? {death: {upstream, ...(canBeSuspect(entry.request) ? {fingerprint: entry.request.fingerprint} : {})}} : {}),
		};
}

/** Ends an attempt: cancels it if it is still running and releases its slot. */
export function endAttempt(state: RouterState, entry: RequestEntry, attempt: Attempt, result: ReleaseResult, now: Millis): RouterAction[] {
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

/** Ends all attempts of a request and removes the request. */
export function endRequest(state: RouterState, entry: RequestEntry, result: ReleaseResult, now: Millis): RouterAction[] {
	const actions = entry.attempts.flatMap(attempt => endAttempt(state, entry, attempt, result, now));
	state.requests.delete(entry.request.requestId);
	return actions;
}

/** Returns whether another attempt is safe, that is, it can't make a non-idempotent request run twice. */
export function isSafeToSend(entry: RequestEntry): boolean {
	return entry.request.idempotent || !(mayHaveSent(entry) || entry.written);
}
