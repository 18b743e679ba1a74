/** Live daemons, leaving upstreams, ownership by rendezvous hashing, and the connections that follow from them. */

export * from './connections.js';
export * from './membership.js';
export * from './ownership.js';
export * from './state.js';
export * from './views.js';
