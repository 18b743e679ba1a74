/** Groups and samples of training steps: submission, sampling, staleness and hand-over to the trainer. */

export * from './decide-rollouts.js';
export type * from './rollout-events.js';
export * from './rollout-state.js';
export * from './group-row.js';
