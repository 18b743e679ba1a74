import type {Millis} from '@cicadapost/types';

/** Recent times to the first token of one pool. */
export type FirstTokenTimes = {
	/** The last `sampleCount` times, in the order of arrival from `next` on. */
	samples: Millis[];
	next: number;
	lateAfterMs: Millis | undefined;
};

const sampleCount = 128;
const minSamples = 20;
/** Sorting on each sample would dominate the cost of a token. */
const samplesPerUpdate = 16;
/** One slow engine of six takes a sixth of the requests; this quantile is that of the others. */
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
