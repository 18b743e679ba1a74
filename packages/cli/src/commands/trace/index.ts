import type {CommandModule} from 'yargs';
import * as z from 'zod';
import {queryAdmin} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson, printLine} from '../../print.js';

const traceSchema = z.object({
	requestId: z.string(),
	entries: z.array(z.object({atMs: z.number(), what: z.string(), detail: z.record(z.string(), z.unknown())})),
});

/** `trace ID`: shows the decisions about one request and their reasons. */
export const traceCommand: CommandModule<unknown, QueryArgs & {id: string}> = {
	command: 'trace <id>',
	describe: 'Show the decisions about one request',
	builder: parser => addQueryOptions(parser).positional('id', {type: 'string', demandOption: true, describe: 'Request id, from the response body or the header X-Request-Id'}),
	async handler(args) {
		const trace = traceSchema.parse(await queryAdmin(adminOptionsFrom(args), {path: `/admin/trace/${encodeURIComponent(args.id)}`}));
		if (args.json) {
			printJson(trace);
			return;
		}

		for (const {atMs, what, detail} of trace.entries) {
			const fields = Object.entries(detail).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
			printLine(`${String(atMs).padStart(7)} ms  ${what.padEnd(22)} ${fields.join(' ')}`);
		}
	},
};
