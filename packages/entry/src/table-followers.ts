import {batchTable} from '@cicadapost/batches';
import {TableFollower, type RowStore} from '@cicadapost/store';
import type {Clock, Millis} from '@cicadapost/types';
import {fleetTable} from './member-rows.js';
import type {PlatformTables} from './platform-tables.js';

/** Each upstream writes a heartbeat about once per second. The delay is acceptable, because a leaving upstream stays usable for some seconds. */
const upstreamCoalesceMs = 400;
/** Each daemon writes a heartbeat more than once per second. The delay is acceptable, because a daemon expires only after several missed ones. */
const fleetCoalesceMs = 350;
/** Delay at a daemon without engines, which needs the members only to learn that it becomes an owner. */
export const idleFleetCoalesceMs = 500;

export type TableFollowersOptions = Readonly<{
	store: RowStore;
	clock: Clock;
	tables: PlatformTables;
	/** Whether this daemon owns engines at the moment. */
	ownsEngines: () => boolean;
	/** Returns the delay after changes of batches. */
	batchPause: () => Millis;
}>;

/** The copies of the store's tables that a daemon keeps. */
export type TableFollowers = Readonly<Record<'operator' | 'upstreams' | 'batches' | 'fleet', TableFollower>>;

export function createFollowers({store, clock, tables, ownsEngines, batchPause}: TableFollowersOptions): TableFollowers {
	return {
		operator: new TableFollower({
			store, clock, table: tables.operatorTable, hasSinglePart: true,
		}),
		upstreams: new TableFollower({
			store, clock, table: tables.upstreamTable, hasSinglePart: true, coalesceMs: () => upstreamCoalesceMs,
		}),
		batches: new TableFollower({
			store, clock, table: batchTable, coalesceMs: batchPause,
		}),
		fleet: new TableFollower({
			store, clock, table: fleetTable, coalesceMs: () => (ownsEngines() ? fleetCoalesceMs : idleFleetCoalesceMs),
		}),
	};
}
