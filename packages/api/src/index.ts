/** HTTP interface for callers, trainers and operators. */

export * from './admin-routes.js';
export * from './response-writer.js';
export * from './api-server.js';
export * from './authenticate.js';
export * from './parse-completion.js';
export * from './parse-headers.js';
export * from './parse-service.js';
