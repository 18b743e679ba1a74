import type {Millis} from '@cicadapost/types';

/** What is known about a body that still arrives. */
export type BodyProgress = Readonly<{
	/** Bytes that are reserved for it. */
	heldBytes: number;
	/** Start of the present window, in which its rate is measured. */
	windowStartedAt: Millis;
	windowBytes: number;
	lastArrivalAt: Millis;
	/** Bytes per second in the window before. Undefined in the first one. */
	earlierRate: number | undefined;
}>;

/** Length of a window. A pause of a sender or of this process is not a stall before that. */
export const rateWindowMs = 1000;
/** Bytes per second. A client with a link of one megabit per second sends twice as fast. */
export const minBytesPerSecond = 64 * 1024;

export function startProgress(heldBytes: number, now: Millis): BodyProgress {
	return {
		heldBytes, windowStartedAt: now, windowBytes: 0, lastArrivalAt: now, earlierRate: undefined,
	};
}

/** Records that bytes have arrived. */
export function recordArrival(progress: BodyProgress, bytes: number, now: Millis): BodyProgress {
	const elapsedMs = now - progress.windowStartedAt;
	return elapsedMs < rateWindowMs
		? {...progress, windowBytes: progress.windowBytes + bytes, lastArrivalAt: now}
		: {
			...progress, windowStartedAt: now, windowBytes: bytes, lastArrivalAt: now, earlierRate: progress.windowBytes / elapsedMs * 1000,
		};
}

/** Whether nothing has arrived for a window, or less than the minimum rate in the last one. False in the first window. */
export function isSlow({windowStartedAt, windowBytes, lastArrivalAt, earlierRate}: BodyProgress, now: Millis): boolean {
	if (now - lastArrivalAt >= rateWindowMs) {
		return true;
	}

	const elapsedMs = now - windowStartedAt;
	const rate = elapsedMs < rateWindowMs ? earlierRate : windowBytes / elapsedMs * 1000;
	return rate !== undefined && rate < minBytesPerSecond;
}

/** Chooses the body to close when there is no memory for another one: of the slow ones the largest. Undefined if none is slow. */
export function chooseBodyToClose<Body extends Readonly<{progress: BodyProgress}>>(bodies: Iterable<Body>, now: Millis): Body | undefined {
	let chosen: Body | undefined;
	for (const body of bodies) {
		if (isSlow(body.progress, now) && body.progress.heldBytes > (chosen?.progress.heldBytes ?? 0)) {
			chosen = body;
		}
	}

	return chosen;
}

/** Range of `Retry-After`. A stalled body is closed after two windows, and callers that were refused together spread over the rest. */
const minRetryMs = 500;
const maxRetryMs = 2500;

/** Returns when a refused caller may send its body again. `fraction` is a random number from 0 to 1. */
export function retryAfterRefusal(fraction: number): Millis {
	return Math.round(minRetryMs + ((maxRetryMs - minRetryMs) * fraction));
}
