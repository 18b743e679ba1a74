/** The queue in front of one shard: who gets a slot on which upstream, and when. */

import type {
	Acquire, AttemptId, DaemonId, Millis, Outcome, RefusalReason, Release, RequestSummary, UpstreamId,
} from '@cicadapost/types';

/** An upstream of the shard as configuration and health checks know it. */
export type ShardUpstream = Readonly<{
	upstream: UpstreamId;
	/** A leaving upstream gets no new grant. */
	leaving: boolean;
	initialWindow: number;
	maxWindow: number;
}>;

export type SchedulerEvent =
	| Readonly<{kind: 'acquire'; from: DaemonId; acquire: Acquire}>
	| Readonly<{kind: 'release'; release: Release}>
	| Readonly<{kind: 'upstreams-changed'; upstreams: readonly ShardUpstream[]}>
	/** The grants of a dead entry daemon return to the shard. */
	| Readonly<{kind: 'daemon-lost'; daemon: DaemonId}>
	| Readonly<{kind: 'tick'}>;

export type SchedulerAction =
	| Readonly<{kind: 'grant'; to: DaemonId; attempt: AttemptId; upstream: UpstreamId}>
	| Readonly<{kind: 'refuse'; to: DaemonId; attempt: AttemptId; reason: RefusalReason; retryAfterMs: Millis}>;

type Waiting = Readonly<{
	from: DaemonId;
	attempt: AttemptId;
	request: RequestSummary;
	deadlineAt: Millis;
	avoid: readonly UpstreamId[];
}>;

type Running = Readonly<{
	from: DaemonId;
	upstream: UpstreamId;
}>;

export type SchedulerState = {
	upstreams: Map<UpstreamId, ShardUpstream>;
	waiting: Waiting[];
	running: Map<AttemptId, Running>;
};

const retryAfterNoUpstreamMs = 2000;
const retryAfterOverloadMs = 1000;

export function createScheduler(): SchedulerState {
	return {upstreams: new Map(), waiting: [], running: new Map()};
}

function load(state: SchedulerState, upstream: UpstreamId): number {
	let count = 0;
	for (const running of state.running.values()) {
		if (running.upstream === upstream) {
			count++;
		}
	}

	return count;
}

function freeUpstream(state: SchedulerState, avoid: readonly UpstreamId[]): UpstreamId | undefined {
	let best: UpstreamId | undefined;
	let bestLoad = Number.POSITIVE_INFINITY;
	for (const candidate of state.upstreams.values()) {
		const current = load(state, candidate.upstream);
		const usable = !candidate.leaving && !avoid.includes(candidate.upstream) && current < candidate.initialWindow;
		if (usable && current < bestLoad) {
			best = candidate.upstream;
			bestLoad = current;
		}
	}

	return best;
}

function grantWaiting(state: SchedulerState, now: Millis): SchedulerAction[] {
	const actions: SchedulerAction[] = [];
	const stillWaiting: Waiting[] = [];
	for (const waiting of state.waiting) {
		if (waiting.deadlineAt <= now) {
			actions.push({
				kind: 'refuse', to: waiting.from, attempt: waiting.attempt, reason: 'overloaded', retryAfterMs: retryAfterOverloadMs,
			});
			continue;
		}

		const upstream = freeUpstream(state, waiting.avoid);
		if (upstream === undefined) {
			stillWaiting.push(waiting);
			continue;
		}

		state.running.set(waiting.attempt, {from: waiting.from, upstream});
		actions.push({
			kind: 'grant', to: waiting.from, attempt: waiting.attempt, upstream,
		});
	}

	state.waiting = stillWaiting;
	return actions;
}

function accept(state: SchedulerState, event: Extract<SchedulerEvent, {kind: 'acquire'}>, now: Millis): SchedulerAction[] {
	const {acquire, from} = event;
	const hasUpstream = [...state.upstreams.values()].some(upstream => !upstream.leaving);
	if (!hasUpstream) {
		return [{
			kind: 'refuse', to: from, attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: retryAfterNoUpstreamMs,
		}];
	}

	const known = state.running.has(acquire.attempt) || state.waiting.some(waiting => waiting.attempt === acquire.attempt);
	if (!known) {
		state.waiting.push({
			from,
			attempt: acquire.attempt,
			request: acquire.request,
			deadlineAt: now + acquire.remainingMs,
			avoid: acquire.avoid,
		});
	}

	return grantWaiting(state, now);
}

function forget(state: SchedulerState, daemon: DaemonId): void {
	state.waiting = state.waiting.filter(waiting => waiting.from !== daemon);
	for (const [attempt, running] of state.running) {
		if (running.from === daemon) {
			state.running.delete(attempt);
		}
	}
}

/** Decides for one shard. Updates `state` in place and returns it. */
export function decideScheduling(state: SchedulerState, event: SchedulerEvent, now: Millis): Outcome<SchedulerState, SchedulerAction> {
	switch (event.kind) {
		case 'acquire': {
			return {state, actions: accept(state, event, now)};
		}

		case 'release': {
			state.running.delete(event.release.attempt);
			state.waiting = state.waiting.filter(waiting => waiting.attempt !== event.release.attempt);
			break;
		}

		case 'upstreams-changed': {
			state.upstreams = new Map(event.upstreams.map(upstream => [upstream.upstream, upstream]));
			break;
		}

		case 'daemon-lost': {
			forget(state, event.daemon);
			break;
		}

		case 'tick': {
			break;
		}
	}

	return {state, actions: grantWaiting(state, now)};
}
