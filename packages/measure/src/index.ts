/** Parts of the measurement cases that tests use. */

export * from './statistics.js';
