/** Statistics and verdicts of the measurement cases. */

export * from './report.js';
export * from './statistics.js';
