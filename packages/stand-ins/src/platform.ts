import {type IncomingMessage, type ServerResponse} from 'node:http';
import type {VmRecord} from '@cicadapost/types';
import {JsonServer, readJson, sendJson} from './json-server.js';

type TableRow = {version: number; value: string};

/** Faults that a test can set with `POST /control`. */
export type PlatformFaults = {
	/** Closes the connection of every request without a response, except for `/control`. */
	down: boolean;
	/** Delay before each response, in milliseconds. */
	delayMs: number;
	/** Number of upcoming table writes that take effect but whose response is lost. */
	loseAnswers: number;
};

/** Stand-in for the platform: table service, object store, weight store and VM list, all in memory. */
export class PlatformStandIn extends JsonServer {
	private readonly rowsByPath = new Map<string, TableRow>();
	private readonly objects = new Map<string, string>();
	private vms: VmRecord[] = [];
	/** Newest weight version of each model. */
	private readonly newestWeightVersions: Record<string, number> = {};
	private readonly faults: PlatformFaults = {down: false, delayMs: 0, loseAnswers: 0};

	constructor(options: Readonly<{port?: number}> = {}) {
		super(options.port ?? 0);
	}

	protected override async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://localhost');
		const body = await readJson(req);
		if (url.pathname === '/control') {
			const {vms, weights, ...faults} = body;
			Object.assign(this.newestWeightVersions, weights);
			Object.assign(this.faults, faults);
			this.vms = (vms as VmRecord[] | undefined) ?? this.vms;
			sendJson(res, 200, this.faults);
			return;
		}

		if (this.faults.down) {
			res.destroy();
			return;
		}

		if (this.faults.delayMs > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, this.faults.delayMs);
			});
		}

		this.routeRequest(req, res, url, body);
	}

	private routeRequest(req: IncomingMessage, res: ServerResponse, url: URL, body: Record<string, unknown>): void {
		const [, resource, ...rest] = url.pathname.split('/').map(part => decodeURIComponent(part));
		const key = rest.join('/');
		switch (resource) {
			case 'tables': {
				this.handleTableRequest(req, res, key, url, body);
				break;
			}

			case 'objects': {
				this.handleObjectRequest(req, res, key, body);
				break;
			}

			case 'weights': {
				const version = this.newestWeightVersions[key];
				sendJson(res, version === undefined ? 404 : 200, {model: key, version});
				break;
			}

			case 'vms': {
				sendJson(res, 200, {vms: this.vms});
				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	private handleTableRequest(req: IncomingMessage, res: ServerResponse, key: string, url: URL, body: Record<string, unknown>): void {
		const prefix = url.searchParams.get('prefix');
		if (req.method === 'GET' && prefix !== null) {
			const pathPrefix = `${key}/${prefix}`;
			const rows = [...this.rowsByPath].filter(([name]) => name.startsWith(pathPrefix)).map(([name, row]) => ({key: name.slice(key.length + 1), ...row}));
			sendJson(res, 200, {rows});
			return;
		}

		const row = this.rowsByPath.get(key);
		if (req.method === 'GET') {
			sendJson(res, row === undefined ? 404 : 200, row ?? {});
			return;
		}

		const expectedVersion = Number(req.headers['if-match']);
		if ((row?.version ?? 0) !== expectedVersion) {
			sendJson(res, 412, row ?? {version: 0, value: ''});
			return;
		}

		const version = expectedVersion + 1;
		this.rowsByPath.set(key, {version, value: String(body.value)});
		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			res.destroy();
			return;
		}

		sendJson(res, 200, {version});
	}

	private handleObjectRequest(req: IncomingMessage, res: ServerResponse, key: string, body: Record<string, unknown>): void {
		if (req.method === 'PUT') {
			this.objects.set(key, String(body.value));
			sendJson(res, 200, {});
			return;
		}

		if (req.method === 'DELETE') {
			sendJson(res, this.objects.delete(key) ? 200 : 404, {});
			return;
		}

		const value = this.objects.get(key);
		sendJson(res, value === undefined ? 404 : 200, {value});
	}
}
