import {intervalMs, type UpstreamLimit} from '@cicadapost/rate-limits';
import type {Millis} from '@cicadapost/types';

export type ClaimableSlotsOptions = Readonly<{
	/** Number of samples that the engine runs concurrently. */
	slots: number;
	/** Number of samples on the engine, including those that wait to be sent. */
	running: number;
	/** Number of claimed samples that have not asked for a turn yet. */
	starting: number;
	/** The engine's limit of the rate of requests, if it has one. */
	limit: UpstreamLimit | undefined;
}>;

/** A claimed sample can't run on another engine, so claims are made only for turns that begin within this time. */
const maxClaimedWaitMs: Millis = 1000;

/** Returns how many slots of an engine claims may fill: all of them, or those whose samples soon have their turn. */
export function claimableSlots({slots, running, starting, limit}: ClaimableSlotsOptions): number {
	if (limit === undefined) {
		return slots;
	}

	const remainingMs = maxClaimedWaitMs - limit.waitMs;
	const turns = remainingMs < 0 ? 0 : 1 + Math.floor(remainingMs / intervalMs(limit.requestsPerSecond));
	return Math.min(slots, running + Math.max(0, turns - starting));
}
