import {
	createServer, Socket, type AddressInfo, type Server,
} from 'node:net';
import type {UpstreamId} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {buildConnector} from 'undici';
import {ConnectionPool, limitConnectTime, type ExchangeEnd} from './connection-pool.js';

describe('limitConnectTime', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const options = {protocol: 'http:', hostname: '127.0.0.1', port: '1'};

	it('ends the wait for a host that does not respond after exactly the limit', () => {
		const outcomes: unknown[] = [];
		limitConnectTime(() => undefined, 300)(options, (...[err]) => {
			outcomes.push(err);
		});
		vi.advanceTimersByTime(299);
		expect(outcomes).toEqual([]);
		vi.advanceTimersByTime(1);
		expect(outcomes).toMatchObject([{code: 'UND_ERR_CONNECT_TIMEOUT'}]);
	});

	it('closes a connection that is established after the limit', () => {
		let established: buildConnector.Callback | undefined;
		const outcomes: unknown[] = [];
		limitConnectTime((_, callback) => {
			established = callback;
		}, 300)(options, (...[err]) => {
			outcomes.push(err);
		});
		vi.advanceTimersByTime(300);
		const socket = new Socket();
		established!(null, socket);
		expect(socket.destroyed).toBe(true);
		expect(outcomes).toHaveLength(1);
	});

	it('passes on a connection or an error that arrives in time', () => {
		const socket = new Socket();
		const outcomes: unknown[] = [];
		limitConnectTime((_, callback) => {
			callback(null, socket);
		}, 300)(options, (...result) => {
			outcomes.push(result);
		});
		limitConnectTime((_, callback) => {
			callback(new Error('refused'), null);
		}, 300)(options, (...result) => {
			outcomes.push(result);
		});
		vi.advanceTimersByTime(1000);
		expect(outcomes).toEqual([[null, socket], [new Error('refused'), null]]);
	});
});

describe('ConnectionPool', () => {
	it('does not use a connection again that has not sent its whole request, since the memory of the request may hold another one by then', async () => {
		let connections = 0;
		const server = createServer(socket => {
			connections += 1;
			socket.on('error', () => undefined);
			socket.once('data', () => {
				// Responds before it has read the body, and reads nothing further.
				socket.pause();
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const pool = new ConnectionPool();
		const upstream = {id: 'u' as UpstreamId, bornAt: 1, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
		for (const id of ['a', 'b']) {
			const end = await new Promise<ExchangeEnd>(resolve => {
				pool.exchange(upstream, {
					method: 'POST', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(32 * 1024 * 1024), id,
				}, {
					onHead: () => true, onData: () => true, onEnd: resolve,
				});
			});
			expect(end).toEqual({kind: 'complete'});
			expect(pool.hasIdle(upstream.id)).toBe(false);
		}

		expect(connections).toBe(2);
		pool.close();
		server.close();
	});

	it('resets the connection of a request that is given up, so that a partition can\'t deliver the request later', async () => {
		const errors: string[] = [];
		let received = 0;
		const server = createServer(socket => {
			socket.on('error', err => {
				errors.push((err as NodeJS.ErrnoException).code ?? '');
			});
			socket.on('data', data => {
				received += data.length;
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const pool = new ConnectionPool();
		const exchange = pool.exchange({id: 'u1' as UpstreamId, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, bornAt: 1}, {
			method: 'POST', path: '/', headers: ['Host', 'h'], body: Buffer.from('body'),
		}, {
			onHead: () => true,
			onData: () => true,
			onEnd() {
				// The end is not checked.
			},
		});
		await expect.poll(() => received, {timeout: 2000, interval: 10}).toBeGreaterThan(0);
		exchange.abort();
		await expect.poll(() => errors, {timeout: 2000, interval: 10}).toEqual(['ECONNRESET']);
		pool.close();
		server.close();
	});
});

describe('requests whose ids repeat', () => {
	let pool: ConnectionPool;
	let server: Server;
	/** Ids of the requests that each connection has carried. */
	let idsByConnection: string[][];

	beforeEach(async () => {
		idsByConnection = [];
		pool = new ConnectionPool();
		server = createServer(socket => {
			const ids: string[] = [];
			idsByConnection.push(ids);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				ids.push(/^id: (\S+)/imv.exec(data.toString())?.[1] ?? '');
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		pool.close();
		server.close();
	});

	const send = async (id: string | undefined) => new Promise<ExchangeEnd>(resolve => {
		pool.exchange({id: 'u1' as UpstreamId, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, bornAt: 1}, {
			method: 'GET', path: '/', headers: ['Host', 'h', 'Id', id ?? 'none'], id,
		}, {onHead: () => true, onData: () => true, onEnd: resolve});
	});

	it('use no connection twice, so that a second copy of a response never counts as the response to the next request', async () => {
		for (let index = 0; index < 60; index++) {
			await send(`r${(index * 7) % 20}`);
		}

		expect(idsByConnection.flat()).toHaveLength(60);
		expect(idsByConnection.map(ids => new Set(ids).size)).toEqual(idsByConnection.map(ids => ids.length));
		expect(idsByConnection).toHaveLength(3);
	});

	it('are remembered for all requests of a connection, which is closed before there are too many', async () => {
		for (let index = 0; index < 450; index++) {
			await send(`r${index}`);
		}

		expect(idsByConnection.map(ids => ids.length)).toEqual([200, 200, 50]);
	});

	it('can\'t be told from those without ids, which get connections of their own', async () => {
		for (const id of ['r1', undefined, 'r2', undefined]) {
			await send(id);
		}

		expect(idsByConnection).toEqual([['r1', 'r2'], ['none'], ['none']]);
	});
});

describe('a response without a length', () => {
	const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
	let pool: ConnectionPool;
	let server: Server | undefined;
	let ends: string[];

	beforeEach(() => {
		ends = [];
		pool = new ConnectionPool();
		pool.on('closeDelimited', (_, end) => {
			ends.push(end);
		});
	});

	afterEach(() => {
		pool.close();
		server?.close();
	});

	/** Sends a request to an upstream that behaves like `respond`. */
	const request = async (respond: (socket: Socket) => void) => {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				respond(socket);
			});
		});
		await new Promise<void>(resolve => {
			server!.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const chunks: Uint8Array[] = [];
		const end = await new Promise<ExchangeEnd>(resolve => {
			pool.exchange({id: 'u1' as UpstreamId, address: `127.0.0.1:${port}`, bornAt: 1}, {method: 'GET', path: '/', headers: ['Host', 'h']}, {
				onHead: () => true,
				onData(chunk) {
					chunks.push(chunk);
					return true;
				},
				onEnd: resolve,
			});
		});
		return {end, body: Buffer.concat(chunks).toString()};
	};

	it.each([
		['at once', 0],
		['some time after them', 20],
	])('is not complete if its connection is reset %s with its last bytes', async (_, delayMs) => {
		const {end, body} = await request(socket => {
			socket.write(`${head}first half`, () => {
				if (delayMs === 0) {
					socket.resetAndDestroy();
				} else {
					setTimeout(() => socket.resetAndDestroy(), delayMs);
				}
			});
		});
		expect(body).toBe('first half');
		expect(end.kind).toBe('broken');
		expect(ends).toEqual(['failed']);
	});

	it('is complete if the upstream closes its connection', async () => {
		const {end, body} = await request(socket => {
			socket.end(`${head}whole`);
		});
		expect([end, body]).toEqual([{kind: 'complete'}, 'whole']);
		expect(ends).toEqual(['closed']);
	});

	it('is not confused with one that has a length, whose end no loss of the connection can change', async () => {
		const {end, body} = await request(socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole', () => {
				socket.resetAndDestroy();
			});
		});
		expect([end, body]).toEqual([{kind: 'complete'}, 'whole']);
		expect(ends).toEqual([]);
	});
});

describe('a response that ends within its head', () => {
	const whole = 'HTTP/1.1 200 OK\r\nSealed: yes\r\nContent-Type: text/plain\r\n\r\n';
	const framings: Readonly<Record<string, string>> = {
		'without a length': whole,
		'with a length': whole.replace('Sealed', 'Content-Length: 4\r\nSealed'),
		'in chunks': whole.replace('Sealed', 'Transfer-Encoding: chunked\r\nSealed'),
		'on a connection to be closed': whole.replace('Sealed', 'Connection: close\r\nSealed'),
		'of HTTP/1.0': whole.replace('1.1', '1.0'),
		'after an interim response': `HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n${whole}`,
		'after an interim response with a close': `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${whole}`,
	};
	let pool: ConnectionPool;
	let server: Server;
	let respond: (socket: Socket) => void;

	beforeEach(async () => {
		pool = new ConnectionPool();
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', () => {
				respond(socket);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		pool.close();
		server.close();
	});

	const send = async (id: string) => {
		const heads: number[] = [];
		const end = await new Promise<ExchangeEnd>(resolve => {
			pool.exchange({id: 'u1' as UpstreamId, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, bornAt: 1}, {
				method: 'GET', path: '/', headers: ['Host', 'h'], id,
			}, {
				onHead({status}) {
					heads.push(status);
					return true;
				},
				onData: () => true,
				onEnd: resolve,
			});
		});
		return {kind: end.kind, heads};
	};

	const ways: Readonly<Record<string, (socket: Socket, text: string) => void>> = {
		'a close': (socket, text) => socket.end(text),
		'a reset': (socket, text) => socket.write(text, () => socket.resetAndDestroy()),
	};

	describe.each(Object.entries(framings))('%s', (_, text) => {
		it.each(Object.entries(ways))('with %s is broken and has no head, wherever it ends', async (__, cut) => {
			for (let length = 0; length < text.length; length++) {
				respond = socket => {
					cut(socket, text.slice(0, length));
				};

				expect([length, await send(`r${length}`)]).toEqual([length, {kind: 'broken', heads: []}]);
			}
		});

		it.each(Object.entries(ways))('with %s is broken on a kept connection too', async (__, cut) => {
			for (const length of [0, 1, 9, 17, 30, text.length - 3, text.length - 1]) {
				respond = socket => {
					socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
				};

				expect(await send(`first-${length}`)).toEqual({kind: 'complete', heads: [200]});
				respond = socket => {
					cut(socket, text.slice(0, length));
				};

				expect([length, await send(`second-${length}`)]).toEqual([length, {kind: 'broken', heads: []}]);
			}
		});
	});
});
