import {request as httpRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ConnectionPool, type AttemptEnd, type PlainRequest, type ResponseReceiver, type Route,
} from '@cicadapost/forwarding';
import {
	SystemClock, type DaemonId, type DataCentreId, type RegionId, type RequestId, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import type {RelayCandidate} from './choose-relay.js';
import {RelayClient, relayPath} from './relay-client.js';
import {encodeRelayRequest, type RelayRequest} from './relay-messages.js';
import {RelayServer, type RelayServerOptions} from './relay-server.js';

const key = 'key-of-this-process';
const clock = new SystemClock();
const route = {name: 'r', kind: 'once', maxAttempts: 3} as Route;

const plainRequest = (body = 'body'): PlainRequest => ({
	requestId: 'r1' as RequestId, method: 'POST', path: '/x/1?q=2', host: 'a.example', headers: ['Host', 'a.example', 'X-Own', 'kept'], body: Buffer.from(body), route,
	deadlineAt: clock.now() + 1000,
});

type Forwarded = {request: PlainRequest; receiver: ResponseReceiver; isCancelled: boolean};
type Received = {status: number | undefined; headers: unknown; body: string; end: AttemptEnd | undefined};

describe('requests that one daemon passes on to another', () => {
	const cleanups: Array<() => void> = [];

	afterEach(() => {
		for (const cleanup of cleanups.splice(0).reverse()) {
			cleanup();
		}
	});

	const start = async (options: Partial<RelayServerOptions> = {}, address?: string) => {
		const forwarded: Forwarded[] = [];
		const rejected: string[] = [];
		const responses: unknown[] = [];
		const server = new RelayServer({
			clock,
			key,
			forwarder: {
				forward(request, receiver) {
					const entry: Forwarded = {request, receiver, isCancelled: false};
					forwarded.push(entry);
					return () => {
						entry.isCancelled = true;
					};
				},
			},
			isPartitioned: () => false,
			toRequest: (relayed: RelayRequest) => ({...plainRequest(Buffer.from(relayed.body).toString()), headers: relayed.headers}),
			onRejected(from) {
				rejected.push(from);
			},
			onAccepted() {
				// Counted by `forwarded`.
			},
			...options,
		});
		await server.listen({host: '127.0.0.1', port: 0}, vi.fn());
		const pool = new ConnectionPool();
		cleanups.push(() => {
			pool.close();
			server.close();
		});
		const candidate: RelayCandidate = {
			daemon: 'd2' as DaemonId, dataCentre: 'a' as DataCentreId, region: 'west' as RegionId, address: address ?? `127.0.0.1:${server.port}`, key, isPartitioned: false,
		};
		const clientFor = (presentedKey = key) => new RelayClient({
			clock, pool, isPartitioned: () => true, configurationVersion: () => 3, random: () => 0, candidates: () => [{...candidate, key: presentedKey}],
			onResponse(upstream, head) {
				responses.push({upstream, status: head.status});
			},
			self: {daemon: 'd1' as DaemonId, dataCentre: 'a' as DataCentreId, region: 'west' as RegionId},
		});
		return {
			server, forwarded, rejected, responses, clientFor,
		};
	};

	const send = (client: RelayClient, body?: string, relay = 'd2' as DaemonId) => {
		const received: Received = {
			status: undefined, headers: undefined, body: '', end: undefined,
		};
		const exchange = client.send(relay, plainRequest(body), {maxAttempts: 2, deadlineMs: 900}, {
			onHead(head) {
				received.status = head.status;
				received.headers = head.headers;
				return true;
			},
			onData(chunk) {
				received.body += Buffer.from(chunk).toString();
				return true;
			},
			onEnd(end) {
				received.end = end;
			},
		});
		return {received, exchange};
	};

	const ended = async ({received}: ReturnType<typeof send>) => {
		await expect.poll(() => received.end, {timeout: 3000, interval: 10}).toBeDefined();
		return received.end;
	};

	const taken = async (forwarded: readonly Forwarded[]) => {
		await expect.poll(() => forwarded.length, {timeout: 3000, interval: 10}).toBe(1);
		return forwarded[0]!;
	};

	it('come back with the upstream\'s status, headers and whole body', async () => {
		const {forwarded, responses, clientFor} = await start();
		const sent = send(clientFor());
		const {request, receiver} = await taken(forwarded);
		expect(request.headers).toEqual(['Host', 'a.example', 'X-Own', 'kept']);
		expect(Buffer.from(request.body).toString()).toBe('body');
		receiver.head(207, ['X-Seal', 'yes', 'X-Twice', 'a', 'X-Twice', 'b'], {id: 'u1' as UpstreamId, bornAt: 7});
		receiver.data(Buffer.from('first '));
		await sleep(20);
		receiver.data(Buffer.from('second'));
		receiver.end();
		expect(await ended(sent)).toEqual({kind: 'complete'});
		expect(sent.received).toMatchObject({status: 207, headers: {'x-seal': 'yes', 'x-twice': ['a', 'b']}, body: 'first second'});
		expect(responses).toEqual([{upstream: {id: 'u1', bornAt: 7}, status: 207}]);
	});

	it.each([0, 99, 199, 600])('fail if the other daemon passes on the status %d, which is not that of a response', async status => {
		const {forwarded, responses, clientFor} = await start();
		const sent = send(clientFor());
		const {receiver} = await taken(forwarded);
		receiver.head(status, ['X-Seal', 'yes'], {id: 'u1' as UpstreamId, bornAt: 7});
		receiver.data(Buffer.from('body'));
		receiver.end();
		expect(await ended(sent)).toMatchObject({kind: 'broken'});
		expect([sent.received.status, responses]).toEqual([undefined, []]);
	});

	it('never look complete if the other daemon breaks off', async () => {
		const {forwarded, clientFor} = await start();
		const sent = send(clientFor());
		const {receiver} = await taken(forwarded);
		receiver.head(200, []);
		receiver.data(Buffer.from('half'));
		await expect.poll(() => sent.received.body, {timeout: 2000, interval: 10}).toBe('half');
		receiver.truncate('the upstream broke off');
		expect(await ended(sent)).toMatchObject({kind: 'broken'});
	});

	describe('report whether they have run', () => {
		it('as not sent, if the other daemon reaches no upstream itself, so that they take one hop only', async () => {
			const {forwarded, clientFor} = await start({isPartitioned: () => true});
			expect(await ended(send(clientFor()))).toMatchObject({kind: 'not-sent'});
			expect(forwarded).toEqual([]);
		});

		it('as not sent, if the other daemon routes by an older configuration', async () => {
			const {forwarded, clientFor} = await start({toRequest: () => ({unavailable: 'older'})});
			expect(await ended(send(clientFor()))).toMatchObject({kind: 'not-sent', cause: 'older'});
			expect(forwarded).toEqual([]);
		});

		it('as not sent, if the other daemon does not run', async () => {
			const {clientFor} = await start({}, '127.0.0.1:1');
			expect(await ended(send(clientFor()))).toMatchObject({kind: 'not-sent'});
		});

		it('as not sent, if the other daemon has left since it was chosen', async () => {
			const {clientFor} = await start();
			expect(await ended(send(clientFor(), undefined, 'd3' as DaemonId))).toMatchObject({kind: 'not-sent'});
		});

		it('as refused, with the time to come back', async () => {
			const {forwarded, clientFor} = await start();
			const sent = send(clientFor());
			const {receiver} = await taken(forwarded);
			receiver.fail({kind: 'refused', retryAfterMs: 700, reason: 'full'});
			expect(await ended(sent)).toEqual({kind: 'refused', retryAfterMs: 700, cause: 'full'});
		});

		it.each([{kind: 'failed', reason: 'cut'} as const, {kind: 'timed-out', mayHaveRun: true} as const])('as possibly run: $kind', async failure => {
			const {forwarded, clientFor} = await start();
			const sent = send(clientFor());
			const {receiver} = await taken(forwarded);
			receiver.fail(failure);
			expect(await ended(sent)).toMatchObject({kind: 'broken'});
		});

		it('as possibly run, if the other daemon dies before its reply', async () => {
			const {server, forwarded, clientFor} = await start();
			const sent = send(clientFor());
			await taken(forwarded);
			server.close();
			expect(await ended(sent)).toMatchObject({kind: 'broken'});
		});
	});

	it('stop at the other daemon once the first one gives them up', async () => {
		const {forwarded, clientFor} = await start();
		const sent = send(clientFor());
		await taken(forwarded);
		sent.exchange.abort();
		await expect.poll(() => forwarded[0]!.isCancelled, {timeout: 2000, interval: 10}).toBe(true);
	});

	describe('are taken only within limits', () => {
		it('of their number', async () => {
			const {forwarded, clientFor} = await start({maxRequests: 2});
			const sent = [send(clientFor()), send(clientFor())];
			await expect.poll(() => forwarded.length, {timeout: 2000, interval: 10}).toBe(2);
			expect(await ended(send(clientFor()))).toMatchObject({kind: 'not-sent'});
			for (const {receiver} of forwarded) {
				receiver.fail({kind: 'failed', reason: 'done'});
			}

			await Promise.all(sent.map(async one => ended(one)));
		});

		it.each([2000, 8_000_000])('of their size: %i bytes', async size => {
			const {forwarded, clientFor} = await start({maxBytes: 1000});
			expect(await ended(send(clientFor(), 'x'.repeat(size)))).toMatchObject({kind: 'not-sent'});
			expect(forwarded).toEqual([]);
		});

		it('of a daemon that reaches no upstream itself, also for large ones', async () => {
			const {clientFor} = await start({isPartitioned: () => true});
			expect(await ended(send(clientFor(), 'x'.repeat(8_000_000)))).toMatchObject({kind: 'not-sent'});
		});

		it('before a shutdown; those in progress go on', async () => {
			const {server, forwarded, clientFor} = await start();
			const sent = send(clientFor());
			const {receiver} = await taken(forwarded);
			server.startDraining();
			expect(server.isIdle).toBe(false);
			expect(await ended(send(clientFor()))).toMatchObject({kind: 'not-sent'});
			receiver.head(200, []);
			receiver.end();
			expect(await ended(sent)).toEqual({kind: 'complete'});
			await expect.poll(() => server.isIdle, {timeout: 2000, interval: 10}).toBe(true);
		});
	});

	describe('are taken from daemons of the fleet only', () => {
		it('and rejected with the key of another process', async () => {
			const {forwarded, rejected, clientFor} = await start();
			expect(await ended(send(clientFor('key-of-earlier-process')))).toMatchObject({kind: 'not-sent'});
			expect(forwarded).toEqual([]);
			expect(rejected).toHaveLength(1);
		});

		it.each([
			['without a key', 'POST', relayPath, {}],
			['with an empty key', 'POST', relayPath, {authorization: 'Bearer '}],
			['with another method', 'GET', relayPath, {authorization: `Bearer ${key}`}],
			['with another path', 'POST', '/x/1', {authorization: `Bearer ${key}`}],
		])('and rejected %s', async (_, method, path, headers) => {
			const {server, forwarded} = await start();
			const status = await new Promise(resolve => {
				const body = encodeRelayRequest({
					from: 'd1', configuration: 1, maxAttempts: 1, deadlineMs: 500, method: 'POST', target: '/', headers: [], body: Buffer.from(''),
				});
				httpRequest({
					host: '127.0.0.1', port: server.port, method, path, headers: {...headers, 'Content-Length': body.length},
				}, res => {
					resolve(res.statusCode);
				}).end(body);
			});
			expect(status).toBe(403);
			expect(forwarded).toEqual([]);
		});

		it('and not forwarded if they can\'t be decoded', async () => {
			const {server, forwarded} = await start();
			await new Promise(resolve => {
				httpRequest({
					host: '127.0.0.1', port: server.port, method: 'POST', path: relayPath, headers: {authorization: `Bearer ${key}`, 'Content-Length': 3},
				}, resolve).end('abc');
			});
			expect(forwarded).toEqual([]);
		});
	});
});
