import type {CommandModule} from 'yargs';
import {queryAdmin} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson, printLine, printTable} from '../../print.js';

type StatusResponse = Readonly<{
	daemon: string;
	dataCentre: string;
	configurationVersion: number;
	requestsInFlight: number;
	peers: Readonly<Record<string, {dataCentre: string; leaving: boolean; configurationVersion: number}>>;
	shards: Readonly<Record<string, {waiting: number; upstreams: Readonly<Record<string, {running: number; window: number; leaving: boolean; health: string}>>}>>;
	histograms: ReadonlyArray<{name: string; member: string; requestClass: string; count: number; p50: number; p99: number; max: number}>;
}>;

/** `status`: shows the state of one daemon: its peers, the shards that it owns, and its histograms. */
export const statusCommand: CommandModule<unknown, QueryArgs> = {
	command: 'status',
	describe: 'Show peers, shards, queues and latencies of a daemon',
	builder: addQueryOptions,
	async handler(args) {
		const status = await queryAdmin(adminOptionsFrom(args), {path: '/admin/status'}) as StatusResponse;
		if (args.json) {
			printJson(status);
			return;
		}

		printStatus(status);
	},
};

function printStatus(status: StatusResponse): void {
	printLine(`${status.daemon} in ${status.dataCentre}: configuration ${status.configurationVersion}, ${status.requestsInFlight} requests in flight`);
	printLine('');
	printTable(['peer', 'data centre', 'configuration', 'state'], Object.entries(status.peers).map(([daemon, peer]) => [
		daemon, peer.dataCentre, peer.configurationVersion, peer.leaving ? 'leaving' : 'live',
	]));
	printLine('');
	printTable(['shard', 'waiting', 'upstream', 'running', 'window', 'state'], createShardRows(status));
	printLine('');
	printTable(['histogram', 'member', 'class', 'count', 'p50', 'p99', 'max'], status.histograms.map(row => [
		row.name, row.member, row.requestClass, row.count, row.p50, row.p99, row.max,
	]));
}

function createShardRows(status: StatusResponse): unknown[][] {
	return Object.entries(status.shards).flatMap(([shard, {waiting, upstreams}]) => Object.entries(upstreams).map(([upstream, {running, window, leaving, health}]) => [
		shard, waiting, upstream, running, window, leaving ? 'leaving' : health,
	]));
}
