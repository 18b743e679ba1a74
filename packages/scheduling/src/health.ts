/** Takes upstreams out of service and returns them, based on the results of their attempts and a comparison with their peers. */

import type {Millis, ReleaseResult} from '@cicadapost/types';
import type {SchedulerState} from './scheduler-state.js';
import {
	addInFlight, advanceProgress, completionRate, createProgress, isSlowByTimes, isSlowInFlight, median, normalRatio, type InFlight,
} from './slowness.js';
import type {RunningState, UpstreamState} from './upstream-state.js';
import {createWindow} from './windows.js';

const firstBackoffMs = 500;
const maxBackoffMs = 8000;
/** Interval between probes of a slow upstream. */
const slowProbeMs = 500;
/** Consecutive probes at normal speed after which a slow upstream returns to service. */
const probesToRecover = 2;
/** Attempts with fewer tokens are compared by their time to first token instead of their time per token. */
const minComparedTokens = 4;
/** Maximum fraction of the upstreams that may be marked slow at a time. If more seem slow, the comparison with peers is unreliable. */
const maxSlowFraction = 0.5;
/** In shards with fewer upstreams, an upstream is left out of the medians it is compared with, because its own times would shift them too much. */
const smallShardSize = 5;

export function takeOutOfService(upstream: UpstreamState, now: Millis): void {
	const {health} = upstream;
	health.backoffMs = health.status === 'down' ? Math.min(maxBackoffMs, health.backoffMs * 2) : firstBackoffMs;
	health.status = 'down';
	health.since = now;
	health.nextProbeAt = now + health.backoffMs;
	health.probe = undefined;
	health.normalProbes = 0;
}

function markSlow(upstream: UpstreamState, now: Millis): void {
	const {health} = upstream;
	health.status = 'slow';
	health.since = now;
	health.nextProbeAt = now + slowProbeMs;
	health.probe = undefined;
	health.normalProbes = 0;
}

/** The window restarts at its initial size, because the upstream may have lost its caches or may share its VM with another process now. */
function returnToService(upstream: UpstreamState, now: Millis): void {
	const {health} = upstream;
	health.status = 'up';
	health.since = now;
	health.backoffMs = 0;
	health.probe = undefined;
	upstream.window = createWindow(upstream.settings);
	upstream.window.peakConcurrency = upstream.running;
	// Attempts that started before the return say nothing about the current speed.
	upstream.progress = {...createProgress(now), rate: upstream.progress.rate};
}

/** The outcome of an attempt. */
export type EndedAttempt = Readonly<{
	running: RunningState;
	result: ReleaseResult;
	tokens: number;
	/** Undefined if no token was received. */
	firstTokenMs: Millis | undefined;
	/** 0 if no token was received. */
	generationMs: Millis;
}>;

function isNormalSpeed(state: SchedulerState, ended: EndedAttempt): boolean {
	const {tokenMs, firstMs} = state.normal;
	if (ended.tokens >= minComparedTokens && tokenMs !== undefined) {
		return ended.generationMs / (ended.tokens - 1) <= normalRatio * tokenMs;
	}

	return firstMs === undefined || (ended.firstTokenMs ?? 0) <= 2 * normalRatio * firstMs;
}

function evaluateSlowProbe(state: SchedulerState, ended: EndedAttempt, now: Millis): void {
	const {upstream} = ended.running;
	const {health} = upstream;
	health.nextProbeAt = now + slowProbeMs;
	health.probe = undefined;
	if (ended.result !== 'finished' || !isNormalSpeed(state, ended)) {
		health.normalProbes = 0;
		return;
	}

	health.normalProbes++;
	if (health.normalProbes >= probesToRecover) {
		returnToService(upstream, now);
	}
}

/** Updates the health of the upstream on which an attempt has ended. */
export function updateHealth(state: SchedulerState, ended: EndedAttempt, now: Millis): void {
	const {running, result} = ended;
	const {upstream} = running;
	const {health} = upstream;
	const isProbe = health.probe === running.attempt;
	const isCurrent = running.grantedAt >= health.since || health.status === 'slow';
	if (result === 'unreachable' && isCurrent && !running.isDeathCounted) {
		takeOutOfService(upstream, now);
		return;
	}

	if (health.status === 'down') {
		if (result === 'finished' && running.grantedAt >= health.since) {
			returnToService(upstream, now);
		} else if (isProbe) {
			health.probe = undefined;
			health.nextProbeAt = now + health.backoffMs;
		}
	} else if (health.status === 'slow' && isProbe) {
		evaluateSlowProbe(state, ended, now);
	}
}

function countInFlight(state: SchedulerState, now: Millis): Map<UpstreamState, InFlight> {
	const inFlight = new Map<UpstreamState, InFlight>();
	for (const upstream of state.upstreams.values()) {
		advanceProgress(upstream.progress, now);
		inFlight.set(upstream, {running: 0, overdue: 0, stuck: 0});
	}

	for (const running of state.running.values()) {
		const counts = inFlight.get(running.upstream);
		// Attempts granted before the last status change were slowed by the previous state.
		if (counts !== undefined && running.grantedAt >= running.upstream.health.since) {
			addInFlight(counts, running, now - running.grantedAt);
		}
	}

	return inFlight;
}

/** Median times and completion rate of the upstreams that an upstream is compared with. */
type PeerSpeed = Readonly<{
	tokenMs: Millis | undefined;
	firstMs: Millis | undefined;
	completionRate: number | undefined;
}>;

function medianSpeedOf(upstreams: readonly UpstreamState[]): PeerSpeed {
	return {
		tokenMs: median(upstreams.flatMap(({window}) => window.tokenMs ?? [])),
		firstMs: median(upstreams.flatMap(({window}) => window.firstMs ?? [])),
		completionRate: median(upstreams.map(({progress}) => completionRate(progress))),
	};
}

function isSlow(upstream: UpstreamState, peers: PeerSpeed, inFlight: InFlight | undefined): boolean {
	const {tokenMs, firstMs} = upstream.window;
	const times = {
		tokenMs, firstMs, peerTokenMs: peers.tokenMs, peerFirstMs: peers.firstMs,
	};
	return isSlowByTimes(times) || (inFlight !== undefined && isSlowInFlight(upstream.progress, inFlight, peers.completionRate));
}

/** Marks upstreams that are much slower than their peers. */
export function markSlowUpstreams(state: SchedulerState, now: Millis): void {
	const all = [...state.upstreams.values()];
	const up = all.filter(upstream => upstream.health.status === 'up');
	const inFlight = countInFlight(state, now);
	const speed = medianSpeedOf(up);
	let slow = all.filter(upstream => upstream.health.status === 'slow').length;
	for (const upstream of up) {
		const peers = up.length < smallShardSize ? medianSpeedOf(up.filter(peer => peer !== upstream)) : speed;
		if (up.length > 1 && slow + 1 <= all.length * maxSlowFraction && isSlow(upstream, peers, inFlight.get(upstream))) {
			markSlow(upstream, now);
			slow++;
		}
	}
}
