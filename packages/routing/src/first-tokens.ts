import type {Millis} from '@cicadapost/types';

/** Recent times to first token of one pool, and the limit above which a first token counts as late. */
export type FirstTokenTimes = {
	/** Ring buffer of the last `sampleCount` times. */
	samples: Millis[];
	/** Number of times so far; modulo `sampleCount`, the index that is overwritten next. */
	next: number;
	/** Undefined until there are `minSamples` times. */
	lateAfterMs: Millis | undefined;
};

const sampleCount = 128;
const minSamples = 20;
/** The limit is recomputed once per this many samples, because sorting on every sample would dominate the cost of a token. */
const samplesPerUpdate = 16;
/** If one of six engines is slow, a sixth of the requests run on it; this quantile still reflects the other engines. */
const quantile = 0.8;
const lateFactor = 2;

export function createFirstTokens(): FirstTokenTimes {
	return {samples: [], next: 0, lateAfterMs: undefined};
}

export function addFirstToken(state: FirstTokenTimes, firstTokenMs: Millis): void {
	state.samples[state.next % sampleCount] = firstTokenMs;
	state.next++;
	if (state.next >= minSamples && (state.lateAfterMs === undefined || state.next % samplesPerUpdate === 0)) {
		const sorted = state.samples.toSorted((a, b) => a - b);
		state.lateAfterMs = lateFactor * sorted[Math.floor(quantile * sorted.length)]!;
	}
}
