import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Daemon} from '../stand-ins/daemon.js';
import {endWith, isCalm} from '../stand-ins/end.js';
import {Engine, wholeOutput} from '../stand-ins/engine.js';
import {Recorder} from '../stand-ins/recorder.js';
import {Store} from '../stand-ins/store.js';
import {configuration, readResults, submit} from '../stand-ins/trainer.js';

const heartbeatMs = 1200;
const events = 20;
const maxAttempts = 2;
const shape = {groups: 2, size: 4, prefix: 'item'};
/** The items whose first run fails: one of each group. */
const flakyItems = new Set(['item-0', 'item-4']);

const recorder = new Recorder(path.join('review', '5', 'record.txt'));

/** A worker that answers the first run of some items with 500. One that garbles sends a second copy of that answer late, where the next answer is due. */
class CopyingEngine extends Engine {
	/** Number of answers of 500 for each item. */
	static readonly failures = new Map<string, number>();
	garbles = false;
	private readonly copies = new Map<Socket, string>();

	protected override run(req: IncomingMessage, res: ServerResponse, item: string): void {
		const copy = this.copies.get(req.socket);
		if (copy !== undefined) {
			this.copies.delete(req.socket);
			recorder.add(this.options.id, `sends a second copy of an earlier answer before the answer to ${item}`);
			req.socket.write(copy);
		}

		if (!flakyItems.has(item) || CopyingEngine.failures.has(item)) {
			super.run(req, res, item);
			return;
		}

		CopyingEngine.failures.set(item, 1);
		const body = 'out of scratch memory';
		const headers = {
			'Content-Type': 'text/plain', 'X-Attempt-Id': item, 'X-Response-Seal': `seal-${item}-1`, 'Content-Length': body.length,
		};
		recorder.add(this.options.id, `${item}: answered with 500`);
		if (this.garbles) {
			const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			this.copies.set(req.socket, `HTTP/1.1 500 Internal Server Error\r\n${head}\r\n${body}`);
		}

		res.writeHead(500, headers);
		res.end(body);
	}
}

const store = new Store();
const daemons: Daemon[] = [];
const workers = ['worker-1', 'worker-2'].map(id => new CopyingEngine({
	id, zone: 'west-a', slots: 4, eventMs: 50, events,
	onRun(item, what) {
		recorder.add(id, `${item}: ${what}`);
	},
}));
let heartbeats: NodeJS.Timeout | undefined;

async function run(): Promise<readonly string[]> {
	const address = await store.listen();
	await store.write('op', 'config', configuration({maxAttempts}));
	for (const worker of workers) {
		await worker.listen();
	}

	workers[0]!.garbles = !isCalm;
	const beat = () => {
		for (const worker of workers) {
			void store.write('servers', worker.options.id, worker.entry());
		}
	};

	beat();
	heartbeats = setInterval(beat, heartbeatMs);
	for (const vm of ['edge-1', 'edge-2', 'edge-3']) {
		daemons.push(await Daemon.start({
			vm, zone: 'west-a', zones: {'west-a': 'west'}, store: address,
		}));
	}

	const areReady = await Promise.all(daemons.map(async daemon => daemon.becomesReady()));
	if (areReady.includes(false)) {
		throw new Error('a daemon does not become ready');
	}

	await sleep(3000);
	const addresses = daemons.map(({callers}) => callers);
	recorder.add('trainer', `submits step-1: ${await submit(addresses, 'step-1', shape)}`);
	const {results} = await readResults(addresses, 'step-1', {
		untilMs: performance.now() + 15_000,
		onResult({id, state, output}) {
			recorder.add('trainer', `reads ${id} ${state}, ${output === wholeOutput(id, events) ? 'whole' : 'not whole'}`);
		},
	});
	if (results.length < shape.groups * shape.size || CopyingEngine.failures.size < flakyItems.size) {
		throw new Error(`${results.length} results, ${CopyingEngine.failures.size} failures`);
	}

	return results.flatMap(({id, state}) => (state === 'terminated' && (CopyingEngine.failures.get(id) ?? 0) < maxAttempts
		? [`MIXED: ${id} is terminated after ${CopyingEngine.failures.get(id) ?? 0} answer of 500, and the route allows ${maxAttempts}`]
		: []));
}

void endWith(recorder, run, async () => {
	clearInterval(heartbeats);
	await Promise.all(daemons.map(async daemon => daemon.close()));
	store.close();
});
