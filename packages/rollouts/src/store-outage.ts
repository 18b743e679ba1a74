/** Handles store outages: marks the store as down, probes it, and schedules the remaining writes once it is back. */

import type {Millis} from '@cicadapost/types';
import {groupsTable} from './group-row.js';
import type {RolloutAction} from './rollout-events.js';
import {registerStoreCall, type RolloutState} from './rollout-state.js';
import {hasPendingWrites} from './sync-store.js';

/** Interval of the reads that check whether the store is available again. One row per second is a negligible load. */
const probeIntervalMs = 1000;

/** Records that the store is unreachable. */
export function markStoreDown(state: RolloutState, now: Millis): void {
	state.store.isUp = false;
	state.store.nextProbeAt = now + probeIntervalMs;
	for (const step of state.steps.values()) {
		step.rows = step.rows === 'reading' ? 'unread' : step.rows;
	}
}

/** Records that the store responds again. Writes left over from the outage are sent at a limited rate. */
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

/** While the store is down, reads a row at intervals to check whether it is available again. */
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
