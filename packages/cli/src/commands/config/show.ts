import type {CommandModule} from 'yargs';
import {callAdmin} from '../../admin-client.js';
import {adminOf, adminOptions} from '../../admin-options.js';

/** `config show`: prints the configuration that is in effect at a daemon. */
export const showCommand: CommandModule<unknown, {daemon: string}> = {
	command: 'show',
	describe: 'Show the configuration in effect',
	builder: adminOptions,
	async handler(args) {
		const res = await callAdmin(adminOf(args), 'GET', '/admin/configuration');
		process.stdout.write(`${JSON.stringify(res.body, null, 2)}\n`);
	},
};
