import type {
	AttemptId, Fingerprint, Millis, RequestSummary, UpstreamId,
} from '@cicadapost/types';
import {
	createAdmission, type Admission, type Capacity, throughput,
} from './admission.js';
import {createPrefixTable, type PrefixTable} from './affinity.js';
import {createFairQueue, type FairQueue} from './queue.js';
import {median} from './slowness.js';
import {createSuspectTable, type SuspectTable} from './suspects.js';
import type {RunningState, UpstreamState} from './upstream-state.js';

/** Median times of the shard's upstreams; undefined until measured. */
export type NormalTimes = {
	firstMs: Millis | undefined;
	tokenMs: Millis | undefined;
};

export type SchedulerState = {
	upstreams: Map<UpstreamId, UpstreamState>;
	queue: FairQueue;
	running: Map<AttemptId, RunningState>;
	/** Running attempts by fingerprint. */
	runs: Map<Fingerprint, RunningState[]>;
	prefixes: PrefixTable;
	/** Shared by all schedulers of a daemon. */
	suspects: SuspectTable;
	admission: Admission;
	trainingFloor: number;
	/** Tokens by which training is below its floor while requests of both classes wait; negative if it is above. */
	trainingDeficit: number;
	normal: NormalTimes;
	/** Time at which the last live request arrived. */
	lastLiveAt: Millis;
	/** Time of the last review of all waiting requests. */
	reviewedAt: Millis;
	/** Time of the last review of all running requests and of the upstreams. */
	healthReviewedAt: Millis;
};

export type SchedulerOptions = Readonly<{
	suspects?: SuspectTable;
	trainingFloor?: number;
}>;

const defaultTrainingFloor = 0.2;

export function createScheduler(options: SchedulerOptions = {}): SchedulerState {
	return {
		upstreams: new Map(),
		queue: createFairQueue(),
		running: new Map(),
		runs: new Map(),
		prefixes: createPrefixTable(),
		suspects: options.suspects ?? createSuspectTable(),
		admission: createAdmission(0),
		trainingFloor: options.trainingFloor ?? defaultTrainingFloor,
		trainingDeficit: 0,
		normal: {firstMs: undefined, tokenMs: undefined},
		lastLiveAt: Number.NEGATIVE_INFINITY,
		reviewedAt: Number.NEGATIVE_INFINITY,
		healthReviewedAt: Number.NEGATIVE_INFINITY,
	};
}

/** Returns the number of waiting requests. */
export function waitingCount(state: SchedulerState): number {
	return state.queue.attempts.size;
}

export function isInService(upstream: UpstreamState): boolean {
	return !upstream.settings.leaving && upstream.health.status !== 'down';
}

export function capacityOf(state: SchedulerState): Capacity {
	let slots = 0;
	for (const upstream of state.upstreams.values()) {
		if (!upstream.settings.leaving && upstream.health.status === 'up') {
			slots += Math.floor(upstream.window.window);
		}
	}

	return {slots, rate: throughput(state.admission, slots), trainingFloor: state.trainingFloor};
}

/** Recomputes the median times from the upstreams that are up. */
export function updateNormalTimes(state: SchedulerState): void {
	const up = [...state.upstreams.values()].filter(upstream => upstream.health.status === 'up');
	state.normal.firstMs = median(up.flatMap(({window}) => window.firstMs ?? [])) ?? state.normal.firstMs;
	state.normal.tokenMs = median(up.flatMap(({window}) => window.tokenMs ?? [])) ?? state.normal.tokenMs;
}

/** Returns the time in which a typical upstream generates `tokens`, or 0 until times have been measured. */
export function typicalMs(state: SchedulerState, tokens: number): Millis {
	const {firstMs, tokenMs} = state.normal;
	return firstMs === undefined ? 0 : firstMs + ((tokenMs ?? 0) * Math.max(0, tokens - 1));
}

/** Returns the expected duration of a request; `tokens` are its expected prompt and completion tokens. */
export function expectedMs(state: SchedulerState, request: RequestSummary, tokens: number): Millis {
	return typicalMs(state, Math.max(1, tokens - request.promptTokens));
}
