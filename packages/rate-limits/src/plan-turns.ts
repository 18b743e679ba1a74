import type {DaemonId, Millis} from '@cicadapost/types';

/**
Lowest rate at which a limited upstream gets requests, in requests per second. Without any response a daemon would never
learn that the limit has been raised or lifted.
*/
const minRequestsPerSecond = 0.25;
/** Turns further in the future than this are not from the current queue, for example because the store's clock has started again. */
const maxBacklogMs = 30_000;
/**
Share of the limit that the daemons use together while the store does not respond to them. Daemons that it does respond to
may use the whole limit at the same time.
*/
const storelessShare = 1 / 3;

/** Returns the time between two requests to an upstream with a limit. */
export function intervalMs(requestsPerSecond: number): Millis {
	return 1000 / Math.max(minRequestsPerSecond, requestsPerSecond);
}

export type PlanTurnsOptions = Readonly<{
	requestsPerSecond: number;
	/** Start of the first turn that no daemon has reserved, on the store's clock. */
	nextFreeAt: Millis;
	/** The latest start that each waiting request accepts, in order of arrival, on the store's clock. */
	latestStarts: readonly Millis[];
	/** On the store's clock. */
	now: Millis;
}>;

export type TurnPlan = Readonly<{
	/** Start of the turn of each waiting request. Undefined if no turn is free in time. */
	starts: ReadonlyArray<Millis | undefined>;
	/** Start of the first turn that is free afterwards. */
	nextFreeAt: Millis;
}>;

/** Gives each waiting request the next free turn. Turns are evenly spaced, so that an upstream never gets a burst. */
export function planTurns({requestsPerSecond, nextFreeAt, latestStarts, now}: PlanTurnsOptions): TurnPlan {
	let free = nextFreeAt > now + maxBacklogMs ? now : Math.max(now, nextFreeAt);
	const starts = latestStarts.map(latestStart => {
		if (free > latestStart) {
			return undefined;
		}

		const start = free;
		free += intervalMs(requestsPerSecond);
		return start;
	});
	return {starts, nextFreeAt: free};
}

export type OwnSlotOptions = Readonly<{
	requestsPerSecond: number;
	/** All daemons that may be running, in an order that is the same at each of them. */
	daemons: readonly DaemonId[];
	self: DaemonId;
	/** Number of the last slot that this daemon has used, -1 for none. */
	lastSlot: number;
	/** On the store's clock, as estimated from its last response. */
	now: Millis;
}>;

/**
Returns the next time slot in which this daemon may send one request to a limited upstream while the store does not respond.
The daemons own the slots in turn, which keeps their sum below the limit without any messages. Undefined if this daemon is
not among the known ones.
*/
export function nextOwnSlot({requestsPerSecond, daemons, self, lastSlot, now}: OwnSlotOptions): Readonly<{slot: number; startsAt: Millis}> | undefined {
	const index = daemons.indexOf(self);
	if (index === -1) {
		return undefined;
	}

	const slotMs = intervalMs(requestsPerSecond * storelessShare);
	const first = Math.max(Math.floor(now / slotMs), lastSlot + 1);
	const skipped = (((index - first) % daemons.length) + daemons.length) % daemons.length;
	const slot = first + skipped;
	return {slot, startsAt: Math.max(now, slot * slotMs)};
}

export type WaitOptions = Readonly<{
	/** Time until the request's deadline. */
	remainingMs: Millis;
	/** Time within which a response has its full value to the caller. */
	targetLatencyMs: Millis;
	requestsPerSecond: number;
}>;

/** Time that is left for the upstream's work when a request's turn begins. */
const minWorkMs = 50;

/**
Returns how long a request may wait for its turn. While more requests arrive than the upstreams take, a longer queue makes
all responses late and serves no more requests. The queue therefore holds as many requests as have their turn within the
target latency, and at least one, so that no turn is lost.
*/
export function maxTurnWaitMs({remainingMs, targetLatencyMs, requestsPerSecond}: WaitOptions): Millis {
	return Math.min(remainingMs - minWorkMs, Math.max(targetLatencyMs, intervalMs(requestsPerSecond)));
}
