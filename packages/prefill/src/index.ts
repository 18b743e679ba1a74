/** Placement of long prompts beside short ones. */

export * from './decide-prefills.js';
export * from './prefill-meter.js';
export * from './prefill-queue.js';
