/** Table service, object store and VM list of the platform: abstract classes and HTTP clients. */

export * from './object-store.js';
export * from './table-service.js';
export * from './vm-list.js';
export * from './weight-store.js';
