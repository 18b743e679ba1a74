export * from './named-limits.js';
export * from './plan-turns.js';
export * from './rate-limiter.js';
export * from './request-limits.js';
export * from './turn-queue.js';
