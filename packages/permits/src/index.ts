/** Permits: conditional rows that one daemon at a time may renew before it makes a call to an outside system. */

export * from './permit-rules.js';
export * from './request-permit.js';
