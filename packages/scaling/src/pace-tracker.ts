import type {Millis} from '@cicadapost/types';

/** Time after which an observation counts half. */
const halfLifeMs = 30_000;
/** Completed tokens without which the pace is not known. */
const minTokens = 200;

/** Measures how long one slot takes for an expected token: slot time in use divided by tokens completed. All daemons see both in the batches' rows. */
export class PaceTracker {
	private slotMs = 0;
	private tokens = 0;
	private observedAt: Millis | undefined;

	/** `running` are the samples that run now; `completedTokens` are the expected tokens of those that were completed since the last call. */
	observe(running: number, completedTokens: number, now: Millis): void {
		const elapsedMs = Math.max(0, now - (this.observedAt ?? now));
		const kept = 0.5 ** (elapsedMs / halfLifeMs);
		this.slotMs = (this.slotMs * kept) + (running * elapsedMs);
		this.tokens = (this.tokens * kept) + completedTokens;
		this.observedAt = now;
	}

	get msPerToken(): number | undefined {
		return this.tokens < minTokens || this.slotMs === 0 ? undefined : this.slotMs / this.tokens;
	}
}
