/** Forwards plain HTTP requests: routes, upstream selection, attempts and responses. */

export * from './attempt-target.js';
export * from './check-status-lines.js';
export * from './connection-pool.js';
export * from './crash-registry.js';
export * from './decide-attempt.js';
export * from './decide-block.js';
export * from './forwarder.js';
export * from './plain-request.js';
export * from './relay-path.js';
export * from './request-reporter.js';
export * from './route.js';
export * from './stream-origins.js';
export * from './upstream-health.js';
export * from './upstream-protocol.js';
