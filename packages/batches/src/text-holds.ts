import type {Millis} from '@cicadapost/types';

/** Engines of the software version that generated a text have this long to claim its item. Longer than the interval at which daemons look for work. */
const holdMs = 1000;
/** After this time an item that is still open, or open again, is held anew. */
const forgetMs = 5000;

/**
Holds items back whose text only engines of another software version can continue. An engine that starts such an item again
loses the text, but an item must not wait for engines that are full or out of reach.
*/
export class TextHolds {
	private readonly firstSeenAt = new Map<string, Millis>();

	/** Whether an item is still held. The hold begins with the first call for the item. */
	isHeld(itemKey: string, now: Millis): boolean {
		const known = this.firstSeenAt.get(itemKey);
		const firstSeenAt = known === undefined || now - known > forgetMs ? now : known;
		if (firstSeenAt !== known) {
			this.prune(now);
			this.firstSeenAt.set(itemKey, firstSeenAt);
		}

		return now - firstSeenAt < holdMs;
	}

	private prune(now: Millis): void {
		for (const [itemKey, firstSeenAt] of this.firstSeenAt) {
			if (now - firstSeenAt > forgetMs) {
				this.firstSeenAt.delete(itemKey);
			}
		}
	}
}
