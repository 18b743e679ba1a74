/** Tells whether a stream of server-sent events ends between two events. */

export * from './event-boundary.js';
