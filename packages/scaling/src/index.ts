/** The number of upstreams of each service in each data centre. */

export * from './need-history.js';
export * from './needed-upstreams.js';
export * from './pace-tracker.js';
export * from './plan-upstream-counts.js';
export * from './scaling-note.js';
export * from './scaling-work.js';
export * from './service-scaling.js';
