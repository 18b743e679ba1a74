/** Branded ids, shared record types and the messages between daemons. */

export * from './clock.js';
export * from './ids.js';
export * from './messages.js';
export type * from './outcome.js';
export * from './request.js';
export type * from './rollout.js';
export type * from './row.js';
export type * from './vm.js';
