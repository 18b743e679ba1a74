import {connect, createServer, type Server} from 'node:net';
import {once} from 'node:events';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {listenOn} from './listen-on.js';

const loopback = {host: '127.0.0.1', port: 0};

describe('listenOn', () => {
	let server: Server;

	beforeEach(() => {
		server = createServer();
	});

	afterEach(() => {
		server.close();
	});

	it('reports an address that is in use to the one who starts the server', async () => {
		const other = createServer();
		const port = await listenOn(other, loopback, vi.fn());
		const onError = vi.fn();
		await expect(listenOn(server, {...loopback, port}, onError)).rejects.toThrow('EADDRINUSE');
		expect(onError).not.toHaveBeenCalled();
		other.close();
	});

	it('keeps errors of accept from ending the process, however many there are', async () => {
		const onError = vi.fn();
		const port = await listenOn(server, loopback, onError);
		for (let count = 1; count <= 3; count++) {
			server.emit('error', new Error('accept ENFILE'));
			expect(onError).toHaveBeenCalledTimes(count);
		}

		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		socket.destroy();
	});
});
