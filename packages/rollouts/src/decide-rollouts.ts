/** Decides about the training steps that this daemon owns, and forwards the calls for those of others. */

import type {
	CallId, DaemonId, MemberId, Millis, DecisionResult,
} from '@cicadapost/types';
import {stepKey} from './group-row.js';
import type {RolloutAction, RolloutEvent, StepKey} from './rollout-events.js';
import {
	type Group, type PendingCall, type RolloutState, type Step, type StoreCall, freshName,
} from './rollout-state.js';
import {
	addText, cancelRuns, failRun, finishRun, hedgeStragglers, startRuns,
} from './run-samples.js';
import {settleWaiters, takeCall} from './serve-trainer.js';
import {markDown, markUp, probe} from './store-outage.js';
import {
	isDirty, readRows, receiveObject, receiveRow, receiveRows, syncGroup, type StoreResult,
} from './sync-store.js';

/** A step that no call was about for this long leaves memory; its rows stay. */
const stepIdleMs = 3_600_000;
const forwardRetryMs = 200;
/** A forwarded call without an answer for this long ends as unknown. */
const forwardTimeoutMs = 20_000;
const forwardFailedRetryMs = 1000;
/** A duplicate of a forwarded call is recognised for this long. */
const seenMs = 60_000;
/** A step without a forwarded call for this long is of no interest here any more. */
const knownMs = 600_000;
const scanIntervalMs = 200;
const hedgeIntervalMs = 1000;
/** A trainer that polls an unfinished step causes at most this many reads: one in 200 ms. */
const rowsIntervalMs = 200;

/** Updates `state` in place and returns it with the actions to carry out, in order. */
export function decideRollouts(state: RolloutState, event: RolloutEvent, now: Millis): DecisionResult<RolloutState, RolloutAction> {
	return {state, actions: react(state, event, now)};
}

function react(state: RolloutState, event: RolloutEvent, now: Millis): RolloutAction[] {
	switch (event.kind) {
		case 'call': {
			return receiveCall(state, event, now);
		}

		case 'forward-answer': {
			return receiveForwardAnswer(state, event, now);
		}

		case 'trainer-left': {
			state.forwards.delete(event.call);
			return [];
		}

		case 'sample-chunk': {
			addText(state, event.requestId, event.chunk.text, event.chunk.tokens);
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
	for (const [call, expiresAt] of state.seen) {
		if (expiresAt <= now) {
			state.seen.delete(call);
		}
	}

	for (const [key, known] of state.known) {
		if (known.expiresAt <= now) {
			state.known.delete(key);
		}
	}

	for (const step of state.steps.values()) {
		if (now >= step.nextScanAt || state.store.isCatchingUp || step.waiters.length + step.early.length > 0) {
			step.nextScanAt = now + scanIntervalMs;
			actions.push(...advanceStep(state, step, now));
		}

		if (now >= step.nextHedgeAt) {
			step.nextHedgeAt = now + hedgeIntervalMs;
			actions.push(...hedgeStragglers(state, step, now));
		}

		const isIdle = step.waiters.length === 0 && now - step.touchedAt >= stepIdleMs;
		const isLeft = !step.isOwned && ![...step.groups.values()].some(group => isDirty(group));
		if (isIdle || isLeft) {
			actions.push(...dropStep(state, step));
		}
	}

	state.store.isCatchingUp &&= [...state.steps.values()].some(step => [...step.groups.values()].some(group => group.isBacklog));
	return actions;
}

function dropStep(state: RolloutState, step: Step): RolloutAction[] {
	state.steps.delete(step.key);
	return [...step.groups.values()].flatMap(group => cancelRuns(state, group.slots));
}

/** Does what can be done now for all groups of a step. */
function advanceStep(state: RolloutState, step: Step, now: Millis): RolloutAction[] {
	takeEarlyCalls(state, step, now);
	const actions = [...readRows(state, step), ...settleWaiters(state, step, now)];
	for (const group of step.groups.values()) {
		actions.push(...syncGroup(state, step, group, now));
	}

	actions.push(...startRuns(state, step, now));
	return actions;
}

/** Does what can be done now after a change of one group. */
function advanceGroup(state: RolloutState, step: Step, group: Group, now: Millis): RolloutAction[] {
	return [...syncGroup(state, step, group, now), ...settleWaiters(state, step, now), ...syncGroup(state, step, group, now)];
}

/**
Whether a fetch needs the rows as they are now. Another daemon that believes to own the step may have handed over
groups to it, and a repeat has to get the same ones. A fetch that finds nothing to hand over reads only now and then.
*/
function needsRows(step: Step, {request}: PendingCall, now: Millis): boolean {
	if (request.kind !== 'fetch' || step.rowsReadAt === now) {
		return false;
	}

	const groups = [...step.groups.values()];
	const isKnown = groups.some(group => group.fetchId === request.fetchId && (group.phase === 'handed' || group.phase === 'acked'));
	return !isKnown && (groups.some(group => group.phase === 'complete') || now - step.rowsReadAt >= rowsIntervalMs);
}

function takeEarlyCalls(state: RolloutState, step: Step, now: Millis): void {
	if (state.store.isUp && step.rows === 'read' && step.early.some(pending => needsRows(step, pending, now))) {
		step.rows = 'unread';
	}

	if (step.rows !== 'read' && state.store.isUp) {
		return;
	}

	const {early} = step;
	step.early = [];
	for (const pending of early) {
		takeCall(step, pending, now);
	}
}

function ownedStep(state: RolloutState, member: MemberId, step: number, now: Millis): Step {
	const key = stepKey(member, step);
	const known = state.steps.get(key);
	if (known !== undefined) {
		known.rows = known.isOwned ? known.rows : 'unread';
		known.isOwned = true;
		return known;
	}

	const created: Step = {
		key,
		member,
		step,
		isOwned: true,
		rows: 'unread',
		rowsReadAt: Number.NEGATIVE_INFINITY,
		groups: new Map(),
		waiters: [],
		closed: new Map(),
		early: [],
		touchedAt: now,
		tokens: 0,
		hedgedTokens: 0,
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
		if (state.seen.has(call)) {
			return [];
		}

		state.seen.set(call, now + seenMs);
	}

	return serve(state, member, {call, from, request}, now);
}

/** The owner reads the step's rows at once, without waiting for a call of the trainer. */
function receiveTouch(state: RolloutState, event: Extract<RolloutEvent, {kind: 'call'}>, now: Millis): RolloutAction[] {
	const {call, member, request, owner, mayForward} = event;
	if (owner === state.self) {
		return advanceStep(state, ownedStep(state, member, request.step, now), now);
	}

	return mayForward && owner !== undefined
		? [{
			kind: 'forward', call, to: owner, member, request,
		}]
		: [];
}

function serve(state: RolloutState, member: MemberId, pending: PendingCall, now: Millis): RolloutAction[] {
	const step = ownedStep(state, member, pending.request.step, now);
	step.early.push(pending);
	return advanceStep(state, step, now);
}

type Forwarded = Readonly<{call: CallId; from: DaemonId | undefined; member: MemberId; request: PendingCall['request']; owner: DaemonId | undefined}>;

function forward(state: RolloutState, forwarded: Forwarded, now: Millis): RolloutAction[] {
	const {call, member, request, owner} = forwarded;
	state.known.set(stepKey(member, request.step), {
		member, step: request.step, owner, expiresAt: now + knownMs,
	});
	state.forwards.set(call, {...forwarded, retryAt: undefined, expiresAt: now + forwardTimeoutMs});
	return owner === undefined
		? []
		: [{
			kind: 'forward', call, to: owner, member, request,
		}];
}

function receiveForwardAnswer(state: RolloutState, event: Extract<RolloutEvent, {kind: 'forward-answer'}>, now: Millis): RolloutAction[] {
	const known = state.forwards.get(event.call);
	if (known === undefined) {
		return [];
	}

	if (event.answer.kind === 'not-owner') {
		known.retryAt = now + forwardRetryMs;
		return [];
	}

	state.forwards.delete(event.call);
	return [{
		kind: 'answer', call: event.call, to: known.from, answer: event.answer,
	}];
}

function retryForwards(state: RolloutState, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const known of state.forwards.values()) {
		const {call, from, member, request, owner} = known;
		if (known.expiresAt <= now) {
			state.forwards.delete(call);
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
		} else if (known.retryAt !== undefined && known.retryAt <= now && owner !== undefined) {
			known.retryAt = undefined;
			actions.push({
				kind: 'forward', call, to: owner, member, request,
			});
		}
	}

	return actions;
}

function changeOwners(state: RolloutState, owners: ReadonlyMap<StepKey, DaemonId | undefined>, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const known of state.forwards.values()) {
		const owner = owners.get(stepKey(known.member, known.request.step));
		if (owner === known.owner) {
			continue;
		}

		known.owner = owner;
		if (owner === state.self) {
			state.forwards.delete(known.call);
			actions.push(...serve(state, known.member, {call: known.call, from: known.from, request: known.request}, now));
		} else {
			known.retryAt = now;
		}
	}

	for (const step of state.steps.values()) {
		const owner = owners.get(step.key);
		if (step.isOwned && owner !== state.self) {
			actions.push(...leaveStep(state, step, owner, now));
		} else if (step.isOwned && step.rows === 'read') {
			// Until now another daemon may have believed to own the step.
			step.rows = 'unread';
			actions.push(...advanceStep(state, step, now));
		}
	}

	return [...actions, ...touchMovedSteps(state, owners, now)];
}

/** Tells each step's new owner about it, so that the step goes on before its trainer calls again. */
function touchMovedSteps(state: RolloutState, owners: ReadonlyMap<StepKey, DaemonId | undefined>, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	for (const [key, known] of state.known) {
		const owner = owners.get(key);
		if (owner === known.owner || owner === undefined) {
			continue;
		}

		known.owner = owner;
		const {member, step} = known;
		if (owner === state.self) {
			actions.push(...advanceStep(state, ownedStep(state, member, step, now), now));
			continue;
		}

		actions.push({
			kind: 'forward', call: freshName(state) as CallId, to: owner, member, request: {kind: 'touch', step},
		});
	}

	return actions;
}

/** Hands the waiting calls of a step to its new owner, and keeps only what still has to be written. */
function leaveStep(state: RolloutState, step: Step, owner: DaemonId | undefined, now: Millis): RolloutAction[] {
	const actions: RolloutAction[] = [];
	step.isOwned = false;
	for (const {call, from, request} of [...step.early, ...step.waiters]) {
		actions.push(...(from === undefined
			? forward(state, {
				call, from, member: step.member, request, owner,
			}, now)
			: [{
				kind: 'answer' as const, call, to: from, answer: {kind: 'not-owner' as const},
			}]));
	}

	step.early = [];
	step.waiters = [];
	for (const group of step.groups.values()) {
		actions.push(...cancelRuns(state, group.slots));
		// Only what the trainer has acknowledged is worth writing; the new owner runs the rest.
		const isKept = group.phase === 'acked' && isDirty(group) && step.rows === 'read';
		if (!isKept) {
			step.groups.delete(group.index);
		}
	}

	return actions;
}

function receiveStoreAnswer(state: RolloutState, event: Extract<RolloutEvent, {kind: 'row-answer' | 'list-answer' | 'object-answer'}>, now: Millis): RolloutAction[] {
	const pending = state.calls.get(event.call);
	if (pending === undefined) {
		return [];
	}

	state.calls.delete(event.call);
	const isAnswered = event.kind === 'list-answer' ? event.rows !== undefined : event.answer.kind !== 'unavailable';
	if (isAnswered && !state.store.isUp) {
		markUp(state, now);
	}

	if (pending.kind === 'probe') {
		return [];
	}

	const step = state.steps.get(pending.step);
	if (pending.kind === 'list') {
		const rows = event.kind === 'list-answer' ? event.rows : undefined;
		return rows === undefined
			? goDown(state, now)
			: [
				...(step?.rows === 'reading' ? receiveRows(state, step, rows, now) : []),
				...(step === undefined ? [] : advanceStep(state, step, now)),
			];
	}

	const group = step?.groups.get(pending.group);
	if (step === undefined || group?.storeCall !== event.call) {
		return [];
	}

	group.storeCall = undefined;
	const result = receiveGroupAnswer(state, {
		step, group, pending, event,
	}, now);
	if (result.isDown) {
		return [...result.actions, ...goDown(state, now)];
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

function receiveGroupAnswer(state: RolloutState, {step, group, pending, event}: GroupAnswer, now: Millis): StoreResult {
	if ('value' in pending) {
		return event.kind === 'row-answer' ? receiveRow(state, {step, group, pending}, event.answer, now) : {actions: [], isDown: true};
	}

	return event.kind === 'object-answer' ? receiveObject(step, group, pending, event.answer) : {actions: [], isDown: true};
}

/** The store can't be reached: calls that wait for it are answered as far as memory allows. */
function goDown(state: RolloutState, now: Millis): RolloutAction[] {
	markDown(state, now);
	return [...state.steps.values()].flatMap(step => advanceStep(state, step, now));
}

/** The steps whose owner this daemon has to know: those that it holds and those of forwarded calls. */
export function stepsToOwn(state: RolloutState): ReadonlyArray<Readonly<{key: StepKey; member: MemberId; step: number}>> {
	const held = [...state.steps.values()].map(({key, member, step}) => ({key, member, step}));
	const forwarded = [...state.forwards.values()].map(({member, request}) => ({key: stepKey(member, request.step), member, step: request.step}));
	const known = [...state.known].map(([key, {member, step}]) => ({key, member, step}));
	return [...held, ...forwarded, ...known];
}

/** Whether no trainer waits for an answer and nothing that it has acknowledged is left to be written. */
export function isRolloutsIdle(state: RolloutState): boolean {
	const isWaiting = [...state.steps.values()].some(step => step.waiters.length > 0 || step.early.length > 0);
	const isWriting = state.store.isUp && [...state.steps.values()].some(step => [...step.groups.values()].some(group => group.phase === 'acked' && isDirty(group)));
	return state.forwards.size === 0 && !isWaiting && !isWriting;
}
