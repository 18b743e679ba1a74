/** Opens the listener of a server, and keeps its later errors from ending the process. */

export * from './listen-on.js';
export * from './connection-limiter.js';
