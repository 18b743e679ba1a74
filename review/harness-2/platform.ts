/* eslint-disable @typescript-eslint/restrict-plus-operands, @typescript-eslint/require-array-sort-compare, promise/prefer-await-to-then, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-return -- Names are those of the wire, and what comes over it has no types. */
/** Stand-ins of the platform for the scripts of this review, and a daemon in a process of its own. */
import {spawn} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request} from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** The scripts are bundled into target/review-2. */
const root = path.join(import.meta.dirname, '..', '..');
const maxReadRows = 500;
const maxReadBytes = 1024 * 1024;
const maxTransactionEntries = 100;
const maxTransactionBytes = 1024 * 1024;
const maxRowBytes = 65_536;

export const hasTrouble = process.env.TROUBLE !== '0';

export async function listen(server, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return server.address().port;
}

export async function freePort() {
	const server = net.createServer();
	const port = await listen(server);
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

export async function readBytes(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

export function sendJson(res, status, value, headers = {}) {
	const bytes = Buffer.from(JSON.stringify(value));
	res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': bytes.length, ...headers});
	res.end(bytes);
}

const keyOf = (table, part, key) => `${table}\n${part}\n${key}`;

/** The platform's store: linearizable rows, conditional transactions and a feed with a whole history. */
export class Store {
	constructor() {
		this.rows = new Map();
		this.ver = 0;
		this.log = [];
		this.waiters = new Set();
		/** Called before a call is served. May delay it, or return true if it has ended the response. */
		this.intercept = async () => false;
		/** Called with the size of a transaction that exceeds a limit. */
		this.onTooLarge = () => undefined;
		this.server = createServer((req, res) => {
			this.serve(req, res).catch(() => res.destroy());
		});
		this.server.keepAliveTimeout = 60_000;
	}

	async listen() {
		this.port = await listen(this.server);
		this.address = `127.0.0.1:${this.port}`;
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	now() {
		return Math.round(performance.now() + 1_000_000);
	}

	/** Writes a row as the operator, a trainer or a worker does. */
	put(table, key, value) {
		this.apply({
			expected: [], set_keys: [{
				table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
			}], remove: [],
		});
	}

	drop(table, key) {
		this.apply({expected: [], set_keys: [], remove: [{table, part: '', key}]});
	}

	apply({expected, set_keys: sets, remove}) {
		const stale = expected.some(({table, part = '', key, ver}) => (this.rows.get(keyOf(table, part, key))?.ver ?? 0) !== ver);
		if (stale) {
			return undefined;
		}

		this.ver += 1;
		for (const {table, part = '', key, value} of sets) {
			const row = {
				table, part, key, value, ver: this.ver,
			};
			this.rows.set(keyOf(table, part, key), row);
			this.log.push(row);
		}

		for (const {table, part = '', key} of remove) {
			if (this.rows.delete(keyOf(table, part, key))) {
				this.log.push({
					table, part, key, ver: this.ver, deleted: true,
				});
			}
		}

		for (const wake of this.waiters) {
			wake();
		}

		return this.ver;
	}

	async serve(req, res) {
		const url = new URL(req.url, 'http://store');
		const parameter = name => url.searchParams.get(name) ?? undefined;
		const body = await readBytes(req);
		const call = body.length > 0 ? JSON.parse(body.toString('utf8')) : undefined;
		if (await this.intercept({
			path: url.pathname, call, req, res, table: parameter('table'),
		})) {
			return;
		}

		switch (url.pathname) {
			case '/cicadapost/rows-tx': {
				const rows = [...call.expected, ...call.set_keys, ...call.remove];
				const isRowTooLarge = call.set_keys.some(({value}) => Buffer.byteLength(value, 'base64') > maxRowBytes);
				if (rows.length > maxTransactionEntries || body.length > maxTransactionBytes || isRowTooLarge) {
					this.onTooLarge(body.length);
					sendJson(res, 413, {ver: this.ver, now_ms: this.now()});
					break;
				}

				const version = this.apply(call);
				if (version === undefined) {
					sendJson(res, 412, {records: call.expected.map(({table, part = '', key}) => this.rows.get(keyOf(table, part, key))).filter(Boolean), ver: this.ver, now_ms: this.now()});
				} else {
					sendJson(res, 200, {ver: version, now_ms: this.now()});
				}

				break;
			}

			case '/cicadapost/rows-get': {
				sendJson(res, 200, this.read({
					table: parameter('table'), part: parameter('part') ?? '', from: parameter('from'), to: parameter('to'), limit: Number(parameter('limit') ?? maxReadRows),
				}));
				break;
			}

			case '/cicadapost/rows-parts': {
				const after = parameter('after') ?? '';
				const found = [...this.rows.values()].filter(({table, part}) => table === parameter('table') && (part > after || (after === '' && part === '')));
				const all = [...new Set(found.map(({part}) => part))].sort();
				sendJson(res, 200, {parts: all.slice(0, 1000), has_more: all.length > 1000});
				break;
			}

			case '/cicadapost/rows-feed': {
				await this.feed(res, {table: parameter('table'), after: Number(parameter('after')), waitMs: Number(parameter('wait_ms') ?? 0)});
				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	read({table, part, from = '', to, limit}) {
		const found = [...this.rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to))
			.sort((a, b) => (a.key < b.key ? -1 : 1));
		const records = [];
		let bytes = 0;
		for (const row of found) {
			bytes += row.value.length + row.key.length + 100;
			if (records.length >= Math.min(limit, maxReadRows) || (bytes > maxReadBytes && records.length > 0)) {
				break;
			}

			records.push(row);
		}

		return {
			records, has_more: records.length < found.length, ver: this.ver, now_ms: this.now(),
		};
	}

	async feed(res, {table, after, waitMs}) {
		const changes = () => {
			const newest = new Map(this.log.filter(row => row.table === table && row.ver > after).map(row => [keyOf(row.table, row.part, row.key), row]));
			return [...newest.values()].sort((a, b) => a.ver - b.ver);
		};

		let records = changes();
		const until = performance.now() + waitMs;
		while (records.length === 0 && performance.now() < until && !res.destroyed) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, until - performance.now());
				this.waiters.add(finish);
			});
			records = changes();
		}

		sendJson(res, 200, {records, ver: this.ver, now_ms: this.now()});
	}
}

/** Starts the deployed program with the command of the deploy file. */
export class Daemon {
	static async start({
		vm, store, zone = 'west-a', graceSeconds = 8, memoryMb = 220, settings = {},
	}) {
		const daemon = new Daemon();
		const [callers, health, metrics, relay] = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
		daemon.vm = vm;
		daemon.callers = callers;
		daemon.health = health;
		daemon.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		daemon.settingsFile = path.join(daemon.folder, 'settings.jsonc');
		writeFileSync(daemon.settingsFile, JSON.stringify({
			vm,
			dataCentre: zone,
			region: 'west',
			dataCentres: {'west-a': 'west', 'west-b': 'west'},
			processor: {share: 0.675, speed: 2},
			limits: {memoryMb, maxDescriptors: 8200},
			listen: {
				callers: `127.0.0.1:${callers}`, health: `127.0.0.1:${health}`, relay: `127.0.0.1:${relay}`, metrics: `127.0.0.1:${metrics}`,
			},
			store: {address: store},
			shutdownSeconds: graceSeconds,
			orderSilenceMs: 3000,
			resultRetentionSeconds: 120,
			...settings,
		}));
		daemon.spawn();
		return daemon;
	}

	spawn() {
		const [, run] = /^run = "(?<run>.*)"/mv.exec(readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8'));
		const [, ...words] = run.split(' ');
		this.output = '';
		this.child = spawn(process.execPath, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, CICADAPOST_SETTINGS: this.settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child.stdout.on('data', chunk => {
			this.output += chunk;
		});
		this.child.stderr.on('data', chunk => {
			this.output += chunk;
		});
		this.exited = new Promise(resolve => {
			this.child.once('exit', (code, signal) => {
				this.ended = {code, signal, at: performance.now()};
				resolve(this.ended);
			});
		});
	}

	async ready() {
		for (let attempt = 0; attempt < 200; attempt++) {
			const status = await call({port: this.health, method: 'GET', path: '/cicadapost/ready'}).catch(() => 0).then(answer => answer.status);
			if (status === 200) {
				return;
			}

			await sleep(100);
		}

		throw new Error(`${this.vm} did not become ready: ${this.output.slice(-2000)}`);
	}

	/** Memory that only this process uses, without the pages of its program file. */
	memoryMb() {
		try {
			return Number(/^RssAnon:\s+(?<kilobytes>\d+) kB$/mv.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))?.groups.kilobytes ?? 0) / 1024;
		} catch {
			return 0;
		}
	}

	kill(signal = 'SIGKILL') {
		this.child.kill(signal);
	}

	async close() {
		if (this.ended === undefined) {
			this.child.kill('SIGCONT');
			this.child.kill('SIGKILL');
			await this.exited;
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Sends one request and resolves with its whole answer. Rejects if the channel ends without one. */
export async function call({
	port, method = 'POST', path: target, headers = {}, body, agent = false, timeoutMs = 30_000,
}) {
	return new Promise((resolve, reject) => {
		const req = request({
			host: '127.0.0.1', port, method, path: target, headers, agent,
		}, res => {
			const chunks = [];
			res.on('data', chunk => chunks.push(chunk));
			res.on('end', () => {
				clearTimeout(timer);
				resolve({status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks)});
			});
			res.on('error', reject);
			res.on('aborted', () => {
				reject(new Error('the answer broke off'));
			});
		});
		const timer = setTimeout(() => {
			req.destroy(new Error('no answer in time'));
		}, timeoutMs);
		req.on('error', err => {
			clearTimeout(timer);
			reject(err);
		});
		req.end(body);
	});
}

export const host = 'rota.example';

export function configuration(version, {routes, services}) {
	return {
		version, routes, services, limits: {
			max_header_bytes: 16_384, max_body_bytes: 33_554_432, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	};
}

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class Journal {
	constructor(folder) {
		this.folder = folder;
		this.lines = [];
		this.startedAt = performance.now();
		mkdirSync(folder, {recursive: true});
	}

	add(text) {
		this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}`);
	}

	write() {
		writeFileSync(path.join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
	}
}

/** Runs a case: exit status 3 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, body) {
	const journal = new Journal(folder);
	journal.add(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
	const cleanups = [];
	let status = 2;
	const finish = async () => {
		for (const cleanup of cleanups.reverse()) {
			await cleanup();
		}

		journal.write();
		console.log(journal.lines.at(-1));
		process.exit(status);
	};

	process.once('SIGTERM', finish);
	try {
		const broken = await body({journal, onEnd: cleanup => cleanups.push(cleanup)});
		journal.add(broken.length === 0 ? 'the rule held' : `the rule was broken: ${broken.join('; ')}`);
		status = broken.length === 0 ? 0 : 3;
	} catch (err) {
		journal.add(`the case could not run: ${err.stack}`);
	}

	await finish();
}
