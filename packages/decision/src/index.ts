/**
The decisions of a whole daemon. A test bench drives a daemon without sockets:
create a state with `createDaemonState`, pass events to `decide`, and carry out the actions that it returns.
*/

export * from './daemon-state.js';
export * from './decide.js';
export type * from './events.js';
export {hasWaitingFrames} from './relays.js';
export * from './shards.js';
