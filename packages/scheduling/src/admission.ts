/** Estimates waiting times from the backlog in tokens, and assigns refused callers time slots in which to retry. */

import type {Fingerprint, MemberId, Millis} from '@cicadapost/types';
import {
	isWaiting, type Account, type FairQueue, type Flow,
} from './queue.js';

/** Time constant of the measured throughput. */
const throughputTimeConstantMs = 5000;
/** Minimum time with waiting requests before the measured throughput is used. */
const minSaturatedMs = 1000;
const newSampleWeight = 0.1;
/** Assumed duration of a request until a throughput has been measured. */
const defaultServiceMs = 500;
/** Fraction of the slack that a request may wait on its first try. The rest is left for callers that retry in their slot. */
const firstTryWaitShare = 0.7;
/** Fraction of a member's throughput that is assigned as retry slots. */
const retrySlotShare = 0.8;
const minRetryAfterMs = 250;
const maxRetryAfterMs = 120_000;
/** Interval between retry slots until a throughput has been measured. */
const defaultRetrySlotMs = 20;
/** A retry counts as on time if it is at most this early or late. */
const retrySlotEarlyMs = 100;
const retrySlotLateMs = 5000;
const maxRetrySlots = 4096;
/** Limits the memory of a queue: a waiting request takes about 500 bytes. */
export const maxWaitingRequests = 16_384;

type RetrySlots = {count: number; firstAt: Millis; lastAt: Millis};

export type Admission = {
	/** Completed tokens and elapsed time while requests were waiting. Both decay with the time constant `throughputTimeConstantMs`. */
	tokens: number;
	ms: Millis;
	at: Millis;
	/** Moving averages over attempts, used to estimate the throughput until it has been measured. */
	meanTokens: number;
	meanMs: Millis;
	/** Retry slots of refused callers by fingerprint, oldest first. */
	slots: Map<Fingerprint, RetrySlots>;
	/** End of the last retry slot assigned to each member. */
	nextRetrySlotAt: Map<MemberId, Millis>;
};

export function createAdmission(now: Millis): Admission {
	return {
		tokens: 0, ms: 0, at: now, meanTokens: 0, meanMs: 0, slots: new Map(), nextRetrySlotAt: new Map(),
	};
}

/** Adds the time since the last call. `isSaturated` tells whether requests were waiting during that time. */
export function advanceAdmission(admission: Admission, isSaturated: boolean, now: Millis): void {
	const passed = now - admission.at;
	if (passed <= 0) {
		return;
	}

	admission.at = now;
	if (isSaturated) {
		const decay = Math.exp(-passed / throughputTimeConstantMs);
		admission.tokens *= decay;
		admission.ms = (admission.ms * decay) + passed;
	}
}

export function recordEnd(admission: Admission, isSaturated: boolean, tokens: number, elapsedMs: Millis): void {
	if (isSaturated) {
		admission.tokens += tokens;
	}

	if (tokens > 0) {
		const weight = admission.meanTokens === 0 ? 1 : newSampleWeight;
		admission.meanTokens += weight * (tokens - admission.meanTokens);
		admission.meanMs += weight * (elapsedMs - admission.meanMs);
	}
}

/** Returns the shard's throughput in tokens per millisecond with `slots` concurrent requests, or undefined if it is not known yet. */
export function throughput(admission: Admission, slots: number): number | undefined {
	if (admission.ms >= minSaturatedMs && admission.tokens > 0) {
		return admission.tokens / admission.ms;
	}

	return admission.meanMs > 0 && slots > 0 ? slots * admission.meanTokens / admission.meanMs : undefined;
}

export type Capacity = Readonly<{
	/** Number of concurrent requests that the upstreams that are up accept. */
	slots: number;
	/** Tokens per millisecond. */
	rate: number | undefined;
	trainingFloor: number;
}>;

/** Returns the minimum throughput that the account gets while it has waiting requests. */
function guaranteedRate(queue: FairQueue, account: Account, rate: number): number {
	const weight = queue.waitingWeight + (isWaiting(account) ? 0 : account.weight);
	return rate * account.weight / Math.max(weight, account.weight);
}

/** Returns a function that estimates the time until a request of the flow starts from the tokens of the same member that are ahead of it. */
export function waitEstimate(queue: FairQueue, flow: Flow, capacity: Capacity): (ownTokens: number) => Millis {
	const {rate, slots, trainingFloor} = capacity;
	if (rate === undefined) {
		const waitMs = slots > 0 ? queue.attempts.size / slots * defaultServiceMs : Number.POSITIVE_INFINITY;
		return () => waitMs;
	}

	const allTokens = flow.requestClass === 'live' ? queue.liveTokens / Math.max(0.05, 1 - trainingFloor) : queue.liveTokens + queue.trainingTokens;
	const longestMs = allTokens / rate;
	const memberRate = guaranteedRate(queue, flow.account, rate);
	return ownTokens => Math.min(longestMs, ownTokens / memberRate);
}

/** Returns the longest acceptable wait. `slackMs` is the time until the deadline less the expected duration. */
export function maxAcceptableWait(slackMs: Millis, isReturning: boolean): Millis {
	return slackMs * (isReturning ? 1 : firstTryWaitShare);
}

/** Uses up a retry slot of the caller, if it has one, and returns whether the caller is on time. */
export function claimRetrySlot(admission: Admission, fingerprint: Fingerprint, now: Millis): boolean {
	const slots = admission.slots.get(fingerprint);
	if (slots === undefined || now < slots.firstAt - retrySlotEarlyMs) {
		return false;
	}

	slots.count--;
	if (slots.count === 0) {
		admission.slots.delete(fingerprint);
	}

	return now <= slots.lastAt + retrySlotLateMs;
}

export type RefusedRequest = Readonly<{
	account: Account;
	fingerprint: Fingerprint;
	tokens: number;
	/** Time after which the queue is expected to have capacity. */
	waitMs: Millis;
}>;

/**
Assigns the member's next retry slot and returns the time until then, for `Retry-After`. Slots are spaced at the rate at
which the member's requests are served, so that refused callers do not all retry at once.
*/
export function reserveRetrySlot(admission: Admission, queue: FairQueue, refused: RefusedRequest, capacity: Capacity, now: Millis): Millis {
	const {account, fingerprint, tokens, waitMs} = refused;
	const lengthMs = capacity.rate === undefined ? defaultRetrySlotMs : tokens / (retrySlotShare * guaranteedRate(queue, account, capacity.rate));
	const earliest = now + Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Number.isFinite(waitMs) ? waitMs : 0));
	const startAt = Math.max(earliest, admission.nextRetrySlotAt.get(account.member) ?? 0);
	const slotAt = Math.min(startAt + lengthMs, now + maxRetryAfterMs);
	admission.nextRetrySlotAt.set(account.member, slotAt);
	addRetrySlot(admission, fingerprint, slotAt);
	return Math.ceil(slotAt - now);
}

function addRetrySlot(admission: Admission, fingerprint: Fingerprint, slotAt: Millis): void {
	const slots = admission.slots.get(fingerprint) ?? {count: 0, firstAt: slotAt, lastAt: slotAt};
	slots.count++;
	slots.lastAt = Math.max(slots.lastAt, slotAt);
	admission.slots.delete(fingerprint);
	admission.slots.set(fingerprint, slots);
	if (admission.slots.size > maxRetrySlots) {
		const [oldest] = admission.slots.keys();
		admission.slots.delete(oldest!);
	}
}

/** Removes expired retry slots, and the entries of members whose retry slots are all in the past. */
export function expireRetrySlots(admission: Admission, now: Millis): void {
	for (const [fingerprint, slots] of admission.slots) {
		if (slots.lastAt + retrySlotLateMs < now) {
			admission.slots.delete(fingerprint);
		}
	}

	for (const [member, at] of admission.nextRetrySlotAt) {
		if (at < now) {
			admission.nextRetrySlotAt.delete(member);
		}
	}
}
