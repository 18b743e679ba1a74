/** Structured logs and metrics. */

export * from './logger.js';
