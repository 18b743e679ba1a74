/** Hedging: starts a second attempt of a live request on another upstream when its first token is late. */

import type {Millis, PoolId} from '@cicadapost/types';
import {
	endAttempt, nextDestination, remoteDestination, startAttempt,
} from './attempts.js';
import {earn, spend} from './budget.js';
import {addFirstToken, createFirstTokens} from './first-tokens.js';
import type {
	Attempt, RequestEntry, Destination, RouterState,
} from './router-state.js';
import type {RouterAction} from './router.js';

/** Tokens that the losing engine may generate, in addition to processing the prompt, until its cancellation arrives. */
const cancelTokens = 8;

/** Records the time to first token. Relayed attempts are left out, because their times include the latency of the link. */
export function recordFirstToken(state: RouterState, entry: RequestEntry, attempt: Attempt, now: Millis): void {
	if (attempt.destination.kind === 'shard' && entry.request.requestClass === 'live') {
		const times = state.firstTokens.get(entry.request.pool) ?? createFirstTokens();
		state.firstTokens.set(entry.request.pool, times);
		addFirstToken(times, now - attempt.openedAt);
	}
}

function lateAfterMs(state: RouterState, pool: PoolId): Millis | undefined {
	return state.firstTokens.get(pool)?.lateAfterMs;
}

/** Returns the destination for a second attempt if the first token is late. */
function hedgeDestination(state: RouterState, entry: RequestEntry, now: Millis): Destination | undefined {
	const [attempt, other] = entry.attempts;
	const {idempotent, requestClass, pool} = entry.request;
	const limit = lateAfterMs(state, pool);
	const awaitsFirstToken = attempt !== undefined && other === undefined && attempt.firstTokenAt === undefined;
	if (!idempotent || requestClass !== 'live' || entry.isHedged || !awaitsFirstToken || limit === undefined) {
		return undefined;
	}

	const overdueMs = now - attempt.openedAt - limit;
	if (overdueMs <= 0) {
		return undefined;
	}

	// A request that still waits for a local slot gains nothing from queueing locally a second time.
	return attempt.mayHaveSent ? nextDestination(state, entry, now) : remoteDestination(state, entry, now, overdueMs);
}

/**
Starts a second attempt if the first token is late and the budget covers the extra tokens. While the first attempt waits
for a local slot, the second one goes to another data centre, and only once the wait exceeds the cost of the link.
*/
export function hedgeIfLate(state: RouterState, entry: RequestEntry, now: Millis): RouterAction[] {
	const destination = hedgeDestination(state, entry, now);
	const cost = entry.request.promptTokens + cancelTokens;
	if (destination === undefined || !spend(state.hedges, cost)) {
		return [];
	}

	entry.isHedged = true;
	return startAttempt(state, entry, destination, now, cost);
}

/** Cancels all other attempts once the winner has received a token. */
export function cancelLosers(state: RouterState, entry: RequestEntry, winner: Attempt, now: Millis): RouterAction[] {
	if (entry.attempts.length === 1) {
		return [];
	}

	return entry.attempts.filter(attempt => attempt !== winner).flatMap(loser => endAttempt(state, entry, loser, 'cancelled', now));
}

export function earnHedgeBudget(state: RouterState, entry: RequestEntry): void {
	earn(state.hedges, entry.request.promptTokens + entry.stream.delivered);
}
