import type {CommandModule} from 'yargs';
import {applyCommand} from './apply.js';
import {checkCommand} from './check.js';
import {showCommand} from './show.js';

/** `config`: the operators' configuration. */
export const configCommand: CommandModule = {
	command: 'config <command>',
	describe: 'Check, apply and show the configuration',
	builder: parser => parser.command(checkCommand).command(applyCommand).command(showCommand).demandCommand(1, 'name a config command'),
	handler() {
		// The subcommands do the work.
	},
};
