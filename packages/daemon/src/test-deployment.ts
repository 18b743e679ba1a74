/** Test deployment of real processes: two daemons and an engine in data centre a, one daemon in data centre b. */

import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import {freePort} from '../../demo/src/free-port.js';
import {ChildProcesses, type StartedProcess} from '../../demo/src/processes.js';

export const keys = {operator: 'operator-key', caller: 'caller-key'};
const nodeArguments = ['--import', 'tsx'];
const dataCentreOf = {a1: 'a', a2: 'a', b1: 'b'} as const;

type DaemonName = keyof typeof dataCentreOf;

function hash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

export async function requestJson(url: string, method: 'GET' | 'POST' | 'PUT', body?: unknown, headers: Record<string, string> = {}): Promise<{status: number; body: Record<string, unknown>}> {
	const res = await request(url, {
		method,
		headers: {'content-type': 'application/json', authorization: `Bearer ${keys.operator}`, ...headers},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	return {status: res.statusCode, body: await res.body.json() as Record<string, unknown>};
}

/** Polls a condition until it holds. Each poll is an HTTP call, so no extra delay is needed. */
export async function waitUntil(isTrue: () => Promise<boolean>): Promise<void> {
	while (!await isTrue()) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

export class Deployment {
	platformUrl = '';
	engineUrl = '';
	readonly daemons = new Map<DaemonName, StartedProcess>();
	private readonly processes = new ChildProcesses();
	private readonly directory = mkdtempSync(path.join(tmpdir(), 'cicadapost-test-'));

	/** Resolves once each daemon has the configuration and a peer in data centre a. */
	async start(): Promise<Record<DaemonName, StartedProcess>> {
		const platform = await this.processes.start(process.execPath, [...nodeArguments, 'packages/stand-ins/src/main.ts', 'platform']);
		const engine = await this.processes.start(process.execPath, [...nodeArguments, 'packages/stand-ins/src/main.ts', 'engine']);
		this.platformUrl = `http://127.0.0.1:${platform.port}`;
		this.engineUrl = `http://127.0.0.1:${engine.port}`;
		const ports = {a1: await freePort(), a2: await freePort(), b1: await freePort()};
		const vms = Object.entries(dataCentreOf).map(([id, dataCentre]) => ({
			id, role: 'entry', dataCentre, state: 'live', peerAddress: `127.0.0.1:${ports[id as DaemonName]}`,
		}));
		await requestJson(`${this.platformUrl}/control`, 'POST', {vms});
		const [a1, a2, b1] = await Promise.all([this.startDaemon('a1', ports.a1), this.startDaemon('a2', ports.a2), this.startDaemon('b1', ports.b1)]);
		await this.configure(a1);
		for (const [daemon, needed] of [[a1, ['a2']], [a2, ['a1']], [b1, ['a1', 'a2']]] as const) {
			await waitUntil(async () => {
				const {body} = await requestJson(`http://127.0.0.1:${daemon.port}/admin/status`, 'GET');
				const known = Object.keys(body.peers as Record<string, unknown>);
				return body.configurationVersion === 1 && needed.some(peer => known.includes(peer));
			});
		}

		return {a1, a2, b1};
	}

	stop(): void {
		this.processes.killAll();
		rmSync(this.directory, {recursive: true});
	}

	private async configure(daemon: StartedProcess): Promise<void> {
		await requestJson(`http://127.0.0.1:${daemon.port}/admin/configuration`, 'PUT', {
			base: {
				members: {acme: {keys: [{sha256: hash(keys.caller), role: 'caller'}]}},
				pools: {lm: {kind: 'engine', initialWindow: 2, maxWindow: 2}},
				dataCentres: {a: {region: 'a'}, b: {region: 'b'}},
			},
			overlays: {a: {upstreams: {e1: {pool: 'lm', url: this.engineUrl}}}, b: {}},
		}, {'if-match': '0'});
	}

	private async startDaemon(daemon: DaemonName, peerPort: number): Promise<StartedProcess> {
		const file = path.join(this.directory, `${daemon}.jsonc`);
		writeFileSync(file, JSON.stringify({
			daemon,
			dataCentre: dataCentreOf[daemon],
			region: dataCentreOf[daemon],
			listen: {api: {port: 0}, peers: {port: peerPort}},
			platform: {tableService: this.platformUrl, objectStore: this.platformUrl, vmList: this.platformUrl},
			operatorKeyHashes: [hash(keys.operator)],
			peerSecret: 'peer-secret',
		}));
		const started = await this.processes.start(process.execPath, [...nodeArguments, 'packages/cli/src/main.ts', 'serve', '--settings', file]);
		this.daemons.set(daemon, started);
		return started;
	}
}
