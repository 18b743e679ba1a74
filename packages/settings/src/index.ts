/** Schemas, parsing and merging of daemon settings and of the operators' configuration. */

export * from './check-document.js';
export * from './configuration-schema.js';
export * from './daemon-settings.js';
export * from './diff-by-data-centre.js';
export * from './json-schemas.js';
export * from './parse.js';
export * from './data-centre-configuration.js';
