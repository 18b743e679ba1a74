import type {Millis} from '@cicadapost/types';

/** A crash of an upstream that a request was in flight at. Times are on the store's clock. */
export type CrashRecord = Readonly<{
	at: Millis;
	/** Whether other requests were in flight at the upstream as well, any of which may have crashed it. */
	isShared: boolean;
}>;

/** What all daemons know about one request. Times are on the store's clock. */
export type CrashHistory = Readonly<{
	crashes: readonly CrashRecord[];
	/** When an upstream last completed a response to the request. */
	respondedAt: Millis | undefined;
	/** When the request was sent as a probe although it was blocked, since the last response. */
	probedAt: readonly Millis[];
}>;

export type BlockDecision =
	| Readonly<{kind: 'send'}>
	/** The request is blocked. `probe` is the number of the probe that may be sent now, from 0, if any. */
	| Readonly<{kind: 'block'; probe: number | undefined}>;

/** A request that has crashed this many upstreams is blocked. Three, so that a request that happened to be at two crashing upstreams by chance is not blocked. */
export const crashLimit = 3;
/** Older crashes and responses don't count, so that a request may run again once the upstreams have been fixed. */
export const crashRetentionMs: Millis = 15 * 60_000;
/**
Time after the crash that blocks a request in which a response to it may still arrive, if all of its crashes are shared. Upstreams
that crash together, such as those of one data centre, would otherwise block each request that runs often, until one of those in flight ends.
*/
const responseGraceMs: Millis = 500;
/**
Times of probes after the crash that blocks a request. Later than 4 s after that crash a request that crashes its upstreams may reach
at most three more. Two probes leave one for a daemon that learns of the crashes late.
*/
const probeDelaysMs: readonly Millis[] = [6000, 60_000];
/** An additional first probe, if all crashes are shared. */
const sharedProbeDelaysMs: readonly Millis[] = [1000, ...probeDelaysMs];
/** Time after a probe in which its result reaches all daemons. */
const probeResultMs: Millis = 2500;

/** Whether a response at this time explains a crash: a request that crashes its upstreams never gets a complete response. */
export function isExplained({at}: CrashRecord, respondedAt: Millis | undefined): boolean {
	return respondedAt !== undefined && at <= respondedAt;
}

/**
Decides whether a request may be sent to an upstream. Designed for a request that all daemons together run thousands of times a
second, and for one that is repeated at any daemon and crashes each upstream that begins to run it.
*/
export function decideBlock({crashes, respondedAt, probedAt}: CrashHistory, now: Millis): BlockDecision {
	const counted = crashes.filter(crash => !isExplained(crash, respondedAt) && now - crash.at < crashRetentionMs).sort((a, b) => a.at - b.at);
	const blocking = counted[crashLimit - 1];
	if (blocking === undefined) {
		return {kind: 'send'};
	}

	const isShared = counted.every(crash => crash.isShared);
	if (isShared && now - blocking.at < responseGraceMs) {
		return {kind: 'send'};
	}

	const probe = probedAt.length;
	const delayMs = (isShared ? sharedProbeDelaysMs : probeDelaysMs)[probe];
	const isDue = delayMs !== undefined && now - blocking.at >= delayMs && probedAt.every(at => now - at >= probeResultMs);
	return {kind: 'block', probe: isDue ? probe : undefined};
}
