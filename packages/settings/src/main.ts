/** Writes the JSON Schema files to the directory that is named first on the command line. */

import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {jsonSchemas} from './json-schemas.js';

const directory = process.argv[2] ?? 'docs/schema';
mkdirSync(directory, {recursive: true});
for (const [file, schema] of Object.entries(jsonSchemas())) {
	writeFileSync(path.join(directory, file), `${JSON.stringify(schema, undefined, 2)}\n`);
}
