/** Batches of samples: submission, claims, runs, results and deletion. */

export * from './batch-cache.js';
export * from './batch-service.js';
export * from './batch.js';
export * from './claim-work.js';
export * from './commit-queue.js';
export * from './decide-run.js';
export * from './encode-rows.js';
export * from './engine-client.js';
export * from './feed-pause.js';
export * from './group-prompt.js';
export * from './liveness-monitor.js';
export * from './plan-claim-releases.js';
export * from './plan-claims.js';
export * from './plan-commit.js';
export * from './plan-contended-claims.js';
export * from './result-order.js';
export * from './read-items.js';
export * from './release-claims.js';
export * from './run-samples.js';
export * from './sample-run.js';
export type * from './sample-runner-options.js';
export * from './slowdown-detector.js';
export * from './sweep-batches.js';
