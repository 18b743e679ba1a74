/** The entry daemon on a platform. */

export * from './caller-protocol.js';
export * from './entry-daemon.js';
export * from './entry-settings.js';
export * from './platform-tables.js';
