/** Decides the life cycle of one request in its entry daemon. */

export * from './assemble-stream.js';
export * from './problems.js';
export * from './router-state.js';
export * from './router.js';
