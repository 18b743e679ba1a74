import type {Millis} from '@cicadapost/types';
import type {RequestKind} from './route.js';

/** Outcome of one attempt at an upstream. */
export type AttemptOutcome =
	/** A complete response with the signature of the upstream. */
	| Readonly<{kind: 'answered'; status: number}>
	/** The upstream stated that it has not run the request. */
	| Readonly<{kind: 'not-run'; status: number}>
	| Readonly<{kind: 'not-sent'; cause: string}>
	/** The response was cut off or malformed, or belongs to another request. */
	| Readonly<{kind: 'broken'; cause: string}>
	/** Another daemon tried what it could and states that the request has not run. */
	| Readonly<{kind: 'refused'; cause: string}>;

export type AttemptState = Readonly<{
	requestKind: RequestKind;
	/** Number of upstreams that may have received the request. */
	sent: number;
	maxAttempts: number;
	/** Number of attempts that certainly never left this daemon. */
	notSent: number;
	/** Number of attempts that are still running. */
	running: number;
	/** Whether there is an upstream that has not had the request, or a daemon that may pass it on. */
	hasCandidate: boolean;
	/** Whether an attempt may have run the request or is still running. */
	mayHaveRun: boolean;
	/** Time until the caller's deadline or the route's timeout, whichever is first. */
	remainingMs: Millis;
}>;

export type NextStep =
	/** Pass the response on to the caller. */
	| Readonly<{kind: 'answer'}>
	| Readonly<{kind: 'try-next'}>
	/** Wait for another attempt that is still running. */
	| Readonly<{kind: 'wait'}>
	/** The request has not run and will not run, so the caller may retry it. */
	| Readonly<{kind: 'refuse'}>
	/** The request may have run and there is no response. */
	| Readonly<{kind: 'fail'}>;

/** Minimum remaining time for another attempt. */
const minAttemptMs = 15;
/** Attempts that never left this daemon don't count towards those of the route. This limit bounds the connections that one request opens. */
const maxNotSent = 4;

/**
Decides what to do after an attempt has ended. A request that is not idempotent is retried only if it certainly has not run.
An idempotent request is retried after each failure while upstreams, attempts and time are left.
*/
export function decideNextStep(outcome: AttemptOutcome, state: AttemptState): NextStep {
	if (outcome.kind === 'answered' && outcome.status < 500) {
		return {kind: 'answer'};
	}

	const isIdempotent = state.requestKind === 'idempotent';
	const mayHaveExecuted = outcome.kind === 'answered' || outcome.kind === 'broken';
	const hasAttempt = state.hasCandidate && state.sent < state.maxAttempts && state.notSent < maxNotSent && state.remainingMs > minAttemptMs;
	if (hasAttempt && outcome.kind !== 'refused' && (isIdempotent || !mayHaveExecuted)) {
		return {kind: 'try-next'};
	}

	if (state.running > 0) {
		return {kind: 'wait'};
	}

	if (outcome.kind === 'answered') {
		return {kind: 'answer'};
	}

	return state.mayHaveRun ? {kind: 'fail'} : {kind: 'refuse'};
}

export type HedgeState = Readonly<{
	requestKind: RequestKind;
	targetLatencyMs: Millis;
	sent: number;
	maxAttempts: number;
	hasCandidate: boolean;
}>;

/** Fraction of the target latency after which a second upstream gets the request. About half leaves enough time for the second attempt. */
const hedgeDelayFraction = 0.45;

/** Returns the delay until a hedged attempt, or undefined if the request must not be hedged. */
export function hedgeDelay(state: HedgeState): Millis | undefined {
	const isAllowed = state.requestKind === 'idempotent' && state.sent < state.maxAttempts && state.hasCandidate;
	return isAllowed ? state.targetLatencyMs * hedgeDelayFraction : undefined;
}

export type PathState = Readonly<{
	/** Whether this daemon has found that it reaches no upstream. */
	isPartitioned: boolean;
	/** Number of attempts of the request that found no connection or have no response, while no upstream has sent this daemon anything. */
	unreached: number;
	/** Whether there is an upstream that has not had the request. */
	hasUpstream: boolean;
	/** Returns whether there is a daemon that may pass the request on. Called only if the links are in doubt. */
	hasRelay: () => boolean;
}>;

/** After this many upstreams that could not be reached, the links of this daemon are a more likely cause than the upstreams. */
const unreachedBeforeRelay = 2;

/** Chooses between an upstream and another daemon that passes the request on. Returns undefined if neither can be used. */
export function choosePath({isPartitioned, unreached, hasUpstream, hasRelay}: PathState): 'upstream' | 'relay' | undefined {
	const doubtsLinks = isPartitioned || unreached >= unreachedBeforeRelay || (unreached > 0 && !hasUpstream);
	if (doubtsLinks && hasRelay()) {
		return 'relay';
	}

	// One attempt shows whether the links are back. More would only delay the refusal.
	if (isPartitioned && unreached > 0) {
		return undefined;
	}

	return hasUpstream ? 'upstream' : undefined;
}

/** Returns the number of upstreams that one other daemon may send a request to. The rest is left for a second daemon, if the first does not respond. */
export function relayedAttempts({sent, maxAttempts}: Readonly<{sent: number; maxAttempts: number}>): number {
	return Math.max(1, Math.ceil((maxAttempts - sent) / 2));
}
