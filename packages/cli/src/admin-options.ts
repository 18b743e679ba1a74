import type {Argv} from 'yargs';
import type {AdminOptions} from './admin-client.js';
import {CommandError} from './command-error.js';

export type AdminArgs = {daemon: string};
export type QueryArgs = AdminArgs & {json: boolean};

/** Adds the options of commands that call a daemon. The key is read from the environment, because arguments are visible in process lists. */
export function addAdminOptions<Args>(parser: Argv<Args>): Argv<Args & AdminArgs> {
	return parser.option('daemon', {type: 'string', default: 'http://127.0.0.1:8080', describe: 'API address of a daemon'});
}

/** Adds the options of queries. */
export function addQueryOptions<Args>(parser: Argv<Args>): Argv<Args & QueryArgs> {
	return addAdminOptions(parser).option('json', {type: 'boolean', default: false, describe: 'Print JSON'});
}

export function adminOptionsFrom(args: AdminArgs): AdminOptions {
	const key = process.env.CICADAPOST_KEY;
	if (key === undefined) {
		throw new CommandError('no operator key; set the environment variable CICADAPOST_KEY');
	}

	return {daemon: args.daemon, key};
}
