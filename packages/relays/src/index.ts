/** Passes the plain requests of a daemon without links to upstreams on to a daemon that has some. */

export type * from './choose-relay.js';
export * from './monitor-links.js';
export * from './relay-client.js';
export type {RelayRequest} from './relay-messages.js';
export * from './relay-server.js';
