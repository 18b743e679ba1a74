/** The rows that daemons write about themselves to the fleet's table, for tests of other packages. */

export * from './member-rows.js';
export * from './relay-rows.js';
