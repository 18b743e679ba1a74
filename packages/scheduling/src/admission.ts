/** Expected waiting times from the backlog in tokens, and the time slots that refused callers are told to return in. */

import type {Fingerprint, MemberId, Millis} from '@cicadapost/types';
import {
	isWaiting, type Account, type FairQueue, type Flow,
} from './queue.js';

/** Time constant of the measured throughput. */
const throughputTimeConstantMs = 5000;
/** Saturated time needed before the measured throughput counts. */
const minSaturatedMs = 1000;
const newSampleWeight = 0.1;
/** Time that a request is assumed to hold a slot before any throughput is known. */
const defaultServiceMs = 500;
/** Part of the remaining time that a first-time caller may wait. The rest is for callers that return in their slot. */
const firstTryWaitShare = 0.7;
/** Part of a member's throughput that is handed out as slots. */
const retrySlotShare = 0.8;
const minRetryAfterMs = 250;
const maxRetryAfterMs = 120_000;
/** Distance of slots while no throughput is known. */
const defaultRetrySlotMs = 20;
/** A caller counts as returned in its slot this long before and after it. */
const retrySlotEarlyMs = 100;
const retrySlotLateMs = 5000;
const maxRetrySlots = 4096;
/** Bounds the memory of a queue: a waiting request takes about 500 bytes. */
export const maxWaitingRequests = 16_384;

type RetrySlots = {count: number; firstAt: Millis; lastAt: Millis};

export type Admission = {
	/** Tokens that ended and time that passed while requests were waiting; both decay with `throughputMemoryMs`. */
	tokens: number;
	ms: Millis;
	at: Millis;
	/** Averages over finished attempts, for an estimate while nothing has been measured. */
	meanTokens: number;
	meanMs: Millis;
	/** Slots handed out to refused callers, by fingerprint, oldest first. */
	slots: Map<Fingerprint, RetrySlots>;
	/** End of the last slot handed out to each member. */
	nextRetrySlotAt: Map<MemberId, Millis>;
};

export function createAdmission(now: Millis): Admission {
	return {
		tokens: 0, ms: 0, at: now, meanTokens: 0, meanMs: 0, slots: new Map(), nextRetrySlotAt: new Map(),
	};
}

/** Counts the time since the last call; `isSaturated` tells whether requests were waiting during it. */
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

/** Tokens per millisecond of the shard with `slots` concurrent requests; undefined while unknown. */
export function throughput(admission: Admission, slots: number): number | undefined {
	if (admission.ms >= minSaturatedMs && admission.tokens > 0) {
		return admission.tokens / admission.ms;
	}

	return admission.meanMs > 0 && slots > 0 ? slots * admission.meanTokens / admission.meanMs : undefined;
}

export type Capacity = Readonly<{
	/** Concurrent requests that the upstreams in service take. */
	slots: number;
	/** Tokens per millisecond. */
	rate: number | undefined;
	trainingFloor: number;
}>;

/** The part of the shard's throughput that the account gets at least while it waits. */
function guaranteedRate(queue: FairQueue, account: Account, rate: number): number {
	const weight = queue.waitingWeight + (isWaiting(account) ? 0 : account.weight);
	return rate * account.weight / Math.max(weight, account.weight);
}

/** Returns the expected time until a request of the flow starts, as a function of the tokens of its own member ahead of it. */
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

/** Longest wait that is accepted with `slackMs` left after the expected running time. */
export function maxAcceptableWait(slackMs: Millis, isReturning: boolean): Millis {
	return slackMs * (isReturning ? 1 : firstTryWaitShare);
}

/** Whether a caller has come back in the slot that it was given. Takes the slot. */
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
	/** Time after which the queue is expected to have room. */
	waitMs: Millis;
}>;

/**
Hands out the member's next time slot. Slots follow one another at the pace at which the member's requests are served,
so that refused callers do not return all at once. Returns the time to wait, for `Retry-After`.
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

/** Forgets slots that have passed, and the pace of members whose slots have all passed. */
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
