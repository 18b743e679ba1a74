import {encodeList} from '@cicadapost/store';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BatchCache} from './batch-cache.js';
import {
	batchTable, claimKey, decodeBodies, decodeClaims, decodeListing, decodePartial, decodePlan, decodeResults, endKey, planKey, RowShapeError,
} from './encode-rows.js';

/** Values of rows: random bytes, and lists of random fields. */
const anyValue = fc.oneof(
	fc.uint8Array({maxLength: 200}),
	fc.array(fc.anything({maxDepth: 3}), {maxLength: 10}).map(fields => {
		try {
			return encodeList(fields);
		} catch {
			// Not every value can be encoded.
			return new Uint8Array();
		}
	}),
	fc.array(fc.array(fc.oneof(fc.integer({min: 0, max: 3}), fc.string(), fc.constant(null)), {maxLength: 8}), {maxLength: 8}).map(fields => encodeList(fields)),
);
const options = {seed: 20_261_204, numRuns: 2000};

describe('rows of an unknown shape', () => {
	it('are rejected by each decoder with an error that names the row, and with no other', () => {
		const decoders = [
			decodePlan,
			decodeClaims,
			decodeListing,
			(value: Uint8Array) => decodeBodies([{key: 'g/000000-000001', value}]),
			(value: Uint8Array) => decodePartial([{key: 'p/000000-000001', value, version: 1}]),
			(value: Uint8Array) => decodeResults([{key: 'l/000000/000000-000001', value}], [{listing: 'l', index: 0}]),
		];
		fc.assert(fc.property(anyValue, fc.nat(decoders.length - 1), (value, index) => {
			try {
				decoders[index]!(value);
			} catch (err) {
				expect(err).toBeInstanceOf(RowShapeError);
			}
		}), options);
	});

	it('are reported and skipped by the cache, which every daemon keeps', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(planKey, endKey, claimKey(0), claimKey(1), 'claim/x', 'other'), anyValue), {maxLength: 6}), rows => {
			const cache = new BatchCache();
			cache.apply(rows.map(([key, value], version) => ({
				kind: 'written', row: {
					table: batchTable, part: 'b', key, value, version,
				},
			})));
			expect(cache.open().length).toBeLessThanOrEqual(1);
		}), options);
	});
});
