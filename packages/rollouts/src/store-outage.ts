/** What a daemon does with its steps when the store goes away and comes back. */

import type {Millis} from '@cicadapost/types';
import {groupsTable} from './group-row.js';
import type {RolloutAction} from './rollout-events.js';
import {registerStoreCall, type RolloutState} from './rollout-state.js';
import {hasPendingWrites} from './sync-store.js';

/** Pause between two reads that find out whether the store is back; one row each second is no load for it. */
const probeIntervalMs = 1000;

/** Notes that the store can't be reached. */
export function markStoreDown(state: RolloutState, now: Millis): void {
	state.store.isUp = false;
	state.store.nextProbeAt = now + probeIntervalMs;
	for (const step of state.steps.values()) {
		step.rows = step.rows === 'reading' ? 'unread' : step.rows;
	}
}

/** Notes that the store answers again: what was left over is written at the limited rate. */
export function markStoreUp(state: RolloutState, now: Millis): void {
	state.store.isUp = true;
	state.store.refilledAt = now;
	state.store.tokens = 0;
	for (const step of state.steps.values()) {
		for (const group of step.groups.values()) {
			group.isBacklog = hasPendingWrites(group);
			state.store.isCatchingUp ||= group.isBacklog;
		}
	}
}

/** While the store is down, a read now and then finds out whether it is back. */
export function probe(state: RolloutState, now: Millis): RolloutAction[] {
	if (state.store.isUp || now < state.store.nextProbeAt || state.steps.size === 0) {
		return [];
	}

	state.store.nextProbeAt = now + probeIntervalMs;
	const call = registerStoreCall(state, {kind: 'probe'});
	return [{
		kind: 'read-row', call, table: groupsTable, key: 'probe',
	}];
}
