import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import type {UpstreamStart} from '@cicadapost/fleet';
import {
	SystemClock, type Clock, type Millis, type UpstreamId,
} from '@cicadapost/types';
import {
	buildConnector, Client, errors, type Dispatcher,
} from 'undici';
import {StatusLineChecker} from './check-status-lines.js';

/** Time limit for establishing a connection. A round trip between two data centres takes at most 30 ms. */
const connectTimeoutMs = 300;
/** An idle connection is closed after this time unless the upstream announces a different keep-alive timeout. */
const idleTimeoutMs = 4000;
/** Maximum number of idle connections kept per upstream. */
const maxIdleConnections = 32;
/** A connection is closed after this many requests, whose ids it remembers. */
const maxRequestsPerConnection = 200;

export type ExchangeRequest = Readonly<{
	method: string;
	path: string;
	/** Alternating names and values. */
	headers: readonly string[];
	body?: Uint8Array | undefined;
	/** Id by which its response is recognized. It may be that of an earlier request. A request without one gets a connection of its own. */
	id?: string | undefined;
}>;

export type ResponseHead = Readonly<{status: number; headers: Readonly<Record<string, string | string[] | undefined>>}>;

export type ExchangeHandlers = Readonly<{
	/** Returns false to discard the response, for example because it belongs to another request. */
	onHead: (head: ResponseHead) => boolean;
	/** Returns false to discard a response that is longer than any valid one. */
	onData: (chunk: Uint8Array) => boolean;
	/** Called exactly once, when the exchange has ended. */
	onEnd: (end: ExchangeEnd) => void;
}>;

export type ExchangeEnd =
	| Readonly<{kind: 'complete'}>
	/** The request never left this process, so it did not run. */
	| Readonly<{kind: 'not-sent'; cause: string}>
	/** The connection failed after the request was sent, so it may have run. */
	| Readonly<{kind: 'broken'; cause: string}>
	/** `abort` was called. */
	| Readonly<{kind: 'aborted'}>;

/** The connection of an exchange: not established yet, established for it, or kept from an earlier exchange. */
export type ConnectionUse = 'connecting' | 'new' | 'kept';

export type Exchange = Readonly<{
	/** Closes the connection, which makes the upstream stop its work. */
	abort: () => void;
	connection: () => ConnectionUse;
	/** Number of the connection, for logs. */
	connectionNumber?: number;
}>;

/** Cause of a `broken` exchange whose upstream sent more bytes than a valid response has. */
export const responseTooLong = 'the response is too long';
/** Cause of a `broken` exchange whose upstream sent bytes that are no response. */
export const malformedResponse = 'the response is malformed';
/**
Maximum number of bytes that an upstream may send between two pieces of a response. Undici limits the size of headers, but
not that of a status line or of the extension of a chunk.
*/
const maxUnparsedBytes = 256 * 1024;

export type ConnectionPoolOptions = Readonly<{
	clock?: Clock;
	/** Opens the socket of a connection. */
	connect?: buildConnector.connector;
}>;

/** Opens sockets within a time limit. The limit of undici is checked only twice a second. */
export function limitConnectTime(connect: buildConnector.connector, timeoutMs: Millis): buildConnector.connector {
	return (options, callback) => {
		let hasTimedOut = false;
		const timer = setTimeout(() => {
			hasTimedOut = true;
			callback(new errors.ConnectTimeoutError(`no connection within ${timeoutMs} ms`), null);
		}, timeoutMs);
		connect(options, (...result) => {
			clearTimeout(timer);
			if (hasTimedOut) {
				result[1]?.destroy();
			} else {
				callback(...result);
			}
		});
	};
}

/**
Whether the peer has reset a connection whose stream has ended. If a reset arrives together with the last bytes, Node.js reports
the end of the stream and no error. After a reset the socket is no longer connected, so it has no remote address. A connection
that the peer has closed stays connected until this side closes it as well.
*/
function wasReset(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

class Connection {
	readonly client: Client;
	isOpen = false;
	/** Cause of the failure of the socket, if it has failed. */
	failure: string | undefined;
	/** Whether the upstream has ended the connection, so that nothing further can arrive. */
	hasEnded = false;
	/** Ids of the requests that it has carried. A second copy of their responses may still arrive. */
	readonly requestIds = new Set<string>();
	private readonly statusLines = new StatusLineChecker();
	private socket: Socket | undefined;
	/** Number of bytes that the socket had received when the last piece of a response was parsed. */
	private parsedBytes = 0;

	constructor(address: string, connect: buildConnector.connector, readonly number: number) {
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: (options, callback) => {
				connect(options, (...result) => {
					const [err, socket] = result;
					if (!err) {
						this.watch(socket);
					}

					callback(...result);
				});
			},
			keepAliveTimeout: idleTimeoutMs,
			// Callers of this class enforce deadlines, since they know how much time is left.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.client.on('connect', () => {
			this.isOpen = true;
		});
		this.client.on('disconnect', () => {
			this.isOpen = false;
		});
	}

	/** Whether a part of a request still waits to be sent. The caller of the pool may reuse the memory of the request once its exchange has ended. */
	get hasUnsentBytes(): boolean {
		return (this.socket?.writableLength ?? 0) > 0;
	}

	/** Prepares for the response to the next request. */
	expectResponse(): void {
		this.statusLines.expectResponse();
		this.recordProgress();
	}

	/** Records that a piece of a response has been parsed. */
	recordProgress(): void {
		this.parsedBytes = this.socket?.bytesRead ?? 0;
	}

	destroy(): void {
		void this.client.destroy();
	}

	/** Closes the connection such that a request which is held up in the network is lost. */
	reset(): void {
		this.socket?.resetAndDestroy();
		this.destroy();
	}

	private watch(socket: Socket): void {
		this.socket = socket;
		this.checkWhenRead(socket);
		// These listeners are registered before those of undici, which take any end of the connection for that of a response without a length.
		socket.on('error', err => {
			this.hasEnded = true;
			this.failure = errorCodeOrMessage(err);
		});
		socket.on('end', () => {
			this.hasEnded = true;
			if (wasReset(socket)) {
				this.failure ??= 'ECONNRESET';
			}
		});
		socket.on('close', () => {
			if (!this.hasEnded) {
				this.hasEnded = true;
				this.failure ??= 'the connection was closed on this side';
			}
		});
		socket.on('readable', () => {
			if (socket.bytesRead - this.parsedBytes > maxUnparsedBytes) {
				socket.destroy(new Error(responseTooLong));
			}
		});
	}

	/** Checks bytes when the parser takes them, and closes the connection before it sees a malformed status line. */
	private checkWhenRead(socket: Socket): void {
		const read = socket.read.bind(socket);
		socket.read = (size?: number) => {
			const chunk = read(size) as unknown;
			if (chunk instanceof Uint8Array && !this.statusLines.feed(chunk)) {
				this.failure ??= malformedResponse;
				socket.destroy(new Error(malformedResponse));
				return null;
			}

			return chunk;
		};
	}
}

/** One run of an upstream's process, as the list shows it. */
export type PooledUpstream = UpstreamStart & Readonly<{address: string}>;

type PoolEvents = {
	/** The head of a response arrived, whatever the request was for. */
	response: [upstream: PooledUpstream, head: ResponseHead];
	/** A connection was established. */
	connected: [upstream: UpstreamId];
	/** A connection could not be established, or broke while it had a request. */
	failed: [upstream: UpstreamId, cause: string];
	/** A response without a length has ended with its connection, which the upstream has closed or which has failed. */
	closeDelimited: [upstream: UpstreamId, end: 'closed' | 'failed', cause: string | undefined];
};

/**
Pools connections to upstreams, with one request at a time on each. A connection is reused only after a complete exchange, and never
for a request whose id it has carried before: a second copy of the first response may arrive late, where that of the second is due.
*/
export class ConnectionPool extends EventEmitter<PoolEvents> {
	private readonly idle = new Map<UpstreamId, Connection[]>();
	private readonly connect: buildConnector.connector;
	private readonly clock: Clock;
	private connectionCount = 0;
	private receivedAt = Number.NEGATIVE_INFINITY;
	/** Time at which each exchange in progress began. */
	private readonly startTimes = new Set<Readonly<{at: Millis}>>();

	constructor(options: ConnectionPoolOptions = {}) {
		super();
		this.clock = options.clock ?? new SystemClock();
		this.connect = options.connect ?? limitConnectTime(buildConnector({timeout: connectTimeoutMs}), connectTimeoutMs);
	}

	hasIdle(upstream: UpstreamId): boolean {
		return this.idle.get(upstream)?.some(connection => connection.isOpen) ?? false;
	}

	/** Time at which the last piece of a response arrived from any upstream. */
	get lastReceivedAt(): Millis {
		return this.receivedAt;
	}

	/** Returns for how long nothing has arrived from any upstream although there are exchanges in progress. */
	silentFor(now: Millis): Millis {
		const [oldest] = this.startTimes;
		return oldest === undefined ? 0 : now - Math.max(oldest.at, this.receivedAt);
	}

	/** Whether a connection to the address can be established. It is closed at once. */
	async canConnect(address: string): Promise<boolean> {
		if (!URL.canParse(`http://${address}`)) {
			return false;
		}

		const {protocol, hostname, port, host} = new URL(`http://${address}`);
		return new Promise(resolve => {
			this.connect({
				protocol, hostname, port, host,
			}, (err, socket) => {
				socket?.destroy();
				resolve(err === null);
			});
		});
	}

	/** Sends one request and reports its response to `handlers`. */
	exchange(upstream: PooledUpstream, req: ExchangeRequest, handlers: ExchangeHandlers): Exchange {
		const {id} = req;
		const kept = id === undefined ? undefined : this.takeIdle(upstream.id, id);
		const connection = kept ?? this.open(upstream);
		if (id !== undefined) {
			connection.requestIds.add(id);
		}

		let isSent = false;
		let isOver = false;
		const startTime = {at: this.clock.now()};
		this.startTimes.add(startTime);
		const finish = (end: ExchangeEnd) => {
			if (isOver) {
				return;
			}

			isOver = true;
			this.startTimes.delete(startTime);
			if (end.kind !== 'complete' || connection.hasUnsentBytes) {
				connection.reset();
			} else if (id === undefined) {
				connection.destroy();
			} else {
				this.returnToPool(upstream.id, connection);
			}

			handlers.onEnd(end);
		};

		const recordProgress = () => {
			this.receivedAt = this.clock.now();
			connection.recordProgress();
		};

		const fail = (end: Extract<ExchangeEnd, {kind: 'not-sent' | 'broken'}>) => {
			if (!isOver) {
				this.emit('failed', upstream.id, end.cause);
			}

			finish(end);
		};

		const emitResponse = (head: ResponseHead) => {
			this.emit('response', upstream, head);
		};

		const handler: Dispatcher.DispatchHandler = {
			onRequestStart() {
				isSent = true;
			},
			onResponseStart(controller, status, headers) {
				recordProgress();
				if (connection.failure !== undefined) {
					fail({kind: 'broken', cause: connection.failure});
					return;
				}

				if (isOver || status < 200) {
					return;
				}

				if (handlers.onHead({status, headers})) {
					emitResponse({status, headers});
				} else {
					finish({kind: 'broken', cause: 'the response belongs to another request'});
				}
			},
			onResponseData(controller, chunk) {
				recordProgress();
				if (!isOver && !handlers.onData(chunk)) {
					finish({kind: 'broken', cause: responseTooLong});
				}
			},
			onResponseEnd: () => {
				const {hasEnded, failure} = connection;
				if (hasEnded && !isOver) {
					this.emit('closeDelimited', upstream.id, failure === undefined ? 'closed' : 'failed', failure);
				}

				if (failure === undefined) {
					finish({kind: 'complete'});
				} else {
					fail({kind: 'broken', cause: failure});
				}
			},
			onResponseError(controller, err) {
				fail({kind: isSent ? 'broken' : 'not-sent', cause: errorCodeOrMessage(err)});
			},
		};
		connection.expectResponse();
		try {
			connection.client.dispatch({
				path: req.path,
				method: req.method,
				headers: [...req.headers],
				body: req.body === undefined || req.body.length === 0 ? null : Buffer.from(req.body.buffer, req.body.byteOffset, req.body.byteLength),
			}, handler);
		} catch (err) {
			// Undici rejects invalid HTTP requests before it sends anything.
			finish({kind: 'not-sent', cause: errorCodeOrMessage(err)});
		}

		return {
			abort() {
				finish({kind: 'aborted'});
			},
			connection: () => (kept === undefined ? (isSent ? 'new' : 'connecting') : 'kept'),
			connectionNumber: connection.number,
		};
	}

	/** Closes the idle connections to an upstream that is gone. Running exchanges continue. */
	closeIdle(upstream: UpstreamId): void {
		for (const connection of this.idle.get(upstream) ?? []) {
			connection.destroy();
		}

		this.idle.delete(upstream);
	}

	close(): void {
		for (const upstream of this.idle.keys()) {
			this.closeIdle(upstream);
		}
	}

	private open(upstream: Readonly<{id: UpstreamId; address: string}>): Connection {
		this.connectionCount += 1;
		const connection = new Connection(upstream.address, this.connect, this.connectionCount);
		connection.client.on('connect', () => {
			this.emit('connected', upstream.id);
		});
		return connection;
	}

	/** Removes and returns the connection that was used last, of those that have not carried a request with this id. */
	private takeIdle(upstream: UpstreamId, requestId: string): Connection | undefined {
		const connections = this.idle.get(upstream) ?? [];
		for (const closed of connections.filter(({isOpen}) => !isOpen)) {
			closed.destroy();
		}

		const open = connections.filter(({isOpen}) => isOpen);
		const taken = open.findLast(({requestIds}) => !requestIds.has(requestId));
		this.idle.set(upstream, open.filter(connection => connection !== taken));
		return taken;
	}

	private returnToPool(upstream: UpstreamId, connection: Connection): void {
		const connections = this.idle.get(upstream) ?? [];
		if (connections.length >= maxIdleConnections || connection.requestIds.size >= maxRequestsPerConnection) {
			connection.destroy();
			return;
		}

		connections.push(connection);
		this.idle.set(upstream, connections);
	}
}

/** Returns the code of a system error, or the error message if there is no code. */
export function errorCodeOrMessage(err: unknown): string {
	if (err instanceof Error) {
		const {code} = err as NodeJS.ErrnoException;
		return code ?? err.message;
	}

	return String(err);
}

/** Returns the value of a header, or the first value if the header occurs several times. */
export function firstHeaderValue(headers: ResponseHead['headers'], name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

