import {maxTransitMs, permitRestMs} from '@cicadapost/permits';
import type {Millis} from '@cicadapost/types';

export type ReportTimes = Readonly<{
	windowMs: Millis;
	/** Time after the end of a window at which its report is due. */
	lateMs: Millis;
	leaseMs: Millis;
}>;

/** Counts arrive for at least this share of the time until a report is due. */
const minWaitShare = 0.3;
/** Time that a daemon which takes the duty over needs for the store's responses and the call. */
const takeoverMarginMs = 900;

/**
Time from the end of a window until it is summed. As long as possible, so that counts of slow responses arrive; but if the
holder dies right after its permit, another daemon must still be in time, after the lease has rested.
*/
export function settleMs({lateMs, leaseMs}: Omit<ReportTimes, 'windowMs'>): Millis {
	return Math.max(minWaitShare * lateMs, lateMs - permitRestMs(leaseMs) - maxTransitMs - takeoverMarginMs);
}

/** Returns the true time at which a window can be summed. */
export function summableAt(window: number, times: ReportTimes): Millis {
	return ((window + 1) * times.windowMs) + settleMs(times);
}

/** Returns the last window that can be summed at this true time. */
export function lastSummable(trueTime: Millis, times: ReportTimes): number {
	return Math.floor((trueTime - settleMs(times)) / times.windowMs) - 1;
}

/** A deployment that comes back after a longer time reports only windows with counts from before it. Two hours of windows of 5 s. */
const maxEmptyBacklog = 1440;

/** Returns the next window to report: windows without counts are left out if they are very old. `counted` are the windows of which the store has counts. */
export function nextWindow(next: number, newest: number, counted: readonly number[]): number {
	const oldestEmpty = newest - maxEmptyBacklog;
	return next >= oldestEmpty ? next : Math.min(oldestEmpty, ...counted.filter(window => window >= next));
}

/** Windows whose rows are kept after their report was sent, for operators who look into a count. */
const keptWindows = 24;

/** Whether the rows of a window are no longer needed. `next` is the first window that was not reported. */
export function isDisposable(window: number, next: number): boolean {
	return window < next - keptWindows;
}
