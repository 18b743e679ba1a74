import type {Millis} from '@cicadapost/types';
import type {CallShare} from './call-share.js';

/** A reward call that waits to be sent. */
export type WaitingCall = Readonly<{
	itemKey: string;
	/** When the batch is due, on the store's clock. */
	dueAt: Millis;
	/** Number of items of the group without a result. The trainer can only use complete groups. */
	missingInGroup: number;
	/** The call must not be sent before this time. */
	notBefore: Millis;
}>;

export type PlanCallsOptions = Readonly<{
	calls: readonly WaitingCall[];
	share: CallShare;
	/** Number of calls to the same upstreams that are in flight. */
	inFlight: number;
	/** End of the pause after the last call. */
	pausedUntil: Millis;
	now: Millis;
}>;

export type CallPlan = Readonly<{
	/** Items whose calls are to be sent now. */
	start: readonly string[];
	/** When to plan again if nothing else happens; undefined if only the end of a call can change the plan. */
	planAgainAt: Millis | undefined;
}>;

/**
Chooses the calls to send now: those of the batch that is due first, and in it of the groups that miss the fewest results.
Calls that wait for another try are skipped, so calls that always fail don't hold up the others.
*/
export function planCalls({calls, share, inFlight, pausedUntil, now}: PlanCallsOptions): CallPlan {
	const free = share.maxInFlight - inFlight;
	if (calls.length === 0 || free <= 0) {
		return {start: [], planAgainAt: undefined};
	}

	if (pausedUntil > now) {
		return {start: [], planAgainAt: pausedUntil};
	}

	const start = calls
		.filter(({notBefore}) => notBefore <= now)
		.toSorted((a, b) => a.dueAt - b.dueAt || a.missingInGroup - b.missingInGroup)
		.slice(0, free)
		.map(({itemKey}) => itemKey);
	const later = calls.filter(({notBefore}) => notBefore > now).map(({notBefore}) => notBefore);
	return {start, planAgainAt: start.length < free && later.length > 0 ? Math.min(...later) : undefined};
}
