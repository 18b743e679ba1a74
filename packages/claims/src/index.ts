/** Decides at-most-once claims of non-idempotent requests, and the use of idempotency keys. */

export * from './claim-record.js';
export * from './claims.js';
export * from './key-guard.js';
