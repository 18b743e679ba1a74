/** Handles the calls of trainers: submit, fetch and acknowledge. */

import type {
	FinishedGroup, GroupSubmission, Millis, TrainerAnswer, TrainerCall, TrainerProblem,
} from '@cicadapost/types';
import {groupSeed, submissionHash} from './group-row.js';
import type {RolloutAction} from './rollout-events.js';
import type {
	Group, PendingCall, RolloutState, Step, WaitingCall,
} from './rollout-state.js';
import {
	cancelRuns, finishedSamples, discardResults, staleSlots,
} from './run-samples.js';
import {
	createSlots, isStored, releaseGroup, resolveAcknowledgedFetch,
} from './sync-store.js';

const storeRetryMs = 2000;
/** A hand-over that the trainer does not list after this time was lost in transit, since trainers time out after 30 s. */
const lostAnswerTimeoutMs = 60_000;
/** Maximum number of text characters in one answer, so that it fits into one frame between daemons. A single longer group is still handed over. */
const maxAnswerCharacters = 2 * 1024 * 1024;

function problem(options: TrainerProblem): TrainerAnswer {
	return {kind: 'problem', problem: options};
}

const conflict = problem({
	kind: 'idempotency-conflict',
	field: 'group',
	detail: 'the group has been submitted before with another body',
	remedy: 'submit the same body again, or use another group index',
	outcome: 'not-run',
});

function storeUnavailable(outcome: 'not-run' | 'unknown'): TrainerAnswer {
	return problem({
		kind: 'store-unavailable',
		field: 'received',
		detail: outcome === 'not-run'
			? 'the store that records hand-overs can\'t be reached'
			: 'the store did not confirm the hand-over',
		remedy: 'repeat with the same fetchId after Retry-After, or send "received" with the indices of all groups of the step that you have',
		outcome,
		retryAfterMs: storeRetryMs,
	});
}

export function createGroup(step: Step, submission: GroupSubmission, now: Millis): Group {
	const seed = groupSeed(step.key, submission);
	return {
		index: submission.group,
		bodyHash: submissionHash(submission),
		model: submission.model,
		maxTokens: submission.maxTokens,
		stalenessBound: submission.stalenessBound,
		seed,
		submittedAt: now,
		prompt: submission.prompt,
		slots: createSlots(seed, submission.samples),
		phase: 'open',
		fetchId: undefined,
		handedAt: now,
		ackedWith: undefined,
		isHandoverUnrecorded: false,
		stored: undefined,
		promptKey: undefined,
		objectKey: undefined,
		pendingObject: undefined,
		unreferencedObjects: [],
		storeCall: undefined,
		load: undefined,
		isBacklog: false,
	};
}

/** Accepts a trainer's call for a step that this daemon owns. `answerWaitingCalls` answers it later. */
export function acceptCall(step: Step, pending: PendingCall, now: Millis): void {
	const {request} = pending;
	step.lastCallAt = now;
	if (request.kind === 'submit') {
		const known = step.groups.get(request.group);
		if (known === undefined) {
			step.groups.set(request.group, createGroup(step, request, now));
		} else if (known.load === 'prompt' && known.bodyHash === submissionHash(request)) {
			known.prompt = request.prompt;
			known.load = undefined;
		}
	}

	step.waitingCalls.push({...pending, groups: undefined});
}

/** Answers each call that no longer has to wait. */
export function answerWaitingCalls(state: RolloutState, step: Step, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	const waiting: WaitingCall[] = [];
	for (const waitingCall of step.waitingCalls) {
		const resolution = resolveCall(state, step, waitingCall, now);
		actions.push(...resolution.actions);
		if (resolution.answer === undefined) {
			waiting.push(waitingCall);
			continue;
		}

		actions.push({
			kind: 'answer', call: waitingCall.call, to: waitingCall.from, answer: resolution.answer,
		});
	}

	step.waitingCalls = waiting;
	return actions;
}

type CallResolution = Readonly<{answer: TrainerAnswer | undefined; actions: readonly RolloutAction[]}>;

function resolveCall(state: RolloutState, step: Step, waitingCall: WaitingCall, now: Millis): CallResolution {
	const {request} = waitingCall;
	switch (request.kind) {
		case 'submit': {
			return {answer: resolveSubmit(state, step, request), actions: []};
		}

		case 'fetch': {
			return resolveFetch(state, step, waitingCall, request, now);
		}

		case 'ack': {
			return resolveAck(state, step, waitingCall, request);
		}
	}
}

function resolveSubmit(state: RolloutState, step: Step, request: Extract<TrainerCall, {kind: 'submit'}>): TrainerAnswer | undefined {
	const group = step.groups.get(request.group);
	if (group !== undefined && group.bodyHash !== submissionHash(request)) {
		return conflict;
	}

	const isDurable = group?.stored !== undefined;
	return isDurable || !state.store.isUp || group === undefined
		? {
			kind: 'submitted', step: step.step, group: request.group, durable: isDurable,
		}
		: undefined;
}

type FetchCall = Extract<TrainerCall, {kind: 'fetch'}>;

function resolveFetch(state: RolloutState, step: Step, waitingCall: WaitingCall, fetch: FetchCall, now: Millis): CallResolution {
	const actions: RolloutAction[] = [];
	if (!state.store.isUp && fetch.received === undefined) {
		// A compare-and-set that was sent may have taken effect.
		return {answer: storeUnavailable(waitingCall.groups === undefined ? 'not-run' : 'unknown'), actions};
	}

	if (waitingCall.groups === undefined && state.store.isUp && [...step.groups.values()].some(group => group.load === 'samples')) {
		// After a change of owner, the finished samples are still being read from the object store.
		return {answer: undefined, actions};
	}

	waitingCall.groups ??= chooseGroups(state, step, fetch, actions, now);
	const groups = waitingCall.groups.flatMap(index => step.groups.get(index) ?? []).filter(group => group.phase === 'handed' && group.fetchId === fetch.fetchId);
	if (state.store.isUp && groups.some(group => !isStored(group) || group.load !== undefined)) {
		return {answer: undefined, actions};
	}

	const handed: FinishedGroup[] = [];
	for (const group of groups) {
		const samples = finishedSamples(group);
		if (samples === undefined) {
			continue;
		}

		group.isHandoverUnrecorded ||= !state.store.isUp && !isStored(group);
		handed.push({group: group.index, samples});
	}

	return {
		answer: {
			kind: 'fetched',
			step: step.step,
			fetchId: fetch.fetchId,
			groups: handed,
			missing: missingGroups(step, fetch),
			open: [...step.groups.values()].filter(group => group.phase === 'open' || group.phase === 'complete').length,
			durable: groups.every(group => !group.isHandoverUnrecorded),
		}, actions,
	};
}

function textLength(group: Group): number {
	return group.slots.reduce((sum, slot) => sum + (slot.result?.text.length ?? 0), 0);
}

/** Selects the groups for a fetch: those already handed over to its fetchId or, if there are none, those that can be handed over now. */
function chooseGroups(state: RolloutState, step: Step, fetch: FetchCall, actions: RolloutAction[], now: Millis): number[] {
	const received = new Set(fetch.received);
	const all = [...step.groups.values()].sort((a, b) => a.index - b.index);
	if (fetch.received !== undefined) {
		actions.push(...applyReceived(state, all, {fetchId: fetch.fetchId, received}, now));
	}

	if (step.acknowledgedFetches.has(fetch.fetchId)) {
		return [];
	}

	const earlier = all.filter(group => group.fetchId === fetch.fetchId && (group.phase === 'handed' || group.phase === 'acked'));
	if (earlier.length > 0) {
		const repeated = earlier.filter(group => group.phase === 'handed' && !received.has(group.index) && ensureFresh(group, fetch));
		for (const group of repeated) {
			group.isHandoverUnrecorded &&= !state.store.isUp;
		}

		return repeated.map(group => group.index);
	}

	const chosen: number[] = [];
	let length = 0;
	for (const group of all) {
		const isReady = group.phase === 'complete' && group.load === undefined && (isStored(group) || !state.store.isUp);
		if (!isReady || received.has(group.index) || !ensureFresh(group, fetch)) {
			continue;
		}

		length += textLength(group);
		if (chosen.length >= fetch.max || (chosen.length > 0 && length > maxAnswerCharacters)) {
			break;
		}

		group.phase = 'handed';
		group.fetchId = fetch.fetchId;
		group.handedAt = now;
		chosen.push(group.index);
	}

	return chosen;
}

/**
Applies the trainer's list of received groups. A listed group is never run or handed over again. If the trainer lists a group
of another fetch, it has received the answer to that fetch, so a group handed over to the same fetch that it does not list was
not in the answer and is released. A group is also released once the answer to its fetch must have been lost.
*/
function applyReceived(state: RolloutState, all: readonly Group[], {fetchId, received}: Readonly<{fetchId: string; received: ReadonlySet<number>}>, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	const answered = new Set(all.filter(group => received.has(group.index) && group.fetchId !== undefined).map(group => group.fetchId));
	for (const group of all) {
		const isHanded = group.phase === 'handed' && !group.isHandoverUnrecorded;
		if (received.has(group.index) && !isHanded && group.phase !== 'acked') {
			group.phase = 'acked';
			actions.push(...cancelRuns(state, group.slots));
			continue;
		}

		const isOtherFetch = group.phase === 'handed' && group.fetchId !== fetchId;
		const isAnswerSettled = answered.has(group.fetchId) || now - group.handedAt >= lostAnswerTimeoutMs;
		if (!received.has(group.index) && isOtherFetch && isAnswerSettled) {
			releaseGroup(group);
		}
	}

	return actions;
}

/** Returns whether all samples of the group are fresh enough. Discards the results of stale ones, so that they are run again. */
function ensureFresh(group: Group, fetch: FetchCall): boolean {
	const staleResults = staleSlots(group, fetch.currentVersion);
	if (staleResults.length === 0) {
		return true;
	}

	discardResults(group, staleResults);
	return false;
}

function missingGroups(step: Step, fetch: FetchCall): number[] {
	const received = new Set(fetch.received);
	const end = Math.max(fetch.submitted ?? 0, ...[...step.groups.keys()].map(index => index + 1));
	return Array.from({length: end}, (_, index) => index).filter(index => !step.groups.has(index) && !received.has(index));
}

function resolveAck(state: RolloutState, step: Step, waitingCall: WaitingCall, request: Extract<TrainerCall, {kind: 'ack'}>): CallResolution {
	const actions: RolloutAction[] = [];
	if (waitingCall.groups === undefined) {
		const all = [...step.groups.values()];
		const isAcked = (group: Group): boolean => request.groups?.includes(group.index) ?? (group.fetchId === request.fetchId && group.phase === 'handed');
		const acked = all.filter(group => group.phase !== 'acked' && isAcked(group));
		for (const group of acked) {
			group.phase = 'acked';
			group.fetchId = request.fetchId;
			group.ackedWith = request.groups;
			actions.push(...cancelRuns(state, group.slots));
		}

		if (request.groups !== undefined) {
			step.acknowledgedFetches.set(request.fetchId, request.groups);
		}

		for (const group of all) {
			resolveAcknowledgedFetch(step, group);
		}

		waitingCall.groups = all.filter(group => group.phase === 'acked' && group.fetchId === request.fetchId).map(group => group.index).sort((a, b) => a - b);
	}

	const groups = waitingCall.groups.flatMap(index => step.groups.get(index) ?? []);
	const isDurable = step.rows === 'read' && groups.every(group => isStored(group));
	const answer: TrainerAnswer | undefined = isDurable || !state.store.isUp
		? {
			kind: 'acked', step: step.step, fetchId: request.fetchId, groups: waitingCall.groups, durable: isDurable,
		}
		: undefined;
	return {answer, actions};
}
