import {readFileSync} from 'node:fs';
import {parseSettings} from '@cicadapost/settings';
import type * as z from 'zod';

/** Reads and checks a settings file. Throws `SettingsError` that lists each fault, or the error of the file system. */
export function readSettingsFile<Schema extends z.ZodType>(file: string, schema: Schema): z.infer<Schema> {
	const parsed = parseSettings(readFileSync(file, 'utf8'), file, schema);
	return parsed.caseOf<z.infer<Schema>>({
		Left(err) {
			throw err;
		},
		Right: settings => settings,
	});
}
