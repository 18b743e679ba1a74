import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

export type DaemonOptions = Readonly<{
	vm: string;
	zone: string;
	/** Region of each zone. */
	zones: Readonly<Record<string, string>>;
	/** Address of the store. */
	store: string;
}>;

/** The words of the `run` line of the deploy file. */
function runLine(): string[] {
	const line = /^run = "(?<line>[^"]+)"/mv.exec(readFileSync('deploy/system.toml', 'utf8'))?.groups?.line ?? '';
	return line.split(' ');
}

export async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** A daemon as the platform starts it: the `run` line of the deploy file, with a settings file like the one that the template gives. */
export class Daemon {
	readonly exited: Promise<string>;
	/** Lines of its log. */
	readonly log: string[] = [];
	private readonly child: ChildProcess;

	private constructor(readonly vm: string, readonly callers: string, private readonly health: string, private readonly directory: string) {
		const [program = 'node', ...words] = runLine();
		this.child = spawn(program, words, {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CICADAPOST_SETTINGS: path.join(directory, 'settings.jsonc')}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const output of [this.child.stdout, this.child.stderr]) {
			output?.on('data', data => {
				this.log.push(...String(data).split('\n').filter(line => line !== ''));
			});
		}

		this.exited = new Promise(resolve => {
			this.child.once('exit', (code, signal) => {
				resolve(signal ?? `exit code ${code}`);
			});
		});
	}

	static async start({vm, zone, zones, store}: DaemonOptions): Promise<Daemon> {
		const [callers, health, relay, metrics] = [await freePort(), await freePort(), await freePort(), await freePort()];
		const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
		writeFileSync(path.join(directory, 'settings.jsonc'), JSON.stringify({
			vm,
			dataCentre: zone,
			region: zones[zone],
			dataCentres: zones,
			processor: {share: 0.675, speed: 2},
			listen: {
				callers: `127.0.0.1:${callers}`, health: `127.0.0.1:${health}`, relay: `127.0.0.1:${relay}`, metrics: `127.0.0.1:${metrics}`,
			},
			store: {address: store},
			shutdownSeconds: 8,
			orderSilenceMs: 3000,
			resultRetentionSeconds: 120,
		}));
		return new Daemon(vm, `127.0.0.1:${callers}`, `127.0.0.1:${health}`, directory);
	}

	get pid(): number | undefined {
		return this.child.pid;
	}

	async isReady(): Promise<boolean> {
		try {
			const res = await fetch(`http://${this.health}/cicadapost/ready`, {signal: AbortSignal.timeout(500)});
			return res.status === 200;
		} catch {
			return false;
		}
	}

	async becomesReady(timeoutMs = 15_000): Promise<boolean> {
		const deadline = performance.now() + timeoutMs;
		while (performance.now() < deadline) {
			if (await this.isReady()) {
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	signal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Kills the process if it still runs, and deletes its settings. */
	async close(): Promise<void> {
		this.child.kill('SIGKILL');
		await this.exited;
		rmSync(this.directory, {recursive: true, force: true});
	}
}
