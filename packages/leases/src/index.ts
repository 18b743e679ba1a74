/** Leases with fencing numbers and the orders that are sent under them. */

export * from './lease-row.js';
export * from './lease.js';
export * from './orders.js';
