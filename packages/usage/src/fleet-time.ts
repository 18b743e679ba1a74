import type {DaemonId, Millis} from '@cicadapost/types';

/** Wall clock of a daemon minus the store's clock. */
export type PublishedOffset = Readonly<{daemon: DaemonId; offsetMs: Millis}>;

export type FleetOffsetState = Readonly<{
	published: readonly PublishedOffset[];
	/** Daemons that are alive. */
	members: readonly DaemonId[];
	/** The offset that is in use. */
	previousMs: Millis | undefined;
}>;

/** With fewer daemons than this a single stepped clock can't be told from a correct one. */
const minVoters = 3;
/** With fewer daemons the offset follows slow drift, but no step of more than this. */
const maxDriftMs = 250;
/** Smaller changes are not worth a write. */
const minChangeMs = 2;

/**
Returns the offset between true time and the store's clock: the median of the offsets that live daemons have published, so
that stepped clocks of a minority move nothing. Returns undefined if the offset in use stays, or if too few daemons have
published theirs for a first one.
*/
export function fleetOffset({published, members, previousMs}: FleetOffsetState): Millis | undefined {
	const offsets = published.filter(({daemon}) => members.includes(daemon)).map(({offsetMs}) => offsetMs).sort((a, b) => a - b);
	const isQuorum = offsets.length > 0 && offsets.length * 2 >= members.length;
	if (!isQuorum) {
		return undefined;
	}

	const median = medianOf(offsets, previousMs);
	if (previousMs === undefined) {
		return median;
	}

	const changeMs = Math.abs(median - previousMs);
	const isStep = offsets.length < minVoters && changeMs > maxDriftMs;
	return isStep || changeMs < minChangeMs ? undefined : median;
}

/** Of an even number of values, the middle one that is closer to the value in use counts: the mean of a correct and a stepped clock is neither. */
function medianOf(sorted: readonly Millis[], previousMs: Millis | undefined): Millis {
	const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
	const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
	if (previousMs === undefined) {
		return lower;
	}

	return Math.abs(lower - previousMs) <= Math.abs(upper - previousMs) ? lower : upper;
}

/** Returns the window in which a point in true time lies. */
export function windowAt(trueTime: Millis, windowMs: Millis): number {
	return Math.floor(trueTime / windowMs);
}
