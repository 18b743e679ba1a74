import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

/** A child process that has printed its port in a line of JSON. */
export type StartedProcess = Readonly<{child: ChildProcess; port: number; peerPort: number}>;

/** Starts child processes and tracks them, so that `killAll` ends exactly these. */
export class ChildProcesses {
	private readonly children = new Set<ChildProcess>();

	/** Starts a program and resolves once it has printed a line of JSON with a port. */
	async start(program: string, args: readonly string[]): Promise<StartedProcess> {
		const child = spawn(program, args, {stdio: ['ignore', 'pipe', 'inherit']});
		this.children.add(child);
		return new Promise((resolve, reject) => {
			child.once('error', reject);
			child.once('exit', code => {
				reject(new Error(`${program} ${args[0] ?? ''} exited with code ${code} before it printed a port`));
			});
			createInterface({input: child.stdout}).on('line', line => {
				const record = parseJsonLine(line);
				const port = record.apiPort ?? record.port;
				if (typeof port === 'number') {
					resolve({child, port, peerPort: Number(record.peerPort ?? 0)});
				}
			});
		});
	}

	/** Runs a program to its end and resolves with the last line of its output. Rejects unless it exits with code 0. */
	async run(program: string, args: readonly string[]): Promise<string> {
		const child = spawn(program, args, {stdio: ['ignore', 'pipe', 'inherit']});
		this.children.add(child);
		let lastLine = '';
		createInterface({input: child.stdout}).on('line', line => {
			lastLine = line;
		});
		return new Promise((resolve, reject) => {
			child.once('error', reject);
			child.once('close', code => {
				this.children.delete(child);
				if (code === 0) {
					resolve(lastLine);
					return;
				}

				reject(new Error(`${args.at(-1) ?? program} exited with code ${code}`));
			});
		});
	}

	/** Kills one process with SIGKILL. */
	kill(started: StartedProcess): void {
		started.child.kill('SIGKILL');
		this.children.delete(started.child);
	}

	killAll(): void {
		for (const child of this.children) {
			child.kill('SIGKILL');
		}
	}
}

function parseJsonLine(line: string): Record<string, unknown> {
	try {
		return JSON.parse(line) as Record<string, unknown>;
	} catch {
		return {};
	}
}
