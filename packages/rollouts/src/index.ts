/** Groups and samples of training steps: submit, run, staleness and hand-over. */

export * from './decide-rollouts.js';
export type * from './rollout-events.js';
export * from './rollout-state.js';
export * from './group-row.js';
