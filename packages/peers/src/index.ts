/** Connections between daemons: MessagePack messages over WebSocket. */

export * from './parse-message.js';
export * from './peer-connections.js';
export * from './encode-message.js';
