/* eslint-disable @typescript-eslint/restrict-plus-operands, promise/prefer-await-to-then, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- Names are those of the wire, and what comes over it has no types. */
/** Stand-in of a model worker: streams of events, and the reports and orders that daemons send. */
import {createServer} from 'node:http';
import {listen, readBytes, sendJson} from './platform.js';

export class Engine {
	constructor({
		id, service = 'lm', zone = 'west-a', model = 'm0', slots = 16, events = () => 12, eventMs = () => 40, data = (item, event) => `${item}.${event}`,
	}) {
		Object.assign(this, {
			id, service, zone, model, slots, events, eventMs, data,
		});
		this.version = 1;
		this.orders = 0;
		this.running = 0;
		/** Called with each run that begins. `ended` takes a function to call when it ends. */
		this.onRun = () => undefined;
		this.born = Date.now();
	}

	async listen(port = 0) {
		this.server = createServer((req, res) => {
			this.serve(req, res).catch(() => res.destroy());
		});
		this.server.keepAliveTimeout = 15_000;
		this.sockets = new Set();
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => this.sockets.delete(socket));
		});
		this.port = await listen(this.server, port);
	}

	/** Ends like a process that crashes: its channels are reset, and new ones are refused. */
	crash() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Starts a new lifetime at the same address, with the same id. */
	async restart() {
		this.born = Date.now();
		this.orders = 0;
		this.running = 0;
		await this.listen(this.port);
	}

	/** The entry in the platform's list of workers. */
	entry() {
		return {
			service: this.service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', cold_remaining_ms: 0, seq: 1, born: this.born,
			stage: 'both', models: this.models(),
		};
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	models() {
		return [{name: this.model, version: this.version, adapters: []}];
	}

	async serve(req, res) {
		const id = req.headers['x-attempt-id'];
		const body = await readBytes(req);
		const expected = req.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			sendJson(res, 421, {}, {'X-Not-Executed': '1'});
			return;
		}

		switch (req.url) {
			case '/health': {
				sendJson(res, 200, {}, {'X-Instance-Id': this.id});
				break;
			}

			case '/cicadapost/report': {
				sendJson(res, 200, {
					stage: 'both', models: this.models(), busy: false, seq: this.orders, waiting: 0, running: this.running, kv_used: 0, kv_total: 90_000, handles: 0,
				});
				break;
			}

			case '/cicadapost/order': {
				const {version} = JSON.parse(body.toString('utf8'));
				const holds = version === this.version;
				this.orders += holds ? 0 : 1;
				this.version = version;
				sendJson(res, holds ? 200 : 202, {});
				break;
			}

			default: {
				this.run(req, res, {id, body});
			}
		}
	}

	run(req, res, {id, body}) {
		if (this.running >= this.slots) {
			sendJson(res, 503, {}, {'X-Not-Executed': '1', 'X-Attempt-Id': id});
			return;
		}

		this.running += 1;
		res.writeHead(200, {
			'Content-Type': 'text/event-stream', 'X-Attempt-Id': id, 'X-Response-Seal': 'sealed', 'X-Weight-Versions': String(this.version),
		});
		this.onRun({
			id,
			bytes: body.length,
			ended(listener) {
				res.once('close', () => listener(res.writableFinished));
			},
		});
		let next = Number(req.headers['last-event-id'] ?? -1) + 1;
		let timer;
		const step = () => {
			if (next >= this.events(id)) {
				res.end();
				return;
			}

			res.write(`id: ${next}\ndata: ${this.data(id, next)}\n\n`);
			next += 1;
			timer = setTimeout(step, this.eventMs(this.running));
		};

		timer = setTimeout(step, this.eventMs(this.running));
		res.on('close', () => {
			clearTimeout(timer);
			this.running = Math.max(0, this.running - 1);
		});
	}
}
