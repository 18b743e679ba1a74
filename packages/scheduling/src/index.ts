/** Decides which waiting request gets which upstream of a shard. */

export * from './scheduler.js';
