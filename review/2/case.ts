import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Daemon} from '../stand-ins/daemon.js';
import {endWith, isCalm} from '../stand-ins/end.js';
import {Recorder} from '../stand-ins/recorder.js';
import {Store} from '../stand-ins/store.js';
import {call, host} from '../stand-ins/trainer.js';

const heartbeatMs = 1200;
const requests = 600;
const requestsPerSecond = 40;
/** The dose of `garble` that `fleetbench kinds` names: 0.02 of the answers of half of the workers. */
const brokenShare = 0.02;
const garblingWorkers = 2;
const workerCount = 4;
const workMs = 20;

const recorder = new Recorder(path.join('review', '2', 'record.txt'));
const store = new Store();
const daemons: Daemon[] = [];
let heartbeats: NodeJS.Timeout | undefined;

function wholeBody(id: string): string {
	return `${id} ${'x'.repeat(780)} end`;
}

/** A plain worker. Its answers have no length and end with their connection. Some are broken off by a reset of the connection. */
class PlainWorker {
	private readonly server: Server;
	private beats = 0;
	private readonly bornAt = Date.now();

	constructor(readonly id: string, private readonly share: number) {
		this.server = createServer(socket => {
			this.serve(socket);
		});
	}

	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
	}

	entry(): Record<string, unknown> {
		this.beats += 1;
		return {
			service: 'desk', address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`, zone: 'west-a', version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, seq: this.beats,
			born: this.bornAt,
		};
	}

	close(): void {
		this.server.close();
	}

	private serve(socket: Socket): void {
		let text = '';
		socket.on('error', () => undefined);
		socket.on('data', data => {
			text += data.toString('latin1');
			const head = text.slice(0, text.indexOf('\r\n\r\n'));
			const length = Number(/content-length: (?<length>\d+)/iv.exec(head)?.groups?.length ?? 0);
			if (head === '' || text.length < head.length + 4 + length) {
				return;
			}

			text = '';
			const id = /x-attempt-id: (?<id>\S+)/iv.exec(head)?.groups?.id ?? '';
			recorder.add(this.id, `${id}: run begins`);
			setTimeout(() => {
				this.answer(socket, id);
			}, workMs);
		});
	}

	private answer(socket: Socket, id: string): void {
		const body = wholeBody(id);
		const isBroken = !isCalm && Math.random() < this.share;
		const head = `HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: seal-${id}\r\nConnection: close\r\n\r\n`;
		if (!isBroken) {
			socket.end(head + body);
			return;
		}

		recorder.add(this.id, `${id}: answer is broken off in the middle by a reset`);
		socket.write(head + body.slice(0, 400), () => {
			socket.resetAndDestroy();
		});
	}
}

const workers = Array.from({length: workerCount}, (_, index) => new PlainWorker(`worker-${index + 1}`, index < garblingWorkers ? brokenShare : 0));

async function run(): Promise<readonly string[]> {
	const address = await store.listen();
	await store.write('op', 'config', {
		version: 3,
		routes: [{
			name: 'desk', host, prefix: '/desk/', kind: 'idempotent', timeout_ms: 2000, target_latency_ms: 200, service: 'desk', max_attempts: 2,
		}],
		services: [{name: 'desk', health_path: '/health', max_conns: 96}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
	const beat = async () => {
		for (const worker of workers) {
			await store.write('servers', worker.id, worker.entry());
		}
	};

	for (const worker of workers) {
		await worker.listen();
	}

	await beat();
	heartbeats = setInterval(() => {
		void beat();
	}, heartbeatMs);
	for (const vm of ['edge-1', 'edge-2']) {
		daemons.push(await Daemon.start({
			vm, zone: 'west-a', zones: {'west-a': 'west'}, store: address,
		}));
	}

	const areReady = await Promise.all(daemons.map(async daemon => daemon.becomesReady()));
	if (areReady.includes(false)) {
		throw new Error('a daemon does not become ready');
	}

	const faults: string[] = [];
	const served = new Set<string>();
	const send = async (index: number) => {
		const id = `r${index}`;
		const answer = await call(daemons[index % daemons.length]?.callers ?? '', {
			method: 'POST', path: `/desk/${index}`, headers: {'X-Attempt-Id': id, 'X-Deadline-Ms': '2000'}, body: 'question',
		});
		const isWhole = answer?.body === wholeBody(id);
		recorder.add('caller', `${id}: ${answer === undefined ? 'no whole answer' : `${answer.status}, ${answer.body.length} bytes${isWhole ? '' : ', not the whole body'}`}`);
		if (answer?.status === 200 && isWhole) {
			served.add(id);
		} else if (answer?.status === 200) {
			faults.push(`MIXED: ${id} got 200 with ${answer.body.length} of ${wholeBody(id).length} bytes, framed as complete`);
		}
	};

	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < requests; index++) {
		pending.push(send(index));
		await sleep(1000 / requestsPerSecond);
	}

	await Promise.all(pending);
	if (served.size < requests / 2) {
		throw new Error(`only ${served.size} of ${requests} requests were served`);
	}

	return faults;
}

void endWith(recorder, run, async () => {
	clearInterval(heartbeats);
	await Promise.all(daemons.map(async daemon => daemon.close()));
	store.close();
	for (const worker of workers) {
		worker.close();
	}
});
