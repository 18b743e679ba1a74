/** Fakes in virtual time at the interfaces of the decision code. Equal seeds give equal runs. */

export * from './daemon.js';
export * from './engine.js';
export * from './event-queue.js';
export * from './job.js';
export * from './network.js';
export * from './random.js';
export * from './recorder.js';
export * from './store.js';
export * from './simulation.js';
