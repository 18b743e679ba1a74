/** Typed errors whose messages state the remedy. */

export * from './problem.js';
