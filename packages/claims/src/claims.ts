/** The claims of one daemon: which non-idempotent requests it may send, and what their rows say afterwards. */

import type {ProblemError} from '@cicadapost/errors';
import type {
	CallId, Millis, Outcome, Request, RequestId, RowAnswer, VersionSpan,
} from '@cicadapost/types';
import {
	answerFromRecord, keyConflict, keyMissing, stillRunning, storeUnavailable, claimStoredTooLate, type ClaimAnswer,
} from './answers.js';
import {
	claimKey, maxRecordedBodyLength, parseClaimRecord, type ClaimRecord,
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
	readonly timeoutAt: Millis;
	phase: 'claiming' | 'running';
	/** Version of the row that the last write was based on; after the claim, the version of the own row. */
	version: number;
	writes: number;
	body: string | undefined;
};

/** The last state of an own row, until the store has it. */
type OutcomeWrite = {
	readonly key: string;
	readonly record: ClaimRecord;
	version: number;
	isInFlight: boolean;
	tries: number;
	nextTryAt: Millis;
};

type PendingCall = Readonly<{purpose: 'claim' | 'read-back'; requestId: RequestId}> | Readonly<{purpose: 'resolve'; nonce: string}>;

export type ClaimsState = {
	/** Prefix of the ids of platform calls, unique for each process. */
	readonly prefix: string;
	calls: number;
	claims: Map<RequestId, Claim>;
	running: Map<string, RequestId>;
	/** By nonce. */
	outcomeWrites: Map<string, OutcomeWrite>;
	/** Time of the next repeated write of an outcome. */
	nextOutcomeRetryAt: Millis;
	pending: Map<CallId, PendingCall>;
};

/** The request is sent within this time after the claim was requested, or never. */
export const sendWindowMs: Millis = 10_000;
/** A claim without an answer of the store for this long is refused. */
export const claimTimeoutMs: Millis = 1000;
/** Most claims that are running or wait for their outcome to be stored. Further ones are refused, so no outcome is dropped. */
export const maxOpenClaims = 1024;
const maxClaimWrites = 4;
/** Ten repeated writes a second for each of about ten daemons are a quarter of the several hundred that the store takes. */
const outcomeRetryIntervalMs: Millis = 100;
const firstRetryMs: Millis = 250;
const maxRetryMs: Millis = 5000;
/** Tries after which a daemon that shuts down gives up storing an outcome; repeats then get "unknown". */
const maxTriesBeforeShutdown = 4;

export function createClaims(prefix: string): ClaimsState {
	return {
		prefix, calls: 0, claims: new Map(), running: new Map(), outcomeWrites: new Map(), nextOutcomeRetryAt: 0, pending: new Map(),
	};
}

/** Whether nothing waits for the store, so that the daemon may end. */
export function isClaimsIdle(state: ClaimsState): boolean {
	return state.claims.size === 0 && [...state.outcomeWrites.values()].every(resolution => resolution.tries >= maxTriesBeforeShutdown);
}

function startCall(state: ClaimsState, pending: PendingCall): CallId {
	state.calls++;
	const call = `${state.prefix}.${state.calls}` as CallId;
	state.pending.set(call, pending);
	return call;
}

function ownershipOf(claim: Claim): {nonce: string; bodyHash: string} {
	return {nonce: claim.nonce, bodyHash: claim.request.bodyHash};
}

function writeClaim(state: ClaimsState, claim: Claim, expectedVersion: number): ClaimsAction[] {
	claim.version = expectedVersion;
	claim.writes++;
	const call = startCall(state, {purpose: 'claim', requestId: claim.request.requestId});
	return [{
		kind: 'write-row', call, key: claim.key, expectedVersion, value: JSON.stringify({state: 'claimed', ...ownershipOf(claim)} satisfies ClaimRecord),
	}];
}

function removeClaim(state: ClaimsState, claim: Claim): void {
	state.claims.delete(claim.request.requestId);
	if (state.running.get(claim.key) === claim.request.requestId) {
		state.running.delete(claim.key);
	}
}

function sendOutcomeWrite(state: ClaimsState, resolution: OutcomeWrite): ClaimsAction {
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
function recordOutcome(state: ClaimsState, claim: Claim, record: ClaimRecord, now: Millis): ClaimsAction[] {
	removeClaim(state, claim);
	const resolution: OutcomeWrite = {
		key: claim.key, record, version: claim.version, isInFlight: false, tries: 0, nextTryAt: now,
	};
	state.outcomeWrites.set(record.nonce, resolution);
	return [sendOutcomeWrite(state, resolution)];
}

function recordNotRun(state: ClaimsState, claim: Claim, now: Millis): ClaimsAction[] {
	return recordOutcome(state, claim, {state: 'not-run', ...ownershipOf(claim)}, now);
}

function unstoredRecord(state: ClaimsState, key: string): ClaimRecord | undefined {
	return [...state.outcomeWrites.values()].find(resolution => resolution.key === key)?.record;
}

function startClaim(state: ClaimsState, event: Extract<ClaimsEvent, {kind: 'claim'}>, now: Millis): ClaimsAction[] {
	const {request, nonce} = event;
	if (request.idempotencyKey === undefined) {
		return [keyMissing(request.requestId)];
	}

	const key = claimKey(request.member, request.idempotencyKey);
	const earlier = state.claims.get(state.running.get(key) ?? ('' as RequestId));
	if (earlier !== undefined) {
		return [earlier.request.bodyHash === request.bodyHash ? stillRunning(request.requestId) : keyConflict(request.requestId)];
	}

	const record = unstoredRecord(state, key);
	if (record !== undefined) {
		return [answerFromRecord(request.requestId, request.bodyHash, record) ?? storeUnavailable(request.requestId)];
	}

	if (state.claims.size + state.outcomeWrites.size >= maxOpenClaims) {
		return [storeUnavailable(request.requestId)];
	}

	const claim: Claim = {
		request,
		key,
		nonce,
		sendBy: Math.min(request.deadlineAt, now + sendWindowMs),
		timeoutAt: Math.min(request.deadlineAt, now + claimTimeoutMs),
		phase: 'claiming',
		version: 0,
		writes: 0,
		body: '',
	};
	state.claims.set(request.requestId, claim);
	state.running.set(key, request.requestId);
	return writeClaim(state, claim, 0);
}

function grantClaim(state: ClaimsState, claim: Claim, version: number, now: Millis): ClaimsAction[] {
	claim.version = version;
	if (now >= claim.sendBy) {
		return [claimStoredTooLate(claim.request.requestId), ...recordNotRun(state, claim, now)];
	}

	claim.phase = 'running';
	return [{kind: 'claimed', request: claim.request, sendBy: claim.sendBy}];
}

function abandonClaim(state: ClaimsState, claim: Claim, now: Millis): ClaimsAction[] {
	return [storeUnavailable(claim.request.requestId), ...recordNotRun(state, claim, now)];
}

/** The row exists: it is the own one, an earlier call's, or free to be claimed again. */
function handleExistingRow(state: ClaimsState, claim: Claim, row: Readonly<{version: number; value: string}>, now: Millis): ClaimsAction[] {
	const record = parseClaimRecord(row.value);
	if (record?.nonce === claim.nonce) {
		return grantClaim(state, claim, row.version, now);
	}

	if (record === undefined) {
		removeClaim(state, claim);
		return [stillRunning(claim.request.requestId)];
	}

	const answer = answerFromRecord(claim.request.requestId, claim.request.bodyHash, record);
	if (answer !== undefined) {
		removeClaim(state, claim);
		return [answer];
	}

	return claim.writes < maxClaimWrites ? writeClaim(state, claim, row.version) : abandonClaim(state, claim, now);
}

function handleClaimAnswer(state: ClaimsState, pending: Extract<PendingCall, {requestId: RequestId}>, answer: RowAnswer, now: Millis): ClaimsAction[] {
	const claim = state.claims.get(pending.requestId);
	if (claim?.phase !== 'claiming') {
		return [];
	}

	switch (answer.kind) {
		case 'written': {
			return grantClaim(state, claim, answer.version, now);
		}

		case 'conflict':
		case 'row': {
			return handleExistingRow(state, claim, answer, now);
		}

		case 'absent': {
			return claim.writes < maxClaimWrites ? writeClaim(state, claim, 0) : abandonClaim(state, claim, now);
		}

		case 'unavailable': {
			if (pending.purpose === 'read-back') {
				return abandonClaim(state, claim, now);
			}

			// The write may have taken effect although its answer was lost.
			const call = startCall(state, {purpose: 'read-back', requestId: pending.requestId});
			return [{kind: 'read-row', call, key: claim.key}];
		}
	}
}

function handleOutcomeWriteAnswer(state: ClaimsState, nonce: string, answer: RowAnswer, now: Millis): ClaimsAction[] {
	const resolution = state.outcomeWrites.get(nonce);
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
		state.outcomeWrites.delete(nonce);
		return [];
	}

	resolution.version = answer.version;
	return [sendOutcomeWrite(state, resolution)];
}

function handleAnswer(state: ClaimsState, event: Extract<ClaimsEvent, {kind: 'answer'}>, now: Millis): ClaimsAction[] {
	const pending = state.pending.get(event.call);
	state.pending.delete(event.call);
	if (pending === undefined) {
		return [];
	}

	return pending.purpose === 'resolve'
		? handleOutcomeWriteAnswer(state, pending.nonce, event.answer, now)
		: handleClaimAnswer(state, pending, event.answer, now);
}

function buildRecord(claim: Claim, end: ClaimEnd): ClaimRecord {
	const owner = ownershipOf(claim);
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

function appendBody(claim: Claim, text: string): void {
	if (claim.body !== undefined) {
		const body = claim.body + text;
		claim.body = body.length > maxRecordedBodyLength ? undefined : body;
	}
}

function retryOutcomeWrite(state: ClaimsState, now: Millis): ClaimsAction[] {
	if (state.nextOutcomeRetryAt > now) {
		return [];
	}

	for (const resolution of state.outcomeWrites.values()) {
		if (!resolution.isInFlight && resolution.nextTryAt <= now) {
			state.nextOutcomeRetryAt = now + outcomeRetryIntervalMs;
			return [sendOutcomeWrite(state, resolution)];
		}
	}

	return [];
}

function tick(state: ClaimsState, now: Millis): ClaimsAction[] {
	const late = [...state.claims.values()].filter(claim => claim.phase === 'claiming' && now >= claim.timeoutAt);
	const actions = late.flatMap(claim => abandonClaim(state, claim, now));
	return [...actions, ...retryOutcomeWrite(state, now)];
}

/** Decides about claims. Updates `state` in place and returns it. */
export function decideClaims(state: ClaimsState, event: ClaimsEvent, now: Millis): Outcome<ClaimsState, ClaimsAction> {
	return {state, actions: handleEvent(state, event, now)};
}

function handleEvent(state: ClaimsState, event: ClaimsEvent, now: Millis): ClaimsAction[] {
	switch (event.kind) {
		case 'claim': {
			return startClaim(state, event, now);
		}

		case 'answer': {
			return handleAnswer(state, event, now);
		}

		case 'text': {
			const claim = state.claims.get(event.requestId);
			if (claim !== undefined) {
				appendBody(claim, event.text);
			}

			return [];
		}

		case 'ended': {
			const claim = state.claims.get(event.requestId);
			return claim === undefined ? [] : recordOutcome(state, claim, buildRecord(claim, event.end), now);
		}

		case 'withdrawn': {
			const claim = state.claims.get(event.requestId);
			return claim === undefined ? [] : recordNotRun(state, claim, now);
		}

		case 'tick': {
			return tick(state, now);
		}
	}
}
