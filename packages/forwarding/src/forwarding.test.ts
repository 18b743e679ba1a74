import {
	createServer as createTcpServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {
	SystemClock, type DataCentreId, type RequestId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {ConnectionPool, firstHeaderValue, type ResponseHead} from './connection-pool.js';
import {
	CrashRegistry, CrashGuard, fingerprintOf, mayHaveCrashed, type RequestContent,
} from './crash-registry.js';
import {decideNextStep, hedgeDelay, type AttemptState} from './decide-attempt.js';
import {Forwarder} from './forwarder.js';
import {NoStreamOrigins} from './no-stream-origins.js';
import {ResponseReceiver, type ForwardFailure} from './plain-request.js';
import {
	matchRoute, pickService, type RequestKind, type Route,
} from './route.js';
import {UpstreamHealthTracker} from './upstream-health.js';
import {UpstreamProtocol, type ResponseMetadata, type ForwardedHeaders} from './upstream-protocol.js';

const route = (fields: Partial<Route> = {}): Route => ({
	name: 'r', host: 'a.example', prefix: '/x/', kind: 'idempotent', services: [{service: 'desk' as ServiceId, weight: 1}], timeoutMs: 1000, targetLatencyMs: 200,
	maxAttempts: 3, priority: 0, isResumable: false, batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false, ...fields,
});

describe('matchRoute', () => {
	const configuration = {
		version: 1,
		routes: [route({name: 'short'}), route({name: 'long', prefix: '/x/y/'}), route({name: 'other', host: 'b.example'})],
		services: [],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};

	it('selects the longest matching prefix among the routes of the host', () => {
		expect(matchRoute(configuration, 'a.example', '/x/y/z')?.name).toBe('long');
		expect(matchRoute(configuration, 'a.example', '/x/z')?.name).toBe('short');
		expect(matchRoute(configuration, 'b.example', '/x/y/z')?.name).toBe('other');
		expect(matchRoute(configuration, 'a.example', '/xy')).toBeUndefined();
	});

	it('distributes requests by weight and sends none to a service with weight 0', () => {
		const split = route({services: [{service: 'a' as ServiceId, weight: 90}, {service: 'b' as ServiceId, weight: 10}, {service: 'c' as ServiceId, weight: 0}]});
		expect(pickService(split, 0.89)).toBe('a');
		expect(pickService(split, 0.91)).toBe('b');
		expect(pickService(split, 0.999_999)).toBe('b');
	});
});

describe('decideNextStep', () => {
	const state = (fields: Partial<AttemptState> = {}): AttemptState => ({
		requestKind: 'idempotent', sent: 1, maxAttempts: 3, notSent: 0, running: 0, hasCandidate: true, mayHaveRun: true, remainingMs: 500, ...fields,
	});

	describe('a request of kind `once`', () => {
		const once = (fields: Partial<AttemptState> = {}) => state({requestKind: 'once', ...fields});

		it('is not retried after a broken connection and not reported as not run', () => {
			expect(decideNextStep({kind: 'broken', cause: 'reset'}, once())).toEqual({kind: 'fail'});
		});

		it('is retried when the upstream has not run it', () => {
			expect(decideNextStep({kind: 'not-run', status: 503}, once({mayHaveRun: false}))).toEqual({kind: 'try-next'});
			expect(decideNextStep({kind: 'not-sent', cause: 'ECONNREFUSED'}, once({mayHaveRun: false}))).toEqual({kind: 'try-next'});
		});

		it('is refused when no upstream is left and none has run it', () => {
			expect(decideNextStep({kind: 'not-run', status: 503}, once({mayHaveRun: false, hasCandidate: false}))).toEqual({kind: 'refuse'});
		});

		it('receives the error response of its upstream unchanged', () => {
			expect(decideNextStep({kind: 'answered', status: 500}, once())).toEqual({kind: 'answer'});
		});
	});

	describe('an idempotent request', () => {
		it('is retried after each failure while attempts are left', () => {
			expect(decideNextStep({kind: 'broken', cause: 'cut'}, state())).toEqual({kind: 'try-next'});
			expect(decideNextStep({kind: 'broken', cause: 'cut'}, state({sent: 3}))).toEqual({kind: 'fail'});
		});

		it('waits for an attempt that is still running', () => {
			expect(decideNextStep({kind: 'broken', cause: 'cut'}, state({sent: 3, running: 1}))).toEqual({kind: 'wait'});
		});

		it('opens few connections if no upstream accepts one', () => {
			expect(decideNextStep({kind: 'not-sent', cause: 'ECONNREFUSED'}, state({sent: 0, mayHaveRun: false, notSent: 3}))).toEqual({kind: 'try-next'});
			expect(decideNextStep({kind: 'not-sent', cause: 'ECONNREFUSED'}, state({sent: 0, mayHaveRun: false, notSent: 4}))).toEqual({kind: 'refuse'});
		});

		it('is not retried when too little time is left', () => {
			expect(decideNextStep({kind: 'broken', cause: 'cut'}, state({remainingMs: 5}))).toEqual({kind: 'fail'});
		});
	});

	it('hedges only idempotent requests, within the maximum attempts of the route', () => {
		const hedge = {
			targetLatencyMs: 200, sent: 1, maxAttempts: 3, hasCandidate: true,
		};
		expect(hedgeDelay({...hedge, requestKind: 'idempotent'})).toBeLessThan(200);
		expect(hedgeDelay({...hedge, requestKind: 'once'})).toBeUndefined();
		expect(hedgeDelay({...hedge, requestKind: 'stream'})).toBeUndefined();
		expect(hedgeDelay({...hedge, requestKind: 'idempotent', sent: 3})).toBeUndefined();
	});
});

describe('CrashRegistry', () => {
	const req = {
		method: 'POST', host: 'h', path: '/p', body: Buffer.from('body'),
	};
	const incarnation = (upstream: string, bornAt = 1) => ({upstream: upstream as UpstreamId, bornAt});

	it('counts each incarnation of an upstream once, so that several reports of one crash do not add up', () => {
		const registry = new CrashRegistry();
		const fingerprint = fingerprintOf(req);
		expect(registry.record(fingerprint, incarnation('u1'))).toBe(true);
		expect(registry.record(fingerprint, incarnation('u1'))).toBe(false);
		registry.record(fingerprint, incarnation('u1', 2));
		expect(registry.isBlocked(fingerprint)).toBe(false);
		registry.record(fingerprint, incarnation('u2'));
		expect(registry.isBlocked(fingerprint)).toBe(true);
		registry.forget(fingerprint, incarnation('u2'));
		expect(registry.isBlocked(fingerprint)).toBe(false);
	});

	it('distinguishes requests by method, host, path and body', () => {
		const others = [{...req, method: 'PUT'}, {...req, host: 'g'}, {...req, path: '/q'}, {...req, body: Buffer.from('other')}];
		expect(new Set([req, ...others].map(one => fingerprintOf(one))).size).toBe(5);
		expect(fingerprintOf({...req})).toBe(fingerprintOf(req));
	});

	it('reports a possible crash only if the connection was closed', () => {
		expect(mayHaveCrashed({kind: 'broken', cause: 'ECONNRESET'})).toBe(true);
		expect(mayHaveCrashed({kind: 'broken', cause: 'the response belongs to another request'})).toBe(false);
		expect(mayHaveCrashed({kind: 'not-sent', cause: 'ECONNREFUSED'})).toBe(false);
		expect(mayHaveCrashed({kind: 'aborted'})).toBe(false);
	});
});

class TestProtocol extends UpstreamProtocol {
	override signatureOf(): undefined {
		return undefined;
	}

	override requestHeaders({requestId, deadlineMs, host}: ForwardedHeaders): string[] {
		return ['Host', host, 'Id', requestId ?? '', 'Deadline', String(deadlineMs)];
	}

	override readMetadata(head: ResponseHead): ResponseMetadata {
		const requestId = firstHeaderValue(head.headers, 'id') as RequestId | undefined;
		return {...(requestId === undefined ? {} : {requestId}), isSigned: firstHeaderValue(head.headers, 'sealed') !== undefined, didNotRun: firstHeaderValue(head.headers, 'not-run') !== undefined};
	}

	override responseHeaders(): string[] {
		return ['Sealed', 'yes'];
	}
}

/** Records each possible crash as a crash. */
class RecordingCrashGuard extends CrashGuard {
	readonly registry = new CrashRegistry();
	readonly suspected: string[] = [];

	override isBlocked(req: RequestContent): boolean {
		return this.registry.isBlocked(fingerprintOf(req));
	}

	override reportPossibleCrash(req: RequestContent, upstream: Readonly<{id: UpstreamId; bornAt: number}>): void {
		this.suspected.push(upstream.id);
		this.registry.record(fingerprintOf(req), {upstream: upstream.id, bornAt: upstream.bornAt});
	}
}

type CollectedResponse = Readonly<{status?: number; body?: string; failure?: ForwardFailure; isBroken?: boolean}>;

class CollectingReceiver extends ResponseReceiver {
	private status = 0;
	private body = '';

	constructor(private readonly onResponse: (response: CollectedResponse) => void) {
		super();
	}

	override head(status: number): void {
		this.status = status;
	}

	override data(chunk: Uint8Array): void {
		this.body += Buffer.from(chunk).toString();
	}

	override end(): void {
		this.onResponse({status: this.status, body: this.body});
	}

	override truncate(): void {
		this.onResponse({isBroken: true});
	}

	override fail(failure: ForwardFailure): void {
		this.onResponse({failure});
	}
}

/** Writes the response of an upstream, given the request's id and the number of requests so far. */
type Script = (socket: Socket, id: string, count: number) => void;

const sealed = (id: string, body: string, more = '') => `HTTP/1.1 200 OK\r\nId: ${id}\r\nSealed: yes\r\nContent-Length: ${body.length}\r\n${more}\r\n${body}`;

describe('Forwarder', () => {
	const servers: Server[] = [];
	const sockets: Socket[] = [];
	const pools: ConnectionPool[] = [];

	afterEach(() => {
		for (const pool of pools.splice(0)) {
			pool.close();
		}

		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		for (const server of servers.splice(0)) {
			server.close();
		}
	});

	const startUpstream = async (name: string, script: Script): Promise<Readonly<{record: UpstreamRecord; seen: string[]}>> => {
		const seen: string[] = [];
		const server = createTcpServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.on('data', data => {
				const id = /^id: (\S+)/imv.exec(data.toString())?.[1];
				if (id !== undefined) {
					seen.push(id);
					script(socket, id, seen.length);
				}
			});
		});
		servers.push(server);
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return {
			record: {
				id: name as UpstreamId, service: 'desk' as ServiceId, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, dataCentre: 'dc' as DataCentreId, slots: 6,
				state: 'ready', softwareVersion: 'v1' as SoftwareVersion, warmUpMs: 0, models: new Map(), bornAt: 1,
			},
			seen,
		};
	};

	const createForwarder = (records: readonly UpstreamRecord[], health = new UpstreamHealthTracker(), crashes: CrashGuard = new RecordingCrashGuard()) => {
		const directory = new UpstreamDirectory();
		for (const record of records) {
			directory.upsert(record);
		}

		const pool = new ConnectionPool();
		pools.push(pool);
		return new Forwarder({
			clock: new SystemClock(), directory, pool, health, protocol: new TestProtocol(), dataCentre: 'dc' as DataCentreId, random: () => 0, crashes,
			limits: new UnlimitedRequests(), streams: new NoStreamOrigins(),
			onRequestReport() {
				// These tests do not check reports.
			},
		});
	};

	const send = async (forwarder: Forwarder, id: string, kind: RequestKind = 'idempotent', fields: Partial<Route> = {}, timeoutMs = 900): Promise<CollectedResponse> => new Promise(resolve => {
		forwarder.forward({
			requestId: id as RequestId, method: 'POST', path: '/x/1', host: 'a.example', headers: [], body: Buffer.from('body'),
			route: route({kind, ...fields}), deadlineAt: performance.now() + timeoutMs,
		}, new CollectingReceiver(resolve));
	});

	it('never delivers a late second response as the response to the next request', async () => {
		const {record} = await startUpstream('u1', (socket, id, count) => {
			socket.write(sealed(id, `answer to ${id}`));
			if (count === 1) {
				setTimeout(() => {
					socket.write(sealed(id, 'once more'));
				}, 20);
			}
		});
		const forwarder = createForwarder([record]);
		expect(await send(forwarder, 'one')).toEqual({status: 200, body: 'answer to one'});
		await new Promise(resolve => {
			setTimeout(resolve, 60);
		});
		const second = await send(forwarder, 'two');
		expect(second.body ?? 'answer to two').toBe('answer to two');
	});

	it('discards a truncated response and retries the request at another upstream if it is idempotent', async () => {
		const cut = await startUpstream('u1', (socket, id) => {
			socket.end(`HTTP/1.1 200 OK\r\nId: ${id}\r\nSealed: yes\r\nContent-Length: 100\r\n\r\nhalf`);
		});
		const whole = await startUpstream('u2', (socket, id) => {
			socket.write(sealed(id, 'whole'));
		});
		expect(await send(createForwarder([cut.record, whole.record]), 'one')).toEqual({status: 200, body: 'whole'});
		expect(await send(createForwarder([cut.record, whole.record]), 'two', 'once')).toMatchObject({failure: {kind: 'failed'}});
		expect(whole.seen).toEqual(['one']);
	});

	it('discards a response without a length that is reset together with its last bytes', async () => {
		const cut = await startUpstream('u1', (socket, id) => {
			socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nSealed: yes\r\n\r\nhalf`, () => {
				socket.resetAndDestroy();
			});
		});
		const whole = await startUpstream('u2', (socket, id) => {
			socket.end(`HTTP/1.1 200 OK\r\nId: ${id}\r\nSealed: yes\r\n\r\nwhole`);
		});
		expect(await send(createForwarder([cut.record, whole.record]), 'one')).toEqual({status: 200, body: 'whole'});
		expect(await send(createForwarder([cut.record, whole.record]), 'two', 'once')).toMatchObject({failure: {kind: 'failed'}});
		expect(whole.seen).toEqual(['one']);
	});

	it('does not pass on a successful response without the signature of an upstream', async () => {
		const {record} = await startUpstream('u1', (socket, id) => {
			socket.write(`HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: 2\r\n\r\nok`);
		});
		expect(await send(createForwarder([record]), 'one')).toMatchObject({failure: {kind: 'failed'}});
	});

	it('sends a `once` request to another upstream only after a refusal', async () => {
		const full = await startUpstream('u1', (socket, id) => {
			socket.write(`HTTP/1.1 503 Full\r\nId: ${id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`);
		});
		const free = await startUpstream('u2', (socket, id) => {
			socket.write(sealed(id, 'done'));
		});
		expect(await send(createForwarder([full.record, free.record]), 'one', 'once')).toEqual({status: 200, body: 'done'});
		expect(await send(createForwarder([full.record]), 'two', 'once')).toMatchObject({failure: {kind: 'refused'}});
	});

	it.each<RequestKind>(['idempotent', 'once'])('serves an %s request although as many upstreams as it may reach refuse connections', async kind => {
		const dead = [await startUpstream('u1', () => undefined), await startUpstream('u2', () => undefined)];
		await Promise.all(servers.splice(-2).map(async server => new Promise(resolve => {
			server.close(resolve);
		})));
		const live = await startUpstream('u3', (socket, id) => {
			socket.write(sealed(id, 'done'));
		});
		expect(await send(createForwarder([...dead, live].map(({record}) => record)), 'one', kind, {maxAttempts: 2})).toEqual({status: 200, body: 'done'});
	});

	it('reports a request as not run if no upstream accepts a connection', async () => {
		const {record} = await startUpstream('u1', () => undefined);
		await new Promise(resolve => {
			servers.pop()!.close(resolve);
		});
		expect(await send(createForwarder([record]), 'one', 'once')).toMatchObject({failure: {kind: 'refused'}});
	});

	it('hedges to a second upstream while the first is silent, and aborts the slower attempt', async () => {
		let isClosed = false;
		const silent = await startUpstream('u1', socket => {
			socket.on('close', () => {
				isClosed = true;
			});
		});
		const quick = await startUpstream('u2', (socket, id) => {
			socket.write(sealed(id, 'quick'));
		});
		expect(await send(createForwarder([silent.record, quick.record]), 'one', 'idempotent', {targetLatencyMs: 100})).toEqual({status: 200, body: 'quick'});
		await expect.poll(() => isClosed, {timeout: 500}).toBe(true);
	});

	it('closes the upstream connection soon after the caller disconnects', async () => {
		let isClosed = false;
		const {record, seen} = await startUpstream('u1', socket => {
			socket.on('close', () => {
				isClosed = true;
			});
		});
		const cancel = createForwarder([record]).forward({
			requestId: 'one' as RequestId, method: 'POST', path: '/x/1', host: 'a.example', headers: [], body: Buffer.from('body'),
			route: route({kind: 'once'}), deadlineAt: performance.now() + 5000,
		}, new CollectingReceiver(() => undefined));
		await expect.poll(() => seen.length).toBe(1);
		cancel();
		await expect.poll(() => isClosed, {timeout: 500}).toBe(true);
	});

	describe('given up before its deadline', () => {
		it('fails if an upstream may have run it, and closes its connection', async () => {
			let isClosed = false;
			const {record, seen} = await startUpstream('u1', socket => {
				socket.on('close', () => {
					isClosed = true;
				});
			});
			const forwarder = createForwarder([record]);
			const response = send(forwarder, 'one', 'once');
			await expect.poll(() => seen.length).toBe(1);
			forwarder.giveUpAll('the daemon shuts down');
			expect(await response).toEqual({failure: {kind: 'failed', reason: 'the daemon shuts down'}});
			await expect.poll(() => isClosed, {timeout: 500}).toBe(true);
		});

		it('leaves a request alone that has its response', async () => {
			const {record} = await startUpstream('u1', (socket, id) => {
				socket.write(sealed(id, 'answer'));
			});
			const forwarder = createForwarder([record]);
			expect(await send(forwarder, 'one', 'once')).toEqual({status: 200, body: 'answer'});
			forwarder.giveUpAll('the daemon shuts down');
			expect(await send(forwarder, 'two', 'once')).toEqual({status: 200, body: 'answer'});
		});
	});

	it('counts a timeout as a failure of the upstream only if it had the request for long, since a route timeout may be shorter than the work takes', async () => {
		const {record} = await startUpstream('u1', () => undefined);
		const health = new UpstreamHealthTracker();
		const forwarder = createForwarder([record], health);
		await send(forwarder, 'one', 'once', {}, 60);
		expect(health.healthOf(record.id, false).avoidUntil).toBe(0);
		await send(forwarder, 'two', 'once', {}, 900);
		expect(health.healthOf(record.id, false).avoidUntil).toBeGreaterThan(0);
	});

	describe('with an upstream that sends bytes without end', () => {
		/** Sends `start` and then filler until the peer closes the connection. */
		const flood = (start: string): Script => (socket, id) => {
			const filler = Buffer.alloc(64 * 1024, 'a');
			const write = () => {
				while (!socket.destroyed && socket.write(filler)) {
					// The socket buffers no more than its high-water mark.
				}
			};

			socket.on('drain', write);
			socket.write(start.replace('ID', id));
			write();
		};

		const starts = {
			'a status line': 'HTTP/1.1 200 ',
			'a header': 'HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\nLong: ',
			'a body without a length': 'HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\n\r\n',
			'a body whose announced length is never reached': 'HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\nContent-Length: 99999999999\r\n\r\n',
			'a chunk of a body': 'HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n',
			'the extension of a chunk': 'HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\nTransfer-Encoding: chunked\r\n\r\n1;',
			'bytes that are no response': 'a',
			'a header of an interim response': 'HTTP/1.1 103 Early Hints\r\nLong: ',
			'a trailer': 'HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nLong: ',
		};

		describe.each(Object.entries(starts))('in %s', (_, start) => {
			it('closes the connection before the deadline and serves an idempotent request at another upstream', async () => {
				const endless = await startUpstream('u1', flood(start));
				const whole = await startUpstream('u2', (socket, id) => {
					socket.write(sealed(id, 'whole'));
				});
				const forwarder = createForwarder([endless.record, whole.record]);
				expect(await send(forwarder, 'one', 'idempotent', {targetLatencyMs: 60_000}, 5000)).toEqual({status: 200, body: 'whole'});
				await expect.poll(() => sockets[0]?.destroyed, {timeout: 1000}).toBe(true);
			});

			it('does not report a `once` request as not run, since the upstream may have run it', async () => {
				const endless = await startUpstream('u1', flood(start));
				expect(await send(createForwarder([endless.record]), 'one', 'once', {}, 5000)).toMatchObject({failure: {kind: 'failed'}});
			});
		});

		it('truncates a stream without line ends, so that neither this daemon nor the caller keeps it in memory', async () => {
			const endless = await startUpstream('u1', flood('HTTP/1.1 200 OK\r\nId: ID\r\nSealed: yes\r\n\r\ndata: '));
			let received = 0;
			const receiver = (onResponse: (response: CollectedResponse) => void) => new class extends CollectingReceiver {
				override data(chunk: Uint8Array): void {
					received += chunk.length;
				}
			}(onResponse);
			const response = await new Promise<CollectedResponse>(resolve => {
				createForwarder([endless.record]).forward({
					requestId: 'one' as RequestId, method: 'POST', path: '/x/1', host: 'a.example', headers: [], body: Buffer.from('body'),
					route: route({kind: 'stream'}), deadlineAt: performance.now() + 5000,
				}, receiver(resolve));
			});
			expect(response).toEqual({isBroken: true});
			expect(received).toBeLessThan(2 * 1024 * 1024);
		});
	});

	describe('with an upstream whose status line is not valid', () => {
		const lines = ['HTTP/1.1 000 X', 'HTTP/1.1 099 X', 'HTTP/1.1 199 X', 'HTTP/1.1 600 X', 'HTTP/1.1 999 X', 'HTTP/2.0 200 OK', 'RTSP/1.0 200 OK', 'HTTP/1.1 2OO OK', 'HTTP/1.1 200 O\0K'];
		const startFaulty = async (line: string) => startUpstream('u1', (socket, id) => {
			socket.write(`${line}\r\nId: ${id}\r\nSealed: yes\r\nContent-Length: 2\r\n\r\nok`);
		});

		it.each(lines)('%j: does not pass on the response as an answer to a request of any kind', async line => {
			const {record} = await startFaulty(line);
			for (const kind of ['idempotent', 'once', 'stream'] as const) {
				expect(await send(createForwarder([record]), `${kind}-1`, kind)).toMatchObject({failure: {kind: 'failed'}});
			}
		});

		it.each(lines)('%j: serves an idempotent request at another upstream', async line => {
			const {record} = await startFaulty(line);
			const whole = await startUpstream('u2', (socket, id) => {
				socket.write(sealed(id, 'whole'));
			});
			expect(await send(createForwarder([record, whole.record]), 'one', 'idempotent', {targetLatencyMs: 60_000})).toEqual({status: 200, body: 'whole'});
		});

		it('closes the connection after interim responses without end', async () => {
			let timer: NodeJS.Timeout | undefined;
			const {record} = await startUpstream('u1', socket => {
				timer = setInterval(() => {
					socket.write('HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(100));
				}, 2);
			});
			const response = await send(createForwarder([record]), 'one', 'once', {}, 5000);
			clearInterval(timer);
			expect(response).toMatchObject({failure: {kind: 'failed'}});
		});
	});

	describe('a request that crashes each upstream', () => {
		const startCrashing = async () => Promise.all(['u1', 'u2', 'u3', 'u4', 'u5', 'u6'].map(async name => startUpstream(name, socket => {
			socket.destroy();
		})));

		it('is sent to three of them and then blocked, regardless of its request id', async () => {
			const upstreams = await startCrashing();
			const forwarder = createForwarder(upstreams.map(({record}) => record));
			for (const id of ['one', 'two', 'three', 'four']) {
				expect(await send(forwarder, id, 'idempotent', {maxAttempts: 2})).toMatchObject({failure: {kind: 'failed'}});
			}

			expect(upstreams.filter(({seen}) => seen.length > 0)).toHaveLength(3);
		});

		it('is not reported as a possible crash after a refused, malformed or late response', async () => {
			const guard = new RecordingCrashGuard();
			const full = await startUpstream('u1', (socket, id) => {
				socket.write(`HTTP/1.1 503 Full\r\nId: ${id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`);
			});
			const malformed = await startUpstream('u2', socket => {
				socket.write('no HTTP at all\r\n\r\n');
			});
			const silent = await startUpstream('u3', () => undefined);
			for (const {record} of [full, malformed, silent]) {
				await send(createForwarder([record], new UpstreamHealthTracker(), guard), 'one', 'once', {}, 100);
			}

			expect(guard.suspected).toEqual([]);
		});
	});

	it('reports a timeout at the deadline', async () => {
		const {record} = await startUpstream('u1', () => undefined);
		const startedAt = performance.now();
		expect(await send(createForwarder([record]), 'one', 'once')).toMatchObject({failure: {kind: 'timed-out', mayHaveRun: true}});
		expect(performance.now() - startedAt).toBeLessThan(1400);
	});
});
