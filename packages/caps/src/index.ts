/** Splits a member's cap across data centres and meters its usage. */

export * from './meter.js';
export {type CapRow, type CapSettings} from './parts.js';
