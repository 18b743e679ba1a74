import type {Millis} from '@cicadapost/types';

/** A full bucket holds this many seconds of its rate. */
export const burstSeconds = 2;

/** Tokens that may be used now. Below 0 after a request that is larger than a full bucket. */
export type Bucket = {
	tokens: number;
	at: Millis;
};

/** A new bucket is empty, so that a change of meter never allows a second burst. */
export function createBucket(now: Millis): Bucket {
	return {tokens: 0, at: now};
}

/** Adds what has come in since the last call at `tokensPerSecond`. */
export function fill(bucket: Bucket, tokensPerSecond: number, now: Millis): void {
	const passedMs = Math.max(0, now - bucket.at);
	bucket.at = Math.max(bucket.at, now);
	bucket.tokens = Math.min(burstSeconds * tokensPerSecond, bucket.tokens + (tokensPerSecond * passedMs / 1000));
}

/** Time until the bucket allows a request of `tokens`; 0 if it does now. A request above a full bucket needs a full one. */
export function waitFor(bucket: Bucket, tokens: number, tokensPerSecond: number): Millis {
	const missing = Math.min(tokens, burstSeconds * tokensPerSecond) - bucket.tokens;
	if (missing <= 0) {
		return tokensPerSecond > 0 ? 0 : Number.POSITIVE_INFINITY;
	}

	return tokensPerSecond > 0 ? 1000 * missing / tokensPerSecond : Number.POSITIVE_INFINITY;
}
