/** Memory of a daemon for request bodies, responses, texts of samples and unread output: who gets bytes, and who is closed when they are short. */

export * from './body-memory.js';
export * from './body-progress.js';
export * from './byte-meter.js';
export * from './growing-buffer.js';
export * from './range-allocator.js';
export * from './share-memory.js';
export * from './unread-output.js';
