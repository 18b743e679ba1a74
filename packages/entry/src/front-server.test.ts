import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {type ResponseReceiver, type PlainRequest, type RoutingConfiguration} from '@cicadapost/forwarding';
import {KeyIndex, PresentedKey, type CopyFreshness} from '@cicadapost/teams';
import {
	SystemClock, type BatchId, type RequestId, type TeamId,
} from '@cicadapost/types';
import {Right} from 'purify-ts';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {CallerProtocol, type CallerCall, type RequestHead} from './caller-protocol.js';
import type {CallReport} from './call-report.js';
import {FrontServer} from './front-server.js';

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

	override parseCall({target, headers}: RequestHead): CallerCall {
		if (target.startsWith('/results/')) {
			return {
				kind: 'batch-results', batch: 'b1' as BatchId, after: 0, waitMs: 0,
			};
		}

		const id = headers.findIndex(name => name.toLowerCase() === 'x-id');
		return {
			kind: 'routed',
			host: 'h',
			path: target,
			requestId: id === -1 ? undefined : headers[id + 1] as RequestId,
			deadlineMs: undefined,
			...(headers.includes('X-Key') ? {credential: new PresentedKey(headers[headers.indexOf('X-Key') + 1]!)} : {}),
		};
	}

	override admittedHeaders({received}: Readonly<{received: readonly string[]}>): string[] {
		return [...received];
	}

	override parseSubmission() {
		return Right({} as never);
	}

	override encodeResults(): string {
		return '';
	}

	override encodeError(detail: string): string {
		return JSON.stringify({detail});
	}
}

type Forwarded = {request: PlainRequest; receiver: ResponseReceiver; isCancelled: boolean};

let newest: RoutingConfiguration;
let freshness: CopyFreshness;
let front: FrontServer;
let forwarded: Forwarded[];
let callReports: CallReport[];
/** Whether the forwarder responds to each request immediately with its path. */
let respondsImmediately: boolean;
let port: number;
const sockets: Socket[] = [];

/** Sends `parts` on a new connection, where a number is a pause in milliseconds, and collects the response until the connection closes or `ms` have passed. */
async function sendRaw(parts: ReadonlyArray<string | number>, ms = 1200): Promise<Readonly<{text: string; isClosed: boolean}>> {
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
	callReports = [];
	respondsImmediately = true;
	newest = configuration;
	freshness = {allowsKeys: true, allowsRejection: true};
	front = new FrontServer({
		clock: new SystemClock(),
		protocol: new PlainProtocol(),
		forwarder: {
			forward(request, receiver) {
				const entry: Forwarded = {request, receiver, isCancelled: false};
				forwarded.push(entry);
				if (respondsImmediately) {
					const body = Buffer.from(`${request.path}:${Buffer.from(request.body).toString()}`);
					receiver.head(200, ['Content-Length', String(body.length)]);
					receiver.data(body);
					receiver.end();
				}

				return () => {
					entry.isCancelled = true;
				};
			},
		},
		batches: {
			submit: async () => ({kind: 'accepted', isRepeated: false}),
			results: async () => ({kind: 'not-found'}),
			body: async () => ({kind: 'not-found'}),
			end: async () => 'not-found',
		},
		configuration: () => newest,
		freshness: () => freshness,
		onCallReport(report) {
			callReports.push(report);
		},
	});
	await front.listen({host: '127.0.0.1', port: 0}, vi.fn());
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
	it('answers pipelined requests in order, each with its own body', async () => {
		const {text} = await sendRaw([`${post('/a', 'Content-Length: 1\r\n', 'x')}${post('/b', 'Content-Length: 1\r\n', 'y')}GET /c HTTP/1.1\r\nHost: h\r\n\r\n`], 300);
		expect(statuses(text)).toEqual([200, 200, 200]);
		expect([...text.matchAll(/\/[abc]:[xy]?/gv)].map(match => match[0])).toEqual(['/a:x', '/b:y', '/c:']);
	});

	it('reassembles a chunked body before it is forwarded', async () => {
		await sendRaw([post('/a', 'Transfer-Encoding: chunked\r\n'), '1\r\nx\r\n', 30, '2;ext=1\r\nyz\r\n', '0\r\n\r\n'], 300);
		expect(forwarded.map(({request}) => Buffer.from(request.body).toString())).toEqual(['xyz']);
	});

	it('stays open and is reused while it is idle for less than the limit', async () => {
		const {text, isClosed} = await sendRaw([post('/a', 'Content-Length: 0\r\n'), 350, post('/b', 'Content-Length: 0\r\n')], 200);
		expect(statuses(text)).toEqual([200, 200]);
		expect(isClosed).toBe(false);
	});

	it('is closed when it is idle for longer than the limit, so that idle callers hold no resources', async () => {
		const {isClosed} = await sendRaw([post('/a', 'Content-Length: 0\r\n')], 2500);
		expect(isClosed).toBe(true);
	});
});

describe('a malformed HTTP request is not forwarded', () => {
	it.each([
		['two Content-Length headers', post('/a', 'Content-Length: 1\r\nContent-Length: 2\r\n', 'xy')],
		['both Content-Length and Transfer-Encoding', post('/a', 'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n', '1\r\nx\r\n0\r\n\r\n')],
		['a Content-Length that is not a number', post('/a', 'Content-Length: 1x\r\n', 'x')],
		['an invalid chunk size', post('/a', 'Transfer-Encoding: chunked\r\n', 'zz\r\nx\r\n0\r\n\r\n')],
		['bytes that are not HTTP', 'hello\r\n\r\n'],
	])('with %s', async (_, bytes) => {
		const {text, isClosed} = await sendRaw([bytes]);
		expect(statuses(text)).toEqual([400]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});
});

describe('a request that exceeds a configured limit', () => {
	it('is answered 431 and not forwarded if its head is too large', async () => {
		const {text, isClosed} = await sendRaw([post('/a', `Content-Length: 0\r\nX-Long: ${'x'.repeat(2000)}\r\n`)]);
		expect(statuses(text)).toEqual([431]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});

	it('is answered 413 if its body is too large, even while more of it arrives', async () => {
		const {text, isClosed} = await sendRaw([post('/a', 'Content-Length: 200000\r\n', 'x'.repeat(100_000)), 50, 'x'.repeat(100_000)]);
		expect(statuses(text)).toEqual([413]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});

	it('is answered 408 and closed if its head is too slow, so that slow callers hold no resources', async () => {
		const {text, isClosed} = await sendRaw(['POST /a HTTP/1.1\r\nHost: h\r\n'], 2500);
		expect(statuses(text)).toEqual([408]);
		expect(isClosed).toBe(true);
	});

	it('is answered 408 and not forwarded if its body stalls', async () => {
		const {text, isClosed} = await sendRaw([post('/a', 'Content-Length: 10\r\n', 'x')], 2500);
		expect(statuses(text)).toEqual([408]);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
		expect(front.isIdle).toBe(true);
	});

	it('is forwarded if its body arrives slowly but steadily, so that large bodies pass on slow connections', async () => {
		await sendRaw([post('/a', 'Content-Length: 4\r\n', 'x'), 250, 'x', 250, 'x', 250, 'x'], 100);
		expect(forwarded).toHaveLength(1);
	});
});

describe('a caller that disconnects', () => {
	it('before the response causes its request to be cancelled', async () => {
		respondsImmediately = false;
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.write(post('/a', 'Content-Length: 0\r\n'));
		await expect.poll(() => forwarded.length).toBe(1);
		socket.destroy();
		await expect.poll(() => forwarded[0]!.isCancelled).toBe(true);
		await expect.poll(() => front.isIdle).toBe(true);
	});

	it('while it sends the body causes nothing to be forwarded', async () => {
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.write(post('/a', 'Content-Length: 10\r\n', 'x'));
		await sleep(50);
		socket.destroy();
		await expect.poll(() => front.isIdle).toBe(true);
		expect(forwarded).toEqual([]);
	});
});

describe('a draining server', () => {
	it('closes each connection after its response, so that callers reconnect to another daemon', async () => {
		front.startDraining({startedAt: performance.now(), answersEndAt: performance.now() + 5000});
		const {text, isClosed} = await sendRaw([post('/a', 'Content-Length: 0\r\n')]);
		expect(text).toMatch(/connection: close/iv);
		expect(isClosed).toBe(true);
	});

	const respond = ({request, receiver}: Forwarded) => {
		receiver.head(200, ['Content-Length', String(request.path.length)]);
		receiver.data(Buffer.from(request.path));
		receiver.end();
	};

	it('refuses at once a request that may not end before the daemon does, and sends it to no upstream', async () => {
		const now = performance.now();
		front.startDraining({startedAt: now - 6000, answersEndAt: now + 1000});
		const {text, isClosed} = await sendRaw([post('/a', 'Content-Length: 10\r\n')]);
		expect(statuses(text)).toEqual([503]);
		expect(text).toMatch(/Retry-After: 0\.\d+/v);
		expect(isClosed).toBe(true);
		expect(forwarded).toEqual([]);
	});

	it('refuses a request whose body arrives too late to be served', async () => {
		const now = performance.now();
		front.startDraining({startedAt: now - 2400, answersEndAt: now + 1800});
		const {text} = await sendRaw([post('/a', 'Content-Length: 2\r\n', 'x'), 300, 'y']);
		expect(statuses(text)).toEqual([503]);
		expect(forwarded).toEqual([]);
	});

	it('answers both of two requests that came together on a connection, and closes it only then', async () => {
		respondsImmediately = false;
		front.startDraining({startedAt: performance.now(), answersEndAt: performance.now() + 5000});
		const answered = sendRaw([post('/a', 'Content-Length: 0\r\n') + post('/b', 'Content-Length: 0\r\n')]);
		await expect.poll(() => forwarded.length).toBe(2);
		respond(forwarded[0]!);
		await sleep(30);
		respond(forwarded[1]!);
		const {text, isClosed} = await answered;
		expect(statuses(text)).toEqual([200, 200]);
		expect(text.match(/connection: close/giv)).toHaveLength(1);
		expect(isClosed).toBe(true);
	});

	it('sends no request to an upstream that came after the response which closes its connection', async () => {
		respondsImmediately = false;
		front.startDraining({startedAt: performance.now(), answersEndAt: performance.now() + 5000});
		const answered = sendRaw([post('/a', 'Content-Length: 0\r\n'), 100, post('/b', 'Content-Length: 0\r\n')]);
		await expect.poll(() => forwarded.length).toBe(1);
		const {receiver} = forwarded[0]!;
		receiver.head(200, ['Content-Length', '2']);
		receiver.data(Buffer.from('o'));
		await sleep(200);
		receiver.data(Buffer.from('k'));
		receiver.end();
		const {text, isClosed} = await answered;
		expect(statuses(text)).toEqual([200]);
		expect(isClosed).toBe(true);
		expect(forwarded.map(({request}) => request.path)).toEqual(['/a']);
	});

	it('answers at the end whatever is left: a request that is still arriving has not run', async () => {
		const answered = sendRaw([post('/a', 'Content-Length: 10\r\n', 'x')], 600);
		await expect.poll(() => front.isIdle).toBe(false);
		await sleep(50);
		front.startDraining({startedAt: performance.now(), answersEndAt: performance.now()});
		front.answerPending();
		const {text} = await answered;
		expect(statuses(text)).toEqual([503]);
		expect(forwarded).toEqual([]);
	});

	it('refuses calls about batches once it answers whatever is left', async () => {
		const now = performance.now();
		front.startDraining({startedAt: now - 6000, answersEndAt: now - 1});
		const {text} = await sendRaw(['GET /results/b1 HTTP/1.1\r\nHost: h\r\n\r\n']);
		expect(statuses(text)).toEqual([503]);
	});

	it('closes idle connections when it is told to, and no others', async () => {
		respondsImmediately = false;
		const busy = sendRaw([post('/a', 'Content-Length: 0\r\n')]);
		await expect.poll(() => forwarded.length).toBe(1);
		respondsImmediately = true;
		const idle = sendRaw([post('/b', 'Content-Length: 0\r\n')], 300);
		await expect.poll(() => forwarded.length).toBe(2);
		await sleep(50);
		front.closeIdleConnections();
		expect(await idle).toMatchObject({isClosed: true});
		respond(forwarded[0]!);
		const {text} = await busy;
		expect(statuses(text)).toEqual([200]);
	});
});

describe('a caller that disconnects with two requests in progress', () => {
	it('has both cancelled', async () => {
		respondsImmediately = false;
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.write(post('/a', 'Content-Length: 0\r\n') + post('/b', 'Content-Length: 0\r\n'));
		await expect.poll(() => forwarded.length).toBe(2);
		socket.destroy();
		await expect.poll(() => forwarded.map(({isCancelled}) => isCancelled)).toEqual([true, true]);
		await expect.poll(() => front.isIdle).toBe(true);
	});
});

describe('a request with a key', () => {
	const withTeams = (version: number, ...keys: string[]): RoutingConfiguration => ({
		...configuration, version, teams: KeyIndex.build([{name: 'red' as TeamId, keys}]).unsafeCoerce(),
	});

	beforeEach(() => {
		newest = withTeams(1, 'k1');
	});

	it('is forwarded for its team, and is not if its key is revoked or the copy ages while its body arrives', async () => {
		await sendRaw([post('/a', 'X-Key: k1\r\nContent-Length: 2\r\n', 'x'), 50, 'y'], 100);
		expect(forwarded.map(({request}) => request.team)).toEqual(['red']);
		const sending = [sendRaw([post('/b', 'X-Key: k1\r\nContent-Length: 2\r\n', 'x'), 150, 'y'], 300), sendRaw([post('/c', 'Content-Length: 2\r\n', 'x'), 150, 'y'], 300)];
		await sleep(50);
		newest = withTeams(2, 'k2');
		const [revoked, keyless] = await Promise.all(sending);
		expect([statuses(revoked!.text), statuses(keyless!.text)]).toEqual([[401], [401]]);
		const aging = sendRaw([post('/d', 'X-Key: k2\r\nContent-Length: 2\r\n', 'x'), 150, 'y'], 300);
		await sleep(50);
		freshness = {allowsKeys: false, allowsRejection: false};
		const {text} = await aging;
		expect(statuses(text)).toEqual([503]);
		expect(text).toMatch(/Retry-After: 0\.\d+/v);
		expect(forwarded).toHaveLength(1);
	});

	it('is refused at once while the copy is too old, without waiting for its body', async () => {
		freshness = {allowsKeys: false, allowsRejection: false};
		const {text} = await sendRaw([post('/a', 'X-Key: k1\r\nContent-Length: 2\r\n')], 200);
		expect(statuses(text)).toEqual([503]);
	});
});
