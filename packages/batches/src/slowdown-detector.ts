import type {Millis, UpstreamId} from '@cicadapost/types';

type EngineTiming = {
	/** Long-term average of the time between two events of a run. */
	baselineMs: Millis;
	/** Short-term average of the time between two events. */
	recentMs: Millis;
	samples: number;
	slowSince: Millis | undefined;
	/** Time until which the engine is considered slow. */
	slowUntil: Millis;
};

/** Weights of a new gap in the two averages. Sixteen runs produce about 400 gaps per second. */
const baselineWeight = 0.0005;
const recentWeight = 0.02;
/** Number of gaps required before an engine can be considered slow. */
const minSamples = 200;
/**
Ratio of the short-term to the long-term average above which an engine is slow. Filling an empty engine with prompts doubles
the gaps, neighbours raise them 2.5-fold for moments, and lasting faults raise them fourfold.
*/
const slowRatio = 2.8;
/** Minimum duration of a slowdown. A shorter one costs less than moving the runs. */
const minSlowdownMs = 600;
/** Above this ratio the long-term average adapts at a fifth of the rate, so that the start of a slowdown does not distort it. */
const elevatedRatio = 1.5;
const elevatedBaselineWeight = 0.0001;
/** How long an engine stays marked as slow, so that it does not immediately get back the runs that were moved away. */
const slowHoldMs = 1200;
/** Limit for a single gap relative to the long-term average, since one long gap, such as a weight load, does not indicate a slowdown. */
const maxGapRatio = 6;

/** Detects engines that are slower than usual, based on the gaps between the events of their runs. */
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
		// The first gaps have equal weight, so that one unusual gap at the start does not dominate the long-term average.
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

	/** Returns the time between two events of a run: the present one of a slow engine, otherwise the long-term average. Undefined before there are enough gaps. */
	eventMs(engine: UpstreamId, now: Millis): Millis | undefined {
		const timing = this.timings.get(engine);
		if (timing === undefined || timing.samples < minSamples) {
			return undefined;
		}

		return this.isSlow(engine, now) ? timing.recentMs : timing.baselineMs;
	}

	/** Resets the short-term average when the engine has no runs left that could show a recovery. */
	reset(engine: UpstreamId): void {
		const timing = this.timings.get(engine);
		if (timing !== undefined) {
			timing.slowSince = undefined;
			timing.recentMs = timing.baselineMs;
		}
	}

	/** Discards all that is known of an engine. */
	forget(engine: UpstreamId): void {
		this.timings.delete(engine);
	}
}
