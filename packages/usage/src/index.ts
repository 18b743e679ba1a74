/** Counts of the requests of each team, reported once for each window. */

export * from './count-writer.js';
export * from './estimate-begin.js';
export * from './fleet-clock.js';
export * from './fleet-time.js';
export * from './plan-reports.js';
export * from './sweep-usage.js';
export * from './usage-rows.js';
export * from './usage-work.js';
export * from './window-counts.js';
