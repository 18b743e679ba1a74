/** Starts, retries and cancels the runs of samples, and starts second runs for stragglers. */

import type {
	Millis, RequestId, Sample, VersionSpan,
} from '@cicadapost/types';
import type {RolloutAction} from './rollout-events.js';
import {
	coversAllTokens, uniqueId, type Group, type RolloutState, type Run, type SampleSlot, type Step,
} from './rollout-state.js';
import {isStale} from './group-row.js';

/** Timeout of a run. All samples of a step complete within 9 minutes. */
export const sampleTimeoutMs = 540_000;
const initialRetryMs = 500;
const maxRetryMs = 15_000;
/** The number of samples in two steps of the target size, so that only larger loads have to queue. */
const maxRunningSamples = 8192;
const minStragglerWaitMs = 2000;
/** A run below this fraction of the median token rate of its group is considered to be on a slow engine. */
const slowRateFraction = 0.5;
/** Budget for second runs as a fraction of the step's tokens, the same as for hedged live calls. */
const hedgeBudget = 0.05;

function startRun(state: RolloutState, step: Step, group: Group, slot: SampleSlot, now: Millis): RolloutAction {
	const requestId = `rollout:${uniqueId(state)}` as RequestId;
	slot.runs.push({
		requestId, startedAt: now, text: '', tokens: 0,
	});
	state.runs.set(requestId, {step: step.key, group: group.index, slot: slot.index});
	return {
		kind: 'start-sample',
		requestId,
		member: step.member,
		pool: group.model,
		prompt: group.prompt ?? '',
		seed: slot.seed,
		maxTokens: group.maxTokens,
		timeoutMs: sampleTimeoutMs,
	};
}

/** Starts the samples that have no run. Those with the most tokens go first, since a long sample that starts last would delay the end of the step. */
export function startRuns(state: RolloutState, step: Step, now: Millis): RolloutAction[] {
	if (!step.isOwned) {
		return [];
	}

	const canStart = (slot: SampleSlot): boolean => slot.result === undefined && slot.runs.length === 0 && slot.retryAt <= now;
	const waiting = [...step.groups.values()].filter(group => group.phase === 'open' && group.prompt !== undefined && group.slots.some(slot => canStart(slot)));
	waiting.sort((a, b) => b.maxTokens - a.maxTokens || a.index - b.index);
	const actions: RolloutAction[] = [];
	for (const group of waiting) {
		for (const slot of group.slots) {
			if (canStart(slot) && state.runs.size < maxRunningSamples) {
				actions.push(startRun(state, step, group, slot, now));
			}
		}
	}

	return actions;
}

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Whether the only run of the sample is much slower than the rest of its group, most of which has finished. */
function isStraggler(group: Group, slot: SampleSlot, now: Millis): boolean {
	const [run] = slot.runs;
	const finished = group.slots.filter(other => other.result !== undefined && other.durationMs > 0);
	const unfinished = group.slots.filter(other => other.result === undefined).length;
	if (run === undefined || slot.runs.length > 1 || unfinished > group.slots.length / 4) {
		return false;
	}

	const medianDurationMs = median(finished.map(other => other.durationMs));
	const medianTokenRate = median(finished.map(other => other.result!.tokens / other.durationMs));
	const elapsedMs = now - run.startedAt;
	// A long sample that runs at the usual rate would not finish earlier with a second run of the same seed.
	return elapsedMs >= medianDurationMs + Math.max(minStragglerWaitMs, medianDurationMs) && run.tokens / elapsedMs < medianTokenRate * slowRateFraction;
}

/** Starts second runs for stragglers, within the budget of the step. */
export function hedgeStragglers(state: RolloutState, step: Step, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const group of step.groups.values()) {
		for (const slot of group.phase === 'open' && step.isOwned ? group.slots : []) {
			const budget = Math.max(group.maxTokens, step.tokens * hedgeBudget);
			if (slot.result === undefined && isStraggler(group, slot, now) && step.hedgeTokens + group.maxTokens <= budget) {
				step.hedgeTokens += group.maxTokens;
				actions.push(startRun(state, step, group, slot, now));
			}
		}
	}

	return actions;
}

/** Cancels all runs of the given samples. */
export function cancelRuns(state: RolloutState, slots: readonly SampleSlot[]): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const slot of slots) {
		for (const {requestId} of slot.runs) {
			state.runs.delete(requestId);
			actions.push({kind: 'cancel-sample', requestId});
		}

		slot.runs = [];
	}

	return actions;
}

type RunLocation = {step: Step; group: Group; slot: SampleSlot; run: Run};

function findRun(state: RolloutState, requestId: RequestId): RunLocation | undefined {
	const runIndex = state.runs.get(requestId);
	const step = runIndex === undefined ? undefined : state.steps.get(runIndex.step);
	const group = runIndex === undefined ? undefined : step?.groups.get(runIndex.group);
	const slot = runIndex === undefined ? undefined : group?.slots[runIndex.slot];
	const run = slot?.runs.find(other => other.requestId === requestId);
	return step === undefined || group === undefined || slot === undefined || run === undefined
		? undefined
		: {
			step, group, slot, run,
		};
}

export function appendText(state: RolloutState, requestId: RequestId, text: string, tokens: number): void {
	const found = findRun(state, requestId);
	if (found !== undefined) {
		found.run.text += text;
		found.run.tokens += tokens;
	}
}

function removeRun(state: RolloutState, found: RunLocation): void {
	state.runs.delete(found.run.requestId);
	found.slot.runs = found.slot.runs.filter(other => other !== found.run);
}

/** Handles a run that ended without a result. The sample is retried after a delay that grows with each failure. */
export function failRun(state: RolloutState, requestId: RequestId, retryAfterMs: Millis, now: Millis): Step | undefined {
	const found = findRun(state, requestId);
	if (found === undefined) {
		return undefined;
	}

	removeRun(state, found);
	const {slot} = found;
	const backoffMs = Math.min(maxRetryMs, initialRetryMs * (2 ** Math.min(slot.failures, 10)));
	slot.failures++;
	slot.retryAt = now + Math.max(backoffMs, Math.min(retryAfterMs, maxRetryMs));
	return found.step;
}

export type RunResult = Readonly<{requestId: RequestId; tokens: number; versions: readonly VersionSpan[]}>;

/** Stores the result of a run, cancels the other run of the sample, and completes the group after its last sample. */
export function finishRun(state: RolloutState, result: RunResult, now: Millis): Readonly<{step: Step; group: Group; actions: RolloutAction[]}> | undefined {
	const found = findRun(state, result.requestId);
	if (found === undefined) {
		return undefined;
	}

	const {step, group, slot, run} = found;
	if (run.tokens !== result.tokens || !coversAllTokens(result.versions, result.tokens)) {
		failRun(state, result.requestId, 0, now);
		return {step, group, actions: []};
	}

	removeRun(state, found);
	slot.result = {
		index: slot.index, seed: slot.seed, text: run.text, tokens: run.tokens, versions: [...result.versions],
	};
	slot.durationMs = now - run.startedAt;
	step.tokens += run.tokens;
	const actions = cancelRuns(state, [slot]);
	if (group.phase === 'open' && group.slots.every(other => other.result !== undefined)) {
		group.phase = 'complete';
	}

	return {step, group, actions};
}

/** Returns the finished samples of a group that are stale for a trainer with `currentVersion`. */
export function staleSlots(group: Group, currentVersion: number): SampleSlot[] {
	return group.slots.filter(slot => slot.result !== undefined && isStale(slot.result, currentVersion, group.stalenessBound));
}

/** Discards the results of `slots` and reopens the group, so that these samples are run again before the group is handed over. */
export function discardResults(group: Group, slots: readonly SampleSlot[]): void {
	for (const slot of slots) {
		slot.result = undefined;
		slot.retryAt = 0;
	}

	group.phase = 'open';
	group.fetchId = undefined;
	group.isHandoverUnrecorded = false;
	group.objectKey = undefined;
	if (group.pendingObject !== undefined) {
		group.unreferencedObjects.push(group.pendingObject);
		group.pendingObject = undefined;
	}

	if (group.prompt === undefined) {
		group.load = 'prompt';
	}
}

/** Returns the samples of a group, or undefined if at least one has not finished. */
export function finishedSamples(group: Group): Sample[] | undefined {
	const samples = group.slots.flatMap(slot => slot.result === undefined ? [] : [slot.result]);
	return samples.length === group.slots.length ? samples : undefined;
}
