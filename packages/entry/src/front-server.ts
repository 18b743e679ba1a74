import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {BatchService} from '@cicadapost/batches';
import type {
	CallerLimits, ForwardFailure, Forwarder, Route, RoutingConfiguration,
} from '@cicadapost/forwarding';
import {limitConnections, listenOn, type ListenerAddress} from '@cicadapost/listeners';
import type {Access, CopyFreshness} from '@cicadapost/teams';
import type {Clock, Millis} from '@cicadapost/types';
import {decideArrival, type ArrivalDecision, type RoutedCall} from './arrival.js';
import {BatchCalls} from './batch-calls.js';
import type {CallReport} from './call-report.js';
import {unlimitedClients, type ClientLimits} from './client-limits.js';
import type {CallerCall, CallerProtocol} from './caller-protocol.js';
import {CallerResponseReceiver} from './caller-response.js';
import {limitUnreadBody} from './limit-unread-body.js';
import {readWholeBody, type BodyOutcome} from './read-whole-body.js';
import {ResponseWriter} from './response-writer.js';
import {shouldServeLate} from './shutdown/decide-late-request.js';
import type {ServiceTimes} from './shutdown/service-times.js';

type ReceivedBody = Extract<BodyOutcome, {kind: 'body'}>;
type RoutedDecision = Extract<ArrivalDecision, {kind: 'routed'}>;
type RoutedCallWithBody = Readonly<{call: RoutedCall; decision: ArrivalDecision; body: ReceivedBody; arrivedAt: Millis}>;
type CallReportOfArrival = Extract<ArrivalDecision, {kind: 'rejected'}>['report'];

export type FrontServerOptions = Readonly<{
	clock: Clock;
	protocol: CallerProtocol;
	forwarder: Pick<Forwarder, 'forward'>;
	batches: Pick<BatchService, 'submit' | 'results' | 'body' | 'end'>;
	configuration: () => RoutingConfiguration | undefined;
	/** What the copy of the configuration is recent enough for. Defaults to everything. */
	freshness?: () => CopyFreshness;
	/** Returns a number from 0 to 1. */
	random?: () => number;
	onCallReport: (report: CallReport) => void;
	/** Limits for clients that are not under control. Everything is unlimited by default. */
	clients?: ClientLimits;
	/** How long the requests of each route take, for requests that arrive during a shutdown. Unknown by default. */
	serviceTimes?: Pick<ServiceTimes, 'expectedMs'>;
}>;

/** Node.js accepts this limit only on creation of the server, before a configuration is loaded, so it exceeds any configured limit. */
const maxHeaderBytes = 128 * 1024;
/** Interval at which Node.js checks for connections that exceed the header timeout. */
const checkConnectionsMs = 500;
/** Idle connections stay open longer than the timeout within which callers may reuse them, so that a late request does not hit a closed connection. */
const idleTimeoutFactor = 1.3;
/** Limits used until a configuration is loaded. */
const initialLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 33_554_432, headerTimeoutMs: 5000, idleTimeoutMs: 15_000,
};

/** When a shutdown has begun, and when the daemon answers whatever is left. */
type Shutdown = Readonly<{startedAt: Millis; answersEndAt: Millis}>;

/** Retry-After during a shutdown. The next attempt probably reaches another daemon. */
const shutdownRetryMs = 50;
const shuttingDown = 'the daemon shuts down';

/** The HTTP server for callers and trainers. */
export class FrontServer {
	private readonly server: Server;
	private inFlight = 0;
	/** Set while the daemon shuts down. */
	private shutdown: Shutdown | undefined;
	/** Answers the calls that nothing else answers at the end of a shutdown. */
	private readonly unanswered = new Map<ServerResponse, () => void>();
	/** The response to the last request of each connection. */
	private readonly latest = new WeakMap<Socket, ServerResponse>();
	private readonly writer: ResponseWriter;
	private readonly batchCalls: BatchCalls;
	private readonly clients: ClientLimits;

	constructor(private readonly options: FrontServerOptions) {
		this.writer = new ResponseWriter(options.protocol);
		this.batchCalls = new BatchCalls({...options, writer: this.writer});
		this.server = createServer({
			maxHeaderSize: maxHeaderBytes,
			connectionsCheckingInterval: checkConnectionsMs,
			// The upload of a batch may take as long as its caller waits.
			requestTimeout: 0,
			noDelay: true,
		}, (req, res) => {
			void this.serve(req, res);
		});
		this.server.maxRequestsPerSocket = 0;
		this.clients = options.clients ?? unlimitedClients(options.clock);
		limitConnections(this.server, {
			maxConnections: this.clients.maxConnections,
			now: () => options.clock.now(),
			onClosed: peer => {
				this.clients.report({reason: 'too many connections', peer});
			},
		});
		this.applyLimits(initialLimits);
	}

	async listen(address: ListenerAddress, onError: (err: Error) => void): Promise<void> {
		await listenOn(this.server, {...address, backlog: 1024}, onError);
	}

	/** The port on which the server listens. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	applyLimits(limits: CallerLimits): void {
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs * idleTimeoutFactor;
	}

	/** Makes responses close their connections, and refuses requests that may not end before `answersEndAt`. */
	startDraining(shutdown: Shutdown): void {
		this.shutdown = shutdown;
	}

	/** Closes the connections on which no request is in progress. */
	closeIdleConnections(): void {
		this.server.closeIdleConnections();
	}

	/** Answers the calls that are still open, except for requests at upstreams, which the forwarder ends. */
	answerPending(): void {
		for (const answer of this.unanswered.values()) {
			answer();
		}
	}

	get isIdle(): boolean {
		return this.inFlight === 0;
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {protocol, clock} = this.options;
		const arrivedAt = clock.now();
		const earlier = this.latest.get(req.socket);
		if (earlier !== undefined && closesConnection(earlier)) {
			// This request can't be answered any more, so it must not reach an upstream.
			return;
		}

		this.latest.set(req.socket, res);
		this.inFlight += 1;
		// Node.js emits this event only for the first response of a connection that closes, and further requests may be in progress there.
		const onDisconnect = () => {
			res.emit('close');
		};

		req.socket.once('close', onDisconnect);
		res.once('close', () => {
			req.socket.off('close', onDisconnect);
			this.inFlight -= 1;
			this.unanswered.delete(res);
		});

		if (this.shutdown !== undefined) {
			res.setHeader('Connection', 'close');
			if (earlier?.headersSent === false) {
				// The connection closes after the first response with this header, and this request came without waiting for that.
				earlier.removeHeader('Connection');
			}
		}

		this.unanswered.set(res, () => {
			this.writer.refuse(res, shutdownRetryMs, shuttingDown);
		});

		limitUnreadBody(req, res, {
			limits: () => this.options.configuration()?.limits ?? initialLimits,
			onClosed: () => {
				this.clients.report({reason: 'a body went on after the response', peer: req.socket.remoteAddress});
			},
		});
		const call = protocol.parseCall({method: req.method ?? 'GET', target: req.url ?? '/', headers: req.rawHeaders});
		try {
			await this.respond(req, res, call, arrivedAt);
		} catch (err) {
			// The caller gets a response even after an unexpected error.
			this.reportCall(undefined, 'internal error', {error: err instanceof Error ? err.stack : String(err)});
			this.writer.fail(res, 500, 'internal error');
		}
	}

	private async respond(req: IncomingMessage, res: ServerResponse, call: CallerCall, arrivedAt: Millis): Promise<void> {
		const decision = this.decide(req, call, arrivedAt);
		switch (decision.kind) {
			case 'refused':
			case 'rejected': {
				this.turnAway(res, call, decision);
				break;
			}

			case 'routed': {
				const body = await this.readBody(req, res, decision.configuration.limits);
				if (body !== undefined) {
					await this.serveRouted(req, res, {
						call: decision.call, decision: this.decideAgain(req, decision, arrivedAt), body, arrivedAt,
					});
				}

				break;
			}

			case 'batch-call': {
				req.resume();
				if (decision.call.kind === 'end-batch') {
					this.failAtShutdown(res);
				}

				await this.batchCalls.respond(res, decision.call, decision.access);
				break;
			}
		}
	}

	private decide(req: IncomingMessage, call: CallerCall, arrivedAt: Millis): ArrivalDecision {
		const {configuration, freshness, random} = this.options;
		return this.decideInShutdown(decideArrival({
			call,
			headBytes: headBytes(req),
			configuration: configuration(),
			freshness: freshness?.() ?? {allowsKeys: true, allowsRejection: true},
			random: (random ?? Math.random)(),
		}), arrivedAt);
	}

	/**
	Decides again on a call whose body has been read, since its key may have been revoked, the copy of the configuration have become
	too old or the daemon have begun to shut down meanwhile.
	*/
	private decideAgain(req: IncomingMessage, decision: RoutedDecision, arrivedAt: Millis): ArrivalDecision {
		return this.options.configuration()?.teams === undefined ? this.decideInShutdown(decision, arrivedAt) : this.decide(req, decision.call, arrivedAt);
	}

	/** Refuses a call that may not end before the daemon does. */
	private decideInShutdown(decision: ArrivalDecision, arrivedAt: Millis): ArrivalDecision {
		if (this.shutdown === undefined || decision.kind === 'refused' || decision.kind === 'rejected' || this.canEnd(decision, this.shutdown, arrivedAt)) {
			return decision;
		}

		return {
			kind: 'refused', retryAfterMs: shutdownRetryMs, detail: shuttingDown, report: {outcome: 'refused', inputs: {reason: shuttingDown, call: decision.call.kind}},
		};
	}

	private canEnd(decision: Extract<ArrivalDecision, {kind: 'routed' | 'batch-call'}>, {startedAt, answersEndAt}: Shutdown, arrivedAt: Millis): boolean {
		const now = this.options.clock.now();
		const leftMs = answersEndAt - now;
		if (decision.kind === 'batch-call') {
			return leftMs > 0;
		}

		const {call, route} = decision;
		return shouldServeLate({
			kind: route.kind, sinceStopMs: now - startedAt, leftMs, deadlineMs: deadlineOf(call, route, arrivedAt) - now, expectedMs: this.options.serviceTimes?.expectedMs(route.name),
		});
	}

	/** Answers with an error at the end of a shutdown, since the call may have an effect by then. */
	private failAtShutdown(res: ServerResponse): void {
		this.unanswered.set(res, () => {
			this.writer.fail(res, 504, `${shuttingDown}; send the call again`);
		});
	}

	private async serveRouted(req: IncomingMessage, res: ServerResponse, options: RoutedCallWithBody): Promise<void> {
		const {
			call, decision, body, arrivedAt,
		} = options;
		switch (decision.kind) {
			case 'refused':
			case 'rejected': {
				body.release();
				this.turnAway(res, call, decision);
				break;
			}

			case 'routed': {
				const {route, access} = decision;
				if (route.kind === 'batch') {
					this.failAtShutdown(res);
					try {
						await this.batchCalls.submit(res, {
							call, method: req.method, body: body.body, access,
						});
					} finally {
						body.release();
					}
				} else {
					this.unanswered.delete(res);
					this.forward(req, res, {
						call, route, access, body, arrivedAt,
					});
				}

				break;
			}

			case 'batch-call': {
				throw new Error('a routed call does not become one about a batch; check `decideArrival`');
			}
		}
	}

	/** Answers a call that goes no further. */
	private turnAway(res: ServerResponse, call: CallerCall, decision: Extract<ArrivalDecision, {kind: 'refused' | 'rejected'}>): void {
		this.reportArrival(call, decision.report);
		if (decision.kind === 'refused') {
			this.writer.refuse(res, decision.retryAfterMs, decision.detail);
			return;
		}

		if (decision.closes) {
			res.setHeader('Connection', 'close');
		}

		if (decision.status === 401) {
			res.setHeader('WWW-Authenticate', 'Bearer');
		}

		this.writer.fail(res, decision.status, decision.detail);
	}

	/** Reads the whole body. Returns undefined if the request has been answered or the caller has disconnected. */
	private async readBody(req: IncomingMessage, res: ServerResponse, limits: CallerLimits): Promise<ReceivedBody | undefined> {
		const {memory, report} = this.clients;
		const outcome = await readWholeBody(req, {bytes: limits.bodyBytes, idleMs: limits.idleTimeoutMs}, memory);
		switch (outcome.kind) {
			case 'body': {
				return outcome;
			}

			case 'no-memory': {
				report({reason: 'no memory for a body', peer: req.socket.remoteAddress});
				this.writer.refuse(res, memory.retryAfterMs(), 'there is no memory for the body now; send it again later');
				return undefined;
			}

			case 'slow': {
				report({reason: 'a slow body was closed', peer: req.socket.remoteAddress});
				this.failAndClose(res, 408, 'the body arrived slowly while memory was short; send it again');
				return undefined;
			}

			case 'too-large': {
				this.failAndClose(res, 413, `the body has more than ${limits.bodyBytes} bytes; send a smaller one`);
				return undefined;
			}

			case 'stalled': {
				this.failAndClose(res, 408, `nothing came for ${limits.idleTimeoutMs} ms; send the request again`);
				return undefined;
			}

			case 'broken': {
				return undefined;
			}
		}
	}

	private forward(req: IncomingMessage, res: ServerResponse, options: Readonly<{call: RoutedCall; route: Route; access: Access; body: ReceivedBody; arrivedAt: Millis}>): void {
		const {
			call, route, access, body: {body, release}, arrivedAt,
		} = options;
		const team = access.kind === 'checked' ? access.team?.name : undefined;
		res.once('close', () => {
			// The listener below has ended all attempts by then, so that no connection reads the body any more.
			setImmediate(release);
		});
		const cancel = this.options.forwarder.forward({
			requestId: call.requestId,
			method: req.method ?? 'GET',
			path: req.url ?? '/',
			host: call.host,
			headers: access.kind === 'checked' || access.hasFormerKey ? this.options.protocol.admittedHeaders({received: req.rawHeaders, team}) : req.rawHeaders,
			body,
			route,
			...(team === undefined ? {} : {team}),
			...(call.continues === undefined ? {} : {continues: call.continues}),
			deadlineAt: deadlineOf(call, route, arrivedAt),
		}, new CallerResponseReceiver(res, failure => {
			this.respondToFailure(res, failure);
		}, this.clients.unread));
		res.once('close', () => {
			if (!res.writableFinished) {
				cancel();
			}
		});
	}

	private respondToFailure(res: ServerResponse, failure: ForwardFailure): void {
		switch (failure.kind) {
			case 'refused': {
				this.writer.refuse(res, failure.retryAfterMs, failure.reason);
				break;
			}

			case 'failed': {
				this.writer.fail(res, 502, failure.reason);
				break;
			}

			case 'timed-out': {
				this.writer.fail(res, 504, 'no answer in time');
				break;
			}
		}
	}

	/** Answers a request whose remaining bytes are not read, and closes the connection. */
	private failAndClose(res: ServerResponse, status: number, detail: string): void {
		this.reportCall(undefined, 'beyond a limit', {status, detail});
		res.setHeader('Connection', 'close');
		this.writer.fail(res, status, detail);
	}

	private reportArrival(call: CallerCall, report: CallReportOfArrival): void {
		if (report !== undefined) {
			this.reportCall(call.kind === 'routed' ? call.requestId : undefined, report.outcome, report.inputs);
		}
	}

	private reportCall(requestId: CallReport['requestId'], outcome: string, inputs: CallReport['inputs']): void {
		this.options.onCallReport({requestId, outcome, inputs});
	}
}

function deadlineOf({deadlineMs}: RoutedCall, {timeoutMs}: Route, arrivedAt: Millis): Millis {
	return arrivedAt + Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}

/** Whether the head of a response has announced that its connection closes. */
function closesConnection(res: ServerResponse): boolean {
	return res.headersSent && res.getHeader('connection') === 'close';
}

/** Length of the request head in HTTP/1.1 encoding, in bytes. */
function headBytes({method, url, rawHeaders}: IncomingMessage): number {
	const lineEnd = 2;
	const requestLine = `${method} ${url} HTTP/1.1`.length + lineEnd;
	// A name is followed by ": " and a value by CRLF, two bytes each.
	return rawHeaders.reduce((sum, text) => sum + text.length + 2, requestLine) + lineEnd;
}
