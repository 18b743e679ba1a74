/** What the scheduler knows about one upstream of its shard. */

import type {
	AttemptId, DaemonId, Fingerprint, Millis, RequestSummary,
} from '@cicadapost/types';
import type {ShardUpstream} from './events.js';
import type {Account} from './queue.js';
import {createProgress, type Progress} from './slowness.js';
import {createWindow, type WindowState} from './windows.js';

export type UpstreamStatus =
	| 'up'
	/** Much slower than its peers: runs probes only. */
	| 'slow'
	/** Out of service: runs one probe at a time after a back-off. */
	| 'down';

export type Health = {
	status: UpstreamStatus;
	/** Attempts that were granted before this time tell nothing about the present status. */
	since: Millis;
	nextProbeAt: Millis;
	backoffMs: Millis;
	probe: AttemptId | undefined;
	/** Probes in sequence that were as fast as the peers. */
	normalProbes: number;
};

export type UpstreamState = {
	settings: ShardUpstream;
	window: WindowState;
	health: Health;
	progress: Progress;
	running: number;
	/** Integral of `running` over time, in request-milliseconds, up to `areaAt`. */
	runningIntegral: number;
	runningIntegralAt: Millis;
	/** Running attempts by fingerprint, for suspects only. */
	suspects: Map<Fingerprint, number>;
	/** The fingerprint that runs here alone, or that the upstream is being emptied for. */
	reservedFor: Fingerprint | undefined;
};

export type RunningState = {
	readonly from: DaemonId;
	readonly attempt: AttemptId;
	readonly request: RequestSummary;
	readonly upstream: UpstreamState;
	readonly account: Account;
	readonly grantedAt: Millis;
	readonly deadlineAt: Millis;
	/** Tokens charged at the grant. */
	readonly chargedTokens: number;
	/** Time that an attempt of this size takes on the peers; 0 while unknown. */
	readonly expectedMs: Millis;
	/** The same if it generates all tokens that it may. */
	readonly longestMs: Millis;
	readonly runningIntegralAtGrant: number;
	readonly isProbe: boolean;
	/** Its upstream has died, and the death has been counted. */
	isDeathCounted: boolean;
};

export function createUpstream(settings: ShardUpstream, now: Millis): UpstreamState {
	return {
		settings,
		window: createWindow(settings),
		health: {
			status: 'up', since: now, nextProbeAt: now, backoffMs: 0, probe: undefined, normalProbes: 0,
		},
		progress: createProgress(now),
		running: 0,
		runningIntegral: 0,
		runningIntegralAt: now,
		suspects: new Map(),
		reservedFor: undefined,
	};
}

/** Changes the number of running requests and keeps the integral over time up to date. */
export function adjustRunning(upstream: UpstreamState, by: 1 | -1, now: Millis): void {
	updateRunningIntegral(upstream, now);
	upstream.running += by;
	upstream.window.peak = Math.max(upstream.window.peak, upstream.running);
}

export function updateRunningIntegral(upstream: UpstreamState, now: Millis): void {
	upstream.runningIntegral += upstream.running * Math.max(0, now - upstream.runningIntegralAt);
	upstream.runningIntegralAt = Math.max(upstream.runningIntegralAt, now);
}
