/** The concurrency window of an upstream, learned from the times of the attempts that ended on it. */

import type {Millis} from '@cicadapost/types';

/** Weight of the newest attempt in the averages. */
const newSampleWeight = 0.15;
/** Decay of the regression for each attempt: about the last 50 attempts count. */
const regressionDecay = 0.98;
/** A new sample counts as at most this many times the average, so that one outlier does not move it far. */
const maxSampleRatio = 4;
/** Relative gain in throughput for each relative gain in concurrency, under which the window shrinks. */
const shrinkElasticity = 0.15;
/** Gain above which a full window grows. The gap to `minGain` is hysteresis. */
const growElasticity = 0.25;
const growFactor = 1.125;
const shrinkFactor = 0.9;
/** A first-token time of more than this many times its floor shows that the engine queues requests itself. */
const queueingRatio = 3;
/** Tokens' worth of time that the first token may take above that. */
const queueingTokens = 8;
/** The floor of the first-token time rises by this factor with each attempt, so that it follows longer prompts. */
const firstTokenFloorGrowth = 1.005;

/** Sums of an exponentially weighted regression of the time per token on the concurrency. */
type Regression = {
	weight: number;
	n: number;
	nn: number;
	t: number;
	nt: number;
};

export type WindowState = {
	/** Concurrent requests, between the initial and the maximum window; fractions add up over several steps. */
	window: number;
	/** Average time per token after the first, in milliseconds. Undefined until the first attempt has ended. */
	tokenMs: number | undefined;
	/** Average time to the first token. */
	firstMs: number | undefined;
	firstFloorMs: number;
	regression: Regression;
	/** Ended attempts since the last change of the window. */
	ended: number;
	/** Highest concurrency since the last change of the window. */
	peak: number;
};

export type WindowLimits = Readonly<{initialWindow: number; maxWindow: number}>;

/** Times of one ended attempt. */
export type AttemptTimes = Readonly<{
	/** Average number of requests on the upstream while the attempt ran. */
	concurrency: number;
	tokens: number;
	firstTokenMs: Millis;
	generationMs: Millis;
}>;

export function createWindow(limits: WindowLimits): WindowState {
	return {
		window: Math.min(limits.initialWindow, limits.maxWindow),
		tokenMs: undefined,
		firstMs: undefined,
		firstFloorMs: Number.POSITIVE_INFINITY,
		regression: {
			weight: 0, n: 0, nn: 0, t: 0, nt: 0,
		},
		ended: 0,
		peak: 0,
	};
}

function updateAverage(current: number | undefined, sample: number): number {
	if (current === undefined) {
		return sample;
	}

	return current + (newSampleWeight * (Math.min(sample, maxSampleRatio * current) - current));
}

function addSample(regression: Regression, n: number, t: number): void {
	regression.weight = (regression.weight * regressionDecay) + 1;
	regression.n = (regression.n * regressionDecay) + n;
	regression.nn = (regression.nn * regressionDecay) + (n * n);
	regression.t = (regression.t * regressionDecay) + t;
	regression.nt = (regression.nt * regressionDecay) + (n * t);
}

/**
Elasticity of the throughput at concurrency `n`. With a step time of a + b·n the throughput is n / (a + b·n) and its
elasticity a / (a + b·n): 1 while more concurrency costs nothing, 0 when it gains nothing. A slow period that
stretches all steps by one factor does not change it. Undefined while the concurrency has not varied enough.
*/
export function throughputElasticity(state: WindowState, n: number): number | undefined {
	const {weight, n: sumN, nn, t, nt} = state.regression;
	if (weight < 4) {
		return undefined;
	}

	const meanN = sumN / weight;
	const meanT = t / weight;
	const variance = (nn / weight) - (meanN * meanN);
	if (variance < Math.max(0.25, 0.0025 * meanN * meanN)) {
		return undefined;
	}

	const slope = Math.max(0, ((nt / weight) - (meanN * meanT)) / variance);
	const intercept = Math.max(0, meanT - (slope * meanN));
	const step = intercept + (slope * n);
	return step > 0 ? intercept / step : 1;
}

function isQueueing(state: WindowState): boolean {
	return state.firstMs !== undefined && state.firstMs > (queueingRatio * state.firstFloorMs) + (queueingTokens * (state.tokenMs ?? 0));
}

function adjustWindow(state: WindowState, limits: WindowLimits): void {
	const elasticity = throughputElasticity(state, state.window) ?? 1;
	const isFull = state.peak >= Math.floor(state.window);
	if (elasticity < shrinkElasticity || isQueueing(state)) {
		state.window = Math.max(Math.min(limits.initialWindow, limits.maxWindow), state.window * shrinkFactor);
	} else if (isFull && elasticity > growElasticity) {
		state.window = Math.min(limits.maxWindow, Math.max(state.window + 1, state.window * growFactor));
	}

	state.ended = 0;
	state.peak = 0;
}

/** Learns from an ended attempt and adjusts the window once for each half window of ended attempts. */
export function updateWindow(state: WindowState, times: AttemptTimes, limits: WindowLimits): void {
	state.firstMs = updateAverage(state.firstMs, times.firstTokenMs);
	state.firstFloorMs = Math.min(state.firstFloorMs * firstTokenFloorGrowth, times.firstTokenMs);
	if (times.tokens > 1) {
		const tokenMs = times.generationMs / (times.tokens - 1);
		addSample(state.regression, times.concurrency, Math.min(tokenMs, maxSampleRatio * (state.tokenMs ?? tokenMs)));
		state.tokenMs = updateAverage(state.tokenMs, tokenMs);
	}

	state.ended++;
	if (state.ended >= Math.max(2, state.window / 2)) {
		adjustWindow(state, limits);
	}
}
