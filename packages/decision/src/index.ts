/**
The decision logic of a daemon, without I/O. To run a daemon, or to drive one in a test without sockets, create a state with
`createDaemonState`, pass events to `decide` and carry out the actions that it returns.
*/

export * from './daemon-state.js';
export * from './decide.js';
export type * from './events.js';
export {hasWaitingFrames} from './relays.js';
export * from './shards.js';
