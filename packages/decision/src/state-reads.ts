import type {Millis, UpstreamId} from '@cicadapost/types';

/** What a daemon knows of the state of an engine of a shard that it owns. */
export type StateRead = {
	/** Time of the next `read-state`. */
	nextAt: Millis;
	/** An answer has come since the shard was taken over or the process was paused. */
	isKnown: boolean;
	/** Ticks since then without an answer. */
	ticksWithoutAnswer: number;
};

export type StateReads = Map<UpstreamId, StateRead>;

/** The VM list lags, so an upstream is asked itself whether it is leaving. */
const readIntervalMs = 1000;
/** Pause before an engine whose state is not known is asked again: several tries fit before it is used without an answer. */
const retryDelayMs = 200;
/** Ticks come every 50 ms. A process that did nothing for this long was paused, and what it knew is older than one interval of reads. */
const pauseThresholdMs = readIntervalMs;
/**
 * An engine that gives no answer for this many ticks (2 s) is used all the same, and its health decides. A read without an
answer takes a second, so that a second one fits in, which finds an engine that has started again meanwhile.
 * Ticks are counted because a pause uses up a time limit without giving the answer a chance.
 */
const maxTicksWithoutAnswer = 40;

export function createStateRead(now: Millis): StateRead {
	return {nextAt: now, isKnown: false, ticksWithoutAnswer: 0};
}

/** Whether the engine may be leaving without this daemon knowing, so that it gets no grant yet. */
export function isStateUnknown(read: StateRead | undefined): boolean {
	return read !== undefined && !read.isKnown && read.ticksWithoutAnswer < maxTicksWithoutAnswer;
}

/** Forgets all answers if the process was paused since `lastTurnAt`. Returns whether it did. */
export function resetAfterPause(reads: StateReads, lastDecisionAt: Millis, now: Millis): boolean {
	if (now - lastDecisionAt <= pauseThresholdMs || reads.size === 0) {
		return false;
	}

	for (const upstream of reads.keys()) {
		reads.set(upstream, createStateRead(now));
	}

	return true;
}

/** Engines whose state is to be read now. */
export function takeDueReads(reads: StateReads, now: Millis): UpstreamId[] {
	const due: UpstreamId[] = [];
	for (const [upstream, read] of reads) {
		if (now >= read.nextAt) {
			read.nextAt = now + readIntervalMs;
			due.push(upstream);
		}
	}

	return due;
}

/** Counts a tick for each engine without an answer. Returns whether one of them is used from now on. */
export function countTicksWithoutAnswer(reads: StateReads): boolean {
	let isChanged = false;
	for (const read of reads.values()) {
		if (isStateUnknown(read)) {
			read.ticksWithoutAnswer++;
			isChanged ||= !isStateUnknown(read);
		}
	}

	return isChanged;
}

/** An engine that is about to be used without an answer is asked again soon, since it may have started meanwhile. */
export function scheduleRetry(read: StateRead, now: Millis): void {
	if (isStateUnknown(read)) {
		read.nextAt = now + retryDelayMs;
	}
}

/** Notes an answer. Returns whether the engine is used from now on because of it. */
export function recordAnswer(read: StateRead): boolean {
	const isChanged = isStateUnknown(read);
	read.isKnown = true;
	return isChanged;
}
