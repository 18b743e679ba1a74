import type {CommandModule} from 'yargs';
import {readConfiguration} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson, printLine} from '../../print.js';

/** `config show`: prints the configuration that is in effect at a daemon. */
export const showCommand: CommandModule<unknown, QueryArgs> = {
	command: 'show',
	describe: 'Show the configuration in effect',
	builder: addQueryOptions,
	async handler(args) {
		const {version, document} = await readConfiguration(adminOptionsFrom(args));
		if (args.json) {
			printJson({version, document: document ?? null});
			return;
		}

		printLine(`version ${version}`);
		printJson(document ?? {});
	},
};
