/** Fuzzing of the decision code with random command histories, checked by an independent oracle. */

export * from './commands.js';
export * from './deployment.js';
export * from './oracle.js';
export * from './run-histories.js';
