/** Order of the groups of samples of several training steps on contended engines. */

export * from './decide-move.js';
export * from './pace-meter.js';
export * from './rank-groups.js';
