/** Writes the JSON Schema files to the directory given as the first argument, by default `docs/schema`. */

import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createJsonSchemas} from './json-schemas.js';

const directory = process.argv[2] ?? 'docs/schema';
mkdirSync(directory, {recursive: true});
for (const [file, schema] of Object.entries(createJsonSchemas())) {
	writeFileSync(path.join(directory, file), `${JSON.stringify(schema, undefined, 2)}\n`);
}
