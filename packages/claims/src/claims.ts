/** Claims of one daemon: decides which non-idempotent requests it may send, and records their outcomes in the store. */

import type {ProblemError} from '@cicadapost/errors';
import type {
	CallId, Millis, DecisionResult, Request, RequestId, RowResponse, VersionSpan,
} from '@cicadapost/types';
import {
	responseFromRecord, keyConflict, keyMissing, stillRunning, storeUnavailable, claimStoredTooLate, type ClaimResponse,
} from './responses.js';
import {
	claimKey, maxRecordedBodyLength, parseClaimRecord, type ClaimRecord,
} from './claim-record.js';

export type {ClaimResponse, RecordedResponse} from './responses.js';

/** How a claimed request ended. */
export type ClaimEnd =
	| Readonly<{kind: 'finished'; status: number; contentType: string; tokens: number; versions: readonly VersionSpan[]}>
	| Readonly<{kind: 'failed'; problem: ProblemError}>;

export type ClaimsEvent =
	/** A non-idempotent request arrived. `nonce` is unique for each call across all daemons. */
	| Readonly<{kind: 'claim'; request: Request; nonce: string}>
	| Readonly<{kind: 'answer'; call: CallId; answer: RowResponse}>
	/** A chunk of the response body to record. */
	| Readonly<{kind: 'text'; requestId: RequestId; text: string}>
	| Readonly<{kind: 'ended'; requestId: RequestId; end: ClaimEnd}>
	/** The caller disconnected before the request was sent, so it will not be sent any more. */
	| Readonly<{kind: 'withdrawn'; requestId: RequestId}>
	| Readonly<{kind: 'tick'}>;

export type ClaimsAction =
	| Readonly<{kind: 'read-row'; call: CallId; key: string}>
	| Readonly<{kind: 'write-row'; call: CallId; key: string; expectedVersion: number; value: string}>
	/** The request may be sent, but only before `sendBy`. */
	| Readonly<{kind: 'claimed'; request: Request; sendBy: Millis}>
	| ClaimResponse;

type Claim = {
	readonly request: Request;
	readonly key: string;
	readonly nonce: string;
	readonly sendBy: Millis;
	readonly timeoutAt: Millis;
	phase: 'claiming' | 'running';
	/** Row version that the last write expected. Once the claim is granted, the version of the own row. */
	version: number;
	writes: number;
	body: string | undefined;
};

/** The final record of an own claim, kept until the store has it. */
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
	/** Prefix for the ids of store calls, unique for each process. */
	readonly prefix: string;
	calls: number;
	claims: Map<RequestId, Claim>;
	running: Map<string, RequestId>;
	/** Final records that are not yet known to be stored, by nonce. */
	outcomeWrites: Map<string, OutcomeWrite>;
	/** Earliest time for the next retry of an outcome write. */
	nextOutcomeRetryAt: Millis;
	pending: Map<CallId, PendingCall>;
};

/** A claimed request must be sent within this time after the claim was requested, or not at all. */
export const sendWindowMs: Millis = 10_000;
/** A claim that the store has not confirmed within this time is refused. */
export const claimTimeoutMs: Millis = 1000;
/** Maximum number of claims that are active or whose outcome is not stored yet. Further claims are refused, so that no outcome is dropped. */
export const maxOpenClaims = 1024;
const maxClaimWrites = 4;
/** Ten retries per second from each of about ten daemons use a quarter of the several hundred writes per second that the store handles. */
const outcomeRetryIntervalMs: Millis = 100;
const firstRetryMs: Millis = 250;
const maxRetryMs: Millis = 5000;
/** After this many tries, shutdown no longer waits for an outcome to be stored. Repeated calls then get "unknown". */
const maxTriesBeforeShutdown = 4;

export function createClaims(prefix: string): ClaimsState {
	return {
		prefix, calls: 0, claims: new Map(), running: new Map(), outcomeWrites: new Map(), nextOutcomeRetryAt: 0, pending: new Map(),
	};
}

/** Whether no claim or outcome is waiting for the store, so that the daemon may exit. */
export function isClaimsIdle(state: ClaimsState): boolean {
	return state.claims.size === 0 && [...state.outcomeWrites.values()].every(outcomeWrite => outcomeWrite.tries >= maxTriesBeforeShutdown);
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

function sendOutcomeWrite(state: ClaimsState, outcomeWrite: OutcomeWrite): ClaimsAction {
	outcomeWrite.isInFlight = true;
	outcomeWrite.tries++;
	const call = startCall(state, {purpose: 'resolve', nonce: outcomeWrite.record.nonce});
	return {
		kind: 'write-row', call, key: outcomeWrite.key, expectedVersion: outcomeWrite.version, value: JSON.stringify(outcomeWrite.record),
	};
}

/**
Writes the final record of an own claim. The write expects the same row version as the claim write, so it is safe
even while the claim write is still in flight: whichever arrives second conflicts.
*/
function recordOutcome(state: ClaimsState, claim: Claim, record: ClaimRecord, now: Millis): ClaimsAction[] {
	removeClaim(state, claim);
	const outcomeWrite: OutcomeWrite = {
		key: claim.key, record, version: claim.version, isInFlight: false, tries: 0, nextTryAt: now,
	};
	state.outcomeWrites.set(record.nonce, outcomeWrite);
	return [sendOutcomeWrite(state, outcomeWrite)];
}

function recordNotRun(state: ClaimsState, claim: Claim, now: Millis): ClaimsAction[] {
	return recordOutcome(state, claim, {state: 'not-run', ...ownershipOf(claim)}, now);
}

function unstoredRecord(state: ClaimsState, key: string): ClaimRecord | undefined {
	return [...state.outcomeWrites.values()].find(outcomeWrite => outcomeWrite.key === key)?.record;
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
		return [responseFromRecord(request.requestId, request.bodyHash, record) ?? storeUnavailable(request.requestId)];
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

/** Handles a row that already exists: it is the own row, belongs to an earlier call, or may be claimed again. */
function handleExistingRow(state: ClaimsState, claim: Claim, row: Readonly<{version: number; value: string}>, now: Millis): ClaimsAction[] {
	const record = parseClaimRecord(row.value);
	if (record?.nonce === claim.nonce) {
		return grantClaim(state, claim, row.version, now);
	}

	if (record === undefined) {
		removeClaim(state, claim);
		return [stillRunning(claim.request.requestId)];
	}

	const response = responseFromRecord(claim.request.requestId, claim.request.bodyHash, record);
	if (response !== undefined) {
		removeClaim(state, claim);
		return [response];
	}

	return claim.writes < maxClaimWrites ? writeClaim(state, claim, row.version) : abandonClaim(state, claim, now);
}

function handleClaimResponse(state: ClaimsState, pending: Extract<PendingCall, {requestId: RequestId}>, response: RowResponse, now: Millis): ClaimsAction[] {
	const claim = state.claims.get(pending.requestId);
	if (claim?.phase !== 'claiming') {
		return [];
	}

	switch (response.kind) {
		case 'written': {
			return grantClaim(state, claim, response.version, now);
		}

		case 'conflict':
		case 'row': {
			return handleExistingRow(state, claim, response, now);
		}

		case 'absent': {
			return claim.writes < maxClaimWrites ? writeClaim(state, claim, 0) : abandonClaim(state, claim, now);
		}

		case 'unavailable': {
			if (pending.purpose === 'read-back') {
				return abandonClaim(state, claim, now);
			}

			// The write may have taken effect even though its response was lost.
			const call = startCall(state, {purpose: 'read-back', requestId: pending.requestId});
			return [{kind: 'read-row', call, key: claim.key}];
		}
	}
}

function handleOutcomeWriteResponse(state: ClaimsState, nonce: string, response: RowResponse, now: Millis): ClaimsAction[] {
	const outcomeWrite = state.outcomeWrites.get(nonce);
	if (outcomeWrite === undefined) {
		return [];
	}

	outcomeWrite.isInFlight = false;
	if (response.kind === 'unavailable') {
		outcomeWrite.nextTryAt = now + Math.min(maxRetryMs, firstRetryMs * (2 ** outcomeWrite.tries));
		return [];
	}

	const record = response.kind === 'conflict' ? parseClaimRecord(response.value) : undefined;
	const isOwnClaim = record?.nonce === nonce && record.state === 'claimed';
	if (response.kind !== 'conflict' || !isOwnClaim) {
		state.outcomeWrites.delete(nonce);
		return [];
	}

	outcomeWrite.version = response.version;
	return [sendOutcomeWrite(state, outcomeWrite)];
}

function handleResponse(state: ClaimsState, event: Extract<ClaimsEvent, {kind: 'answer'}>, now: Millis): ClaimsAction[] {
	const pending = state.pending.get(event.call);
	state.pending.delete(event.call);
	if (pending === undefined) {
		return [];
	}

	return pending.purpose === 'resolve'
		? handleOutcomeWriteResponse(state, pending.nonce, event.answer, now)
		: handleClaimResponse(state, pending, event.answer, now);
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

	for (const outcomeWrite of state.outcomeWrites.values()) {
		if (!outcomeWrite.isInFlight && outcomeWrite.nextTryAt <= now) {
			state.nextOutcomeRetryAt = now + outcomeRetryIntervalMs;
			return [sendOutcomeWrite(state, outcomeWrite)];
		}
	}

	return [];
}

function tick(state: ClaimsState, now: Millis): ClaimsAction[] {
	const late = [...state.claims.values()].filter(claim => claim.phase === 'claiming' && now >= claim.timeoutAt);
	const actions = late.flatMap(claim => abandonClaim(state, claim, now));
	return [...actions, ...retryOutcomeWrite(state, now)];
}

/** Processes one event. Updates `state` in place and returns it with the actions to perform. */
export function decideClaims(state: ClaimsState, event: ClaimsEvent, now: Millis): DecisionResult<ClaimsState, ClaimsAction> {
	return {state, actions: handleEvent(state, event, now)};
}

function handleEvent(state: ClaimsState, event: ClaimsEvent, now: Millis): ClaimsAction[] {
	switch (event.kind) {
		case 'claim': {
			return startClaim(state, event, now);
		}

		case 'answer': {
			return handleResponse(state, event, now);
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
