import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {sendLoadVersion} from './engine-orders.js';

let server: Server;
let url: string;
let requests = 0;

beforeEach(async () => {
	requests = 0;
	server = createServer((req, res) => {
		requests++;
		req.resume();
		res.writeHead(202).end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
	server.close();
	server.closeAllConnections();
});

describe('sendLoadVersion', () => {
	it('sends the order while the lease is held', async () => {
		expect(await sendLoadVersion({
			url, version: 2, fence: 1, notAfter: 10, now: () => 5,
		})).toBe(true);
		expect(requests).toBe(1);
	});

	it('sends nothing after the lease has expired, such as after a pause of the process', async () => {
		expect(await sendLoadVersion({
			url, version: 2, fence: 1, notAfter: 10, now: () => 10,
		})).toBe(false);
		expect(requests).toBe(0);
	});
});
