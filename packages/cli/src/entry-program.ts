/** The command `entry` as a program of its own, so that each start of a daemon loads only what a daemon uses. */

import {settingsVariable} from '@cicadapost/platform-adapter/settings';
import {CommandError} from './command-error.js';
import {runEntry} from './commands/entry/run-entry.js';
import {endProgram, ignoreClosedOutput} from './end-program.js';

async function main(): Promise<void> {
	try {
		const file = process.env[settingsVariable];
		if (file === undefined) {
			throw new CommandError(`no settings file; set the environment variable ${settingsVariable} to its path`);
		}

		await runEntry(file);
	} catch (err) {
		endProgram(err);
	}
}

ignoreClosedOutput();
// The bundle is a CommonJS module, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
