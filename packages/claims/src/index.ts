/** At-most-once claims for non-idempotent requests, and a guard for idempotency keys. */

export * from './claim-record.js';
export * from './claims.js';
export * from './key-guard.js';
