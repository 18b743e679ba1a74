import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {freePort} from '../../platform/src/testing/free-port.js';

const readyTimeoutMs = 15_000;
const readyPollMs = 100;

export type DaemonOptions = Readonly<{
	vm: string;
	/** Address of the stand-in of the store. */
	store: string;
	dataCentre?: string;
}>;

/** The program of the deploy file as a process of its own, with settings like those of a machine of the site. */
export class Daemon {
	/** Log lines of the process. */
	readonly lines: string[] = [];
	readonly exited: Promise<number | NodeJS.Signals>;
	/** How the process has ended, undefined while it runs. */
	ended: number | NodeJS.Signals | undefined;
	private partialLine = '';

	private constructor(readonly vm: string, readonly ports: Readonly<{callers: number; health: number}>, private readonly folder: string, private readonly child: ChildProcess) {
		child.stdout?.on('data', data => {
			const lines = (this.partialLine + String(data)).split('\n');
			this.partialLine = lines.pop() ?? '';
			this.lines.push(...lines);
		});
		child.stderr?.on('data', data => {
			this.lines.push(String(data));
		});
		this.exited = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.ended = signal ?? code ?? -1;
				resolve(this.ended);
			});
		});
	}

	/** Starts the process with the `run` line of the deploy file, in the root of the repository. */
	static async start({vm, store, dataCentre = 'west-a'}: DaemonOptions): Promise<Daemon> {
		const [callers, health, relay, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
		const folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
		const file = path.join(folder, 'settings.jsonc');
		writeFileSync(file, JSON.stringify({
			vm,
			dataCentre,
			region: 'west',
			dataCentres: {'west-a': 'west', 'west-b': 'west'},
			processor: {share: 0.675, speed: 2},
			limits: {memoryMb: 474, maxDescriptors: 8200},
			listen: {
				callers: `127.0.0.1:${callers}`, health: `127.0.0.1:${health}`, relay: `127.0.0.1:${relay}`, metrics: `127.0.0.1:${metrics}`,
			},
			store: {address: store},
			shutdownSeconds: 8,
			orderSilenceMs: 3000,
			resultRetentionSeconds: 120,
		}));
		const run = /^run = "node (?<words>[^"]+)"/mv.exec(readFileSync('deploy/system.toml', 'utf8'))?.groups?.words ?? '';
		const child = spawn(process.execPath, run.split(' '), {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CICADAPOST_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		return new Daemon(vm, {callers, health}, folder, child);
	}

	/** Whether the daemon reports itself ready. */
	async isReady(): Promise<boolean> {
		try {
			const res = await fetch(`http://127.0.0.1:${this.ports.health}/cicadapost/ready`, {signal: AbortSignal.timeout(500)});
			return res.status === 200;
		} catch {
			// The daemon does not listen.
			return false;
		}
	}

	async waitUntilReady(): Promise<void> {
		const deadline = performance.now() + readyTimeoutMs;
		while (!(await this.isReady())) {
			if (performance.now() > deadline) {
				throw new Error(`${this.vm} is not ready: ${this.lines.slice(-10).join('\n')}`);
			}

			await sleep(readyPollMs);
		}
	}

	signal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Kills the process if it still runs, and deletes its settings. */
	async close(): Promise<void> {
		this.child.kill('SIGKILL');
		if (this.ended === undefined) {
			await this.exited;
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}
