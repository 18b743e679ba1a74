/** Which engine loads which weights when, and who may order it. */

export * from './engine-versions.js';
export * from './load-weights.js';
export * from './order-client.js';
export * from './order-permit.js';
export * from './plan-loads.js';
