/* eslint-disable promise/prefer-await-to-then, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument -- Names are those of the wire, and what comes over it has no types. */
/** Stand-in of a worker of a plain service. */
import {createServer} from 'node:http';
import {listen, readBytes, sendJson} from './platform.js';

export class Service {
	constructor({
		id, service = 'desk', zone = 'west-a', slots = 6, workMs = 30,
	}) {
		Object.assign(this, {
			id, service, zone, slots, workMs,
		});
		/** When each request began to run, by id. */
		this.runs = new Map();
		/** Answers a request instead of this worker if it returns true. */
		this.answer = () => false;
		this.server = createServer((req, res) => {
			this.serve(req, res).catch(() => res.destroy());
		});
		this.server.keepAliveTimeout = 15_000;
	}

	async listen() {
		this.port = await listen(this.server);
	}

	/** The entry in the platform's list of workers. */
	entry() {
		return {
			service: this.service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', cold_remaining_ms: 0, seq: 1, born: 1,
		};
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	async serve(req, res) {
		const id = req.headers['x-attempt-id'];
		await readBytes(req);
		if (req.url === '/health') {
			sendJson(res, 200, {}, {'X-Instance-Id': this.id});
			return;
		}

		if (req.headers['x-expect-instance'] !== this.id) {
			sendJson(res, 421, {}, {'X-Not-Executed': '1', 'X-Attempt-Id': id});
			return;
		}

		this.runs.set(id, performance.now());
		const timer = setTimeout(() => {
			if (!this.answer(res, id)) {
				sendJson(res, 200, {id}, {'X-Attempt-Id': id, 'X-Response-Seal': `seal-of-${id}`});
			}
		}, this.workMs);
		// A worker drops a request when its channel closes.
		res.on('close', () => {
			clearTimeout(timer);
		});
	}
}
