import {timingSafeEqual} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {finished} from 'node:stream/promises';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	ResponseReceiver, type ForwardFailure, type Forwarder, type PlainRequest,
} from '@cicadapost/forwarding';
import type {UpstreamStart} from '@cicadapost/fleet';
import {
	unlimitedBodies, UnreadOutput, type BodyBuffer, type BodyMemory, type UnreadResponse,
} from '@cicadapost/byte-budget';
import {limitConnections, listenOn, type ListenerAddress} from '@cicadapost/listeners';
import type {Clock, Millis} from '@cicadapost/types';
import {relayPath} from './relay-client.js';
import {
	decodeRelayRequest, encodeRelayReply, type RelayReply, type RelayRequest,
} from './relay-messages.js';

/** Why a request was not taken, if another daemon may take it. */
export type Unavailable = Readonly<{unavailable: string}>;

export type RelayServerOptions = Readonly<{
	clock: Clock;
	/** Key that other daemons must present. */
	key: string;
	/** Sends requests to upstreams only. Requests from other daemons are never passed on again. */
	forwarder: Pick<Forwarder, 'forward'>;
	isPartitioned: () => boolean;
	/** Returns the request as this daemon's own configuration routes it. */
	toRequest: (relayed: RelayRequest, now: Millis) => PlainRequest | Unavailable;
	/** Called when a call without the right key was rejected. */
	onRejected: (from: string) => void;
	/** Called for each request of another daemon that was taken. */
	onAccepted: () => void;
	/** Maximum number of requests of other daemons in progress, so that this daemon can serve its own callers. */
	maxRequests?: number;
	/** Maximum size of the requests of other daemons in progress, in bytes. */
	maxBytes?: number;
	/** Maximum number of connections. Unlimited by default. */
	maxConnections?: number;
	/** Called with the IP address of a connection that was closed because there were too many. */
	onConnectionClosed?: (peer: string | undefined) => void;
	/** Memory for the requests of other daemons, shared with those of callers. Unlimited by default. */
	memory?: BodyMemory;
	/** Counts responses that other daemons have not read yet. Unlimited by default. */
	unread?: UnreadOutput;
}>;

/** A daemon sends a whole request at once, so a longer transfer has stalled. */
const requestTimeoutMs = 5000;
const checkConnectionsMs = 1000;
/** No request of a daemon is larger: the largest body of today's configurations is half of it. */
const maxDiscardedBytes = 64 * 1024 * 1024;

/** Takes requests of daemons that have no links to upstreams. */
export class RelayServer {
	private readonly server: Server;
	private requests = 0;
	private bytes = 0;
	private isDraining = false;
	private readonly memory: BodyMemory;
	private readonly unread: UnreadOutput;

	constructor(private readonly options: RelayServerOptions) {
		this.memory = options.memory ?? unlimitedBodies(options.clock);
		this.unread = options.unread ?? new UnreadOutput();
		this.server = createServer({
			requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs, connectionsCheckingInterval: checkConnectionsMs, keepAliveTimeout: 1, noDelay: true,
		}, (req, res) => {
			void this.serve(req, res);
		});
		const {maxConnections = Number.POSITIVE_INFINITY, onConnectionClosed, clock} = options;
		limitConnections(this.server, {
			maxConnections,
			now: () => clock.now(),
			onClosed(peer) {
				onConnectionClosed?.(peer);
			},
		});
	}

	async listen(address: ListenerAddress, onError: (err: Error) => void): Promise<void> {
		await listenOn(this.server, {...address, backlog: 512}, onError);
	}

	/** The port on which the server listens. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Takes no further requests. Those in progress go on. */
	startDraining(): void {
		this.isDraining = true;
	}

	get isIdle(): boolean {
		return this.requests === 0;
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		res.setHeader('Connection', 'close');
		if (req.method !== 'POST' || req.url !== relayPath || !this.hasKey(req)) {
			this.options.onRejected(req.socket.remoteAddress ?? 'unknown');
			res.writeHead(403, {'Content-Length': 0});
			res.end();
			return;
		}

		const size = Number(req.headers['content-length'] ?? Number.POSITIVE_INFINITY);
		let isClosed = false;
		const refusal = this.reasonToDecline(size);
		const buffer = refusal === undefined
			? this.memory.open({
				declaredBytes: size,
				onClosed() {
					isClosed = true;
					req.socket.destroy();
				},
			})
			: undefined;
		if (buffer === undefined) {
			await discardBody(req);
			finish(res, {kind: 'unavailable', reason: refusal ?? 'the daemon has no memory for the request'});
			return;
		}

		this.requests += 1;
		this.bytes += size;
		res.once('close', () => {
			this.requests -= 1;
			this.bytes -= size;
		});
		const body = await readBody(req, buffer);
		// Lets a close of the connection be noticed that arrived together with the request, after this process was suspended.
		await nextTurn();
		if (body === undefined || isClosed || res.destroyed) {
			buffer.release();
			return;
		}

		this.forward(res, body, () => {
			buffer.release();
		});
	}

	private hasKey(req: IncomingMessage): boolean {
		const expected = Buffer.from(`Bearer ${this.options.key}`);
		const received = Buffer.from(req.headers.authorization ?? '');
		return received.length === expected.length && timingSafeEqual(received, expected);
	}

	private reasonToDecline(size: number): string | undefined {
		const {isPartitioned, maxRequests = 64, maxBytes = 16 * 1024 * 1024} = this.options;
		if (isPartitioned()) {
			return 'the daemon reaches no upstream itself';
		}

		if (this.isDraining) {
			return 'the daemon is shutting down';
		}

		return this.requests >= maxRequests || this.bytes + size > maxBytes ? 'the daemon has too many requests of others' : undefined;
	}

	/** `release` is called when nothing reads the body any more. */
	private forward(res: ServerResponse, body: Uint8Array, release: () => void): void {
		const relayed = decodeRelayRequest(body);
		res.once('close', () => {
			// Listeners that were added later cancel the request first.
			setImmediate(release);
		});
		if (relayed === undefined) {
			finish(res, {kind: 'unavailable', reason: 'the request can\'t be decoded'});
			return;
		}

		const {forwarder, toRequest, clock, onAccepted} = this.options;
		const req = toRequest(relayed, clock.now());
		if ('unavailable' in req) {
			finish(res, {kind: 'unavailable', reason: req.unavailable});
			return;
		}

		onAccepted();
		const cancel = forwarder.forward(req, new RelayResponseReceiver(res, this.unread));
		res.once('close', () => {
			if (!res.writableFinished) {
				cancel();
			}
		});
	}
}

/** Reads a body to its end. Closing a connection with unread bytes would reset it, and the reply could be lost. The connection is closed beyond `maxDiscardedBytes`. */
async function discardBody(req: IncomingMessage): Promise<void> {
	let bytes = 0;
	req.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maxDiscardedBytes) {
			req.destroy();
		}
	});
	try {
		await finished(req);
	} catch {
		// The connection was lost, so nobody waits for the reply.
	}
}

/** Reads a body whose size was checked. Returns undefined if the other daemon has disconnected. */
async function readBody(req: IncomingMessage, buffer: BodyBuffer): Promise<Uint8Array | undefined> {
	req.on('data', (chunk: Uint8Array) => {
		if (!req.destroyed && !buffer.append(chunk)) {
			req.destroy();
		}
	});
	try {
		await finished(req);
	} catch {
		// The connection was lost.
		return undefined;
	}

	return buffer.finish();
}

function finish(res: ServerResponse, reply: RelayReply): void {
	const bytes = encodeRelayReply(reply);
	res.writeHead(200, {'Content-Length': bytes.length});
	res.end(bytes);
}

/** Writes the response of an upstream to another daemon. */
class RelayResponseReceiver extends ResponseReceiver implements UnreadResponse {
	constructor(private readonly res: ServerResponse, private readonly unread: UnreadOutput) {
		super();
		res.on('drain', () => {
			unread.update(this);
		});
		res.once('close', () => {
			unread.remove(this);
		});
	}

	get writableLength(): number {
		return this.res.writableLength;
	}

	get peer(): string | undefined {
		return this.res.socket?.remoteAddress;
	}

	breakOff(): void {
		this.res.destroy();
	}

	override head(status: number, headers: readonly string[], from?: UpstreamStart): void {
		this.res.writeHead(200);
		this.res.write(encodeRelayReply({
			kind: 'response', status, headers: [...headers], upstream: from,
		}));
	}

	override data(chunk: Uint8Array): void {
		if (!this.res.write(chunk)) {
			this.unread.update(this);
		}
	}

	override end(): void {
		this.res.end();
	}

	override truncate(): void {
		// Destroying the connection keeps the other daemon from taking a truncated response for a complete one.
		this.res.destroy();
	}

	override fail(failure: ForwardFailure): void {
		switch (failure.kind) {
			case 'refused': {
				finish(this.res, {kind: 'refused', retryAfterMs: failure.retryAfterMs, reason: failure.reason});
				break;
			}

			case 'failed': {
				finish(this.res, {kind: 'failed', reason: failure.reason});
				break;
			}

			case 'timed-out': {
				finish(this.res, {kind: 'failed', reason: 'no response in time'});
				break;
			}
		}
	}
}
