import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {createJsonSchemas} from './json-schemas.js';

describe('createJsonSchemas', () => {
	it('returns the schemas of the committed files, so that editors validate against the schemas in use', () => {
		for (const [file, schema] of Object.entries(createJsonSchemas())) {
			const committed: unknown = JSON.parse(readFileSync(new URL(`../../../docs/schema/${file}`, import.meta.url), 'utf8'));
			expect(committed, `docs/schema/${file}; run "npm run schemas"`).toEqual(structuredClone(schema));
		}
	});
});
