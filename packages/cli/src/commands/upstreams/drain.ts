import type {CommandModule} from 'yargs';
import {queryAdmin, type AdminOptions} from '../../admin-client.js';
import {adminOptionsFrom, addAdminOptions, type AdminArgs} from '../../admin-options.js';
import {CommandError} from '../../command-error.js';
import {printLine} from '../../print.js';

type DrainArgs = AdminArgs & {upstream: string; wait: number};
type StatusResponse = Readonly<{shards: Readonly<Record<string, {upstreams: Readonly<Record<string, {running: number}>>}>>}>;

const pollMs = 500;

/** `upstreams drain`: stops sending new work to an upstream and waits until the daemon knows of no request that runs on it. */
export const drainCommand: CommandModule<unknown, DrainArgs> = {
	command: 'drain <upstream>',
	describe: 'Stop sending new work to an upstream and wait until it is idle',
	builder: parser => addAdminOptions(parser)
		.positional('upstream', {type: 'string', demandOption: true})
		.option('wait', {type: 'number', default: 600, describe: 'Seconds to wait'}),
	async handler(args) {
		const admin = adminOptionsFrom(args);
		const {version} = await queryAdmin(admin, {method: 'POST', path: `/admin/upstreams/${encodeURIComponent(args.upstream)}/drain`}) as {version: number};
		printLine(`accepted as version ${version}; ${args.upstream} gets no new work`);
		await waitUntilIdle(admin, args.upstream, args.wait * 1000);
	},
};

async function waitUntilIdle(admin: AdminOptions, upstream: string, timeoutMs: number): Promise<void> {
	const timeoutAt = performance.now() + timeoutMs;
	let lastReported: number | undefined;
	for (;;) {
		const running = await countRunning(admin, upstream);
		if (running === undefined) {
			printLine(`this daemon does not own the shard of ${upstream}; run "cicadapost status" on the other daemons to see how many requests still run on it`);
			return;
		}

		if (running === 0) {
			printLine(`${upstream} is idle`);
			return;
		}

		if (running !== lastReported) {
			printLine(`waiting for ${running} requests on ${upstream}`);
			lastReported = running;
		}

		if (performance.now() > timeoutAt) {
			throw new CommandError(`${running} requests still run on ${upstream}; set a larger --wait to wait longer`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
	}
}

async function countRunning(admin: AdminOptions, upstream: string): Promise<number | undefined> {
	const status = await queryAdmin(admin, {path: '/admin/status'}) as StatusResponse;
	return Object.values(status.shards).map(shard => shard.upstreams[upstream]?.running).find(running => running !== undefined);
}
