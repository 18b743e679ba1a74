import {batchTable} from '@cicadapost/batches';
import {TableFollower, type RowStore} from '@cicadapost/store';
import type {Clock, Millis} from '@cicadapost/types';
import {fleetTable} from './member-rows.js';
import type {PlatformTables} from './platform-tables.js';

/** Each upstream writes a heartbeat about once per second. The delay is acceptable, because a leaving upstream stays usable for some seconds. */
const upstreamCoalesceMs = 400;
/** Each candidate writes a heartbeat more than once per second. The delay is acceptable, because a daemon expires only after several missed ones. */
const fleetCoalesceMs = 350;
/** Delay at a daemon without engines, which needs the members only to learn that it becomes an owner. */
const idleFleetCoalesceMs = 500;
/** Duration of a long poll of the operator's table, which changes rarely. A dead connection still shows soon enough for a new configuration. */
const operatorPollWaitMs = 1200;
/** Delay of a standby for upstreams and members. A standby takes engines only after candidates have been missing for seconds. */
const standbyCoalesceMs = 900;

export type TableFollowersOptions = Readonly<{
	store: RowStore;
	clock: Clock;
	tables: PlatformTables;
	/** Whether this daemon owns engines at the moment. */
	ownsEngines: () => boolean;
	/** Whether this daemon is a standby for engines. */
	isStandby: () => boolean;
	/** Returns the delay after changes of batches. */
	batchPause: () => Millis;
}>;

/** The copies of the store's tables that a daemon keeps. */
export type TableFollowers = Readonly<Record<'operator' | 'upstreams' | 'batches' | 'fleet', TableFollower>>;

export function createFollowers({store, clock, tables, ownsEngines, isStandby, batchPause}: TableFollowersOptions): TableFollowers {
	const unlessStandby = (ms: Millis) => (isStandby() ? standbyCoalesceMs : ms);
	return {
		operator: new TableFollower({
			store, clock, table: tables.operatorTable, hasSinglePart: true, waitMs: operatorPollWaitMs,
		}),
		upstreams: new TableFollower({
			store, clock, table: tables.upstreamTable, hasSinglePart: true, coalesceMs: () => unlessStandby(upstreamCoalesceMs),
		}),
		batches: new TableFollower({
			store, clock, table: batchTable, coalesceMs: batchPause,
		}),
		fleet: new TableFollower({
			store, clock, table: fleetTable, coalesceMs: () => unlessStandby(ownsEngines() ? fleetCoalesceMs : idleFleetCoalesceMs),
		}),
	};
}
