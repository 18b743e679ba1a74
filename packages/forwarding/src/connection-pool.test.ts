import {
	createServer, Socket, type AddressInfo,
} from 'node:net';
import type {UpstreamId} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {buildConnector} from 'undici';
import {ConnectionPool, limitConnectTime} from './connection-pool.js';

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
