/** Measures latency and throughput of one daemon between callers and engine stand-ins, as real processes on loopback. */

import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {freePort} from '@cicadapost/demo/free-port.js';
import {ChildProcesses, type StartedProcess} from '@cicadapost/demo/processes.js';
import {Agent, request} from 'undici';
import {quantile} from './statistics.js';

const binary = path.resolve('dist/cicadapost');
const standInsBundle = path.resolve('dist/stand-ins.cjs');
const key = 'key-of-the-data-path-case';
const operatorKey = 'operator-key-of-the-data-path-case';
const engineCount = 4;
const latencyCalls = 400;
const warmUpCalls = 50;
const throughputPhaseMs = 4000;
/** CPU times in /proc are counted in ticks of 10 ms. */
const ticksPerSecond = 100;

type StreamTiming = Readonly<{firstMs: number; totalMs: number; tokens: number}>;
type Endpoint = Readonly<{url: string; headers: Readonly<Record<string, string>>}>;

export type Latency = Readonly<{firstMedianMs: number; firstP99Ms: number; totalMedianMs: number; totalP99Ms: number}>;
export type Throughput = Readonly<{concurrency: number; tokensPerRequest: number; requestsPerSecond: number; tokensPerSecond: number; cores: number; requestsPerCoreSecond: number; tokensPerCoreSecond: number; failed: number}>;
export type DataPathResult = Readonly<{
	case: 'data-path';
	command: string;
	commit: string;
	calls: number;
	direct: Latency;
	throughDaemon: Latency;
	added: Latency;
	short: Throughput;
	streams: Throughput;
	residentMegabytesIdle: number;
	residentMegabytesAfter: number;
}>;

function sha256Hex(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

const agent = new Agent({connections: 512, pipelining: 1});

async function call(target: Endpoint, prompt: string, tokens: number): Promise<StreamTiming> {
	const startedAt = performance.now();
	const res = await request(`${target.url}/v1/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', ...target.headers},
		body: JSON.stringify({
			model: 'netmodel', prompt, max_tokens: tokens, stream: true,
		}),
		dispatcher: agent,
	});
	let firstMs: number | undefined;
	let received = 0;
	for await (const part of res.body as AsyncIterable<Uint8Array>) {
		firstMs ??= performance.now() - startedAt;
		// Each event carries one token, except the daemon's last event, which has an empty text.
		const text = Buffer.from(part).toString('latin1');
		received += text.split('"text":"').length - text.split('"text":""').length;
	}

	if (res.statusCode !== 200) {
		throw new Error(`unexpected HTTP status ${res.statusCode}`);
	}

	const totalMs = performance.now() - startedAt;
	return {firstMs: firstMs ?? totalMs, totalMs, tokens: received};
}

function cpuSeconds(started: StartedProcess): number {
	const fields = readFileSync(`/proc/${started.child.pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function residentMegabytes(started: StartedProcess): number {
	const line = /^VmRSS:\s+(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${started.child.pid}/status`, 'utf8'));
	return Number(line?.groups?.kilobytes ?? Number.NaN) / 1024;
}

function summarizeLatency(answers: readonly StreamTiming[]): Latency {
	const first = answers.map(answer => answer.firstMs);
	const total = answers.map(answer => answer.totalMs);
	return {
		firstMedianMs: quantile(first, 0.5), firstP99Ms: quantile(first, 0.99), totalMedianMs: quantile(total, 0.5), totalP99Ms: quantile(total, 0.99),
	};
}

function subtractLatency(a: Latency, b: Latency): Latency {
	return {
		firstMedianMs: a.firstMedianMs - b.firstMedianMs, firstP99Ms: a.firstP99Ms - b.firstP99Ms, totalMedianMs: a.totalMedianMs - b.totalMedianMs, totalP99Ms: a.totalP99Ms - b.totalP99Ms,
	};
}

/** Alternates calls between both targets, so that other load on the machine affects both equally. */
async function compareLatency(direct: Endpoint, daemon: Endpoint): Promise<{direct: Latency; daemon: Latency}> {
	const results: {direct: StreamTiming[]; daemon: StreamTiming[]} = {direct: [], daemon: []};
	for (let index = 0; index < latencyCalls + warmUpCalls; index++) {
		const directAnswer = await call(direct, `direct ${index}`, 16);
		const daemonAnswer = await call(daemon, `daemon ${index}`, 16);
		if (index >= warmUpCalls) {
			results.direct.push(directAnswer);
			results.daemon.push(daemonAnswer);
		}
	}

	return {direct: summarizeLatency(results.direct), daemon: summarizeLatency(results.daemon)};
}

async function measureThroughput(daemon: StartedProcess, target: Endpoint, concurrency: number, tokens: number): Promise<Throughput> {
	let requests = 0;
	let received = 0;
	let failed = 0;
	const endAt = performance.now() + throughputPhaseMs;
	const worker = async (name: number): Promise<void> => {
		for (let index = 0; performance.now() < endAt; index++) {
			try {
				const answer = await call(target, `load ${name} ${index}`, tokens);
				requests++;
				received += answer.tokens;
			} catch {
				failed++;
			}
		}
	};

	const startedAt = performance.now();
	const cpuBefore = cpuSeconds(daemon);
	const workers = Array.from({length: concurrency}, async (_, name) => worker(name));
	await Promise.all(workers);
	const seconds = (performance.now() - startedAt) / 1000;
	const cpu = cpuSeconds(daemon) - cpuBefore;
	return {
		concurrency, tokensPerRequest: tokens, requestsPerSecond: requests / seconds, tokensPerSecond: received / seconds, cores: cpu / seconds, requestsPerCoreSecond: requests / cpu, tokensPerCoreSecond: received / cpu, failed,
	};
}

async function startDaemon(processes: ChildProcesses, directory: string): Promise<{daemon: StartedProcess; engines: StartedProcess[]}> {
	const platform = await processes.start(process.execPath, [standInsBundle, 'platform']);
	const platformUrl = `http://127.0.0.1:${platform.port}`;
	const engines: StartedProcess[] = [];
	for (let index = 0; index < engineCount; index++) {
		engines.push(await processes.start(process.execPath, [standInsBundle, 'engine', '--name', `engine-${index}`]));
	}

	for (const engine of engines) {
		// The stand-ins run much faster than real engines, so that the daemon is the bottleneck.
		await request(`http://127.0.0.1:${engine.port}/control`, {method: 'POST', body: JSON.stringify({slowness: 0.02})});
	}

	const settingsFile = path.join(directory, 'daemon.jsonc');
	writeFileSync(settingsFile, JSON.stringify({
		daemon: 'daemon-0',
		dataCentre: 'west',
		region: 'alpen',
		listen: {api: {port: 0}, peers: {port: await freePort()}},
		platform: {tableService: platformUrl, objectStore: platformUrl, vmList: platformUrl},
		operatorKeyHashes: [sha256Hex(operatorKey)],
		peerSecret: 'peer-secret-of-the-case',
	}));
	const baseFile = path.join(directory, 'base.jsonc');
	writeFileSync(baseFile, JSON.stringify({
		members: {inspectors: {keys: [{sha256: sha256Hex(key), role: 'caller'}]}},
		pools: {netmodel: {kind: 'engine', initialWindow: 64, maxWindow: 64}},
		dataCentres: {west: {region: 'alpen'}},
	}));
	const overlayFile = path.join(directory, 'west.jsonc');
	writeFileSync(overlayFile, JSON.stringify({
		upstreams: Object.fromEntries(engines.map((engine, index) => [`engine-${index}`, {pool: 'netmodel', url: `http://127.0.0.1:${engine.port}`}])),
	}));
	const daemon = await processes.start(binary, ['serve', '--settings', settingsFile]);
	execFileSync(binary, ['config', 'apply', '--daemon', `http://127.0.0.1:${daemon.port}`, '--base', baseFile, '--overlay', overlayFile], {
		env: {...process.env, CICADAPOST_KEY: operatorKey}, stdio: ['ignore', 'ignore', 'inherit'],
	});
	return {daemon, engines};
}

async function waitUntilServing(target: Endpoint): Promise<void> {
	for (;;) {
		try {
			await call(target, 'ready?', 1);
			return;
		} catch {
			await sleep(50);
		}
	}
}

export async function measureDataPath(command: string, commit: string): Promise<DataPathResult> {
	execFileSync('npm', ['run', '--silent', 'build'], {stdio: ['ignore', 'ignore', 'inherit']});
	const directory = mkdtempSync(path.join(tmpdir(), 'cicadapost-data-path-'));
	const processes = new ChildProcesses();
	try {
		const {daemon, engines} = await startDaemon(processes, directory);
		const direct: Endpoint = {url: `http://127.0.0.1:${engines[0]!.port}`, headers: {}};
		const target: Endpoint = {url: `http://127.0.0.1:${daemon.port}`, headers: {authorization: `Bearer ${key}`, 'x-deadline-ms': '30000'}};
		await waitUntilServing(target);
		const residentMegabytesIdle = residentMegabytes(daemon);
		const latency = await compareLatency(direct, target);
		const short = await measureThroughput(daemon, target, 64, 4);
		const streams = await measureThroughput(daemon, target, 128, 256);
		return {
			case: 'data-path', command, commit, calls: latencyCalls, direct: latency.direct, throughDaemon: latency.daemon, added: subtractLatency(latency.daemon, latency.direct), short, streams, residentMegabytesIdle, residentMegabytesAfter: residentMegabytes(daemon),
		};
	} finally {
		processes.killAll();
		rmSync(directory, {recursive: true, force: true});
		await agent.close();
	}
}

export function formatDataPath(result: DataPathResult): string {
	const latency = (name: string, value: Latency): string => `${name.padEnd(16)} first token p50 ${value.firstMedianMs.toFixed(2)} ms, p99 ${value.firstP99Ms.toFixed(2)} ms; whole response p50 ${value.totalMedianMs.toFixed(2)} ms, p99 ${value.totalP99Ms.toFixed(2)} ms`;
	const throughput = (name: string, value: Throughput): string => `${name.padEnd(16)} ${value.requestsPerSecond.toFixed(0)} requests/s, ${value.tokensPerSecond.toFixed(0)} tokens/s with ${value.cores.toFixed(2)} cores of the daemon; on one core ${value.requestsPerCoreSecond.toFixed(0)} requests/s, ${value.tokensPerCoreSecond.toFixed(0)} tokens/s (${value.concurrency} callers, ${value.tokensPerRequest} tokens each, ${value.failed} failed)`;
	return [
		`data-path: one daemon and ${engineCount} engine stand-ins on loopback, ${result.calls} calls of 16 streamed tokens to each target, alternating`,
		latency('direct', result.direct),
		latency('through daemon', result.throughDaemon),
		latency('added', result.added),
		throughput('short requests', result.short),
		throughput('streams', result.streams),
		`resident memory of the daemon: ${result.residentMegabytesIdle.toFixed(0)} MB at the start, ${result.residentMegabytesAfter.toFixed(0)} MB at the end`,
		'',
	].join('\n');
}
