/** Reward calls: what happens to a sample between its complete text and its result. */

export * from './call-share.js';
export * from './decide-follow-up.js';
export * from './plan-calls.js';
export * from './plan-takeovers.js';
export * from './reward-sender.js';
export * from './reward-task.js';
