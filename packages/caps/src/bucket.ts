import type {Millis} from '@cicadapost/types';

/** Capacity of a bucket, in seconds of its rate. */
export const burstSeconds = 2;

/** A token bucket. `tokens` is negative after a request that is larger than a full bucket. */
export type Bucket = {
	tokens: number;
	at: Millis;
};

/** Creates an empty bucket, so that replacing a meter never allows a second burst. */
export function createBucket(now: Millis): Bucket {
	return {tokens: 0, at: now};
}

/** Refills the bucket at `tokensPerSecond` for the time since the last call. */
export function fill(bucket: Bucket, tokensPerSecond: number, now: Millis): void {
	const passedMs = Math.max(0, now - bucket.at);
	bucket.at = Math.max(bucket.at, now);
	bucket.tokens = Math.min(burstSeconds * tokensPerSecond, bucket.tokens + (tokensPerSecond * passedMs / 1000));
}

/** Returns the time until the bucket allows a request of `tokens`, or 0 if it does now. A request larger than the capacity needs a full bucket. */
export function waitFor(bucket: Bucket, tokens: number, tokensPerSecond: number): Millis {
	const missing = Math.min(tokens, burstSeconds * tokensPerSecond) - bucket.tokens;
	if (missing <= 0) {
		return tokensPerSecond > 0 ? 0 : Number.POSITIVE_INFINITY;
	}

	return tokensPerSecond > 0 ? 1000 * missing / tokensPerSecond : Number.POSITIVE_INFINITY;
}
