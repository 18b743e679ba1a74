/** The scheduler's state of one upstream and of the attempts that run on it. */

import type {
	AttemptId, DaemonId, Fingerprint, Millis, RequestSummary,
} from '@cicadapost/types';
import type {ShardUpstream} from './events.js';
import type {Account} from './queue.js';
import {createProgress, type Progress} from './slowness.js';
import {createWindow, type WindowState} from './windows.js';

export type UpstreamStatus =
	| 'up'
	/** Much slower than its peers; runs only probes. */
	| 'slow'
	/** Out of service; runs one probe at a time, with exponential backoff. */
	| 'down';

export type Health = {
	status: UpstreamStatus;
	/** Time of the last status change. Attempts granted before it say nothing about the current status. */
	since: Millis;
	nextProbeAt: Millis;
	backoffMs: Millis;
	probe: AttemptId | undefined;
	/** Number of consecutive probes at normal speed. */
	normalProbes: number;
};

export type UpstreamState = {
	settings: ShardUpstream;
	window: WindowState;
	health: Health;
	progress: Progress;
	running: number;
	/** Integral of `running` over time up to `runningIntegralAt`, in request-milliseconds. */
	runningIntegral: number;
	runningIntegralAt: Millis;
	/** Number of running attempts of each suspect fingerprint. */
	suspects: Map<Fingerprint, number>;
	/** The fingerprint that runs here alone, or for which the upstream is being drained. */
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
	/** Tokens charged when the slot was granted. */
	readonly chargedTokens: number;
	/** Expected duration on a typical upstream; 0 if unknown. */
	readonly expectedMs: Millis;
	/** Expected duration if all allowed tokens are generated; 0 if unknown. */
	readonly longestMs: Millis;
	readonly runningIntegralAtGrant: number;
	readonly isProbe: boolean;
	/** Whether the upstream has crashed during this attempt and the crash has been recorded. */
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

/** Changes the number of running requests and updates its integral over time. */
export function adjustRunning(upstream: UpstreamState, by: 1 | -1, now: Millis): void {
	updateRunningIntegral(upstream, now);
	upstream.running += by;
	upstream.window.peakConcurrency = Math.max(upstream.window.peakConcurrency, upstream.running);
}

export function updateRunningIntegral(upstream: UpstreamState, now: Millis): void {
	upstream.runningIntegral += upstream.running * Math.max(0, now - upstream.runningIntegralAt);
	upstream.runningIntegralAt = Math.max(upstream.runningIntegralAt, now);
}
