export * from './configuration-freshness.js';
export * from './decide-access.js';
export * from './key-index.js';
export * from './presented-key.js';
