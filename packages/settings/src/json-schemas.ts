import * as z from 'zod';
import {baseSchema, overlaySchema} from './configuration-schema.js';
import {daemonSettingsSchema} from './daemon-settings.js';

/** Creates the JSON Schemas for editors, by file name. `docs/schema/` holds the generated files. */
export function createJsonSchemas(): Record<string, unknown> {
	const schemas = {base: baseSchema, overlay: overlaySchema, daemon: daemonSettingsSchema};
	return Object.fromEntries(Object.entries(schemas).map(([name, schema]) => [`${name}.schema.json`, z.toJSONSchema(schema, {io: 'input'})]));
}
