/** Small stand-ins of the platform and of a model engine. */

export * from './engine.js';
export * from './platform.js';
