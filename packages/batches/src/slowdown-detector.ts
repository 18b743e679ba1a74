import type {Millis, UpstreamId} from '@cicadapost/types';

type EngineTiming = {
	/** Time between two events of one run, averaged over the usual course. */
	baselineMs: Millis;
	/** The same, averaged over the last moments. */
	recentMs: Millis;
	samples: number;
	slowSince: Millis | undefined;
	/** End of the last verdict that the engine is slow. */
	slowUntil: Millis;
};

/** Weights of a new gap in the two averages: sixteen runs give some 400 gaps a second. */
const baselineWeight = 0.0005;
const recentWeight = 0.02;
/** Gaps that have to be seen before a verdict. */
const minSamples = 200;
/**
An engine counts as slow from this ratio on. Prompts that fill an empty engine slow its events to twice the usual, neighbours
slow it by 2.5 for moments, and faults that last make them take four times as long.
*/
const slowRatio = 2.8;
/** A slowdown that is over sooner costs less than a move. */
const minSlowdownMs = 600;
/** From this ratio on the usual course is learned at a fifth of the rate, so that the start of a slowdown does not become usual. */
const elevatedRatio = 1.5;
const elevatedBaselineWeight = 0.0001;
/** A verdict stands for this long, so that an engine which lost its runs to it does not get them back at once. */
const slowHoldMs = 1200;
/** A single long gap, as at a load of weights, says nothing about the pace. */
const maxGapRatio = 6;

/** Finds engines that are slower than usual now from the gaps between the events of their runs. */
export class SlowdownDetector {
	private readonly timings = new Map<UpstreamId, EngineTiming>();

	recordGap(engine: UpstreamId, gapMs: Millis, now: Millis): void {
		const timing = this.timings.get(engine);
		if (timing === undefined) {
			this.timings.set(engine, {
				baselineMs: gapMs, recentMs: gapMs, samples: 1, slowSince: undefined, slowUntil: 0,
			});
			return;
		}

		timing.samples += 1;
		const gap = timing.samples < minSamples ? gapMs : Math.min(gapMs, timing.baselineMs * maxGapRatio);
		// The first gaps count equally, so that one odd gap at the start does not stand for the usual course.
		const weight = timing.recentMs > timing.baselineMs * elevatedRatio ? elevatedBaselineWeight : baselineWeight;
		timing.recentMs += (gap - timing.recentMs) * Math.max(recentWeight, 1 / timing.samples);
		const isSlow = timing.samples >= minSamples && timing.recentMs > timing.baselineMs * slowRatio;
		timing.baselineMs += isSlow ? 0 : (gap - timing.baselineMs) * Math.max(weight, timing.samples < minSamples ? 1 / timing.samples : 0);
		timing.slowSince = isSlow ? timing.slowSince ?? now : undefined;
		if (timing.slowSince !== undefined && now - timing.slowSince >= minSlowdownMs) {
			timing.slowUntil = now + slowHoldMs;
		}
	}

	isSlow(engine: UpstreamId, now: Millis): boolean {
		return (this.timings.get(engine)?.slowUntil ?? 0) > now;
	}

	/** No run is left that would show a faster pace. */
	reset(engine: UpstreamId): void {
		const timing = this.timings.get(engine);
		if (timing !== undefined) {
			timing.slowSince = undefined;
			timing.recentMs = timing.baselineMs;
		}
	}
}
