/** Writes the state of groups to their rows and objects in the store, with at most one store call in flight per group. */

import type {
	CallId, ListedRow, Millis, ObjectResponse, RowResponse, Sample,
} from '@cicadapost/types';
import {
	groupsTable, parseGroup, parseRow, rowKey, type GroupRow, sampleSeed,
} from './group-row.js';
import type {RolloutAction} from './rollout-events.js';
import {
	registerStoreCall, uniqueId, type Group, type RolloutState, type SampleSlot, type Step, type StoreCall,
} from './rollout-state.js';
import {cancelRuns, finishedSamples, discardResults} from './run-samples.js';

export function createSlots(seed: number, samples: number): SampleSlot[] {
	return Array.from({length: samples}, (_, index) => ({
		index, seed: sampleSeed(seed, index), runs: [], result: undefined, durationMs: 0, retryAt: 0, failures: 0,
	}));
}

function groupFromRow(index: number, listed: Readonly<{version: number; value: string}>, now: Millis): Group {
	const row = parseRow(listed.value);
	const loadByPhase = {
		open: 'prompt', complete: 'samples', handed: 'samples', acked: undefined,
	} as const;
	return {
		index,
		bodyHash: row.bodyHash,
		model: row.model,
		maxTokens: row.maxTokens,
		stalenessBound: row.stalenessBound,
		seed: row.seed,
		submittedAt: now,
		prompt: undefined,
		slots: row.phase === 'acked' ? [] : createSlots(row.seed, row.samples),
		phase: row.phase,
		fetchId: row.fetchId,
		handedAt: now,
		ackedWith: row.ackedWith,
		isHandoverUnrecorded: false,
		stored: {...listed, row},
		promptKey: row.promptKey,
		objectKey: row.objectKey,
		pendingObject: undefined,
		unreferencedObjects: [],
		storeCall: undefined,
		load: loadByPhase[row.phase],
		isBacklog: false,
	};
}

/** Returns the row that the store should hold for the group. */
function desiredRow(group: Group): GroupRow {
	const isAcked = group.phase === 'acked';
	const phase = group.isHandoverUnrecorded && !isAcked ? 'complete' : group.phase;
	return {
		phase,
		bodyHash: group.bodyHash,
		model: group.model,
		samples: group.stored?.row.samples ?? group.slots.length,
		maxTokens: group.maxTokens,
		stalenessBound: group.stalenessBound,
		seed: group.seed,
		...(group.promptKey === undefined || isAcked ? {} : {promptKey: group.promptKey}),
		...(group.objectKey === undefined || isAcked ? {} : {objectKey: group.objectKey}),
		...(group.fetchId === undefined || (phase !== 'handed' && phase !== 'acked') ? {} : {fetchId: group.fetchId}),
		...(group.ackedWith === undefined || !isAcked ? {} : {ackedWith: group.ackedWith}),
	};
}

/** Whether the stored row matches the group in memory. While stale samples are run again, the row of the old samples remains. */
export function isStored(group: Group): boolean {
	const row = group.stored?.row;
	if (row === undefined) {
		return false;
	}

	switch (group.isHandoverUnrecorded && group.phase === 'handed' ? 'complete' : group.phase) {
		case 'open': {
			return row.phase === 'open' || row.phase === 'complete';
		}

		case 'complete': {
			return row.phase === 'complete' && row.objectKey === group.objectKey;
		}

		case 'handed': {
			return row.phase === 'handed' && row.objectKey === group.objectKey && row.fetchId === group.fetchId;
		}

		case 'acked': {
			return row.phase === 'acked';
		}
	}
}

type PlannedCall = Readonly<{call: StoreCall; isWrite: boolean; action: (call: CallId) => RolloutAction}>;

function plan(state: RolloutState, step: Step, group: Group): PlannedCall | undefined {
	const place = {step: step.key, group: group.index};
	if (group.load !== undefined) {
		const key = group.load === 'prompt' ? group.promptKey : group.objectKey;
		return key === undefined
			? undefined
			: {
				call: {kind: group.load === 'prompt' ? 'get-prompt' : 'get-samples', ...place, key},
				isWrite: false,
				action: call => ({kind: 'get-object', call, key}),
			};
	}

	const needsPrompt = group.promptKey === undefined && group.phase !== 'acked';
	if (needsPrompt && group.prompt !== undefined) {
		const key = `prompts/${rowKey(step.key, group.index)}/${group.bodyHash}`;
		const value = group.prompt;
		return {
			call: {kind: 'put-prompt', ...place, key}, isWrite: true, action: call => ({
				kind: 'put-object', call, key, value,
			}),
		};
	}

	const samples = finishedSamples(group);
	const needsSamples = group.objectKey === undefined && (group.phase === 'complete' || group.phase === 'handed');
	if (needsSamples && samples !== undefined) {
		group.pendingObject ??= `samples/${rowKey(step.key, group.index)}/${uniqueId(state)}`;
		const key = group.pendingObject;
		return {
			call: {kind: 'put-samples', ...place, key}, isWrite: true, action: call => ({
				kind: 'put-object', call, key, value: JSON.stringify({group: group.index, samples}),
			}),
		};
	}

	if (!isStored(group)) {
		const value = JSON.stringify(desiredRow(group));
		return {
			call: {kind: 'write-row', ...place, value}, isWrite: true, action: call => ({
				kind: 'write-row', call, table: groupsTable, key: rowKey(step.key, group.index), expectedVersion: group.stored?.version ?? 0, value,
			}),
		};
	}

	const [key] = group.unreferencedObjects;
	return key === undefined
		? undefined
		: {
			call: {kind: 'delete', ...place, key}, isWrite: true, action: call => ({kind: 'delete-object', call, key}),
		};
}

/** Whether the group still has something to write or delete in the store. */
export function hasPendingWrites(group: Group): boolean {
	return group.storeCall !== undefined || !isStored(group) || group.unreferencedObjects.length > 0;
}

/** Takes a token from the bucket that limits catch-up writes. Returns whether one was available. */
function takeWriteToken(state: RolloutState, now: Millis): boolean {
	const {store} = state;
	const refill = (now - store.refilledAt) * state.catchUpWritesPerSecond / 1000;
	// The bucket holds the tokens of a tenth of a second, which prevents a burst of writes.
	store.tokens = Math.min(Math.max(1, state.catchUpWritesPerSecond / 10), store.tokens + refill);
	store.refilledAt = now;
	if (store.tokens < 1) {
		return false;
	}

	store.tokens--;
	return true;
}

/** Returns the next store call of the group, unless one is in flight or the store is down. */
export function syncGroup(state: RolloutState, step: Step, group: Group, now: Millis): RolloutAction[] {
	if (!state.store.isUp || group.storeCall !== undefined || step.rows !== 'read') {
		return [];
	}

	const hasPrompt = group.promptKey !== undefined || group.phase === 'acked';
	if (hasPrompt && group.load === undefined && group.unreferencedObjects.length === 0 && isStored(group)) {
		group.isBacklog = false;
		return [];
	}

	const planned = plan(state, step, group);
	if (planned === undefined) {
		group.isBacklog = false;
		return [];
	}

	if (group.isBacklog && planned.isWrite && !takeWriteToken(state, now)) {
		return [];
	}

	const call = registerStoreCall(state, planned.call);
	group.storeCall = call;
	return [planned.action(call)];
}

/** Reads the rows of a step. A new owner does this before anything else. */
export function readRows(state: RolloutState, step: Step): RolloutAction[] {
	if (step.rows !== 'unread' || !state.store.isUp || !step.isOwned) {
		return [];
	}

	step.rows = 'reading';
	const call = registerStoreCall(state, {kind: 'list', step: step.key});
	return [{
		kind: 'list-rows', call, table: groupsTable, prefix: `${step.key}/`,
	}];
}

/** Updates a group from a row that another daemon has written. */
function adoptRow(state: RolloutState, step: Step, group: Group, listed: Readonly<{version: number; value: string}>, now: Millis): RolloutAction[] {
	const row = parseRow(listed.value);
	if (row.bodyHash !== group.bodyHash) {
		const actions = cancelRuns(state, group.slots);
		step.groups.set(group.index, groupFromRow(group.index, listed, now));
		return actions;
	}

	const before = group.stored;
	group.stored = {...listed, row};
	// The trainer has received what it acknowledged, so an acknowledgement takes precedence over any other hand-over.
	if (group.phase === 'acked' && row.phase !== 'acked') {
		return [];
	}

	if (row.phase === 'open') {
		group.promptKey ??= row.promptKey;
		// Another daemon has discarded the samples because they were stale.
		if (before !== undefined && before.row.phase !== 'open') {
			discardResults(group, group.slots);
		}

		return [];
	}

	const actions = cancelRuns(state, group.slots);
	for (const key of [group.objectKey, group.pendingObject]) {
		if (key !== undefined && key !== row.objectKey) {
			group.unreferencedObjects.push(key);
		}
	}

	const hasSameObject = group.objectKey !== undefined && group.objectKey === row.objectKey;
	group.phase = row.phase;
	group.fetchId = row.fetchId;
	group.handedAt = now;
	group.ackedWith = row.ackedWith;
	group.isHandoverUnrecorded = false;
	group.promptKey = row.promptKey;
	group.objectKey = row.objectKey;
	group.pendingObject = undefined;
	if (row.phase === 'acked') {
		freeSamples(group);
		return actions;
	}

	resolveAcknowledgedFetch(step, group);
	if (!hasSameObject) {
		group.slots = createSlots(row.seed, row.samples);
		group.load = 'samples';
	}

	return actions;
}

/** Frees the memory of a group that the trainer has acknowledged. */
export function freeSamples(group: Group): void {
	group.slots = [];
	group.prompt = undefined;
	group.load = undefined;
}

/** Loads the rows of a step into memory. */
export function receiveListedRows(state: RolloutState, step: Step, rows: readonly ListedRow[], now: Millis): RolloutAction[] {
	step.rows = 'read';
	step.rowsReadAt = now;
	const actions = rows.flatMap(listed => {
		const index = Number(listed.key.split('/').at(-1));
		const group = step.groups.get(index);
		if (group === undefined) {
			step.groups.set(index, groupFromRow(index, listed, now));
			return [];
		}

		// A group with a store call in flight is updated by the answer to that call.
		const isNewer = group.storeCall === undefined && (group.stored?.version ?? 0) < listed.version;
		return isNewer ? adoptRow(state, step, group, listed, now) : [];
	});
	for (const group of step.groups.values()) {
		resolveAcknowledgedFetch(step, group);
	}

	return actions;
}

/** Makes a group that was handed over available again, since the trainer did not receive it. */
export function releaseGroup(group: Group): void {
	group.phase = 'complete';
	group.fetchId = undefined;
	group.isHandoverUnrecorded = false;
}

/**
Resolves a group that was handed over to a fetchId that the trainer has since acknowledged. If the trainer listed the group,
it becomes acknowledged. Otherwise a daemon handed it over too late, after the trainer had its answer, and it is released.
*/
export function resolveAcknowledgedFetch(step: Step, group: Group): void {
	if (group.phase !== 'handed') {
		return;
	}

	const acknowledged = [...step.groups.values()].find(other => other.phase === 'acked' && other.fetchId === group.fetchId && other.ackedWith !== undefined);
	const namedGroups = step.acknowledgedFetches.get(group.fetchId ?? '') ?? acknowledged?.ackedWith;
	if (namedGroups === undefined) {
		return;
	}

	if (namedGroups.includes(group.index)) {
		group.phase = 'acked';
		group.ackedWith = namedGroups;
		return;
	}

	releaseGroup(group);
}

/** Records that a row is stored as this daemon wrote it, and marks the objects that it no longer references for deletion. */
function recordWrittenRow(group: Group, version: number, value: string): void {
	const before = group.stored?.row;
	const row = parseRow(value);
	group.stored = {version, value, row};
	for (const [old, current] of [[before?.objectKey, row.objectKey], [before?.promptKey, row.promptKey]] as const) {
		if (old !== undefined && old !== current && !group.unreferencedObjects.includes(old)) {
			group.unreferencedObjects.push(old);
		}
	}

	if (group.phase === 'acked' && row.phase === 'acked') {
		for (const key of [group.objectKey, group.promptKey, group.pendingObject]) {
			if (key !== undefined && !group.unreferencedObjects.includes(key)) {
				group.unreferencedObjects.push(key);
			}
		}

		group.objectKey = undefined;
		group.promptKey = undefined;
		group.pendingObject = undefined;
		group.isHandoverUnrecorded = false;
		freeSamples(group);
	}
}

export type StoreResult = Readonly<{actions: RolloutAction[]; isDown: boolean}>;

const stillUp: StoreResult = {actions: [], isDown: false};
const down: StoreResult = {actions: [], isDown: true};

export type RowCall = Readonly<{step: Step; group: Group; pending: Extract<StoreCall, {kind: 'write-row' | 'read-back'}>}>;

/** Handles the answer to a row write, or to a read-back that determines whether a write took effect. */
export function receiveRowAnswer(state: RolloutState, {step, group, pending}: RowCall, answer: RowResponse, now: Millis): StoreResult {
	switch (answer.kind) {
		case 'written': {
			recordWrittenRow(group, answer.version, pending.value);
			return stillUp;
		}

		case 'row':
		case 'conflict': {
			if (answer.value === pending.value) {
				recordWrittenRow(group, answer.version, answer.value);
				return stillUp;
			}

			const isNewer = answer.version > (group.stored?.version ?? 0);
			return isNewer ? {actions: adoptRow(state, step, group, answer, now), isDown: false} : stillUp;
		}

		case 'absent': {
			return stillUp;
		}

		case 'unavailable': {
			if (pending.kind === 'read-back') {
				return down;
			}

			// The write may have taken effect even though its answer was lost.
			const call = registerStoreCall(state, {...pending, kind: 'read-back'});
			group.storeCall = call;
			return {
				actions: [{
					kind: 'read-row', call, table: groupsTable, key: rowKey(step.key, group.index),
				}], isDown: false,
			};
		}
	}
}

function restoreSamples(group: Group, samples: readonly Sample[]): void {
	for (const sample of samples) {
		const slot = group.slots[sample.index];
		if (slot !== undefined) {
			slot.result = sample;
		}
	}
}

type ObjectCall = Extract<StoreCall, {kind: 'put-prompt' | 'put-samples' | 'delete' | 'get-prompt' | 'get-samples'}>;

/** Handles the answer of the object store to a call for one group. */
export function receiveObjectAnswer(step: Step, group: Group, pending: ObjectCall, answer: ObjectResponse): StoreResult {
	if (answer.kind === 'unavailable') {
		return down;
	}

	switch (pending.kind) {
		case 'put-prompt': {
			group.promptKey = pending.key;
			break;
		}

		case 'put-samples': {
			if (group.pendingObject === pending.key) {
				group.pendingObject = undefined;
				group.objectKey = pending.key;
			} else if (!group.unreferencedObjects.includes(pending.key)) {
				group.unreferencedObjects.push(pending.key);
			}

			break;
		}

		case 'delete': {
			group.unreferencedObjects = group.unreferencedObjects.filter(key => key !== pending.key);
			break;
		}

		case 'get-prompt':
		case 'get-samples': {
			receiveLoadedObject(step, group, pending, answer);
			break;
		}
	}

	return stillUp;
}

function receiveLoadedObject(step: Step, group: Group, pending: ObjectCall, answer: ObjectResponse): void {
	const isCurrent = pending.key === (group.load === 'prompt' ? group.promptKey : group.objectKey);
	if (group.load === undefined || !isCurrent) {
		return;
	}

	if (answer.kind !== 'object') {
		// Without its object the group is reported as missing, so that the trainer submits it again.
		step.groups.delete(group.index);
		return;
	}

	if (group.load === 'prompt') {
		group.prompt = answer.value;
	} else {
		restoreSamples(group, parseGroup(answer.value).samples);
	}

	group.load = undefined;
}
