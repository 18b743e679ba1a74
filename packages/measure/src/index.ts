/** Statistics and bound verdicts for the measurement cases. */

export * from './report.js';
export * from './statistics.js';
