import type {CommandModule} from 'yargs';
import {applyCommand} from './apply.js';
import {checkCommand} from './check.js';
import {diffCommand} from './diff.js';
import {historyCommand} from './history.js';
import {showCommand} from './show.js';

/** `config`: checks, compares, applies and shows the operators' configuration. */
export const configCommand: CommandModule = {
	command: 'config <command>',
	describe: 'Check, compare, apply and show the configuration',
	builder: parser => parser
		.command(checkCommand)
		.command(diffCommand)
		.command(applyCommand)
		.command(showCommand)
		.command(historyCommand)
		.demandCommand(1, 'specify a config command'),
	handler() {
		// The subcommands do the work.
	},
};
