/** Interface to the platform's store, and local copies of its tables. */

export * from './encode-list.js';
export * from './follow-table.js';
export * from './observed-row-store.js';
export * from './row-chunks.js';
export * from './row-store.js';
export * from './table-copy.js';
export * from './transaction-limits.js';
