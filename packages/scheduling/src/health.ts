/** Takes upstreams out of service and back, from the results of their attempts and from comparison with their peers. */

import type {Millis, ReleaseResult} from '@cicadapost/types';
import type {SchedulerState} from './scheduler-state.js';
import {
	addInFlight, advanceProgress, completionRate, createProgress, isSlowByTimes, isSlowInFlight, median, normalRatio, type InFlight,
} from './slowness.js';
import type {RunningState, UpstreamState} from './upstream-state.js';
import {createWindow} from './windows.js';

const firstBackoffMs = 500;
const maxBackoffMs = 8000;
/** Time between the probes of a slow upstream. */
const slowProbeMs = 500;
/** Normal probes in sequence that bring a slow upstream back. */
const probesToRecover = 2;
/** Attempts shorter than this are compared by their time to the first token. */
const minComparedTokens = 4;
/** Part of the upstreams that may be slow at a time. If more are, the comparison with peers is at fault. */
const maxSlowFraction = 0.5;
/** With fewer upstreams an upstream's own times would move the median too much. */
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

/** The window starts low again, since the upstream may have lost its caches or share its VM with a new neighbour. */
function returnToService(upstream: UpstreamState, now: Millis): void {
	const {health} = upstream;
	health.status = 'up';
	health.since = now;
	health.backoffMs = 0;
	health.probe = undefined;
	upstream.window = createWindow(upstream.settings);
	upstream.window.peak = upstream.running;
	// Attempts from before the return do not speak for the present speed.
	upstream.progress = {...createProgress(now), rate: upstream.progress.rate};
}

/** How an attempt ended. Times are absent if there was no first token. */
export type EndedAttempt = Readonly<{
	running: RunningState;
	result: ReleaseResult;
	tokens: number;
	firstTokenMs: Millis | undefined;
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

/** Updates the health of the upstream that an attempt has ended on. */
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
		// What ran before the upstream came back was slowed by its earlier state.
		if (counts !== undefined && running.grantedAt >= running.upstream.health.since) {
			addInFlight(counts, running, now - running.grantedAt);
		}
	}

	return inFlight;
}

/** Medians over upstreams that are up. */
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

/** Marks upstreams that have become much slower than their peers. */
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
