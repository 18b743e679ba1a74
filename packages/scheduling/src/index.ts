/** Assigns waiting requests to the upstreams of a shard. */

export type * from './events.js';
export {decideScheduling} from './scheduler.js';
export {
	createScheduler, waitingCount, type SchedulerOptions, type SchedulerState,
} from './scheduler-state.js';
export {
	listSuspects, createSuspectTable, deathIdsOf, mergeSuspects, type SuspectTable,
} from './suspects.js';
