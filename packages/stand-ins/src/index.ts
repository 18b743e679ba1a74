/** Stand-ins for the platform, a model engine and a plain service. */

export * from './engine.js';
export * from './platform.js';
export * from './sample-request.js';
export * from './service.js';
