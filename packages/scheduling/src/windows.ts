/** Adapts the concurrency window of an upstream to the measured times of its attempts. */

import type {Millis} from '@cicadapost/types';

/** Weight of the newest attempt in the moving averages. */
const newSampleWeight = 0.15;
/** Decay of the regression per attempt; its effective memory is about 50 attempts. */
const regressionDecay = 0.98;
/** Samples are clamped to this multiple of the average, which limits the effect of an outlier. */
const maxSampleRatio = 4;
/** The window shrinks if the elasticity of throughput with respect to concurrency is below this value. */
const shrinkElasticity = 0.15;
/** A fully used window grows if the elasticity is above this value. The gap to `shrinkElasticity` is hysteresis. */
const growElasticity = 0.25;
const growFactor = 1.125;
const shrinkFactor = 0.9;
/** A time to first token above this multiple of its floor indicates that the engine queues requests internally. */
const queueingRatio = 3;
/** Additional tolerance for the time to first token, as a number of token times. */
const queueingTokens = 8;
/** The floor of the time to first token is multiplied by this factor per attempt, so that it adapts to longer prompts. */
const firstTokenFloorGrowth = 1.005;

/** Sums of an exponentially weighted linear regression of the time per token (`t`) on the concurrency (`n`). */
type Regression = {
	weight: number;
	n: number;
	nn: number;
	t: number;
	nt: number;
};

export type WindowState = {
	/** Maximum number of concurrent requests, between the initial and the maximum window. Fractional, so that small steps accumulate. */
	window: number;
	/** Average time per token after the first, in milliseconds. Undefined until an attempt with several tokens has ended. */
	tokenMs: number | undefined;
	/** Average time to first token. */
	firstMs: number | undefined;
	firstFloorMs: number;
	regression: Regression;
	/** Number of attempts that ended since the window was last adjusted. */
	endedAttempts: number;
	/** Highest concurrency since the window was last adjusted. */
	peakConcurrency: number;
};

export type WindowLimits = Readonly<{initialWindow: number; maxWindow: number}>;

/** Measurements of one finished attempt. */
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
		endedAttempts: 0,
		peakConcurrency: 0,
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
Returns the elasticity of the throughput at concurrency `n`. With a step time of a + b·n the throughput is n / (a + b·n)
and its elasticity a / (a + b·n): 1 if more concurrency does not lengthen a step, 0 if it does not increase the
throughput. A slowdown that scales all steps by the same factor does not change the elasticity. Undefined while the
concurrency has not varied enough.
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
	const isFull = state.peakConcurrency >= Math.floor(state.window);
	if (elasticity < shrinkElasticity || isQueueing(state)) {
		state.window = Math.max(Math.min(limits.initialWindow, limits.maxWindow), state.window * shrinkFactor);
	} else if (isFull && elasticity > growElasticity) {
		state.window = Math.min(limits.maxWindow, Math.max(state.window + 1, state.window * growFactor));
	}

	state.endedAttempts = 0;
	state.peakConcurrency = 0;
}

/** Updates the averages with a finished attempt and adjusts the window after every half window of attempts. */
export function updateWindow(state: WindowState, times: AttemptTimes, limits: WindowLimits): void {
	state.firstMs = updateAverage(state.firstMs, times.firstTokenMs);
	state.firstFloorMs = Math.min(state.firstFloorMs * firstTokenFloorGrowth, times.firstTokenMs);
	if (times.tokens > 1) {
		const tokenMs = times.generationMs / (times.tokens - 1);
		addSample(state.regression, times.concurrency, Math.min(tokenMs, maxSampleRatio * (state.tokenMs ?? tokenMs)));
		state.tokenMs = updateAverage(state.tokenMs, tokenMs);
	}

	state.endedAttempts++;
	if (state.endedAttempts >= Math.max(2, state.window / 2)) {
		adjustWindow(state, limits);
	}
}
