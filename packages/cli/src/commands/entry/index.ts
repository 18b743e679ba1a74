import {settingsVariable} from '@cicadapost/platform-adapter/settings';
import type {CommandModule} from 'yargs';

type EntryArgs = {settings: string};

/** `entry`: runs an entry daemon on the platform until SIGTERM or SIGINT. */
export const entryCommand: CommandModule<unknown, EntryArgs> = {
	command: 'entry',
	describe: 'Run an entry daemon on a platform that keeps all state in its store',
	builder: parser => parser.option('settings', {
		type: 'string', demandOption: true, default: process.env[settingsVariable], describe: `Settings file (JSON with comments); the platform passes its path in ${settingsVariable}`,
	}),
	async handler(args) {
		// Imported on demand, so that the other commands start faster.
		const {runEntry} = await import('./run-entry.js');
		await runEntry(args.settings);
	},
};
