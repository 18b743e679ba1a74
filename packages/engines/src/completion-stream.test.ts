import {
	createServer as createHttpServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	createServer as createTcpServer, type AddressInfo, type Server as TcpServer, type Socket,
} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import type {AttemptReport} from './attempt-failure.js';
import {UpstreamConnections, type AttemptOptions} from './completion-stream.js';

const open: Array<Readonly<{close: () => unknown}>> = [];

afterEach(async () => {
	for (const part of open.splice(0)) {
		await part.close();
	}
});

async function listen(server: Server | TcpServer): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function upstream(answer: (res: ServerResponse, req: IncomingMessage) => void): Promise<string> {
	const server = createHttpServer((req, res) => {
		req.resume();
		req.on('end', () => {
			answer(res, req);
		});
	});
	open.push({
		close() {
			server.close();
			server.closeAllConnections();
		},
	});
	return listen(server);
}

async function run(url: string, options: Partial<AttemptOptions> = {}): Promise<AttemptReport[]> {
	const connections = new UpstreamConnections();
	open.push(connections);
	const reports: AttemptReport[] = [];
	await connections.run({
		url, method: 'POST', path: '/v1/completions', contentType: 'application/json', body: '{}', signal: new AbortController().signal, ...options,
	}, report => {
		reports.push(report);
	});
	return reports;
}

async function lastReport(url: string, options: Partial<AttemptOptions> = {}): Promise<AttemptReport | undefined> {
	const reports = await run(url, options);
	return reports.at(-1);
}

function stream(res: ServerResponse, ...events: string[]): void {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	for (const event of events) {
		res.write(`data: ${event}\n\n`);
	}
}

const event = (offset: number) => JSON.stringify({
	text: 'a', tokens: 1, version: 1, offset,
});

/** The reports without error messages, which depend on the platform. */
function reportKinds(reports: readonly AttemptReport[]): unknown[] {
	return reports.map(report => (report.kind === 'failed' ? [report.failure, report.sent] : report.kind));
}

describe('UpstreamConnections', () => {
	describe('when the request is sent', () => {
		it('reports `sent` before the first byte leaves, so that a request that may have run is never reported as not run', async () => {
			const order: string[] = [];
			const url = await upstream(res => {
				order.push('received');
				stream(res, '[DONE]');
				res.end();
			});
			const connections = new UpstreamConnections();
			open.push(connections);
			await connections.run({
				url, method: 'POST', path: '/', contentType: 'text/plain', body: 'x', signal: new AbortController().signal,
			}, report => {
				order.push(report.kind);
			});
			expect(order).toEqual(['sent', 'received', 'finished']);
		});

		it('sends the remaining time and the number of tokens that the caller has', async () => {
			let headers: IncomingMessage['headers'] = {};
			const url = await upstream((res, req) => {
				headers = req.headers;
				stream(res, '[DONE]');
				res.end();
			});
			await run(url, {remainingMs: 1234.5, resumeFrom: 7});
			expect(headers).toMatchObject({'x-deadline-ms': '1234', 'x-resume-from': '7'});
		});

		it('sends nothing after the time limit for sending has passed', async () => {
			let received = 0;
			const url = await upstream(res => {
				received++;
				res.end();
			});
			expect(reportKinds(await run(url, {maySend: () => false}))).toEqual([['late', false]]);
			expect(received).toBe(0);
		});
	});

	describe('when no connection can be established', () => {
		it('reports that nothing was sent, so that the request may be sent elsewhere', async () => {
			const server = createTcpServer();
			const url = await listen(server);
			await new Promise(resolve => {
				server.close(resolve);
			});
			expect(reportKinds(await run(url))).toEqual([['unreachable', false]]);
		});
	});

	describe('when the connection is closed early', () => {
		it('reports that the upstream died, before the response and in mid-stream', async () => {
			const before = await upstream(res => {
				res.destroy();
			});
			expect(reportKinds(await run(before))).toEqual(['sent', ['upstream-died', true]]);
			const midStream = await upstream(res => {
				stream(res, event(0));
				setImmediate(() => {
					res.destroy();
				});
			});
			expect(reportKinds(await run(midStream)).at(-1)).toEqual(['upstream-died', true]);
		});
	});

	describe('when a stream without a length ends as if it were complete', () => {
		it.each([
			['within an event', `data: ${event(1)}\n`],
			['within the end marker', 'data: [DONE]\n'],
			['between two events', ''],
		])('has not finished if the end is %s, so that no cut text counts as whole', async (_, end) => {
			const server = createTcpServer(socket => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					socket.end(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ${event(0)}\n\n${end}`);
				});
			});
			open.push(server);
			const reports = await run(await listen(server));
			expect(reports.filter(({kind}) => kind === 'chunk')).toHaveLength(1);
			expect(reports.at(-1)).toMatchObject({kind: 'failed'});
		});
	});

	describe('when the connection goes silent', () => {
		it('reports silence rather than a dead upstream, before the response and in mid-stream', async () => {
			const before = await upstream(() => undefined);
			expect(reportKinds(await run(before, {silenceMs: 50}))).toEqual(['sent', ['silent', true]]);
			const midStream = await upstream(res => {
				stream(res, event(0));
			});
			// The event must arrive within this time, also on a busy machine.
			expect(reportKinds(await run(midStream, {silenceMs: 3000}))).toEqual(['sent', 'chunk', ['silent', true]]);
		});

		it('reports silence before an event that comes too late', async () => {
			const late = await upstream(res => {
				setTimeout(() => {
					stream(res, event(0));
				}, 300);
			});
			expect(reportKinds(await run(late, {silenceMs: 50}))).toEqual(['sent', ['silent', true]]);
		});
	});

	describe('when the connection carries bytes but no tokens', () => {
		it('reports silence, since a stuck engine may keep sending comments', async () => {
			const url = await upstream(res => {
				stream(res, event(0));
				let comments = 0;
				const timer = setInterval(() => {
					res.write(': still here\n\n');
					if (++comments === 100) {
						res.end();
					}
				}, 10);
				res.on('close', () => {
					clearInterval(timer);
				});
			});
			expect(reportKinds(await run(url, {silenceMs: 50}))).toEqual(['sent', 'chunk', ['silent', true]]);
		});
	});

	describe('when the response is invalid', () => {
		it.each([
			['a stream without its end marker', [event(0)]],
			['an event that is not JSON', ['{']],
			['an event without a version', [JSON.stringify({text: 'a', tokens: 1, offset: 0})]],
		])('reports a server error for %s, since the process is alive', async (_name, events) => {
			const url = await upstream(res => {
				stream(res, ...events);
				res.end();
			});
			expect(reportKinds(await run(url)).at(-1)).toEqual(['server-error', true]);
		});

		it('reports a server error for a JSON document instead of a stream', async () => {
			const url = await upstream(res => {
				res.writeHead(200, {'content-type': 'application/json'}).end('{}');
			});
			expect(reportKinds(await run(url))).toEqual(['sent', ['server-error', true]]);
		});
	});

	describe('when the response is long', () => {
		it('passes on a long completion, since its tokens are never buffered together', async () => {
			const count = 200;
			const url = await upstream(res => {
				stream(res, ...Array.from({length: count}, (_, offset) => JSON.stringify({
					text: 'x'.repeat(100_000), tokens: 1, version: 1, offset,
				})), '[DONE]');
				res.end();
			});
			expect(await lastReport(url)).toMatchObject({kind: 'finished', tokens: count});
		});

		it('rejects a long response of a plain service, which would be held in memory and sent in one frame', async () => {
			const url = await upstream(res => {
				res.end('x'.repeat(4 * 1024 * 1024));
			});
			expect(await lastReport(url, {kind: 'service'})).toMatchObject({failure: 'server-error', sent: true});
		});
	});

	describe('when the upstream responds with an error', () => {
		it.each([429, 503])('treats status %i with Retry-After as overload and the request as not run', async status => {
			const url = await upstream(res => {
				res.writeHead(status, {'retry-after': '3'}).end();
			});
			expect(await lastReport(url)).toMatchObject({failure: 'overloaded', sent: false, retryAfterMs: 3000});
		});

		it.each([[503, 'server-error'], [500, 'server-error'], [400, 'rejected'], [404, 'rejected']])('treats status %i as "%s"', async (status, failure) => {
			const url = await upstream(res => {
				res.writeHead(status).end();
			});
			expect(reportKinds(await run(url))).toEqual(['sent', [failure, true]]);
		});
	});

	describe('with a plain service', () => {
		it('passes on method, content type and every byte in both directions', async () => {
			const bytes = Buffer.from([0, 128, 255, 10]).toString('latin1');
			const url = await upstream((res, req) => {
				res.writeHead(201, {'content-type': `${req.method} ${req.headers['content-type']}`});
				res.end(Buffer.from(bytes, 'latin1'));
			});
			const reports = await run(url, {
				kind: 'service', method: 'PUT', contentType: 'image/jpeg', body: bytes, encoding: 'latin1',
			});
			expect(reports.slice(1)).toMatchObject([{chunk: {text: bytes}}, {status: 201, contentType: 'PUT image/jpeg'}]);
		});

		it('passes on client errors', async () => {
			const url = await upstream(res => {
				res.writeHead(422).end('no');
			});
			expect(await lastReport(url, {kind: 'service'})).toMatchObject({kind: 'finished', status: 422});
		});

		it.each([600, 999])('does not pass on status %i, which is not that of a response, also if the request must not be repeated', async status => {
			const url = await upstream(res => {
				res.writeHead(status).end('no response');
			});
			expect(await lastReport(url, {kind: 'service', idempotent: false})).toMatchObject({kind: 'failed', failure: 'server-error', sent: true});
		});

		it.each([[true, {kind: 'failed', failure: 'server-error'}], [false, {kind: 'finished', status: 500}]])('with idempotent %s, a server error is %o', async (idempotent, expected) => {
			const url = await upstream(res => {
				res.writeHead(500).end('broken');
			});
			expect(await lastReport(url, {kind: 'service', idempotent})).toMatchObject(expected);
		});

		describe('whose response has no length', () => {
			const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n';
			const respondWith = async (respond: (socket: Socket) => void) => {
				const server = createTcpServer(socket => {
					socket.on('error', () => undefined);
					socket.once('data', () => {
						respond(socket);
					});
				});
				open.push(server);
				return run(await listen(server), {kind: 'service'});
			};

			it.each([
				['together with its last bytes', (socket: Socket) => socket.write(`${head}first half`, () => socket.resetAndDestroy())],
				['after its last bytes', (socket: Socket) => socket.write(`${head}first half`, () => setTimeout(() => socket.resetAndDestroy(), 20))],
			])('is not finished if its connection is reset %s', async (_, respond) => {
				expect(reportKinds(await respondWith(respond))).toEqual(['sent', ['upstream-died', true]]);
			});

			it('is finished if the service closes the connection', async () => {
				const reports = await respondWith(socket => socket.end(`${head}whole`));
				expect(reports.slice(1)).toMatchObject([{chunk: {text: 'whole'}}, {kind: 'finished', status: 200}]);
			});
		});
	});
});
