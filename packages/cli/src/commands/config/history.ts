import type {CommandModule} from 'yargs';
import * as z from 'zod';
import {queryAdmin} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson, printTable} from '../../print.js';

const historySchema = z.object({history: z.array(z.object({version: z.int(), acceptedAt: z.string(), daemon: z.string()}))});

/** `config history`: lists the accepted versions. */
export const historyCommand: CommandModule<unknown, QueryArgs> = {
	command: 'history',
	describe: 'List the accepted versions',
	builder: addQueryOptions,
	async handler(args) {
		const {history} = historySchema.parse(await queryAdmin(adminOptionsFrom(args), {path: '/admin/configuration/history'}));
		if (args.json) {
			printJson(history);
			return;
		}

		printTable(['version', 'accepted at', 'through daemon'], history.map(({version, acceptedAt, daemon}) => [version, acceptedAt, daemon]));
	},
};
