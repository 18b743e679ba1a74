/** Structured logs and metrics. */

export * from './bounded-stream.js';
export * from './logger.js';
export * from './metrics.js';
