import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {readText, sendJson} from './store.js';
import {model} from './trainer.js';

export type EngineOptions = Readonly<{
	id: string;
	zone: string;
	slots: number;
	/** Time between two events of a run, in milliseconds. */
	eventMs: number;
	/** Number of events of each run. */
	events: number;
	onRun?: (item: string, what: string) => void;
}>;

/** The data of an event, the same at all engines. */
export function eventData(item: string, event: number): string {
	return `${item} word-${event}`;
}

/** The whole output of an item. */
export function wholeOutput(item: string, events: number): string {
	return Array.from({length: events}, (_, index) => eventData(item, index + 1)).join('\n');
}

/** A model worker of PROTOCOL.md, whose runs are streams of events with ids from 1 on. */
export class Engine {
	state: 'ready' | 'draining' = 'ready';
	running = 0;
	/** Runs of each item that have begun. */
	readonly begun = new Map<string, number>();
	/** Items with a run that has ended whole. */
	readonly finished = new Set<string>();
	/** Number of items that are running, and the time at which each was last at this engine. */
	readonly lastSeen = new Map<string, number>();
	private address = '';
	private accepted = 0;
	private beats = 0;
	private readonly server: Server;
	private readonly bornAt = Date.now();

	constructor(readonly options: EngineOptions) {
		this.server = createServer((req, res) => {
			void this.serve(req, res);
		});
		this.server.keepAliveTimeout = 10_000;
	}

	async listen(port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.server.listen(port, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** The worker's entry in the table `servers`. */
	entry(): Record<string, unknown> {
		this.beats += 1;
		return {
			service: 'lm', address: this.address, zone: this.options.zone, version: 'v1', slots: this.options.slots, state: this.state, cold_remaining_ms: 0, stage: 'both',
			models: [{name: model, version: 1, adapters: []}], seq: this.beats, born: this.bornAt,
		};
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Answers a request for an item. */
	protected run(req: IncomingMessage, res: ServerResponse, item: string): void {
		const {eventMs, events} = this.options;
		const from = Number(req.headers['last-event-id'] ?? 0);
		res.writeHead(200, {
			'Content-Type': 'text/event-stream', 'X-Attempt-Id': item, 'X-Response-Seal': `seal-${item}`, 'X-Weight-Versions': '1',
		});
		let next = from + 1;
		const timer = setInterval(() => {
			this.lastSeen.set(item, performance.now());
			res.write(`id: ${next}\ndata: ${eventData(item, next)}\n\n`);
			next += 1;
			if (next > events) {
				clearInterval(timer);
				this.finished.add(item);
				this.options.onRun?.(item, 'run is over');
				res.end();
			}
		}, eventMs);
		res.on('close', () => {
			clearInterval(timer);
			if (!this.finished.has(item)) {
				this.options.onRun?.(item, `run was cut after event ${next - 1}`);
			}
		});
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await readText(req);
		const item = String(req.headers['x-attempt-id']);
		if (req.headers['x-expect-instance'] !== this.options.id) {
			res.writeHead(421, {'X-Not-Executed': '1', 'X-Attempt-Id': item, 'Content-Length': 0});
			res.end();
			return;
		}

		switch (req.url) {
			case '/cicadapost/report': {
				sendJson(res, 200, {
					stage: 'both', models: [{name: model, version: 1, adapters: []}], busy: false, seq: this.accepted, waiting: 0, running: this.running, born: this.bornAt,
				});
				break;
			}

			case '/cicadapost/order': {
				this.accepted += 1;
				this.options.onRun?.('-', `order ${body}`);
				sendJson(res, 202, {});
				break;
			}

			default: {
				this.admit(req, res, item);
			}
		}
	}

	private admit(req: IncomingMessage, res: ServerResponse, item: string): void {
		if (this.running >= this.options.slots) {
			res.writeHead(503, {'X-Not-Executed': '1', 'X-Attempt-Id': item, 'Content-Length': 0});
			res.end();
			return;
		}

		this.running += 1;
		this.lastSeen.set(item, performance.now());
		this.begun.set(item, (this.begun.get(item) ?? 0) + 1);
		res.on('close', () => {
			this.running -= 1;
			this.lastSeen.set(item, performance.now());
		});
		this.options.onRun?.(item, `run begins, last event id ${String(req.headers['last-event-id'] ?? 'none')}`);
		this.run(req, res, item);
	}
}
