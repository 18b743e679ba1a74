import type {Millis, UpstreamId} from '@cicadapost/types';

/** What a daemon knows about the state of an engine in a shard that it owns. */
export type StateRead = {
	/** Time of the next `read-state`. */
	nextAt: Millis;
	/** Whether the engine has answered since the shard was taken over or the process was paused. */
	isKnown: boolean;
	/** Number of ticks since then without an answer. */
	ticksWithoutAnswer: number;
};

export type StateReads = Map<UpstreamId, StateRead>;

/** Interval at which an engine is asked whether it is leaving, since the VM list lags behind. */
const readIntervalMs = 1000;
/** Delay before an engine that did not answer is asked again, short enough for several tries before it is used without an answer. */
const retryDelayMs = 200;
/** A longer gap between decisions means that the process was paused, since ticks arrive every 50 ms. All states are then older than one read interval. */
const pauseThresholdMs = readIntervalMs;
/**
An engine that does not answer for this many ticks (2 s) is used nevertheless, and its health decides. A read without an
answer takes one second, which leaves time for a second read that detects an engine that has restarted in the meantime.
Ticks are counted instead of time because a pause of the process would use up a time limit before an answer could arrive.
*/
const maxTicksWithoutAnswer = 40;

export function createStateRead(now: Millis): StateRead {
	return {nextAt: now, isKnown: false, ticksWithoutAnswer: 0};
}

/** Whether the engine may be leaving without this daemon knowing, in which case it gets no grants yet. */
export function isStateUnknown(read: StateRead | undefined): boolean {
	return read !== undefined && !read.isKnown && read.ticksWithoutAnswer < maxTicksWithoutAnswer;
}

/** Discards all answers if the process was paused since `lastDecisionAt`. Returns whether it did. */
export function resetAfterPause(reads: StateReads, lastDecisionAt: Millis, now: Millis): boolean {
	if (now - lastDecisionAt <= pauseThresholdMs || reads.size === 0) {
		return false;
	}

	for (const upstream of reads.keys()) {
		reads.set(upstream, createStateRead(now));
	}

	return true;
}

/** Returns the engines whose state is due to be read, and schedules their next read. */
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

/** Counts a tick for each engine without an answer. Returns whether any of them becomes usable by it. */
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

/** Schedules an early retry after a read without an answer: the engine will be used without one soon, and may have restarted meanwhile. */
export function scheduleRetry(read: StateRead, now: Millis): void {
	if (isStateUnknown(read)) {
		read.nextAt = now + retryDelayMs;
	}
}

/** Records an answer. Returns whether the engine becomes usable by it. */
export function recordAnswer(read: StateRead): boolean {
	const isChanged = isStateUnknown(read);
	read.isKnown = true;
	return isChanged;
}
