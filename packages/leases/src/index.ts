/** Leases with fencing tokens, and the engine orders that a lease holder sends. */

export * from './lease-row.js';
export * from './lease.js';
export * from './orders.js';
