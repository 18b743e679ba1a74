/** Detects upstreams that are much slower than their peers, from finished attempts and attempts in flight. */

import type {Millis} from '@cicadapost/types';

/** An upstream is slow if its time per token exceeds this multiple of the median of its peers. */
export const slowRatio = 2.5;
/** Probes up to this multiple count as normal. The gap to `slowRatio` is hysteresis. */
export const normalRatio = 1.5;
/** Like `slowRatio`, for the time to first token, which varies more because prompts differ in length. */
const slowFirstRatio = 5;
/** An attempt is overdue after this multiple of its expected time. */
const overdueRatio = 2;
/** An attempt is stuck after this multiple of the time for all tokens that it may generate; no attempt on a normal upstream takes that long. */
const stuckRatio = 3;
/** An upstream is slow if its completion rate is below this fraction of the median of its peers. */
const slowCompletionRatio = 0.4;
/** Number of expected completions over which the counts decay by a factor of e. */
const progressMemory = 10;
/** Minimum number of expected completions before the completion rate is used. */
const minExpectedCompletions = 5;
/** Minimum fraction of attempts in flight that must be overdue as well, so that a few long requests do not make an upstream slow. */
const minOverdueFraction = 0.5;

/** Actual completions of an upstream and those expected from its attempts in flight. */
export type Progress = {
	/** Expected completions so far, with exponential decay. */
	expected: number;
	/** Actual completions so far, with the same decay. */
	completed: number;
	/** Expected completions per millisecond of the attempts in flight. */
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
Records the end of an attempt. A cancelled attempt counts as the fraction of its expected time that it ran, or as no
completion if it was overdue.
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

/** Returns the ratio of actual to expected completions; close to 1 while there is little data. */
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

/** Average times of one upstream and the medians of its peers. */
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

/** Returns whether the attempts in flight show that the upstream is slow. `peerRate` is the median completion rate of the peers. */
export function isSlowInFlight(progress: Progress, inFlight: InFlight, peerRate: number | undefined): boolean {
	if (inFlight.stuck > 0) {
		return true;
	}

	const isMostlyOverdue = inFlight.overdue > 0 && progress.expected >= minExpectedCompletions && inFlight.overdue >= minOverdueFraction * inFlight.running;
	return isMostlyOverdue && peerRate !== undefined && completionRate(progress) < slowCompletionRatio * Math.min(1, peerRate);
}
