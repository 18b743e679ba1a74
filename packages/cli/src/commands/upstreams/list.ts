import type {CommandModule} from 'yargs';
import {readConfiguration} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson, printTable} from '../../print.js';

/** `upstreams list`: lists the configured upstreams of all data centres. */
export const listCommand: CommandModule<unknown, QueryArgs> = {
	command: 'list',
	describe: 'List the upstreams',
	builder: addQueryOptions,
	async handler(args) {
		const {document} = await readConfiguration(adminOptionsFrom(args));
		const upstreams = Object.entries(document?.overlays ?? {}).flatMap(([dataCentre, overlay]) => Object.entries(overlay.upstreams).map(([name, upstream]) => ({
			name, dataCentre, ...upstream,
		})));
		if (args.json) {
			printJson(upstreams);
			return;
		}

		printTable(['upstream', 'data centre', 'pool', 'url', 'state'], upstreams.map(upstream => [
			upstream.name, upstream.dataCentre, upstream.pool, upstream.url, upstream.draining ? 'draining' : 'in service',
		]));
	},
};
