import type {Millis} from '@cicadapost/types';
import type {ItemReference} from './plan-claims.js';
import type {LeaveReason} from './plan-contended-claims.js';
import {itemKeyOf} from './sample-run.js';

/** Limit for all the times together that an item is left to others, however often they return it. */
const maxTotalMs: Millis = 4000;
/**
An open item is left to other engines for no longer than this. Daemons look for work at least every 400 ms, so a free engine that
wants the item has claimed it by then. On a slow engine a long item takes several times as long, so it may wait until another
one has a free slot.
*/
const maxLeaveMs: Readonly<Record<LeaveReason, Millis>> = {'faster-engine': 600, 'slow-engine': maxTotalMs};

/** `over` once the item is listed or its batch has ended. */
export type ItemProgress = 'open' | 'taken' | 'over';

type LeftItem = {
	readonly item: ItemReference;
	/** Time for which the item was open and left to others, before `since`. */
	leftMs: Millis;
	/** When it was first left since it was last open. Undefined while an engine has it. */
	since: Millis | undefined;
};

/**
Limits how long this daemon leaves items to the engines of others. Daemons may disagree about which engine is faster, which one
is free and who owns it, so an item must never depend on another daemon to take it.
*/
export class LeftItems {
	private readonly items = new Map<string, LeftItem>();

	/** Whether an open item may be left to other engines now. The time begins with the first call. */
	mayLeave(item: ItemReference, reason: LeaveReason, now: Millis): boolean {
		const key = itemKeyOf(item);
		const left = this.items.get(key) ?? {item, leftMs: 0, since: undefined};
		left.since ??= now;
		this.items.set(key, left);
		const openMs = now - left.since;
		return openMs < maxLeaveMs[reason] && left.leftMs + openMs < maxTotalMs;
	}

	/** Whether a run of the item may end here so that another engine goes on with it. */
	mayMove(item: ItemReference, now: Millis): boolean {
		const left = this.items.get(itemKeyOf(item));
		return left === undefined || left.leftMs + (left.since === undefined ? 0 : now - left.since) < maxTotalMs;
	}

	/** Updates what has become of the items that were left. */
	update(progressOf: (item: ItemReference) => ItemProgress, now: Millis): void {
		for (const [key, left] of this.items) {
			const progress = progressOf(left.item);
			if (progress === 'over') {
				this.items.delete(key);
			} else if (progress === 'taken' && left.since !== undefined) {
				left.leftMs += now - left.since;
				left.since = undefined;
			}
		}
	}
}
