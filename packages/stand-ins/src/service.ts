import {type IncomingMessage, type ServerResponse} from 'node:http';
import {JsonServer, sendJson} from './json-server.js';

export type ServiceOptions = Readonly<{
	name: string;
	port?: number;
}>;

/** Faults that a test can set with `POST /control`. */
export type ServiceFaults = {
	/** Delay between execution and response, in milliseconds. */
	delayMs: number;
	/** Status code of each response. */
	status: number;
	/** Value of the `Retry-After` header. If it is not empty, calls are rejected with it and not executed. */
	retryAfter: string;
	/** Number of upcoming calls that are executed but whose response is lost. */
	loseAnswers: number;
	/** Executes calls without responding. */
	silent: boolean;
};

/** A call that the service has executed. */
export type Execution = Readonly<{method: string; path: string; contentType: string; body: string}>;

/** Stand-in for a plain service. It echoes the request body and records the calls that it executes. */
export class ServiceStandIn extends JsonServer {
	readonly executions: Execution[] = [];
	private readonly faults: ServiceFaults = {
		delayMs: 0, status: 200, retryAfter: '', loseAnswers: 0, silent: false,
	};

	constructor(private readonly options: ServiceOptions) {
		super(options.port ?? 0);
	}

	protected override async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const body = await readBytes(req);
		if (req.url === '/control') {
			Object.assign(this.faults, JSON.parse(new TextDecoder().decode(body)));
			sendJson(res, 200, this.faults);
			return;
		}

		if (req.url === '/executions') {
			sendJson(res, 200, {name: this.options.name, count: this.executions.length, executions: this.executions});
			return;
		}

		if (this.faults.retryAfter !== '') {
			res.writeHead(this.faults.status, {'retry-after': this.faults.retryAfter});
			res.end();
			return;
		}

		this.executions.push({
			method: req.method ?? '', path: req.url ?? '', contentType: req.headers['content-type'] ?? '', body: Buffer.from(body).toString('latin1'),
		});
		await new Promise(resolve => {
			setTimeout(resolve, this.faults.delayMs);
		});
		this.sendResponse(res, req.headers['content-type'] ?? 'application/octet-stream', body);
	}

	private sendResponse(res: ServerResponse, contentType: string, body: Uint8Array): void {
		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			res.destroy();
			return;
		}

		if (!this.faults.silent) {
			res.writeHead(this.faults.status, {'content-type': contentType});
			res.end(body);
		}
	}
}

async function readBytes(req: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}
