import type {Millis, UpstreamId} from '@cicadapost/types';

/** Weighted sums of a linear regression of the delay on the tokens. */
type Sums = {count: number; tokens: number; delayMs: number; tokensSquared: number; product: number};

/** Each further first event of an engine reduces the weight of the earlier ones to this, so that about the last 50 count. */
const retainedWeight = 0.98;
/** Number of first events, by weight, below which the rate counts as unknown. */
const minimumCount = 8;
/** Ratio of the standard deviation of the tokens to their mean below which the rate counts as unknown: prompts that are all alike don't separate prefill from waiting. */
const minimumSpread = 0.25;

/**
Measures how long each engine takes for an uncached prompt token, between the steps of the requests that run beside it.
It fits a line through the delays of first events, so that the part that does not depend on the tokens is not counted as prefill.
*/
export class PrefillMeter {
	private readonly engines = new Map<UpstreamId, Sums>();

	/** Records a first event. `tokens` are the uncached prompt tokens of the request and of those queued before it when it was sent, `delayMs` the time from sending it to its first event. */
	record(engine: UpstreamId, {tokens, delayMs}: Readonly<{tokens: number; delayMs: Millis}>): void {
		if (!(tokens > 0 && delayMs > 0)) {
			return;
		}

		const sums = this.engines.get(engine) ?? {
			count: 0, tokens: 0, delayMs: 0, tokensSquared: 0, product: 0,
		};
		this.engines.set(engine, {
			count: (sums.count * retainedWeight) + 1,
			tokens: (sums.tokens * retainedWeight) + tokens,
			delayMs: (sums.delayMs * retainedWeight) + delayMs,
			tokensSquared: (sums.tokensSquared * retainedWeight) + (tokens ** 2),
			product: (sums.product * retainedWeight) + (tokens * delayMs),
		});
	}

	/** Returns the time for an uncached prompt token at the engine, in ms. Undefined if there were too few first events, or too similar ones. */
	msPerToken(engine: UpstreamId): Millis | undefined {
		const sums = this.engines.get(engine);
		if (sums === undefined || sums.count < minimumCount) {
			return undefined;
		}

		const meanTokens = sums.tokens / sums.count;
		const variance = (sums.tokensSquared / sums.count) - (meanTokens ** 2);
		const covariance = (sums.product / sums.count) - (meanTokens * sums.delayMs / sums.count);
		return variance < (minimumSpread * meanTokens) ** 2 || covariance <= 0 ? undefined : covariance / variance;
	}

	/** Forgets an engine, for example after it restarted. */
	forget(engine: UpstreamId): void {
		this.engines.delete(engine);
	}
}
