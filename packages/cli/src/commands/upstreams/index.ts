import type {CommandModule} from 'yargs';
import {drainCommand} from './drain.js';
import {listCommand} from './list.js';

/** `upstreams`: the engines and plain services behind the system. */
export const upstreamsCommand: CommandModule = {
	command: 'upstreams <command>',
	describe: 'List and drain upstreams',
	builder: parser => parser.command(listCommand).command(drainCommand).demandCommand(1, 'name an upstreams command'),
	handler() {
		// The subcommands do the work.
	},
};
