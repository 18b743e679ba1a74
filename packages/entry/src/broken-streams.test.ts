import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {UpstreamDirectory} from '@cicadapost/fleet';
import {
	ConnectionPool, CrashGuard, firstHeaderValue, Forwarder, UpstreamHealthTracker, UpstreamProtocol,
	type ForwardedHeaders, type RequestReport, type ResponseHead, type ResponseMetadata, type RoutingConfiguration,
} from '@cicadapost/forwarding';
import {NoStreamOrigins} from '@cicadapost/forwarding/testing';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {
	SystemClock, type DataCentreId, type RequestId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {Right} from 'purify-ts';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {CallerProtocol, type CallerCall, type RequestHead} from './caller-protocol.js';
import {FrontServer} from './front-server.js';

const service = 'lm' as ServiceId;
const configuration: RoutingConfiguration = {
	version: 1,
	services: [],
	limits: {
		headerBytes: 2000, bodyBytes: 1000, headerTimeoutMs: 2000, idleTimeoutMs: 2000,
	},
	routes: [{
		name: 'talk', host: 'h', prefix: '/', kind: 'stream', services: [{service, weight: 1}], timeoutMs: 3000, targetLatencyMs: 50, maxAttempts: 4, priority: 0,
		isResumable: true, batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false,
	}],
};

class TestCallers extends CallerProtocol {
	override readonly readyPath = '/ready';

	override parseCall({target}: RequestHead): CallerCall {
		return {
			kind: 'routed', host: 'h', path: target, requestId: 'r1' as RequestId, deadlineMs: undefined,
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

class TestUpstreams extends UpstreamProtocol {
	override signatureOf(): undefined {
		return undefined;
	}

	override requestHeaders({requestId, host}: ForwardedHeaders): string[] {
		return ['Host', host, 'Id', requestId ?? ''];
	}

	override readMetadata({headers}: ResponseHead): ResponseMetadata {
		return {isSigned: firstHeaderValue(headers, 'sealed') !== undefined, didNotRun: firstHeaderValue(headers, 'not-run') !== undefined};
	}

	override responseHeaders(): string[] {
		return ['Content-Type', 'text/event-stream'];
	}
}

class NoCrashes extends CrashGuard {
	override isBlocked(): boolean {
		return false;
	}

	override reportPossibleCrash(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = (id: number) => chunk(`id: ${id}\ndata: piece ${id}\n\n`);
const streamHead = 'HTTP/1.1 200 OK\r\nSealed: yes\r\nTransfer-Encoding: chunked\r\n\r\n';
const error = 'HTTP/1.1 500 Internal Server Error\r\nSealed: yes\r\nContent-Length: 10\r\n\r\nerror-text';
const endOfChunks = '0\r\n\r\n';

let front: FrontServer;
let pool: ConnectionPool;
let reports: RequestReport[];
const servers: Server[] = [];
const sockets = new Set<Socket>();

beforeEach(() => {
	reports = [];
	pool = new ConnectionPool();
});

afterEach(() => {
	front.close();
	pool.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	for (const server of servers.splice(0)) {
		server.close();
	}
});

/** Starts upstreams, of which the first to get a request behaves like `first` and all others respond with an error. Returns how many got it. */
const startUpstreams = async (first: (socket: Socket) => void) => {
	const seen = {requests: 0};
	const directory = new UpstreamDirectory();
	for (const id of ['u1', 'u2', 'u3']) {
		const server = createServer(socket => {
			sockets.add(socket);
			socket.on('error', vi.fn());
			socket.on('data', () => {
				seen.requests += 1;
				if (seen.requests === 1) {
					first(socket);
				} else {
					socket.write(error);
				}
			});
		});
		servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		directory.upsert({
			id: id as UpstreamId, service, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, dataCentre: 'dc' as DataCentreId, slots: 6, state: 'ready',
			softwareVersion: 'v1' as SoftwareVersion, warmUpMs: 0, models: new Map(), bornAt: 1,
		});
	}

	front = new FrontServer({
		clock: new SystemClock(),
		protocol: new TestCallers(),
		forwarder: new Forwarder({
			clock: new SystemClock(), directory, pool, health: new UpstreamHealthTracker(), protocol: new TestUpstreams(), crashes: new NoCrashes(), limits: new UnlimitedRequests(),
			streams: new NoStreamOrigins(), dataCentre: 'dc' as DataCentreId, random: () => 0,
			onRequestReport(report) {
				reports.push(report);
			},
		}),
		batches: {
			submit: vi.fn(), results: vi.fn(), body: vi.fn(), end: vi.fn(),
		},
		configuration: () => configuration,
		onCallReport: vi.fn(),
	});
	await front.listen({host: '127.0.0.1', port: 0}, vi.fn());
	return seen;
};

/** Requests a stream and returns all bytes that arrive until the connection closes. */
const requestStream = async () => new Promise<string>(resolve => {
	const socket = connect(front.port, '127.0.0.1');
	sockets.add(socket);
	let text = '';
	socket.on('data', data => {
		text += data.toString();
	});
	socket.on('error', vi.fn());
	socket.on('close', () => {
		resolve(text);
	});
	socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
});

describe('a stream that breaks off', () => {
	it.each([
		['between two events', (socket: Socket) => {
			socket.write(streamHead + event(0) + event(1));
			setTimeout(() => socket.destroy(), 20);
		}],
		['in the middle of an event', (socket: Socket) => {
			socket.write(streamHead + event(0) + event(1).slice(0, 8));
			setTimeout(() => socket.destroy(), 20);
		}],
		['with a reset', (socket: Socket) => {
			socket.write(streamHead + event(0));
			setTimeout(() => socket.resetAndDestroy(), 20);
		}],
		['with a whole error response in its place', (socket: Socket) => {
			socket.write(streamHead + event(0));
			setTimeout(() => socket.write(error), 20);
		}],
		['with bytes that are no chunk', (socket: Socket) => {
			socket.write(streamHead + event(0));
			setTimeout(() => socket.write('zz\r\nerror-text\r\n'), 20);
		}],
		['with a reset, without having named a length', (socket: Socket) => {
			socket.write('HTTP/1.1 200 OK\r\nSealed: yes\r\n\r\nid: 0\ndata: piece 0\n\n');
			setTimeout(() => socket.resetAndDestroy(), 20);
		}],
		['with a reset that arrives together with its last bytes, without having named a length', (socket: Socket) => {
			socket.write('HTTP/1.1 200 OK\r\nSealed: yes\r\n\r\nid: 0\ndata: piece 0\n\n', () => {
				socket.resetAndDestroy();
			});
		}],
		['in the middle of an event, without having named a length, as a regular end', (socket: Socket) => {
			socket.end('HTTP/1.1 200 OK\r\nSealed: yes\r\n\r\nid: 0\ndata: piece 0\n\nid: 1\ndata: pie');
		}],
		['before the blank line of an event, without having named a length, as a regular end', (socket: Socket) => {
			socket.end('HTTP/1.1 200 OK\r\nSealed: yes\r\n\r\nid: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n');
		}],
		['in the middle of an event, with the last of its chunks', (socket: Socket) => {
			socket.write(streamHead + event(0) + chunk('id: 1\ndata: piece 1\n'));
			setTimeout(() => socket.write(endOfChunks), 20);
		}],
	])('%s looks cut off to its caller, who sees nothing of another upstream', async (_, first) => {
		const seen = await startUpstreams(first);
		const text = await requestStream();
		expect(text).toContain('data: piece 0');
		expect(text).not.toContain('error-text');
		expect(text.match(/HTTP\/1\.1/gv)).toHaveLength(1);
		expect(text.endsWith(endOfChunks)).toBe(false);
		expect(seen.requests).toBe(1);
		expect(reports.at(-1)?.outcome).toMatch(/^stream broke off/v);
	});

	it('ends with a reset for a caller of HTTP/1.0, whose response has neither a length nor chunks', async () => {
		await startUpstreams(socket => {
			socket.write(streamHead + event(0));
			setTimeout(() => socket.destroy(), 20);
		});
		const outcome = await new Promise<string>(resolve => {
			const socket = connect(front.port, '127.0.0.1');
			sockets.add(socket);
			socket.on('data', vi.fn());
			socket.on('error', err => {
				resolve((err as NodeJS.ErrnoException).code ?? '');
			});
			socket.on('close', () => {
				resolve('closed');
			});
			socket.write('POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
		});
		expect(outcome).toBe('ECONNRESET');
	});

	it('before its first byte is answered with the response of the next upstream only if the first has not run it', async () => {
		await startUpstreams(socket => socket.write('HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'));
		const socket = connect(front.port, '127.0.0.1');
		sockets.add(socket);
		socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
		const text = await new Promise<string>(resolve => {
			socket.once('data', data => {
				resolve(data.toString());
			});
		});
		expect(text).toMatch(/^HTTP\/1\.1 500/v);
	});

	it.each([
		['whose events are whole', '\r\nid: 0\ndata: piece 0\n\n'],
		['of lines instead of events', 'Content-Type: application/x-ndjson\r\n\r\n{"data":"piece 0"}\n'],
	])('is delivered with its end if it has no length and closes regularly, for a stream %s', async (_, text) => {
		await startUpstreams(socket => {
			socket.end(`HTTP/1.1 200 OK\r\nSealed: yes\r\n${text}`);
		});
		const whole = requestStream();
		await expect.poll(() => reports.at(-1)?.outcome).toBe('streamed');
		front.close();
		const received = await whole;
		expect(received.endsWith(endOfChunks)).toBe(true);
	});

	it('is delivered with its end if it is whole, so that the cases above can tell the difference', async () => {
		await startUpstreams(socket => socket.write(streamHead + event(0) + endOfChunks));
		const whole = requestStream();
		await expect.poll(() => reports.at(-1)?.outcome).toBe('streamed');
		front.close();
		const text = await whole;
		expect(text.endsWith(endOfChunks)).toBe(true);
	});
});
