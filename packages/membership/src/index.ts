/** Live daemons, leaving upstreams and ownership by rendezvous hashing. */

export * from './membership.js';
export * from './ownership.js';
