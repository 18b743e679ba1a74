/** Finds upstreams that are much slower than their peers, from ended attempts and from those still in flight. */

import type {Millis} from '@cicadapost/types';

/** An upstream is slow above this ratio of its time per token to the median of its peers. */
export const slowRatio = 2.5;
/** Probes under this ratio count as normal. The gap to `slowRatio` is hysteresis. */
export const normalRatio = 1.5;
/** Ratio for the time to the first token, which varies more because of prompts. */
const slowFirstRatio = 5;
/** An attempt is overdue after this many times its expected time. */
const overdueRatio = 2;
/** No attempt on a normal upstream takes this many times the time for all tokens that it may generate. */
const stuckRatio = 3;
/** Completions for each expected one, relative to the median of the peers, under which an upstream is slow. */
const slowCompletionRatio = 0.4;
/** Expected completions after which older ones have lost most of their weight. */
const progressMemory = 10;
/** Expected completions that a judgement needs. */
const minExpectedCompletions = 5;
/** The share of overdue attempts that must support a low rate of completions, so that long requests alone do not count. */
const minOverdueFraction = 0.5;

/** Compares completions with those to be expected from the attempts in flight. */
export type Progress = {
	/** Expected completions so far, decaying. */
	expected: number;
	/** Completions so far, decaying alike. */
	completed: number;
	/** Expected completions for each millisecond, from the attempts in flight. */
	rate: number;
	at: Millis;
};

export function createProgress(now: Millis): Progress {
	return {
		expected: 0, completed: 0, rate: 0, at: now,
	};
}

export function advanceProgress(progress: Progress, now: Millis): void {
	const due = progress.rate * Math.max(0, now - progress.at);
	progress.at = Math.max(progress.at, now);
	if (due > 0) {
		const decay = Math.exp(-due / progressMemory);
		progress.expected = (progress.expected * decay) + due;
		progress.completed *= decay;
	}
}

export function startProgress(progress: Progress, expectedMs: Millis, now: Millis): void {
	advanceProgress(progress, now);
	progress.rate += expectedMs > 0 ? 1 / expectedMs : 0;
}

/**
Records that an attempt has ended. One that was withdrawn early counts for the part of its expected time that it ran;
one that was withdrawn late counts as missing.
*/
export function endProgress(progress: Progress, attempt: Readonly<{expectedMs: Millis; elapsedMs: Millis; isFinished: boolean}>, now: Millis): void {
	advanceProgress(progress, now);
	if (attempt.expectedMs <= 0) {
		return;
	}

	progress.rate = Math.max(0, progress.rate - (1 / attempt.expectedMs));
	const share = attempt.elapsedMs / attempt.expectedMs;
	if (attempt.isFinished) {
		progress.completed++;
	} else if (share < overdueRatio) {
		progress.completed += Math.min(1, share);
	}
}

/** Completions for each expected one; near 1 while little is known. */
export function completionRate(progress: Progress): number {
	return (progress.completed + 1) / (progress.expected + 1);
}

export function median(values: readonly number[]): number | undefined {
	if (values.length === 0) {
		return undefined;
	}

	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/** Times of one upstream and the medians of its peers. */
export type SpeedComparison = Readonly<{
	tokenMs: number | undefined;
	firstMs: number | undefined;
	peerTokenMs: number | undefined;
	peerFirstMs: number | undefined;
}>;

export function isSlowByTimes(speed: SpeedComparison): boolean {
	const {tokenMs, firstMs, peerTokenMs, peerFirstMs} = speed;
	const isSlowToken = tokenMs !== undefined && peerTokenMs !== undefined && tokenMs > slowRatio * peerTokenMs;
	const isSlowFirst = firstMs !== undefined && peerFirstMs !== undefined && firstMs > (slowFirstRatio * peerFirstMs) + (peerTokenMs ?? 0);
	return isSlowToken || isSlowFirst;
}

export type InFlight = {
	running: number;
	overdue: number;
	stuck: number;
};

export function addInFlight(inFlight: InFlight, attempt: Readonly<{expectedMs: Millis; longestMs: Millis}>, elapsedMs: Millis): void {
	inFlight.running++;
	if (attempt.expectedMs > 0 && elapsedMs > overdueRatio * attempt.expectedMs) {
		inFlight.overdue++;
	}

	if (attempt.longestMs > 0 && elapsedMs > stuckRatio * attempt.longestMs) {
		inFlight.stuck++;
	}
}

/** Judges the attempts in flight. `peerRate` is the median completion rate of the peers. */
export function isSlowInFlight(progress: Progress, inFlight: InFlight, peerRate: number | undefined): boolean {
	if (inFlight.stuck > 0) {
		return true;
	}

	const isMostlyOverdue = inFlight.overdue > 0 && progress.expected >= minExpectedCompletions && inFlight.overdue >= minOverdueFraction * inFlight.running;
	return isMostlyOverdue && peerRate !== undefined && completionRate(progress) < slowCompletionRatio * Math.min(1, peerRate);
}
