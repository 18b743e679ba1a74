import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ResponseReceiver, type PlainRequest, type RoutingConfiguration} from '@cicadapost/forwarding';
import {
	SystemClock, type RequestId,
} from '@cicadapost/types';
import {Right} from 'purify-ts';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {CallerProtocol, type CallerCall, type ReceivedHead} from './caller-protocol.js';
import {FrontServer, type FrontNote} from './front-server.js';

const configuration: RoutingConfiguration = {
	version: 1,
	services: [],
	limits: {
		headerBytes: 2000, bodyBytes: 1000, headerTimeoutMs: 400, idleTimeoutMs: 400,
	},
	routes: [{
		kind: 'plain', host: 'h', prefix: '/', timeoutMs: 2000, services: [],
	} as unknown as RoutingConfiguration['routes'][number]],
};

class PlainProtocol extends CallerProtocol {
	override readonly readyPath = '/ready';

	override readCall({target, headers}: ReceivedHead): CallerCall {
		const id = headers.findIndex(name => name.toLowerCase() === 'x-id');
		return {
			kind: 'routed', host: 'h', path: target, requestId: id === -1 ? undefined : headers[id + 1] as RequestId, deadlineMs: undefined,
		};
	}

	override readSubmission() {
		return Right({} as never);
	}

	override encodeResults(): string {
		return '';
	}

	override encodeError(detail: string): string {
		return JSON.stringify({detail});
	}
}

type Forwarded = {request: PlainRequest; sink: ResponseReceiver; hasLeft: boolean};

let front: FrontServer;
let forwarded: Forwarded[];
let notes: FrontNote[];
/** Whether requests are answered at once with their path. */
let isAnswering: boolean;
let port: number;
const sockets: Socket[] = [];

/** Sends bytes on a connection of its own and collects what comes back until it is closed or `ms` are over. */
async function exchange(parts: ReadonlyArray<string | number>, ms = 1200): Promise<Readonly<{text: string; isClosed: boolean}>> {
	const socket = connect(port, '127.0.0.1');
	sockets.push(socket);
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	const closed = new Promise<void>(resolve => {
		socket.on('error', () => {
			resolve();
		});
		socket.on('close', () => {
			resolve();
		});
	});
	for (const part of parts) {
		if (typeof part === 'number') {
			await sleep(part);
		} else {
			socket.write(part);
		}
	}

	await Promise.race([closed, sleep(ms)]);
	return {text, isClosed: socket.closed};
}

const statuses = (text: string) => [...text.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(match => Number(match.groups!.status));
const post = (path: string, headers: string, body = '') => `POST ${path} HTTP/1.1\r\nHost: h\r\n${headers}\r\n${body}`;

beforeEach(async () => {
	forwarded = [];
	notes = [];
	isAnswering = true;
	front = new FrontServer({
		clock: new SystemClock(),
		protocol: new PlainProtocol(),
		forwarder: {
			forward(request, sink) {
				const entry: Forwarded = {request, sink, hasLeft: false};
				forwarded.push(entry);
				if (isAnswering) {
					const body = Buffer.from(`${request.path}:${Buffer.from(request.body).toString()}`);
					sink.head(200, ['Content-Length', String(body.length)]);
					sink.data(body);
					sink.end();
				}

				return () => {
					entry.hasLeft = true;
				};
			},
		},
		batches: {
			submit: async () => ({kind: 'accepted', isRepeated: false}),
			results: async () => ({kind: 'not-found'}),
			body: async () => ({kind: 'not-found'}),
			end: async () => 'not-found',
		},
		configuration: () => configuration,
		onNote(note) {
			notes.push(note);
		},
	});
	await front.listen({host: '127.0.0.1', port: 0});
	front.applyLimits(configuration.limits);
	port = front.port;
});

afterEach(() => {
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}

	front.close();
});

describe('a connection', () => {
	it('answers pipelined requests in their order, each with its own body', async () => {
		const {text} = await exchange([`${post('/a', 'Content-Length: 1\r\n', 'x')}${post('/b', 'Content-Length: 1\r\n', 'y')}GET /c HTTP/1.1\r\nHost: h\r\n\r\n`], 300);
		expect(statuses(text)).toEqual([200, 200, 200]);
		expect([...text.matchAll(/\/[abc]:[xy]?/gv)].map(match => match[0])).toEqual(['/a:x', '/b:y', '/c:']);
	});

	it('takes a body in chunks of any size, so that it is forwarded whole', async () => {
		await exchange([post('/a', 'Transfer-Encoding: chunked\r\n'), '1\r\nx\r\n', 30, '2;ext=1\r\nyz\r\n', '0\r\n\r\n'], 300);
		expect(forwarded.map(({request}) => Buffer.from(request.body).toString())).toEqual(['xyz']);
	});

	it('stays open while it is idle for less than the limit, and is used again', async () => {
		const {text, isClosed} = await exchange([post('/a', 'Content-Length: 0\r\n'), 350, post('/b', 'Content-Length: 0\r\n')], 200);
		expect(statuses(text)).toEqual([200, 200]);
		expect(isClosed).toBe(false);
	});

	it('is closed when it is idle for longer, so that idle callers hold nothing', async () => {
		const {isClosed} = await exchange([post('/a', 'Content-Length: 0\r\n')], 2500);
		expect(isClosed).toBe(true);
	});
});

describe('a request that breaks the rules of HTTP is not forwarded', () => {
	it.each([
		['two lengths', post('/a', 'Content-Length: 1\r\nContent-Length: 2\r\n', 'xy')],
		['a length beside chunks', post('/a', 'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n', '1\r\nx\r\n0\r\n\r\n')],
		['a length that is no number', post('/a', 'Content-Length: 1x\r\n', 'x')],
		['a chunk of no size', post('/a', 'Transfer-Encoding: chunked\r\n', 'zz\r\nx\r\n0\r\n\r\n')],
		['no HTTP at all', 'hello\r\n\r\n'],
	])('with %s', async (_, bytes) => {
		const {text, isClosed} = await exchange([bytes]);
		expect(statuses(text)).toEqual([400]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});
});

describe('a request beyond the limits of the configuration', () => {
	it('with a longer head is answered 431 and not forwarded', async () => {
		const {text, isClosed} = await exchange([post('/a', `Content-Length: 0\r\nX-Long: ${'x'.repeat(2000)}\r\n`)]);
		expect(statuses(text)).toEqual([431]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});

	it('with a longer body is answered 413, also when the body goes on coming', async () => {
		const {text, isClosed} = await exchange([post('/a', 'Content-Length: 200000\r\n', 'x'.repeat(100_000)), 50, 'x'.repeat(100_000)]);
		expect(statuses(text)).toEqual([413]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});

	it('with a slow head is closed, so that slow callers hold nothing', async () => {
		const {text, isClosed} = await exchange(['POST /a HTTP/1.1\r\nHost: h\r\n'], 2500);
		expect(statuses(text)).toEqual([408]);
		expect(isClosed).toBe(true);
	});

	it('with a body that stops coming is answered 408 and not forwarded', async () => {
		const {text, isClosed} = await exchange([post('/a', 'Content-Length: 10\r\n', 'x')], 2500);
		expect(statuses(text)).toEqual([408]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
		expect(front.isIdle).toBe(true);
	});

	it('but not with a body that comes slowly and steadily, so that large bodies on slow lines pass', async () => {
		await exchange([post('/a', 'Content-Length: 4\r\n', 'x'), 250, 'x', 250, 'x', 250, 'x'], 100);
		expect(forwarded).toHaveLength(1);
	});
});

describe('a caller that leaves', () => {
	it('before its answer cancels the work behind it', async () => {
		isAnswering = false;
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.write(post('/a', 'Content-Length: 0\r\n'));
		await expect.poll(() => forwarded.length).toBe(1);
		socket.destroy();
		await expect.poll(() => forwarded[0]!.hasLeft).toBe(true);
		await expect.poll(() => front.isIdle).toBe(true);
	});

	it('in the middle of its body is not forwarded', async () => {
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.write(post('/a', 'Content-Length: 10\r\n', 'x'));
		await sleep(50);
		socket.destroy();
		await expect.poll(() => front.isIdle).toBe(true);
		expect(forwarded).toEqual([]);
	});
});

describe('a server that is stopping', () => {
	it('closes each connection with its answer, so that callers go elsewhere', async () => {
		front.startStopping();
		const {text, isClosed} = await exchange([post('/a', 'Content-Length: 0\r\n')]);
		expect(text).toMatch(/connection: close/iv);
		expect(isClosed).toBe(true);
	});
});
