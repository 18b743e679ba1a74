import type {Argv} from 'yargs';
import type {AdminOptions} from './admin-client.js';

/** Options of each command that talks to a daemon. The key comes from the environment, so that it is in no process list. */
export function adminOptions<Arguments>(parser: Argv<Arguments>): Argv<Arguments & {daemon: string}> {
	return parser.option('daemon', {type: 'string', default: 'http://127.0.0.1:8080', describe: 'API address of a daemon'});
}

export function adminOf(args: {daemon: string}): AdminOptions {
	const key = process.env.CICADAPOST_KEY;
	if (key === undefined) {
		throw new Error('no operator key; set CICADAPOST_KEY');
	}

	return {daemon: args.daemon, key};
}
