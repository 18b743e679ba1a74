import type {Millis, UpstreamId} from '@cicadapost/types';

type Observed = {
	/** Time between two events of one run, averaged over the usual course. */
	usualMs: Millis;
	/** The same, averaged over the last moments. */
	presentMs: Millis;
	samples: number;
	slowSince: Millis | undefined;
	/** End of the last verdict that the engine is slow. */
	slowUntil: Millis;
};

/** Weights of a new gap in the two averages: sixteen runs give some 400 gaps a second. */
const usualWeight = 0.0005;
const presentWeight = 0.02;
/** Gaps that have to be seen before a verdict. */
const leastSamples = 200;
/**
An engine counts as slow from this ratio on. Prompts that fill an empty engine slow its events to twice the usual, neighbours
slow it by 2.5 for moments, and faults that last make them take four times as long.
*/
const slowRatio = 2.8;
/** A slowdown that is over sooner costs less than a move. */
const slowForMs = 600;
/** From this ratio on the usual course is learned at a fifth of the rate, so that the start of a slowdown does not become usual. */
const unusualRatio = 1.5;
const unusualWeight = 0.0001;
/** A verdict stands for this long, so that an engine which lost its runs to it does not get them back at once. */
const verdictMs = 1200;
/** A single long gap, as at a load of weights, says nothing about the pace. */
const maxGapRatio = 6;

/** Finds engines that are slower than usual now from the gaps between the events of their runs. */
export class EnginePace {
	private readonly observed = new Map<UpstreamId, Observed>();

	event(engine: UpstreamId, gapMs: Millis, now: Millis): void {
		const seen = this.observed.get(engine);
		if (seen === undefined) {
			this.observed.set(engine, {
				usualMs: gapMs, presentMs: gapMs, samples: 1, slowSince: undefined, slowUntil: 0,
			});
			return;
		}

		seen.samples += 1;
		const gap = seen.samples < leastSamples ? gapMs : Math.min(gapMs, seen.usualMs * maxGapRatio);
		// The first gaps count equally, so that one odd gap at the start does not stand for the usual course.
		const weight = seen.presentMs > seen.usualMs * unusualRatio ? unusualWeight : usualWeight;
		seen.presentMs += (gap - seen.presentMs) * Math.max(presentWeight, 1 / seen.samples);
		const isSlow = seen.samples >= leastSamples && seen.presentMs > seen.usualMs * slowRatio;
		seen.usualMs += isSlow ? 0 : (gap - seen.usualMs) * Math.max(weight, seen.samples < leastSamples ? 1 / seen.samples : 0);
		seen.slowSince = isSlow ? seen.slowSince ?? now : undefined;
		if (seen.slowSince !== undefined && now - seen.slowSince >= slowForMs) {
			seen.slowUntil = now + verdictMs;
		}
	}

	isSlow(engine: UpstreamId, now: Millis): boolean {
		return (this.observed.get(engine)?.slowUntil ?? 0) > now;
	}

	/** No run is left that would show a faster pace. */
	idle(engine: UpstreamId): void {
		const seen = this.observed.get(engine);
		if (seen !== undefined) {
			seen.slowSince = undefined;
			seen.presentMs = seen.usualMs;
		}
	}
}
