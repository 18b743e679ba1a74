/** Duties: calls to an outside system that one daemon at a time makes on behalf of all. */

export * from './call-pace.js';
export * from './decide-candidate.js';
export * from './duty-client.js';
export * from './duty-record.js';
export * from './duty-runner.js';
