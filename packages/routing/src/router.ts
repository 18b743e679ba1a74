/** The life cycle of a request in its entry daemon: where it runs, and what its caller hears. */

import {ProblemError, type ProblemKind} from '@cicadapost/errors';
import type {
	Acquire, AttemptFailure, AttemptId, Chunk, DataCentreId, Millis, Outcome, Payload, RefusalReason, Release, Relay, ReleaseResult, Request, RequestId,
	RunOutcome, ShardId, UpstreamId, VersionSpan,
} from '@cicadapost/types';
import {
	addChunk, createStream, isWhole, type StreamState,
} from './assemble-stream.js';

/** Where a pool can be reached now. Computed from configuration and membership for each new request. */
export type PoolPlaces = Readonly<{
	shards: readonly ShardId[];
	/** Other data centres that have upstreams of the pool, nearest first. */
	dataCentres: readonly DataCentreId[];
}>;

export type RouterEvent =
	| Readonly<{kind: 'request'; request: Request; places: PoolPlaces; resumeFrom?: number}>
	| Readonly<{kind: 'granted'; attempt: AttemptId; upstream: UpstreamId}>
	| Readonly<{kind: 'refused'; attempt: AttemptId; reason: RefusalReason; retryAfterMs: Millis}>
	/** From here on a byte may have reached the upstream. */
	| Readonly<{kind: 'sent'; attempt: AttemptId}>
	| Readonly<{kind: 'chunk'; attempt: AttemptId; chunk: Chunk}>
	| Readonly<{kind: 'finished'; attempt: AttemptId; tokens: number; status: number; contentType: string}>
	| Readonly<{kind: 'failed'; attempt: AttemptId; failure: AttemptFailure | RefusalReason; sent: boolean; retryAfterMs?: Millis; detail?: string}>
	| Readonly<{kind: 'caller-left'; requestId: RequestId}>
	| Readonly<{kind: 'tick'}>;

export type RouterAction =
	| Readonly<{kind: 'acquire'; acquire: Acquire}>
	| Readonly<{kind: 'release'; release: Release}>
	| Readonly<{kind: 'open'; attempt: AttemptId; upstream: UpstreamId; payload: Payload; resumeFrom: number; deadlineAt: Millis}>
	| Readonly<{kind: 'cancel'; attempt: AttemptId}>
	| Readonly<{kind: 'relay'; dataCentre: DataCentreId; relay: Relay}>
	| Readonly<{kind: 'cancel-relay'; attempt: AttemptId}>
	| Readonly<{kind: 'deliver'; requestId: RequestId; chunk: Chunk}>
	| Readonly<{kind: 'complete'; requestId: RequestId; tokens: number; status: number; contentType: string; versions: readonly VersionSpan[]}>
	| Readonly<{kind: 'fail'; requestId: RequestId; cause: AttemptFailure | RefusalReason; sent: boolean; problem: ProblemError}>;

type Attempt = {
	readonly attempt: AttemptId;
	readonly place: Readonly<{kind: 'shard'; shard: ShardId}> | Readonly<{kind: 'data-centre'; dataCentre: DataCentreId}>;
	upstream: UpstreamId | undefined;
	sent: boolean;
	openedAt: Millis;
	firstTokenAt: Millis | undefined;
	tokens: number;
	status: number;
	contentType: string;
};

type Entry = {
	readonly request: Request;
	readonly places: PoolPlaces;
	stream: StreamState;
	attempts: Attempt[];
	/** Whether a byte of any attempt may have reached an upstream. */
	sent: boolean;
	failures: number;
	avoid: UpstreamId[];
	triedDataCentres: DataCentreId[];
};

export type RouterState = {
	requests: Map<RequestId, Entry>;
	attempts: Map<AttemptId, RequestId>;
};

const maxFailures = 3;
const defaultRetryAfterMs = 1000;

export function createRouter(): RouterState {
	return {requests: new Map(), attempts: new Map()};
}

const problemOf: Readonly<Record<AttemptFailure | RefusalReason, readonly [ProblemKind, string, string]>> = {
	unreachable: ['upstream-failed', 'the upstream refused the connection', 'send the request again'],
	'upstream-died': ['upstream-failed', 'the upstream ended while it ran the request', 'send the request again'],
	silent: ['upstream-failed', 'the upstream stopped sending', 'send the request again'],
	rejected: ['upstream-rejected', 'the upstream rejected the request', 'correct the request body'],
	'server-error': ['upstream-failed', 'the upstream answered with an error', 'send the request again'],
	deadline: ['deadline-passed', 'the deadline passed', 'send the request again with a larger X-Deadline-Ms'],
	'relay-lost': ['upstream-failed', 'the connection to the other data centre was lost', 'send the request again'],
	late: ['upstream-failed', 'the request could not be sent in time', 'send the request again'],
	overloaded: ['overloaded', 'the queue is too long for the deadline', 'wait for Retry-After'],
	'no-upstream': ['no-upstream', 'no upstream of the pool is available', 'wait for Retry-After'],
	'over-cap': ['over-cap', 'the member has used up its cap', 'wait for Retry-After or ask the operator for a larger cap'],
	blocked: ['request-blocked', 'the request ended each upstream that ran it', 'change the request, or wait for Retry-After'],
	'not-owner': ['no-upstream', 'the shard is moving to another daemon', 'wait for Retry-After'],
	leaving: ['shutting-down', 'the daemon is shutting down', 'send the request again'],
};

function outcomeOf(entry: Entry, failure: AttemptFailure | RefusalReason): RunOutcome {
	if (failure === 'rejected') {
		return 'ran';
	}

	return entry.sent ? 'unknown' : 'not-run';
}

function startAttempt(state: RouterState, entry: Entry, now: Millis): RouterAction[] {
	const {request} = entry;
	const attempt = `${request.requestId}.${entry.failures}` as AttemptId;
	const remainingMs = request.deadlineAt - now;
	const {payload, ...rest} = request;
	const summary = {
		requestId: rest.requestId, member: rest.member, requestClass: rest.requestClass, pool: rest.pool, promptTokens: rest.promptTokens,
		maxTokens: rest.maxTokens, idempotent: rest.idempotent, fingerprint: rest.fingerprint, prefixKey: rest.prefixKey,
	};
	const base = {
		attempt, upstream: undefined, sent: false, openedAt: now, firstTokenAt: undefined, tokens: 0, status: 200, contentType: 'application/json',
	};
	const shard = entry.places.shards[entry.failures % Math.max(1, entry.places.shards.length)];
	const dataCentre = entry.places.dataCentres.find(candidate => !entry.triedDataCentres.includes(candidate));
	const leaveHome = shard === undefined || (entry.failures > 0 && entry.avoid.length === 0 && dataCentre !== undefined);
	if (!leaveHome) {
		entry.attempts.push({...base, place: {kind: 'shard', shard}});
		state.attempts.set(attempt, request.requestId);
		return [{
			kind: 'acquire', acquire: {
				kind: 'acquire', attempt, shard, request: summary, remainingMs, avoid: entry.avoid,
			},
		}];
	}

	if (dataCentre === undefined) {
		return fail(state, entry, 'no-upstream');
	}

	entry.triedDataCentres.push(dataCentre);
	entry.attempts.push({...base, place: {kind: 'data-centre', dataCentre}});
	state.attempts.set(attempt, request.requestId);
	return [{
		kind: 'relay', dataCentre, relay: {
			kind: 'relay', attempt, request: summary, payload, remainingMs, resumeFrom: entry.stream.delivered,
		},
	}];
}

function endAttempt(state: RouterState, entry: Entry, attempt: Attempt, result: ReleaseResult, now: Millis): RouterAction[] {
	entry.attempts = entry.attempts.filter(other => other !== attempt);
	state.attempts.delete(attempt.attempt);
	if (attempt.place.kind === 'data-centre') {
		return result === 'finished' ? [] : [{kind: 'cancel-relay', attempt: attempt.attempt}];
	}

	const cancel: RouterAction[] = attempt.upstream !== undefined && result !== 'finished' ? [{kind: 'cancel', attempt: attempt.attempt}] : [];
	return [...cancel, {
		kind: 'release', release: {
			kind: 'release',
			attempt: attempt.attempt,
			shard: attempt.place.shard,
			result,
			tokens: attempt.tokens,
			...(attempt.firstTokenAt === undefined ? {} : {firstTokenMs: attempt.firstTokenAt - attempt.openedAt}),
			generationMs: attempt.firstTokenAt === undefined ? 0 : now - attempt.firstTokenAt,
		},
	}];
}

function endRequest(state: RouterState, entry: Entry, result: ReleaseResult, now: Millis): RouterAction[] {
	const actions = entry.attempts.flatMap(attempt => endAttempt(state, entry, attempt, result, now));
	state.requests.delete(entry.request.requestId);
	return actions;
}

function fail(state: RouterState, entry: Entry, failure: AttemptFailure | RefusalReason, retryAfterMs?: Millis, detail?: string): RouterAction[] {
	const [kind, text, remedy] = problemOf[failure];
	const retryable = kind !== 'upstream-rejected';
	state.requests.delete(entry.request.requestId);
	return [{
		kind: 'fail', requestId: entry.request.requestId, cause: failure, sent: entry.sent, problem: new ProblemError({
			kind,
			detail: detail ?? text,
			remedy,
			outcome: outcomeOf(entry, failure),
			...(retryable ? {retryAfterMs: retryAfterMs ?? defaultRetryAfterMs} : {}),
		}),
	}];
}

function mayRetry(entry: Entry, event: Extract<RouterEvent, {kind: 'failed'}>, now: Millis): boolean {
	const isFinal = event.failure === 'rejected' || event.failure === 'blocked' || event.failure === 'over-cap' || event.failure === 'deadline';
	const isSafe = entry.request.idempotent || !entry.sent;
	return !isFinal && isSafe && entry.failures < maxFailures && entry.request.deadlineAt > now;
}

function receiveFailure(state: RouterState, event: Extract<RouterEvent, {kind: 'failed'}>, now: Millis): RouterAction[] {
	const found = find(state, event.attempt);
	if (found === undefined) {
		return [];
	}

	const {entry, attempt} = found;
	entry.sent ||= event.sent;
	entry.failures++;
	if (attempt.upstream !== undefined) {
		entry.avoid.push(attempt.upstream);
	}

	const actions = endAttempt(state, entry, attempt, isFailure(event.failure) ? event.failure : 'cancelled', now);
	if (mayRetry(entry, event, now)) {
		return [...actions, ...startAttempt(state, entry, now)];
	}

	return [...actions, ...fail(state, entry, event.failure, event.retryAfterMs, event.detail)];
}

const refusals: ReadonlySet<string> = new Set<RefusalReason>(['overloaded', 'no-upstream', 'over-cap', 'blocked', 'not-owner', 'leaving']);

function isFailure(failure: AttemptFailure | RefusalReason): failure is AttemptFailure {
	return !refusals.has(failure);
}

function find(state: RouterState, attemptId: AttemptId): {entry: Entry; attempt: Attempt} | undefined {
	const requestId = state.attempts.get(attemptId);
	const entry = requestId === undefined ? undefined : state.requests.get(requestId);
	const attempt = entry?.attempts.find(other => other.attempt === attemptId);
	return entry === undefined || attempt === undefined ? undefined : {entry, attempt};
}

function completeIfWhole(state: RouterState, entry: Entry, attempt: Attempt, now: Millis): RouterAction[] {
	if (!isWhole(entry.stream)) {
		return [];
	}

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

function receiveChunk(state: RouterState, event: Extract<RouterEvent, {kind: 'chunk'}>, now: Millis): RouterAction[] {
	const found = find(state, event.attempt);
	if (found === undefined) {
		return [];
	}

	const {entry, attempt} = found;
	entry.sent = true;
	attempt.firstTokenAt ??= now;
	attempt.tokens += event.chunk.tokens;
	const ready = addChunk(entry.stream, event.chunk);
	const deliveries = ready.map((chunk): RouterAction => ({kind: 'deliver', requestId: entry.request.requestId, chunk}));
	return [...deliveries, ...completeIfWhole(state, entry, attempt, now)];
}

function refuse(state: RouterState, event: Extract<RouterEvent, {kind: 'refused'}>, now: Millis): RouterAction[] {
	return receiveFailure(state, {
		kind: 'failed', attempt: event.attempt, failure: event.reason, sent: false, retryAfterMs: event.retryAfterMs,
	}, now);
}

function expire(state: RouterState, now: Millis): RouterAction[] {
	const actions: RouterAction[] = [];
	for (const entry of state.requests.values()) {
		if (entry.request.deadlineAt <= now) {
			actions.push(...endRequest(state, entry, 'deadline', now), ...fail(state, entry, 'deadline'));
		}
	}

	return actions;
}

/** Decides about requests. Updates `state` in place and returns it. */
export function decideRouting(state: RouterState, event: RouterEvent, now: Millis): Outcome<RouterState, RouterAction> {
	return {state, actions: route(state, event, now)};
}

function route(state: RouterState, event: RouterEvent, now: Millis): RouterAction[] {
	switch (event.kind) {
		case 'request': {
			const stream = createStream();
			stream.delivered = event.resumeFrom ?? 0;
			const entry: Entry = {
				request: event.request, places: event.places, stream, attempts: [], sent: false, failures: 0, avoid: [], triedDataCentres: [],
			};
			state.requests.set(event.request.requestId, entry);
			return startAttempt(state, entry, now);
		}

		case 'granted': {
			const found = find(state, event.attempt);
			if (found === undefined) {
				return [];
			}

			found.attempt.upstream = event.upstream;
			found.attempt.openedAt = now;
			return [{
				kind: 'open',
				attempt: event.attempt,
				upstream: event.upstream,
				payload: found.entry.request.payload,
				resumeFrom: found.entry.stream.delivered,
				deadlineAt: found.entry.request.deadlineAt,
			}];
		}

		case 'refused': {
			return refuse(state, event, now);
		}

		case 'sent': {
			const found = find(state, event.attempt);
			if (found !== undefined) {
				found.attempt.sent = true;
				found.entry.sent = true;
			}

			return [];
		}

		case 'chunk': {
			return receiveChunk(state, event, now);
		}

		case 'finished': {
			const found = find(state, event.attempt);
			if (found === undefined) {
				return [];
			}

			found.entry.stream.total = event.tokens;
			found.attempt.status = event.status;
			found.attempt.contentType = event.contentType;
			return completeIfWhole(state, found.entry, found.attempt, now);
		}

		case 'failed': {
			return receiveFailure(state, event, now);
		}

		case 'caller-left': {
			const entry = state.requests.get(event.requestId);
			return entry === undefined ? [] : endRequest(state, entry, 'cancelled', now);
		}

		case 'tick': {
			return expire(state, now);
		}
	}
}
