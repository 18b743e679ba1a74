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
/** Shortest long poll of the operator's table, whatever the bound for revoked keys. */
const minOperatorPollWaitMs = 200;
/** Duration of a call to a slow store, and some time to answer it. */
const operatorCallMs = 340;
/** Share of the bound for revoked keys during which a daemon that has lost the store still accepts keys. */
const servedShare = 0.6;
/** Delay of a standby for upstreams and members. A standby takes engines only after candidates have been missing for seconds. */
const standbyCoalesceMs = 900;

/**
Returns the duration of a long poll of the operator's table. Right before a response arrives, the call before it was sent two polls ago.
If the store is lost at that moment, the copy still has to be recent enough for the served share of the bound.
*/
export function operatorPollWait(revocationMs: Millis | undefined): Millis {
	const leftMs = revocationMs === undefined ? Number.POSITIVE_INFINITY : ((1 - servedShare) * revocationMs / 2) - operatorCallMs;
	return Math.max(minOperatorPollWaitMs, Math.min(operatorPollWaitMs, leftMs));
}

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
	/** Time after which a revoked key must not be accepted any more. Undefined if there is no such bound. */
	revocationMs: Millis | undefined;
}>;

/** The copies of the store's tables that a daemon keeps. */
export type TableFollowers = Readonly<Record<'operator' | 'upstreams' | 'batches' | 'fleet', TableFollower>>;

export function createFollowers({store, clock, tables, ownsEngines, isStandby, batchPause, revocationMs}: TableFollowersOptions): TableFollowers {
	const unlessStandby = (ms: Millis) => (isStandby() ? standbyCoalesceMs : ms);
	return {
		operator: new TableFollower({
			store, clock, table: tables.operatorTable, hasSinglePart: true, waitMs: operatorPollWait(revocationMs),
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
