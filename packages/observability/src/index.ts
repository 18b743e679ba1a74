/** Structured logs and metrics. */

export * from './logger.js';
export * from './metrics.js';
