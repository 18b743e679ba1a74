import type {CommandModule} from 'yargs';
import {drainCommand} from './drain.js';
import {listCommand} from './list.js';

/** `upstreams`: lists and drains upstreams, which are engines and plain services. */
export const upstreamsCommand: CommandModule = {
	command: 'upstreams <command>',
	describe: 'List and drain upstreams',
	builder: parser => parser.command(listCommand).command(drainCommand).demandCommand(1, 'specify an upstreams command'),
	handler() {
		// The subcommands do the work.
	},
};
