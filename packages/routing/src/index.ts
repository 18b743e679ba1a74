/** Routes requests in their entry daemon, from arrival to the final answer. */

export * from './assemble-stream.js';
export * from './problems.js';
export * from './router-state.js';
export * from './router.js';
