import type {Millis, UpstreamId} from '@cicadapost/types';

/** An engine that could take a sample now. */
export type EngineRoom = Readonly<{
	engine: UpstreamId;
	/** Measured time between two events of a run. Undefined if it is not known. */
	eventMs: Millis | undefined;
	freeSlots: number;
}>;

/**
A sample is worth moving if it then ends earlier by this much. The store takes about 300 ms until another engine goes on with it,
and the estimate of what is left may be too high by half.
*/
export const minMoveGainMs: Millis = 600;
/** Slots that stay free on an engine that others count on, so that several moved samples do not meet there. */
const reservedSlots = 1;
/** Differences below this share are noise: neighbours of an engine slow it down and leave again within a second. */
const minSlowerBy = 1.12;

/**
Returns how many times as long as elsewhere an engine takes for an event: compared with the median of the faster engines that
have room, and 1 if there is none. So an engine counts as slow only while a faster one is free.
*/
export function slowerThanFreeEngines(self: Readonly<{engine: UpstreamId; eventMs: Millis | undefined}>, others: readonly EngineRoom[]): number {
	const {eventMs} = self;
	if (eventMs === undefined) {
		return 1;
	}

	const faster = others
		.filter(other => other.engine !== self.engine && other.freeSlots > reservedSlots && other.eventMs !== undefined && eventMs >= other.eventMs * minSlowerBy)
		.map(other => other.eventMs ?? eventMs)
		.sort((a, b) => a - b);
	const median = faster[Math.floor(faster.length / 2)];
	return median === undefined ? 1 : eventMs / median;
}

export type RunProgress = Readonly<{
	/** Time since the run began on this engine. */
	elapsedMs: Millis;
	/** Estimated time of the whole run on this engine. */
	expectedMs: Millis;
	/** Result of `slowerThanFreeEngines`. */
	slowerBy: number;
}>;

/** A run must have lasted this long on an engine before it moves, so that it does not move back and forth. */
const minStayMs: Millis = 800;
/** Runs that exceed their estimate are expected to go on for this share of the time that they have taken so far. */
const overrunShare = 0.5;

/**
Whether a running sample should go on at another engine. Designed for engines of which some are slower than others for the whole day
or for seconds: a step waits for its longest sample, which ends a quarter earlier on an engine that is a third faster.
*/
export function shouldMove({elapsedMs, expectedMs, slowerBy}: RunProgress): boolean {
	const leftMs = Math.max(expectedMs - elapsedMs, elapsedMs * overrunShare);
	return elapsedMs >= minStayMs && gainMs(leftMs, slowerBy) >= minMoveGainMs;
}

/** Whether a waiting sample should be left to a faster engine that is free. */
export function shouldLeaveToFaster({expectedMs, slowerBy}: Readonly<{expectedMs: Millis; slowerBy: number}>): boolean {
	return gainMs(expectedMs, slowerBy) >= minMoveGainMs;
}

function gainMs(leftMs: Millis, slowerBy: number): Millis {
	return leftMs * (1 - (1 / slowerBy));
}
