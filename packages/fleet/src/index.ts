/** Tracks upstreams and daemons: which are alive, how loaded they are, and which daemon owns which engine. */

export * from './choose-candidates.js';
export * from './choose-upstream.js';
export * from './engine-ownership.js';
export * from './members.js';
export * from './upstream-directory.js';
export type * from './upstream.js';
export * from './version-history.js';
