/** Runs `cicadapost serve` as a small deployment of separate processes, kills a daemon and an engine, changes the weights, and prints the results of each member. */

import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import {freePort} from './free-port.js';
import {ChildProcesses, type StartedProcess} from './processes.js';
import {
	changeWeights, printAndCheckStep, runTrainer, findStepOwner,
} from './training-step.js';

const binary = path.resolve('dist/cicadapost');
const standInsBundle = path.resolve('dist/stand-ins.cjs');
const operatorKey = 'operator-key-of-the-demo';
const members = {
	inspectors: {key: 'inspectors-key-of-the-demo', weight: 3, role: 'caller'},
	clerks: {key: 'clerks-key-of-the-demo', weight: 1, role: 'caller'},
} as const;
const trainer = {name: 'netmodel-trainer', key: 'trainer-key-of-the-demo', step: 7} as const;
const dataCentres = {'alpen-west-1': 'alpen-west', 'lage-landen-1': 'lage-landen'} as const;

type MemberName = keyof typeof members;
type MemberStatistics = {calls: number; lost: number; tokens: number; latencies: number[]; versions: Set<number>};

function sha256Hex(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

async function post(url: string, body: unknown, headers: Record<string, string> = {}): Promise<{status: number; text: string}> {
	const res = await request(url, {method: 'POST', headers: {'content-type': 'application/json', ...headers}, body: JSON.stringify(body)});
	return {status: res.statusCode, text: await res.body.text()};
}

type Deployment = {
	daemons: StartedProcess[];
	engines: StartedProcess[];
};

async function startDeployment(processes: ChildProcesses, directory: string): Promise<Deployment> {
	const platform = await processes.start(process.execPath, [standInsBundle, 'platform']);
	const platformUrl = `http://127.0.0.1:${platform.port}`;
	const engines: StartedProcess[] = [];
	const daemons: StartedProcess[] = [];
	const vms: unknown[] = [];
	const overlays: string[] = [];
	for (const [dataCentre, region] of Object.entries(dataCentres)) {
		const upstreams: Record<string, unknown> = {};
		for (const index of [1, 2]) {
			const name = `${dataCentre}-engine-${index}`;
			const engine = await processes.start(process.execPath, [standInsBundle, 'engine', '--name', name]);
			engines.push(engine);
			upstreams[name] = {pool: 'netmodel', url: `http://127.0.0.1:${engine.port}`};
		}

		const overlayFile = path.join(directory, `${dataCentre}.jsonc`);
		writeFileSync(overlayFile, JSON.stringify({upstreams}));
		overlays.push('--overlay', overlayFile);
		for (const index of [1, 2]) {
			const daemon = `${dataCentre}-entry-${index}`;
			const peerPort = await freePort();
			vms.push({
				id: daemon, role: 'entry', dataCentre, state: 'live', peerAddress: `127.0.0.1:${peerPort}`,
			});
			const settingsFile = path.join(directory, `${daemon}.jsonc`);
			writeFileSync(settingsFile, JSON.stringify({
				daemon,
				dataCentre,
				region,
				listen: {api: {port: 0}, peers: {port: peerPort}},
				platform: {tableService: platformUrl, objectStore: platformUrl, vmList: platformUrl},
				operatorKeyHashes: [sha256Hex(operatorKey)],
				peerSecret: 'peer-secret-of-the-demo',
			}));
			daemons.push(await processes.start(binary, ['serve', '--settings', settingsFile]));
		}
	}

	await post(`${platformUrl}/control`, {vms});
	const baseFile = path.join(directory, 'base.jsonc');
	writeFileSync(baseFile, JSON.stringify({
		members: {
			...Object.fromEntries(Object.entries(members).map(([name, member]) => [name, {
				weight: member.weight, keys: [{sha256: sha256Hex(member.key), role: member.role}],
			}])),
			[trainer.name]: {weight: 1, keys: [{sha256: sha256Hex(trainer.key), role: 'trainer'}]},
		},
		pools: {netmodel: {kind: 'engine'}},
		dataCentres: Object.fromEntries(Object.entries(dataCentres).map(([name, region]) => [name, {region}])),
	}));
	await applyConfiguration(daemons[0]!, baseFile, overlays);
	return {daemons, engines};
}

async function applyConfiguration(daemon: StartedProcess, baseFile: string, overlays: readonly string[]): Promise<void> {
	const {execFile} = await import('node:child_process');
	await new Promise<void>((resolve, reject) => {
		execFile(binary, ['config', 'apply', '--daemon', `http://127.0.0.1:${daemon.port}`, '--base', baseFile, ...overlays], {
			env: {...process.env, CICADAPOST_KEY: operatorKey},
		}, (err, stdout, stderr) => {
			if (err === null) {
				process.stdout.write(stdout);
				resolve();
				return;
			}

			reject(new Error(`config apply failed: ${stderr}`));
		});
	});
}

async function waitUntilReady(daemons: readonly StartedProcess[]): Promise<void> {
	for (const daemon of daemons) {
		for (;;) {
			const {status} = await post(`http://127.0.0.1:${daemon.port}/v1/completions`, {model: 'netmodel', prompt: 'ready?', max_tokens: 1}, {
				authorization: `Bearer ${members.inspectors.key}`, 'x-deadline-ms': '2000',
			});
			if (status === 200) {
				break;
			}

			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
		}
	}
}

async function sendCompletion(daemons: readonly StartedProcess[], member: MemberName, index: number, statistics: MemberStatistics): Promise<void> {
	const startedAt = performance.now();
	const headers = {authorization: `Bearer ${members[member].key}`, 'x-deadline-ms': '10000'};
	const body = {
		model: 'netmodel', prompt: `${member} asks ${index}`, max_tokens: 24, stream: index % 5 === 0,
	};
	statistics.calls++;
	for (let attempt = 0; attempt < 4; attempt++) {
		// Retries at another daemon, as a load balancer in front of the daemons would.
		const daemon = daemons[(index + attempt) % daemons.length]!;
		try {
			const {status, text} = await post(`http://127.0.0.1:${daemon.port}/v1/completions`, body, headers);
			if (status === 200) {
				statistics.latencies.push(performance.now() - startedAt);
				statistics.tokens += 24;
				for (const match of text.matchAll(/"version":(?<version>\d+)/gv)) {
					statistics.versions.add(Number(match.groups!.version));
				}

				return;
			}
		} catch {
			// The daemon was killed.
		}
	}

	statistics.lost++;
}

/** Runs the whole demo. Rejects if a call was lost or the training step has faults. */
export async function runServeDemo(): Promise<void> {
	const directory = mkdtempSync(path.join(tmpdir(), 'cicadapost-demo-'));
	const processes = new ChildProcesses();
	try {
		const {daemons, engines} = await startDeployment(processes, directory);
		await waitUntilReady(daemons);
		const statisticsByMember: Record<MemberName, MemberStatistics> = {
			inspectors: {
				calls: 0, lost: 0, tokens: 0, latencies: [], versions: new Set(),
			},
			clerks: {
				calls: 0, lost: 0, tokens: 0, latencies: [], versions: new Set(),
			},
		};
		const memberNames = Object.keys(members) as MemberName[];
		const concurrentCalls = 20;
		const stepReport = runTrainer(processes, {daemons, key: trainer.key, step: trainer.step});
		for (const round of [0, 1, 2]) {
			if (round === 1) {
				const owner = await findStepOwner(daemons, operatorKey);
				processes.kill(daemons[owner]!);
				processes.kill(engines[0]!);
				process.stdout.write('killed the daemon that runs the training step, and one engine\n');
			}

			if (round === 2) {
				await changeWeights(engines.slice(1), 2);
				process.stdout.write('changed the weights; the change failed on one engine\n');
			}

			await Promise.all(memberNames.flatMap(name => Array.from({length: concurrentCalls}, async (_, index) => sendCompletion(daemons, name, (round * concurrentCalls) + index, statisticsByMember[name]))));
		}

		const totalTokens = memberNames.reduce((sum, name) => sum + statisticsByMember[name].tokens, 0);
		process.stdout.write('member      calls  share  p50 ms  max ms  versions  lost\n');
		for (const name of memberNames) {
			const {calls, tokens, latencies, versions, lost} = statisticsByMember[name];
			const sorted = latencies.toSorted((a, b) => a - b);
			const share = `${Math.round(100 * tokens / totalTokens)}%`;
			process.stdout.write(`${[
				name.padEnd(10),
				String(calls).padStart(6),
				share.padStart(6),
				String(Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0)).padStart(7),
				String(Math.round(sorted.at(-1) ?? 0)).padStart(7),
				[...versions].join(',').padStart(9),
				String(lost).padStart(5),
			].join(' ')}\n`);
		}

		printAndCheckStep(await stepReport);
		const lost = memberNames.reduce((sum, name) => sum + statisticsByMember[name].lost, 0);
		if (lost > 0) {
			throw new Error(`${lost} calls received no successful response`);
		}
	} finally {
		processes.killAll();
		rmSync(directory, {recursive: true, force: true});
	}
}
