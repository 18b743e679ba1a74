/** The claims of one daemon: which non-idempotent requests it may send, and what their rows say afterwards. */

import type {ProblemError} from '@cicadapost/errors';
import type {
	CallId, Millis, DecisionResult, Request, RequestId, RowAnswer, VersionSpan,
} from '@cicadapost/types';
import {
	answerFrom, keyConflict, keyMissing, stillRunning, storeUnavailable, tooLate, type ClaimAnswer,
} from './answers.js';
import {
	claimKey, maxRecordedBody, parseClaimRecord, type ClaimRecord,
} from './claim-record.js';

export type {ClaimAnswer, RecordedAnswer} from './answers.js';

/** How a claimed request ended. */
export type ClaimEnd =
	| Readonly<{kind: 'finished'; status: number; contentType: string; tokens: number; versions: readonly VersionSpan[]}>
	| Readonly<{kind: 'failed'; problem: ProblemError}>;

export type ClaimsEvent =
	/** A non-idempotent request with an idempotency key. `nonce` is unique for each call over all daemons. */
	| Readonly<{kind: 'claim'; request: Request; nonce: string}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowAnswer}>
	/** A piece of the answer, to be recorded. */
	| Readonly<{kind: 'text'; requestId: RequestId; text: string}>
	| Readonly<{kind: 'ended'; requestId: RequestId; end: ClaimEnd}>
	/** The caller left before the request was sent, and it never will be. */
	| Readonly<{kind: 'withdrawn'; requestId: RequestId}>
	| Readonly<{kind: 'tick'}>;

export type ClaimsAction =
	| Readonly<{kind: 'read-row'; call: CallId; key: string}>
	| Readonly<{kind: 'write-row'; call: CallId; key: string; expectedVersion: number; value: string}>
	/** The request may be sent, but only before `sendBy`. */
	| Readonly<{kind: 'claimed'; request: Request; sendBy: Millis}>
	| ClaimAnswer;

type Claim = {
	readonly request: Request;
	readonly key: string;
	readonly nonce: string;
	readonly sendBy: Millis;
	readonly settleBy: Millis;
	phase: 'claiming' | 'running';
	/** Version of the row that the last write was based on; after the claim, the version of the own row. */
	version: number;
	writes: number;
	body: string | undefined;
};

/** The last state of an own row, until the store has it. */
type Resolution = {
	readonly key: string;
	readonly record: ClaimRecord;
	version: number;
	isInFlight: boolean;
	tries: number;
	nextTryAt: Millis;
};

type Pending = Readonly<{purpose: 'claim' | 'read-back'; requestId: RequestId}> | Readonly<{purpose: 'resolve'; nonce: string}>;

export type ClaimsState = {
	/** Prefix of the ids of platform calls, unique for each process. */
	readonly prefix: string;
	calls: number;
	claims: Map<RequestId, Claim>;
	running: Map<string, RequestId>;
	/** By nonce. */
	resolutions: Map<string, Resolution>;
	/** Time of the next repeated write of an outcome. */
	nextCatchUpAt: Millis;
	pending: Map<CallId, Pending>;
};

/** The request is sent within this time after the claim was requested, or never. */
export const claimValidMs: Millis = 10_000;
/** A claim without an answer of the store for this long is refused. */
export const settleMs: Millis = 1000;
/** Most claims that are running or wait for their outcome to be stored. Further ones are refused, so no outcome is dropped. */
export const maxOpenClaims = 1024;
const maxWrites = 4;
/** Ten repeated writes a second for each of about ten daemons are a quarter of the several hundred that the store takes. */
const catchUpIntervalMs: Millis = 100;
const firstRetryMs: Millis = 250;
const maxRetryMs: Millis = 5000;
/** Tries after which a daemon that shuts down gives up storing an outcome; repeats then get "unknown". */
const triesBeforeStop = 4;

export function createClaims(prefix: string): ClaimsState {
	return {
		prefix, calls: 0, claims: new Map(), running: new Map(), resolutions: new Map(), nextCatchUpAt: 0, pending: new Map(),
	};
}

/** Whether nothing waits for the store, so that the daemon may end. */
export function isClaimsIdle(state: ClaimsState): boolean {
	return state.claims.size === 0 && [...state.resolutions.values()].every(resolution => resolution.tries >= triesBeforeStop);
}

function startCall(state: ClaimsState, pending: Pending): CallId {
	state.calls++;
	const call = `${state.prefix}.${state.calls}` as CallId;
	state.pending.set(call, pending);
	return call;
}

function ownerOf(claim: Claim): {nonce: string; bodyHash: string} {
	return {nonce: claim.nonce, bodyHash: claim.request.bodyHash};
}

function writeClaim(state: ClaimsState, claim: Claim, expectedVersion: number): ClaimsAction[] {
	claim.version = expectedVersion;
	claim.writes++;
	const call = startCall(state, {purpose: 'claim', requestId: claim.request.requestId});
	return [{
		kind: 'write-row', call, key: claim.key, expectedVersion, value: JSON.stringify({state: 'claimed', ...ownerOf(claim)} satisfies ClaimRecord),
	}];
}

function forget(state: ClaimsState, claim: Claim): void {
	state.claims.delete(claim.request.requestId);
	if (state.running.get(claim.key) === claim.request.requestId) {
		state.running.delete(claim.key);
	}
}

function writeResolution(state: ClaimsState, resolution: Resolution): ClaimsAction {
	resolution.isInFlight = true;
	resolution.tries++;
	const call = startCall(state, {purpose: 'resolve', nonce: resolution.record.nonce});
	return {
		kind: 'write-row', call, key: resolution.key, expectedVersion: resolution.version, value: JSON.stringify(resolution.record),
	};
}

/**
Writes the last state of an own row. The write is based on the version that the claim was based on, so it also
overtakes a claim write that is still on its way: whichever comes second conflicts.
*/
function resolve(state: ClaimsState, claim: Claim, record: ClaimRecord, now: Millis): ClaimsAction[] {
	forget(state, claim);
	const resolution: Resolution = {
		key: claim.key, record, version: claim.version, isInFlight: false, tries: 0, nextTryAt: now,
	};
	state.resolutions.set(record.nonce, resolution);
	return [writeResolution(state, resolution)];
}

function resolveNotRun(state: ClaimsState, claim: Claim, now: Millis): ClaimsAction[] {
	return resolve(state, claim, {state: 'not-run', ...ownerOf(claim)}, now);
}

function waitingRecord(state: ClaimsState, key: string): ClaimRecord | undefined {
	return [...state.resolutions.values()].find(resolution => resolution.key === key)?.record;
}

function start(state: ClaimsState, event: Extract<ClaimsEvent, {kind: 'claim'}>, now: Millis): ClaimsAction[] {
	const {request, nonce} = event;
	if (request.idempotencyKey === undefined) {
		return [keyMissing(request.requestId)];
	}

	const key = claimKey(request.member, request.idempotencyKey);
	const earlier = state.claims.get(state.running.get(key) ?? ('' as RequestId));
	if (earlier !== undefined) {
		return [earlier.request.bodyHash === request.bodyHash ? stillRunning(request.requestId) : keyConflict(request.requestId)];
	}

	const record = waitingRecord(state, key);
	if (record !== undefined) {
		return [answerFrom(request.requestId, request.bodyHash, record) ?? storeUnavailable(request.requestId)];
	}

	if (state.claims.size + state.resolutions.size >= maxOpenClaims) {
		return [storeUnavailable(request.requestId)];
	}

	const claim: Claim = {
		request,
		key,
		nonce,
		sendBy: Math.min(request.deadlineAt, now + claimValidMs),
		settleBy: Math.min(request.deadlineAt, now + settleMs),
		phase: 'claiming',
		version: 0,
		writes: 0,
		body: '',
	};
	state.claims.set(request.requestId, claim);
	state.running.set(key, request.requestId);
	return writeClaim(state, claim, 0);
}

function hold(state: ClaimsState, claim: Claim, version: number, now: Millis): ClaimsAction[] {
	claim.version = version;
	if (now >= claim.sendBy) {
		return [tooLate(claim.request.requestId), ...resolveNotRun(state, claim, now)];
	}

	claim.phase = 'running';
	return [{kind: 'claimed', request: claim.request, sendBy: claim.sendBy}];
}

function giveUp(state: ClaimsState, claim: Claim, now: Millis): ClaimsAction[] {
	return [storeUnavailable(claim.request.requestId), ...resolveNotRun(state, claim, now)];
}

/** The row exists: it is the own one, an earlier call's, or free to be claimed again. */
function meetRow(state: ClaimsState, claim: Claim, row: Readonly<{version: number; value: string}>, now: Millis): ClaimsAction[] {
	const record = parseClaimRecord(row.value);
	if (record?.nonce === claim.nonce) {
		return hold(state, claim, row.version, now);
	}

	if (record === undefined) {
		forget(state, claim);
		return [stillRunning(claim.request.requestId)];
	}

	const answer = answerFrom(claim.request.requestId, claim.request.bodyHash, record);
	if (answer !== undefined) {
		forget(state, claim);
		return [answer];
	}

	return claim.writes < maxWrites ? writeClaim(state, claim, row.version) : giveUp(state, claim, now);
}

function receiveClaimAnswer(state: ClaimsState, pending: Extract<Pending, {requestId: RequestId}>, answer: RowAnswer, now: Millis): ClaimsAction[] {
	const claim = state.claims.get(pending.requestId);
	if (claim?.phase !== 'claiming') {
		return [];
	}

	switch (answer.kind) {
		case 'written': {
			return hold(state, claim, answer.version, now);
		}

		case 'conflict':
		case 'row': {
			return meetRow(state, claim, answer, now);
		}

		case 'absent': {
			return claim.writes < maxWrites ? writeClaim(state, claim, 0) : giveUp(state, claim, now);
		}

		case 'unavailable': {
			if (pending.purpose === 'read-back') {
				return giveUp(state, claim, now);
			}

			// The write may have taken effect although its answer was lost.
			const call = startCall(state, {purpose: 'read-back', requestId: pending.requestId});
			return [{kind: 'read-row', call, key: claim.key}];
		}
	}
}

function receiveResolutionAnswer(state: ClaimsState, nonce: string, answer: RowAnswer, now: Millis): ClaimsAction[] {
	const resolution = state.resolutions.get(nonce);
	if (resolution === undefined) {
		return [];
	}

	resolution.isInFlight = false;
	if (answer.kind === 'unavailable') {
		resolution.nextTryAt = now + Math.min(maxRetryMs, firstRetryMs * (2 ** resolution.tries));
		return [];
	}

	const record = answer.kind === 'conflict' ? parseClaimRecord(answer.value) : undefined;
	const isOwnClaim = record?.nonce === nonce && record.state === 'claimed';
	if (answer.kind !== 'conflict' || !isOwnClaim) {
		state.resolutions.delete(nonce);
		return [];
	}

	resolution.version = answer.version;
	return [writeResolution(state, resolution)];
}

function receiveAnswer(state: ClaimsState, event: Extract<ClaimsEvent, {kind: 'answer'}>, now: Millis): ClaimsAction[] {
	const pending = state.pending.get(event.call);
	state.pending.delete(event.call);
	if (pending === undefined) {
		return [];
	}

	return pending.purpose === 'resolve'
		? receiveResolutionAnswer(state, pending.nonce, event.answer, now)
		: receiveClaimAnswer(state, pending, event.answer, now);
}

function recordOf(claim: Claim, end: ClaimEnd): ClaimRecord {
	const owner = ownerOf(claim);
	if (end.kind === 'finished') {
		const {status, contentType, tokens, versions} = end;
		return {
			state: 'finished', ...owner, status, contentType, tokens, versions: [...versions], ...(claim.body === undefined ? {} : {body: claim.body}),
		};
	}

	const {outcome, detail} = end.problem;
	return outcome === 'not-run'
		? {state: 'not-run', ...owner}
		: {
			state: 'failed', ...owner, outcome, detail,
		};
}

function collect(claim: Claim, text: string): void {
	if (claim.body !== undefined) {
		const body = claim.body + text;
		claim.body = body.length > maxRecordedBody ? undefined : body;
	}
}

function catchUp(state: ClaimsState, now: Millis): ClaimsAction[] {
	if (state.nextCatchUpAt > now) {
		return [];
	}

	for (const resolution of state.resolutions.values()) {
		if (!resolution.isInFlight && resolution.nextTryAt <= now) {
			state.nextCatchUpAt = now + catchUpIntervalMs;
			return [writeResolution(state, resolution)];
		}
	}

	return [];
}

function tick(state: ClaimsState, now: Millis): ClaimsAction[] {
	const late = [...state.claims.values()].filter(claim => claim.phase === 'claiming' && now >= claim.settleBy);
	const actions = late.flatMap(claim => giveUp(state, claim, now));
	return [...actions, ...catchUp(state, now)];
}

/** Decides about claims. Updates `state` in place and returns it. */
export function decideClaims(state: ClaimsState, event: ClaimsEvent, now: Millis): DecisionResult<ClaimsState, ClaimsAction> {
	return {state, actions: act(state, event, now)};
}

function act(state: ClaimsState, event: ClaimsEvent, now: Millis): ClaimsAction[] {
	switch (event.kind) {
		case 'claim': {
			return start(state, event, now);
		}

		case 'answer': {
			return receiveAnswer(state, event, now);
		}

		case 'text': {
			const claim = state.claims.get(event.requestId);
			if (claim !== undefined) {
				collect(claim, event.text);
			}

			return [];
		}

		case 'ended': {
			const claim = state.claims.get(event.requestId);
			return claim === undefined ? [] : resolve(state, claim, recordOf(claim, event.end), now);
		}

		case 'withdrawn': {
			const claim = state.claims.get(event.requestId);
			return claim === undefined ? [] : resolveNotRun(state, claim, now);
		}

		case 'tick': {
			return tick(state, now);
		}
	}
}
