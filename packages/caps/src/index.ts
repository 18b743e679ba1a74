/** Splits a member's cap over data centres and meters its use. */

export * from './meter.js';
export {type CapRow, type CapSettings} from './parts.js';
