/** Upstreams and daemons: who is there, how loaded they are, and who looks after which engine. */

export * from './choose-upstream.js';
export * from './engine-ownership.js';
export * from './members.js';
export * from './upstream-directory.js';
export type * from './upstream.js';
