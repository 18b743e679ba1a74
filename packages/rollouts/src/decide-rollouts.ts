/** Handles all events for the training steps that this daemon owns, and forwards calls for other steps to their owners. */

import type {
	CallId, DaemonId, MemberId, Millis, DecisionResult,
} from '@cicadapost/types';
import {stepKey} from './group-row.js';
import type {RolloutAction, RolloutEvent, StepKey} from './rollout-events.js';
import {
	type Group, type PendingCall, type RolloutState, type Step, type StoreCall, uniqueId,
} from './rollout-state.js';
import {
	appendText, cancelRuns, failRun, finishRun, hedgeStragglers, startRuns,
} from './run-samples.js';
import {answerWaitingCalls, acceptCall} from './serve-trainer.js';
import {markStoreDown, markStoreUp, probe} from './store-outage.js';
import {
	hasPendingWrites, readRows, receiveObjectAnswer, receiveRowAnswer, receiveListedRows, syncGroup, type StoreResult,
} from './sync-store.js';

/** A step without calls for this long is removed from memory. Its rows remain in the store. */
const stepIdleMs = 3_600_000;
const forwardRetryMs = 200;
/** A forwarded call without an answer for this long fails with an unknown outcome. */
const forwardTimeoutMs = 20_000;
const forwardFailedRetryMs = 1000;
/** How long duplicates of a forwarded call are recognised. */
const duplicateWindowMs = 60_000;
/** How long this daemon tracks the owner of a step after it last forwarded a call for it. */
const forwardedStepTtlMs = 600_000;
const scanIntervalMs = 200;
const hedgeIntervalMs = 1000;
/** Minimum interval between reads of a step's rows while a trainer polls an unfinished step. */
const rowReadIntervalMs = 200;

/** Updates `state` in place and returns it with the actions to carry out, in order. */
export function decideRollouts(state: RolloutState, event: RolloutEvent, now: Millis): DecisionResult<RolloutState, RolloutAction> {
	return {state, actions: handleEvent(state, event, now)};
}

function handleEvent(state: RolloutState, event: RolloutEvent, now: Millis): RolloutAction[] {
	switch (event.kind) {
		case 'call': {
			return receiveCall(state, event, now);
		}

		case 'forward-answer': {
			return receiveForwardAnswer(state, event, now);
		}

		case 'trainer-left': {
			state.forwardedCalls.delete(event.call);
			return [];
		}

		case 'sample-chunk': {
			appendText(state, event.requestId, event.chunk.text, event.chunk.tokens);
			return [];
		}

		case 'sample-finished': {
			const finished = finishRun(state, event, now);
			return finished === undefined ? [] : [...finished.actions, ...advanceGroup(state, finished.step, finished.group, now)];
		}

		case 'sample-failed': {
			failRun(state, event.requestId, event.retryAfterMs, now);
			return [];
		}

		case 'row-answer':
		case 'list-answer':
		case 'object-answer': {
			return receiveStoreAnswer(state, event, now);
		}

		case 'owners': {
			return changeOwners(state, event.owners, now);
		}

		case 'tick': {
			return tick(state, now);
		}
	}
}

function tick(state: RolloutState, now: Millis): RolloutAction[] {
	const actions = [...probe(state, now), ...retryForwards(state, now)];
	for (const [call, expiresAt] of state.receivedForwards) {
		if (expiresAt <= now) {
			state.receivedForwards.delete(call);
		}
	}

	for (const [key, known] of state.forwardedSteps) {
		if (known.expiresAt <= now) {
			state.forwardedSteps.delete(key);
		}
	}

	for (const step of state.steps.values()) {
		if (now >= step.nextScanAt || state.store.isCatchingUp || step.waitingCalls.length + step.queuedCalls.length > 0) {
			step.nextScanAt = now + scanIntervalMs;
			actions.push(...advanceStep(state, step, now));
		}

		if (now >= step.nextHedgeAt) {
			step.nextHedgeAt = now + hedgeIntervalMs;
			actions.push(...hedgeStragglers(state, step, now));
		}

		const isIdle = step.waitingCalls.length === 0 && now - step.lastCallAt >= stepIdleMs;
		const isRelinquished = !step.isOwned && ![...step.groups.values()].some(group => hasPendingWrites(group));
		if (isIdle || isRelinquished) {
			actions.push(...removeStep(state, step));
		}
	}

	state.store.isCatchingUp &&= [...state.steps.values()].some(step => [...step.groups.values()].some(group => group.isBacklog));
	return actions;
}

function removeStep(state: RolloutState, step: Step): RolloutAction[] {
	state.steps.delete(step.key);
	return [...step.groups.values()].flatMap(group => cancelRuns(state, group.slots));
}

/** Performs all work that is possible now for the groups of a step. */
function advanceStep(state: RolloutState, step: Step, now: Millis): RolloutAction[] {
	acceptQueuedCalls(state, step, now);
	const actions = [...readRows(state, step), ...answerWaitingCalls(state, step, now)];
	for (const group of step.groups.values()) {
		actions.push(...syncGroup(state, step, group, now));
	}

	actions.push(...startRuns(state, step, now));
	return actions;
}

/** Performs all work that is possible now after one group has changed. */
function advanceGroup(state: RolloutState, step: Step, group: Group, now: Millis): RolloutAction[] {
	return [...syncGroup(state, step, group, now), ...answerWaitingCalls(state, step, now), ...syncGroup(state, step, group, now)];
}

/**
Whether a fetch has to read the current rows first. Another daemon that believes it owns the step may have handed over groups
to the same fetchId, and a repeat must return the same groups. A fetch with nothing to hand over reads the rows only at intervals.
*/
function needsFreshRows(step: Step, {request}: PendingCall, now: Millis): boolean {
	if (request.kind !== 'fetch' || step.rowsReadAt === now) {
		return false;
	}

	const groups = [...step.groups.values()];
	const isKnown = groups.some(group => group.fetchId === request.fetchId && (group.phase === 'handed' || group.phase === 'acked'));
	return !isKnown && (groups.some(group => group.phase === 'complete') || now - step.rowsReadAt >= rowReadIntervalMs);
}

function acceptQueuedCalls(state: RolloutState, step: Step, now: Millis): void {
	if (state.store.isUp && step.rows === 'read' && step.queuedCalls.some(pending => needsFreshRows(step, pending, now))) {
		step.rows = 'unread';
	}

	if (step.rows !== 'read' && state.store.isUp) {
		return;
	}

	const {queuedCalls} = step;
	step.queuedCalls = [];
	for (const pending of queuedCalls) {
		acceptCall(step, pending, now);
	}
}

function ensureOwnedStep(state: RolloutState, member: MemberId, step: number, now: Millis): Step {
	const key = stepKey(member, step);
	const existing = state.steps.get(key);
	if (existing !== undefined) {
		existing.rows = existing.isOwned ? existing.rows : 'unread';
		existing.isOwned = true;
		return existing;
	}

	const created: Step = {
		key,
		member,
		step,
		isOwned: true,
		rows: 'unread',
		rowsReadAt: Number.NEGATIVE_INFINITY,
		groups: new Map(),
		waitingCalls: [],
		acknowledgedFetches: new Map(),
		queuedCalls: [],
		lastCallAt: now,
		tokens: 0,
		hedgeTokens: 0,
		nextScanAt: 0,
		nextHedgeAt: 0,
	};
	state.steps.set(key, created);
	return created;
}

function receiveCall(state: RolloutState, event: Extract<RolloutEvent, {kind: 'call'}>, now: Millis): RolloutAction[] {
	const {call, from, member, request, owner, mayForward} = event;
	if (request.kind === 'touch') {
		return receiveTouch(state, event, now);
	}

	if (owner !== state.self) {
		return mayForward
			? forward(state, {
				call, from, member, request, owner,
			}, now)
			: [{
				kind: 'answer', call, to: from, answer: {kind: 'not-owner'},
			}];
	}

	if (from !== undefined) {
		if (state.receivedForwards.has(call)) {
			return [];
		}

		state.receivedForwards.set(call, now + duplicateWindowMs);
	}

	return serve(state, member, {call, from, request}, now);
}

/** Makes the owner read the step's rows immediately, without waiting for a call from the trainer. */
function receiveTouch(state: RolloutState, event: Extract<RolloutEvent, {kind: 'call'}>, now: Millis): RolloutAction[] {
	const {call, member, request, owner, mayForward} = event;
	if (owner === state.self) {
		return advanceStep(state, ensureOwnedStep(state, member, request.step, now), now);
	}

	return mayForward && owner !== undefined
		? [{
			kind: 'forward', call, to: owner, member, request,
		}]
		: [];
}

function serve(state: RolloutState, member: MemberId, pending: PendingCall, now: Millis): RolloutAction[] {
	const step = ensureOwnedStep(state, member, pending.request.step, now);
	step.queuedCalls.push(pending);
	return advanceStep(state, step, now);
}

type CallToForward = Readonly<{call: CallId; from: DaemonId | undefined; member: MemberId; request: PendingCall['request']; owner: DaemonId | undefined}>;

function forward(state: RolloutState, forwarded: CallToForward, now: Millis): RolloutAction[] {
	const {call, member, request, owner} = forwarded;
	state.forwardedSteps.set(stepKey(member, request.step), {
		member, step: request.step, owner, expiresAt: now + forwardedStepTtlMs,
	});
	state.forwardedCalls.set(call, {...forwarded, retryAt: undefined, expiresAt: now + forwardTimeoutMs});
	return owner === undefined
		? []
		: [{
			kind: 'forward', call, to: owner, member, request,
		}];
}

function receiveForwardAnswer(state: RolloutState, event: Extract<RolloutEvent, {kind: 'forward-answer'}>, now: Millis): RolloutAction[] {
	const forwarded = state.forwardedCalls.get(event.call);
	if (forwarded === undefined) {
		return [];
	}

	if (event.answer.kind === 'not-owner') {
		forwarded.retryAt = now + forwardRetryMs;
		return [];
	}

	state.forwardedCalls.delete(event.call);
	return [{
		kind: 'answer', call: event.call, to: forwarded.from, answer: event.answer,
	}];
}

function retryForwards(state: RolloutState, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const forwarded of state.forwardedCalls.values()) {
		const {call, from, member, request, owner} = forwarded;
		if (forwarded.expiresAt <= now) {
			state.forwardedCalls.delete(call);
			actions.push({
				kind: 'answer', call, to: from, answer: {
					kind: 'problem', problem: {
						kind: 'outcome-unknown',
						detail: 'the owner of the step did not answer',
						remedy: 'repeat the same call; a repeat has no other effect',
						outcome: 'unknown',
						retryAfterMs: forwardFailedRetryMs,
					},
				},
			});
		} else if (forwarded.retryAt !== undefined && forwarded.retryAt <= now && owner !== undefined) {
			forwarded.retryAt = undefined;
			actions.push({
				kind: 'forward', call, to: owner, member, request,
			});
		}
	}

	return actions;
}

function changeOwners(state: RolloutState, owners: ReadonlyMap<StepKey, DaemonId | undefined>, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const forwarded of state.forwardedCalls.values()) {
		const owner = owners.get(stepKey(forwarded.member, forwarded.request.step));
		if (owner === forwarded.owner) {
			continue;
		}

		forwarded.owner = owner;
		if (owner === state.self) {
			state.forwardedCalls.delete(forwarded.call);
			actions.push(...serve(state, forwarded.member, {call: forwarded.call, from: forwarded.from, request: forwarded.request}, now));
		} else {
			forwarded.retryAt = now;
		}
	}

	for (const step of state.steps.values()) {
		const owner = owners.get(step.key);
		if (step.isOwned && owner !== state.self) {
			actions.push(...relinquishStep(state, step, owner, now));
		} else if (step.isOwned && step.rows === 'read') {
			// Until now, another daemon may have believed that it owned the step.
			step.rows = 'unread';
			actions.push(...advanceStep(state, step, now));
		}
	}

	return [...actions, ...notifyNewOwners(state, owners, now)];
}

/** Notifies the new owner of each step, so that the step continues before its trainer calls again. */
function notifyNewOwners(state: RolloutState, owners: ReadonlyMap<StepKey, DaemonId | undefined>, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const [key, known] of state.forwardedSteps) {
		const owner = owners.get(key);
		if (owner === known.owner || owner === undefined) {
			continue;
		}

		known.owner = owner;
		const {member, step} = known;
		if (owner === state.self) {
			actions.push(...advanceStep(state, ensureOwnedStep(state, member, step, now), now));
			continue;
		}

		actions.push({
			kind: 'forward', call: uniqueId(state) as CallId, to: owner, member, request: {kind: 'touch', step},
		});
	}

	return actions;
}

/** Passes the waiting calls of a step on to its new owner, and keeps only the groups that still have to be written. */
function relinquishStep(state: RolloutState, step: Step, owner: DaemonId | undefined, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	step.isOwned = false;
	for (const {call, from, request} of [...step.queuedCalls, ...step.waitingCalls]) {
		actions.push(...(from === undefined
			? forward(state, {
				call, from, member: step.member, request, owner,
			}, now)
			: [{
				kind: 'answer' as const, call, to: from, answer: {kind: 'not-owner' as const},
			}]));
	}

	step.queuedCalls = [];
	step.waitingCalls = [];
	for (const group of step.groups.values()) {
		actions.push(...cancelRuns(state, group.slots));
		// Only acknowledged groups have to be written; the new owner runs the rest.
		const isKept = group.phase === 'acked' && hasPendingWrites(group) && step.rows === 'read';
		if (!isKept) {
			step.groups.delete(group.index);
		}
	}

	return actions;
}

function receiveStoreAnswer(state: RolloutState, event: Extract<RolloutEvent, {kind: 'row-answer' | 'list-answer' | 'object-answer'}>, now: Millis): RolloutAction[] {
	const pending = state.storeCalls.get(event.call);
	if (pending === undefined) {
		return [];
	}

	state.storeCalls.delete(event.call);
	const isAnswered = event.kind === 'list-answer' ? event.rows !== undefined : event.answer.kind !== 'unavailable';
	if (isAnswered && !state.store.isUp) {
		markStoreUp(state, now);
	}

	if (pending.kind === 'probe') {
		return [];
	}

	const step = state.steps.get(pending.step);
	if (pending.kind === 'list') {
		const rows = event.kind === 'list-answer' ? event.rows : undefined;
		return rows === undefined
			? handleStoreDown(state, now)
			: [
				...(step?.rows === 'reading' ? receiveListedRows(state, step, rows, now) : []),
				...(step === undefined ? [] : advanceStep(state, step, now)),
			];
	}

	const group = step?.groups.get(pending.group);
	if (step === undefined || group?.storeCall !== event.call) {
		return [];
	}

	group.storeCall = undefined;
	const result = receiveGroupStoreAnswer(state, {
		step, group, pending, event,
	}, now);
	if (result.isDown) {
		return [...result.actions, ...handleStoreDown(state, now)];
	}

	const current = step.groups.get(pending.group);
	return [
		...result.actions,
		...(current === undefined ? [] : advanceGroup(state, step, current, now)),
		...(pending.kind === 'get-prompt' ? startRuns(state, step, now) : []),
	];
}

type GroupAnswer = Readonly<{
	step: Step;
	group: Group;
	pending: Extract<StoreCall, {group: number}>;
	event: Extract<RolloutEvent, {kind: 'row-answer' | 'list-answer' | 'object-answer'}>;
}>;

function receiveGroupStoreAnswer(state: RolloutState, {step, group, pending, event}: GroupAnswer, now: Millis): StoreResult {
	if ('value' in pending) {
		return event.kind === 'row-answer' ? receiveRowAnswer(state, {step, group, pending}, event.answer, now) : {actions: [], isDown: true};
	}

	return event.kind === 'object-answer' ? receiveObjectAnswer(step, group, pending, event.answer) : {actions: [], isDown: true};
}

/** Handles an unreachable store: waiting calls are answered from memory where possible. */
function handleStoreDown(state: RolloutState, now: Millis): RolloutAction[] {
	markStoreDown(state, now);
	return [...state.steps.values()].flatMap(step => advanceStep(state, step, now));
}

/** Returns the steps whose owner this daemon has to know: those that it holds and those that it has forwarded calls for. */
export function trackedSteps(state: RolloutState): ReadonlyArray<Readonly<{key: StepKey; member: MemberId; step: number}>> {
	const held = [...state.steps.values()].map(({key, member, step}) => ({key, member, step}));
	const pending = [...state.forwardedCalls.values()].map(({member, request}) => ({key: stepKey(member, request.step), member, step: request.step}));
	const remembered = [...state.forwardedSteps].map(([key, {member, step}]) => ({key, member, step}));
	return [...held, ...pending, ...remembered];
}

/** Whether no trainer waits for an answer and all acknowledgements are written, as far as the store is up. */
export function areRolloutsIdle(state: RolloutState): boolean {
	const isWaiting = [...state.steps.values()].some(step => step.waitingCalls.length > 0 || step.queuedCalls.length > 0);
	const isWriting = state.store.isUp && [...state.steps.values()].some(step => [...step.groups.values()].some(group => group.phase === 'acked' && hasPendingWrites(group)));
	return state.forwardedCalls.size === 0 && !isWaiting && !isWriting;
}
