import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

/** A child process that prints its port as its first JSON line. */
export type StartedProcess = Readonly<{child: ChildProcess; port: number; peerPort: number}>;

/** Processes of one run. `stopAll` ends exactly those. */
export class ChildProcesses {
	private readonly children = new Set<ChildProcess>();

	/** Starts a program and resolves when it has printed a JSON line with a port. */
	async start(program: string, args: readonly string[]): Promise<StartedProcess> {
		const child = spawn(program, args, {stdio: ['ignore', 'pipe', 'inherit']});
		this.children.add(child);
		return new Promise((resolve, reject) => {
			child.once('error', reject);
			child.once('exit', code => {
				reject(new Error(`${program} ${args[0] ?? ''} ended early with code ${code}`));
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

	/** Starts a program and resolves with its last line of output when it has ended. */
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

				reject(new Error(`${args.at(-1) ?? program} ended with code ${code}`));
			});
		});
	}

	/** Ends one process without warning. */
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
