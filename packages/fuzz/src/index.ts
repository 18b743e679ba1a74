/** Stateful fuzzing of the decision code against a simple oracle. */

export * from './commands.js';
export * from './deployment.js';
export * from './oracle.js';
export * from './run-histories.js';
