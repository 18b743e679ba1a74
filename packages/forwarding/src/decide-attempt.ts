import type {Millis} from '@cicadapost/types';
import type {RequestKind} from './route.js';

/** How one attempt at an upstream ended. */
export type AttemptOutcome =
	/** A whole answer with the upstream's mark that it is its own. */
	| Readonly<{kind: 'answered'; status: number}>
	/** The upstream said that it has not run the request. */
	| Readonly<{kind: 'not-run'; status: number}>
	| Readonly<{kind: 'not-sent'; cause: string}>
	/** The answer broke off, was garbled or belongs to another request. */
	| Readonly<{kind: 'broken'; cause: string}>;

export type AttemptState = Readonly<{
	requestKind: RequestKind;
	/** Upstreams that the request has been sent to. */
	sent: number;
	maxAttempts: number;
	/** Attempts that still run. */
	running: number;
	/** Whether an upstream is left that has not had the request. */
	hasCandidate: boolean;
	/** Whether an attempt may have run, or is running. */
	mayHaveRun: boolean;
	/** Time until the caller's deadline or the route's timeout, whichever is first. */
	remainingMs: Millis;
}>;

export type NextStep =
	/** The answer goes to the caller. */
	| Readonly<{kind: 'answer'}>
	| Readonly<{kind: 'try-next'}>
	/** Another attempt still runs. */
	| Readonly<{kind: 'wait'}>
	/** The request has not run and will not: the caller may send it again. */
	| Readonly<{kind: 'refuse'}>
	/** The request may have run and there is no answer. */
	| Readonly<{kind: 'fail'}>;

/** Less time than this is not enough for another attempt. */
const minAttemptMs = 15;

/**
Decides what follows the end of an attempt. A request that may run once is sent on only if it certainly has not run.
An idempotent one is sent on after each failure while upstreams, attempts and time are left.
*/
export function decideNextStep(outcome: AttemptOutcome, state: AttemptState): NextStep {
	if (outcome.kind === 'answered' && outcome.status < 500) {
		return {kind: 'answer'};
	}

	const isIdempotent = state.requestKind === 'idempotent';
	const mayHaveExecuted = outcome.kind === 'answered' || outcome.kind === 'broken';
	const canRetry = state.hasCandidate && state.sent < state.maxAttempts && state.remainingMs > minAttemptMs && (isIdempotent || !mayHaveExecuted);
	if (canRetry) {
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

/** Part of the target latency after which a second upstream gets the request. Half leaves time for the second one. */
const hedgeDelayFraction = 0.45;

/** When a second attempt starts while the first is still running; undefined if it must not. */
export function hedgeDelay(state: HedgeState): Millis | undefined {
	const isAllowed = state.requestKind === 'idempotent' && state.sent < state.maxAttempts && state.hasCandidate;
	return isAllowed ? state.targetLatencyMs * hedgeDelayFraction : undefined;
}
