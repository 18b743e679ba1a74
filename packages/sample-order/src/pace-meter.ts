import type {Millis, UpstreamId} from '@cicadapost/types';

type Totals = {tookMs: number; tokens: number};

/** Each further run of an engine reduces the weight of the earlier ones to this, so that about the last 30 runs count. */
const retainedWeight = 0.97;

/** Measures how long the samples of this daemon's engines take, relative to the tokens that their trainers expected. */
export class PaceMeter {
	private readonly engines = new Map<UpstreamId, Totals>();

	/** Records a completed run that generated its whole text. `expectedTokens` is the trainer's estimate of its output. */
	record(engine: UpstreamId, {tookMs, expectedTokens}: Readonly<{tookMs: Millis; expectedTokens: number}>): void {
		if (expectedTokens <= 0 || tookMs <= 0) {
			return;
		}

		const totals = this.engines.get(engine) ?? {tookMs: 0, tokens: 0};
		totals.tookMs = (totals.tookMs * retainedWeight) + tookMs;
		totals.tokens = (totals.tokens * retainedWeight) + expectedTokens;
		this.engines.set(engine, totals);
	}

	/** Returns the mean time for one expected token in a run at the engine, in ms. Undefined if no run has ended there yet. */
	msPerToken(engine: UpstreamId): number | undefined {
		const totals = this.engines.get(engine);
		return totals === undefined ? undefined : totals.tookMs / totals.tokens;
	}

	/** Discards all that is known of an engine. */
	forget(engine: UpstreamId): void {
		this.engines.delete(engine);
	}
}
