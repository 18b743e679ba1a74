/** Plain requests: routes, choice of the upstream, attempts and answers. */

export * from './connection-pool.js';
export * from './crash-registry.js';
export * from './decide-attempt.js';
export * from './forward-request.js';
export * from './route.js';
export * from './upstream-health.js';
export * from './upstream-protocol.js';
