/** The entry daemon, which runs on a platform through an adapter. */

export * from './caller-protocol.js';
export * from './entry-daemon.js';
export * from './entry-settings.js';
export * from './platform-tables.js';
