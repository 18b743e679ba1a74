import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {freePort} from '../../demo/src/free-port.js';
import {Processes, type Started} from '../../demo/src/processes.js';

const keys = {operator: 'operator-key', caller: 'caller-key'};
const run = ['--import', 'tsx'];
const tokens = 40;

function hash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

async function json(url: string, method: 'GET' | 'POST' | 'PUT', body?: unknown, headers: Record<string, string> = {}): Promise<{status: number; body: Record<string, unknown>}> {
	const res = await request(url, {
		method,
		headers: {'content-type': 'application/json', authorization: `Bearer ${keys.operator}`, ...headers},
		...(body === undefined ? {} : {body: JSON.stringify(body)}),
	});
	return {status: res.statusCode, body: await res.body.json() as Record<string, unknown>};
}

let processes: Processes;
let directory: string;
let platformUrl: string;
let engine: Started;

async function startDaemon(daemon: string, dataCentre: string, peerPort: number): Promise<Started> {
	const file = path.join(directory, `${daemon}.jsonc`);
	writeFileSync(file, JSON.stringify({
		daemon,
		dataCentre,
		region: dataCentre,
		listen: {api: {port: 0}, peers: {port: peerPort}},
		platform: {tableService: platformUrl, objectStore: platformUrl, vmList: platformUrl},
		operatorKeyHashes: [hash(keys.operator)],
		peerSecret: 'peer-secret',
	}));
	return processes.start(process.execPath, [...run, 'packages/cli/src/main.ts', 'serve', '--settings', file]);
}

/** Starts two daemons beside the engine in data centre a and one in b, and waits until each knows the others that it needs. */
async function startDeployment(): Promise<Record<'a1' | 'a2' | 'b1', Started>> {
	const platform = await processes.start(process.execPath, [...run, 'packages/stand-ins/src/main.ts', 'platform']);
	engine = await processes.start(process.execPath, [...run, 'packages/stand-ins/src/main.ts', 'engine']);
	platformUrl = `http://127.0.0.1:${platform.port}`;
	const places = {a1: 'a', a2: 'a', b1: 'b'} as const;
	const ports = {a1: await freePort(), a2: await freePort(), b1: await freePort()};
	const vms = Object.entries(places).map(([id, dataCentre]) => ({
		id, role: 'entry', dataCentre, state: 'live', peerAddress: `127.0.0.1:${ports[id as keyof typeof ports]}`,
	}));
	await json(`${platformUrl}/control`, 'POST', {vms});
	const [a1, a2, b1] = await Promise.all([startDaemon('a1', 'a', ports.a1), startDaemon('a2', 'a', ports.a2), startDaemon('b1', 'b', ports.b1)]);
	await json(`http://127.0.0.1:${a1.port}/admin/configuration`, 'PUT', {
		base: {
			members: {acme: {keys: [{sha256: hash(keys.caller), role: 'caller'}]}},
			pools: {lm: {kind: 'engine', initialWindow: 2, maxWindow: 2}},
			dataCentres: {a: {region: 'a'}, b: {region: 'b'}},
		},
		overlays: {a: {upstreams: {e1: {pool: 'lm', url: `http://127.0.0.1:${engine.port}`}}}, b: {}},
	}, {'if-match': '0'});
	for (const [daemon, needed] of [[a1, ['a2']], [a2, ['a1']], [b1, ['a1']]] as const) {
		await until(async () => {
			const {body} = await json(`http://127.0.0.1:${daemon.port}/admin/status`, 'GET');
			const known = Object.keys(body.peers as Record<string, unknown>);
			return body.configurationVersion === 1 && (needed.every(peer => known.includes(peer)) || known.includes('a2'));
		});
	}

	return {a1, a2, b1};
}

async function until(isTrue: () => Promise<boolean>): Promise<void> {
	while (!await isTrue()) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/** Starts a streamed completion. `started` resolves with its first event, `text` with all of it. */
async function stream(daemon: Started, prompt: string): Promise<{started: Promise<void>; text: Promise<string>}> {
	const res = await request(`http://127.0.0.1:${daemon.port}/v1/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${keys.caller}`, 'x-deadline-ms': '50000'},
		body: JSON.stringify({
			model: 'lm', prompt, max_tokens: tokens, stream: true,
		}),
	});
	let begin = (): void => undefined;
	const started = new Promise<void>(resolve => {
		begin = resolve;
	});
	const readAll = async (): Promise<string> => {
		let text = '';
		for await (const part of res.body as AsyncIterable<Uint8Array>) {
			text += Buffer.from(part).toString('utf8');
			begin();
		}

		return text;
	};

	return {started, text: readAll()};
}

async function waitingCount(daemon: Started): Promise<number> {
	const {body} = await json(`http://127.0.0.1:${daemon.port}/admin/status`, 'GET');
	const shards = Object.values(body.shards as Record<string, {waiting: number}>);
	return shards.reduce((sum, shard) => sum + shard.waiting, 0);
}

function pieces(text: string): number {
	return [...text.matchAll(/"finish_reason":null/gv)].length;
}

async function exitCode(daemon: Started): Promise<number | undefined> {
	const [code] = await once(daemon.child, 'exit') as [number | undefined];
	return code;
}

beforeEach(() => {
	processes = new Processes();
	directory = mkdtempSync(path.join(tmpdir(), 'cicadapost-shut-down-'));
});

afterEach(() => {
	processes.stopAll();
	rmSync(directory, {recursive: true});
});

describe('SIGTERM', () => {
	it('during streamed and waiting requests cuts none of them, and the process ends with 0', async () => {
		const {a1, a2, b1} = await startDeployment();
		await json(`http://127.0.0.1:${engine.port}/control`, 'POST', {slowness: 10});
		const first = await stream(a1, 'first');
		const relayed = await stream(b1, 'relayed');
		await Promise.all([first.started, relayed.started]);
		// The window of the engine is full, so these wait at the shard owner, which is a1 or a2.
		const waiting = [stream(a1, 'third'), stream(a2, 'fourth')];
		await until(async () => {
			const waitingAt = await Promise.all([a1, a2].map(async daemon => waitingCount(daemon)));
			return waitingAt.includes(2);
		});
		const exits = [exitCode(a1), exitCode(a2)];
		a1.child.kill('SIGTERM');
		a2.child.kill('SIGTERM');
		const streams = [first, relayed, ...await Promise.all(waiting)];
		const texts = await Promise.all(streams.map(async ({text}) => text));
		expect(texts.map(text => pieces(text))).toEqual([tokens, tokens, tokens, tokens]);
		expect(texts.every(text => text.endsWith('data: [DONE]\n\n'))).toBe(true);
		expect(await Promise.all(exits)).toEqual([0, 0]);
		await expect(json(`http://127.0.0.1:${a1.port}/health`, 'GET')).rejects.toThrow(/ECONNREFUSED/v);
	});
});
