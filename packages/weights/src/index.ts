/** Plans weight loads, and sends load orders to engines under permits. */

export * from './engine-versions.js';
export * from './load-weights.js';
export * from './order-client.js';
export * from './order-permit.js';
export * from './plan-loads.js';
