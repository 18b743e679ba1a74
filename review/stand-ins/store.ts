import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryRowStore} from '../../packages/store/src/memory-row-store.js';
import type {RowChange, StoredRow} from '../../packages/store/src/row-store.js';

export type WireRow = Readonly<{table: string; part: string; key: string; value?: string; ver?: number; deleted?: boolean}>;
export type WireTransaction = Readonly<{expected: WireRow[]; set_keys: WireRow[]; remove: WireRow[]}>;

/** Limits of a transaction and of a row, from PROTOCOL.md and the settings. */
const maxEntries = 100;
const maxRowBytes = 65_536;

/** The metadata store of PROTOCOL.md. Answers of transactions may be lost after they have been carried out. */
export class Store {
	readonly rows = new MemoryRowStore({now: () => performance.now()});
	/** Whether the answer of a transaction that has been carried out is lost. The connection then delivers nothing further. */
	losesAnswer: (transaction: WireTransaction) => boolean = () => false;
	/** Called after a transaction has been carried out, with whether its answer is lost. */
	onCommitted: (transaction: WireTransaction, isLost: boolean) => void = () => undefined;
	/** Called after a transaction that is too large has been rejected. */
	onRejected: (entries: number) => void = () => undefined;
	private readonly server: Server;

	constructor() {
		this.server = createServer((req, res) => {
			void this.serve(req, res);
		});
	}

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Writes a row as the operator, a trainer or a worker does. */
	async write(table: string, key: string, value: unknown): Promise<void> {
		await this.rows.transact({part: '', writes: [{table, key, value: Buffer.from(JSON.stringify(value))}]});
	}

	async remove(table: string, key: string): Promise<void> {
		await this.rows.transact({part: '', writes: [], deletes: [{table, key}]});
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		const parameter = (name: string) => url.searchParams.get(name) ?? undefined;
		switch (url.pathname) {
			case '/cicadapost/rows-tx': {
				await this.transact(res, JSON.parse(await readText(req)) as WireTransaction);
				break;
			}

			case '/cicadapost/rows-get': {
				const [from, to, limit] = [parameter('from'), parameter('to'), parameter('limit')];
				const outcome = await this.rows.read({
					table: parameter('table') ?? '',
					part: parameter('part') ?? '',
					...(from === undefined ? {} : {from}),
					...(to === undefined ? {} : {to}),
					...(limit === undefined ? {} : {limit: Number(limit)}),
				});
				if (outcome.kind === 'rows') {
					sendJson(res, 200, {
						records: outcome.rows.map(row => toWire(row)), has_more: outcome.hasMore, ver: outcome.version, now_ms: outcome.storeTime,
					});
				} else {
					sendJson(res, 503, {});
				}

				break;
			}

			case '/cicadapost/rows-parts': {
				sendJson(res, 200, {parts: await this.rows.parts(parameter('table') ?? ''), has_more: false});
				break;
			}

			case '/cicadapost/rows-feed': {
				const outcome = await this.rows.changes({table: parameter('table') ?? '', after: Number(parameter('after')), waitMs: Number(parameter('wait_ms'))});
				if (outcome.kind === 'changes') {
					sendJson(res, 200, {records: outcome.changes.map(change => changeToWire(change)), ver: outcome.version, now_ms: outcome.storeTime});
				} else {
					sendJson(res, outcome.kind === 'history-lost' ? 410 : 503, {});
				}

				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	private async transact(res: ServerResponse, transaction: WireTransaction): Promise<void> {
		const all = [...transaction.expected, ...transaction.set_keys, ...transaction.remove];
		if (all.length > maxEntries || transaction.set_keys.some(({value}) => Buffer.byteLength(value ?? '', 'base64') > maxRowBytes)) {
			this.onRejected(all.length);
			sendJson(res, 400, {});
			return;
		}

		const outcome = await this.rows.transact({
			part: all[0]?.part ?? '',
			expected: transaction.expected.map(({table, key, ver}) => ({table, key, version: ver ?? 0})),
			writes: transaction.set_keys.map(({table, key, value}) => ({table, key, value: Buffer.from(value ?? '', 'base64')})),
			deletes: transaction.remove,
		});
		if (outcome.kind === 'conflict') {
			sendJson(res, 412, {records: outcome.rows.map(row => toWire(row)), now_ms: performance.now()});
			return;
		}

		const isLost = this.losesAnswer(transaction);
		this.onCommitted(transaction, isLost);
		if (!isLost && outcome.kind === 'committed') {
			sendJson(res, 200, {ver: outcome.version, now_ms: performance.now()});
		}
	}
}

function toWire(row: StoredRow): WireRow {
	return {
		table: row.table, part: row.part, key: row.key, value: Buffer.from(row.value).toString('base64'), ver: row.version,
	};
}

function changeToWire(change: RowChange): WireRow {
	return change.kind === 'written' ? toWire(change.row) : {...change.key, ver: change.version, deleted: true};
}

export async function readText(req: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

export function sendJson(res: ServerResponse, status: number, body: unknown): void {
	const text = JSON.stringify(body);
	res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
	res.end(text);
}
