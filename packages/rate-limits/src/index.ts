export * from './named-limits.js';
export * from './request-limits.js';
export * from './rate-limiter.js';
