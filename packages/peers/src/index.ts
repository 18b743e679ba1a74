/** Messages between daemons over WebSocket and MessagePack. */

export * from './parse-message.js';
export * from './peer-connections.js';
export * from './encode-message.js';
