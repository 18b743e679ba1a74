/** Decides which version of the configuration is in effect. */

export * from './configuration.js';
export * from './stored-configuration.js';
