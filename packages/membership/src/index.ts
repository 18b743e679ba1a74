/** Cluster membership: live daemons, leaving upstreams, ownership by rendezvous hashing, and peer connections. */

export * from './connections.js';
export * from './membership.js';
export * from './ownership.js';
export * from './state.js';
export * from './views.js';
