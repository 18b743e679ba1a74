/** Deterministic simulation of the dependencies of the decision code, in virtual time. The same seed gives the same run. */

export * from './daemon.js';
export * from './engine.js';
export * from './event-queue.js';
export * from './job.js';
export * from './network.js';
export * from './random.js';
export * from './recorder.js';
export * from './store.js';
export * from './simulation.js';
