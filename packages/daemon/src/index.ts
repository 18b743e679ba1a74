/** The process: tasks that carry out the actions of the decision code. */

export * from './container.js';
export * from './daemon.js';
export * from './tokens.js';
