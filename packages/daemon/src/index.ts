/** The daemon process: passes events to the decision code and executes the actions it returns. */

export * from './container.js';
export * from './daemon.js';
export * from './tokens.js';
