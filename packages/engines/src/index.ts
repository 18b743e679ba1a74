/** HTTP clients for model engines and plain services. */

export * from './attempt-failure.js';
export * from './completion-stream.js';
export * from './engine-orders.js';
export * from './engine-state.js';
export * from './read-events.js';
