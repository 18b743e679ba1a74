/** Typed errors whose messages name the remedy. */

export * from './problem.js';
