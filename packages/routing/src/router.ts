/** Routes a request in its entry daemon: chooses where its attempts run, and what is delivered to the caller. */

import {type ProblemError} from '@cicadapost/errors';
import type {
	Acquire, AttemptId, Chunk, DataCentreId, Millis, DecisionResult, Payload, RefusalReason, Release, Relay, ReleaseResult, Request, RequestId, UpstreamId, VersionSpan,
} from '@cicadapost/types';
import {
	addChunk, createStream, isComplete, resumeStream, type StreamFault,
} from './assemble-stream.js';
import {
	endAttempt, endRequest, isSafeToSend, nextDestination, startAttempt,
} from './attempts.js';
import {earn, spend} from './budget.js';
import {
	cancelLosers, earnHedgeBudget, hedgeIfLate, recordFirstToken,
} from './hedges.js';
import {failureProblem, isRefusal, type FailureCause} from './problems.js';
import {
	mayHaveSent, type Attempt, type RequestEntry, type PoolDestinations, type RouterState,
} from './router-state.js';

export type RouterEvent =
	/** No byte is sent to an upstream after `sendBy`, which defaults to the deadline. `version` is the weight version of the tokens before `resumeFrom`. */
	| Readonly<{kind: 'request'; request: Request; destinations: PoolDestinations; sendBy?: Millis; resumeFrom?: number; version?: number | undefined}>
	| Readonly<{kind: 'granted'; attempt: AttemptId; upstream: UpstreamId}>
	| Readonly<{kind: 'refused'; attempt: AttemptId; reason: RefusalReason; retryAfterMs: Millis}>
	/** The edge has started to write: from now on, a byte may have reached the upstream. */
	| Readonly<{kind: 'sent'; attempt: AttemptId}>
	| Readonly<{kind: 'chunk'; attempt: AttemptId; chunk: Chunk}>
	| Readonly<{kind: 'finished'; attempt: AttemptId; tokens: number; status: number; contentType: string}>
	/** `sent` is false only if no byte of the attempt can have reached an upstream, or if the upstream declined to run it. */
	| Readonly<{kind: 'failed'; attempt: AttemptId; failure: FailureCause; sent: boolean; retryAfterMs?: Millis | undefined; detail?: string | undefined}>
	| Readonly<{kind: 'caller-left'; requestId: RequestId}>
	/** Shares of extra work that the configuration allows. */
	| Readonly<{kind: 'policy'; retryBudget: number; hedgeBudget: number}>
	| Readonly<{kind: 'tick'}>;

export type RouterAction =
	| Readonly<{kind: 'acquire'; acquire: Acquire}>
	| Readonly<{kind: 'release'; release: Release}>
	/** The edge must not send any byte after `notAfter`. */
	| Readonly<{kind: 'open'; attempt: AttemptId; upstream: UpstreamId; payload: Payload; idempotent: boolean; resumeFrom: number; deadlineAt: Millis; notAfter: Millis}>
	| Readonly<{kind: 'cancel'; attempt: AttemptId}>
	| Readonly<{kind: 'relay'; dataCentre: DataCentreId; relay: Relay}>
	| Readonly<{kind: 'cancel-relay'; attempt: AttemptId}>
	/** A relay has finished and needs no cancellation. */
	| Readonly<{kind: 'relay-ended'; attempt: AttemptId}>
	| Readonly<{kind: 'deliver'; requestId: RequestId; chunk: Chunk}>
	| Readonly<{kind: 'complete'; requestId: RequestId; tokens: number; status: number; contentType: string; versions: readonly VersionSpan[]}>
	| Readonly<{kind: 'fail'; requestId: RequestId; cause: FailureCause; sent: boolean; problem: ProblemError}>;

type FailedEvent = Extract<RouterEvent, {kind: 'failed'}>;

/** Maximum number of failed attempts of one request, in addition to the limit of the retry budget. */
const maxFailures = 4;
/** A grant must be used within this time: if the daemon was paused for longer, the upstream may have started to leave. */
const openWithinMs = 1000;
/** A relay without a frame for this long is considered lost. The remote daemon sends keep-alive frames four times as often. */
export const relaySilenceMs: Millis = 2000;

/** Maximum length of a relayed body, in characters. A character takes at most three bytes of a frame, and a frame has at most 8 MiB. */
const maxRelayedLength = 2.5 * 1024 * 1024;

/** Failures that would recur in another attempt. */
const finalCauses: ReadonlySet<FailureCause> = new Set<FailureCause>(['rejected', 'blocked', 'over-cap', 'deadline']);
/** Failures that concern the connection and say nothing about the upstream itself. */
const softCauses: ReadonlySet<FailureCause> = new Set<FailureCause>(['silent', 'overloaded']);

function fail(state: RouterState, entry: RequestEntry, cause: FailureCause, details: Pick<FailedEvent, 'retryAfterMs' | 'detail'> = {}): RouterAction[] {
	const {requestId, idempotent} = entry.request;
	const sent = mayHaveSent(entry);
	state.requests.delete(requestId);
	return [{
		kind: 'fail', requestId, cause, sent, problem: failureProblem({
			cause, sent, idempotent, ...details,
		}),
	}];
}

/** Cancels the running attempts of a request and fails it. Bytes that these attempts may have sent are taken into account. */
function abortRequest(state: RouterState, entry: RequestEntry, cause: FailureCause, now: Millis): RouterAction[] {
	const result: ReleaseResult = cause === 'deadline' ? 'deadline' : 'cancelled';
	return [...endRequest(state, entry, result, now), ...fail(state, entry, cause)];
}

function startRequest(state: RouterState, event: Extract<RouterEvent, {kind: 'request'}>, now: Millis): RouterAction[] {
	const {request} = event;
	// A longer body would exceed the maximum frame size, which would close the connection with all its streams.
	const isRelayable = request.payload.body.length <= maxRelayedLength;
	const destinations = isRelayable ? event.destinations : {...event.destinations, dataCentres: []};
	if (state.requests.has(request.requestId)) {
		return [];
	}

	const entry: RequestEntry = {
		request,
		destinations,
		notAfter: Math.min(request.deadlineAt, event.sendBy ?? request.deadlineAt),
		firstShard: state.rotation,
		stream: createStream({resumeFrom: event.resumeFrom ?? 0, version: event.version}),
		attempts: [],
		mayHaveSent: false,
		written: false,
		attemptCount: 0,
		failures: 0,
		avoid: new Map(),
		refusedShards: new Set(),
		triedDataCentres: new Set(),
		isHedged: false,
		retryAfterMs: 0,
		retryAt: undefined,
	};
	state.rotation++;
	state.requests.set(request.requestId, entry);
	earn(state.retries, 1);
	const destination = nextDestination(state, entry, now);
	return destination === undefined ? fail(state, entry, 'no-upstream') : startAttempt(state, entry, destination, now);
}

function recordFailure(state: RouterState, entry: RequestEntry, attempt: Attempt, event: FailedEvent, now: Millis): void {
	if (attempt.upstream !== undefined) {
		entry.avoid.set(attempt.upstream, softCauses.has(event.failure) ? 'soft' : 'hard');
		return;
	}

	// The connection to one daemon was lost, so another daemon in that data centre may run the request.
	if (event.failure === 'relay-lost' && event.sent && attempt.destination.kind === 'data-centre') {
		entry.triedDataCentres.delete(attempt.destination.dataCentre);
	}

	const isDestinationClosed = event.failure === 'overloaded' || event.failure === 'no-upstream';
	if (isDestinationClosed && attempt.destination.kind === 'shard') {
		entry.refusedShards.add(attempt.destination.shard);
	}

	if (isDestinationClosed && attempt.destination.kind === 'data-centre') {
		state.closedUntil.set(attempt.destination.dataCentre, now + (event.retryAfterMs ?? 0));
	}
}

function handleFailure(state: RouterState, event: FailedEvent, now: Millis): RouterAction[] {
	const found = findAttempt(state, event.attempt);
	if (found === undefined) {
		return [];
	}

	const {entry, attempt} = found;
	// A report that nothing was sent applies to this attempt only.
	attempt.mayHaveSent = event.sent || attempt.firstTokenAt !== undefined;
	if (attempt.hedgeCost === 0) {
		recordFailure(state, entry, attempt, event, now);
	}

	const ended = endAttempt(state, entry, attempt, releaseResultOf(event.failure), now);
	if (entry.attempts.length > 0) {
		return ended;
	}

	resumeStream(entry.stream);
	// A destination that refused did no work, so trying the next one does not count as a retry.
	const isExemptFromBudget = isRefusal(event.failure) && attempt.upstream === undefined && !event.sent;
	return [...ended, ...retryOrFail(state, entry, event, {now, isExemptFromBudget})];
}

function releaseResultOf(cause: FailureCause): ReleaseResult {
	// The shard owner tracks upstream health; a weight swap or a refusal must not count against the upstream.
	return isRefusal(cause) || cause === 'version-changed' ? 'cancelled' : cause;
}

type RetryOptions = Readonly<{now: Millis; isExemptFromBudget: boolean}>;

function retryOrFail(state: RouterState, entry: RequestEntry, event: FailedEvent, {now, isExemptFromBudget}: RetryOptions): RouterAction[] {
	entry.retryAfterMs = Math.max(entry.retryAfterMs, event.retryAfterMs ?? 0);
	const details = {retryAfterMs: entry.retryAfterMs, detail: event.detail};
	const isFinal = finalCauses.has(event.failure) || !isSafeToSend(entry) || entry.notAfter <= now;
	if (isFinal) {
		return fail(state, entry, event.failure, details);
	}

	if (event.failure === 'not-owner') {
		// The shard is moving to another daemon. Nothing has been tried yet, so this does not count as a retry.
		entry.retryAt = now + (event.retryAfterMs ?? 0);
		return [];
	}

	entry.failures++;
	const destination = entry.failures < maxFailures ? nextDestination(state, entry, now) : undefined;
	if (destination === undefined || !(isExemptFromBudget || spend(state.retries, 1))) {
		return fail(state, entry, event.failure, details);
	}

	return startAttempt(state, entry, destination, now);
}

function findAttempt(state: RouterState, attemptId: AttemptId): {entry: RequestEntry; attempt: Attempt} | undefined {
	const requestId = state.attempts.get(attemptId);
	const entry = requestId === undefined ? undefined : state.requests.get(requestId);
	const attempt = entry?.attempts.find(other => other.attempt === attemptId);
	return entry === undefined || attempt === undefined ? undefined : {entry, attempt};
}

function open(state: RouterState, event: Extract<RouterEvent, {kind: 'granted'}>, now: Millis): RouterAction[] {
	const found = findAttempt(state, event.attempt);
	// A duplicate grant must not open the upstream a second time.
	if (found === undefined || found.attempt.upstream !== undefined || found.attempt.destination.kind !== 'shard') {
		return [];
	}

	const {entry, attempt} = found;
	if (!isSafeToSend(entry) || entry.notAfter <= now) {
		return handleFailure(state, {
			kind: 'failed', attempt: event.attempt, failure: 'late', sent: false,
		}, now);
	}

	attempt.upstream = event.upstream;
	attempt.mayHaveSent = true;
	attempt.openedAt = now;
	return [{
		kind: 'open',
		attempt: event.attempt,
		upstream: event.upstream,
		payload: entry.request.payload,
		idempotent: entry.request.idempotent,
		resumeFrom: entry.stream.delivered,
		deadlineAt: entry.request.deadlineAt,
		notAfter: Math.min(entry.notAfter, now + openWithinMs),
	}];
}

function completeIfDone(state: RouterState, entry: RequestEntry, attempt: Attempt, now: Millis): RouterAction[] {
	if (!isComplete(entry.stream)) {
		return [];
	}

	earnHedgeBudget(state, entry);
	const complete: RouterAction = {
		kind: 'complete',
		requestId: entry.request.requestId,
		tokens: entry.stream.delivered,
		status: attempt.status,
		contentType: attempt.contentType,
		versions: entry.stream.versions,
	};
	return [...endAttempt(state, entry, attempt, 'finished', now), complete, ...endRequest(state, entry, 'cancelled', now)];
}

function handleChunk(state: RouterState, event: Extract<RouterEvent, {kind: 'chunk'}>, now: Millis): RouterAction[] {
	const found = findAttempt(state, event.attempt);
	if (found === undefined) {
		return [];
	}

	const {entry, attempt} = found;
	attempt.progressAt = now;
	if (event.chunk.tokens === 0) {
		return [];
	}

	attempt.mayHaveSent = true;
	attempt.tokens += event.chunk.tokens;
	const losers = cancelLosers(state, entry, attempt, now);
	if (attempt.firstTokenAt === undefined) {
		attempt.firstTokenAt = now;
		recordFirstToken(state, entry, attempt, now);
	}

	const added = addChunk(entry.stream, event.chunk, entry.request.mixedVersions);
	const deliveries = added.ready.map((chunk): RouterAction => ({kind: 'deliver', requestId: entry.request.requestId, chunk}));
	const rest = added.fault === undefined ? completeIfDone(state, entry, attempt, now) : handleFailure(state, streamFailure(attempt, added.fault), now);
	return [...losers, ...deliveries, ...rest];
}

function streamFailure(attempt: Attempt, fault: StreamFault): FailedEvent {
	return fault === 'version-changed'
		? {
			kind: 'failed', attempt: attempt.attempt, failure: 'version-changed', sent: true,
		}
		: {
			kind: 'failed', attempt: attempt.attempt, failure: 'server-error', sent: true, detail: 'the upstream continued with a text that does not follow what was delivered',
		};
}

function handleFinished(state: RouterState, event: Extract<RouterEvent, {kind: 'finished'}>, now: Millis): RouterAction[] {
	const found = findAttempt(state, event.attempt);
	if (found === undefined) {
		return [];
	}

	const {entry, attempt} = found;
	attempt.progressAt = now;
	attempt.mayHaveSent = true;
	attempt.status = event.status;
	attempt.contentType = event.contentType;
	entry.stream.total = event.tokens;
	const completed = completeIfDone(state, entry, attempt, now);
	// Relayed frames may still arrive, but a local upstream that has finished sends nothing more.
	if (completed.length > 0 || attempt.destination.kind === 'data-centre') {
		return completed;
	}

	return handleFailure(state, {
		kind: 'failed', attempt: event.attempt, failure: 'server-error', sent: true, detail: 'the upstream left out a part of the completion',
	}, now);
}

function tickRequest(state: RouterState, entry: RequestEntry, now: Millis): RouterAction[] {
	if (entry.request.deadlineAt <= now) {
		return abortRequest(state, entry, 'deadline', now);
	}

	// A request that has not been sent by `notAfter` must never be sent.
	if (entry.notAfter <= now && !mayHaveSent(entry)) {
		return abortRequest(state, entry, 'late', now);
	}

	if (entry.retryAt !== undefined && entry.retryAt <= now) {
		const destination = nextDestination(state, entry, now);
		return destination === undefined ? fail(state, entry, 'no-upstream') : startAttempt(state, entry, destination, now);
	}

	const silent = entry.attempts.filter(attempt => attempt.destination.kind === 'data-centre' && attempt.progressAt + relaySilenceMs <= now);
	const failed = silent.flatMap(attempt => handleFailure(state, {
		kind: 'failed', attempt: attempt.attempt, failure: 'relay-lost', sent: true,
	}, now));
	return [...failed, ...hedgeIfLate(state, entry, now)];
}

/** Handles one router event. Updates `state` in place and returns it with the resulting actions. */
export function decideRouting(state: RouterState, event: RouterEvent, now: Millis): DecisionResult<RouterState, RouterAction> {
	return {state, actions: route(state, event, now)};
}

function route(state: RouterState, event: RouterEvent, now: Millis): RouterAction[] {
	switch (event.kind) {
		case 'request': {
			return startRequest(state, event, now);
		}

		case 'granted': {
			return open(state, event, now);
		}

		case 'refused': {
			return handleFailure(state, {
				kind: 'failed', attempt: event.attempt, failure: event.reason, sent: false, retryAfterMs: event.retryAfterMs,
			}, now);
		}

		case 'sent': {
			const found = findAttempt(state, event.attempt);
			if (found !== undefined) {
				found.attempt.mayHaveSent = true;
				found.attempt.written = true;
			}

			return [];
		}

		case 'chunk': {
			return handleChunk(state, event, now);
		}

		case 'finished': {
			return handleFinished(state, event, now);
		}

		case 'failed': {
			return handleFailure(state, event, now);
		}

		case 'caller-left': {
			const entry = state.requests.get(event.requestId);
			return entry === undefined ? [] : endRequest(state, entry, 'cancelled', now);
		}

		case 'policy': {
			state.retries.share = event.retryBudget;
			state.hedges.share = event.hedgeBudget;
			return [];
		}

		case 'tick': {
			const actions: RouterAction[] = [];
			for (const entry of state.requests.values()) {
				actions.push(...tickRequest(state, entry, now));
			}

			return actions;
		}
	}
}
