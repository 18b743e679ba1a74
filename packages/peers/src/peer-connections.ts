import {EventEmitter} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	protocolVersion, type DaemonId, type PeerMessage,
} from '@cicadapost/types';
import {WebSocket, WebSocketServer} from 'ws';
import {decodeMessage, encodeMessage} from './encode-message.js';

export type PeerConnectionsOptions = Readonly<{
	self: DaemonId;
	secret: string;
	host?: string;
	port?: number;
	/** Time without a frame, in milliseconds, after which a connection is terminated. A dialled connection is then dialled again. */
	idleTimeoutMs?: number;
}>;

type PeerConnectionsEvents = {
	message: [from: DaemonId, message: PeerMessage];
	connected: [daemon: DaemonId];
	/** No connection to `to` was open, and none was established before the timeout. */
	unsent: [to: DaemonId, message: PeerMessage];
	/** A frame or handshake was rejected. */
	rejected: [detail: string];
};

/** A peer that this daemon stays connected to. It dials the peer unless a connection from the peer is already open. */
type DialTarget = {
	readonly address: string;
	/** Unknown for a seed until the handshake. */
	daemon: DaemonId | undefined;
	timer: NodeJS.Timeout | undefined;
	socket: WebSocket | undefined;
};

type Connection = Readonly<{socket: WebSocket; dialledBy: DaemonId}>;
type PendingMessage = Readonly<{message: PeerMessage; timer: NodeJS.Timeout}>;

const defaultIdleTimeoutMs = 4000;
const redialDelayMs = 500;
const handshakeTimeoutMs = 2000;
/** How long a message waits for a connection to open: several round trips between regions. */
const pendingTimeoutMs = 1000;
const maxPendingMessages = 1024;
const closeTimeoutMs = 1000;
const maxFrameBytes = 8 * 1024 * 1024;

/** Manages the WebSocket connections to other daemons and owns their sockets. */
export class PeerConnections extends EventEmitter<PeerConnectionsEvents> {
	private readonly connections = new Map<DaemonId, Connection>();
	/** Keyed by daemon id, or by address for a seed whose id is unknown. */
	private readonly dialTargets = new Map<string, DialTarget>();
	private readonly pendingMessages = new Map<DaemonId, PendingMessage[]>();
	private readonly server: Server;
	private readonly webSocketServer: WebSocketServer;
	private isClosed = false;

	constructor(private readonly options: PeerConnectionsOptions) {
		super();
		this.server = createServer((req, res) => {
			res.writeHead(426).end();
		});
		this.webSocketServer = new WebSocketServer({noServer: true, maxPayload: maxFrameBytes, perMessageDeflate: false});
		this.webSocketServer.on('headers', headers => {
			headers.push(`x-cicadapost-daemon: ${options.self}`);
		});
		this.server.on('upgrade', (req: IncomingMessage, socket, head) => {
			const rejection = this.checkHandshake(req);
			if (rejection !== undefined) {
				this.emit('rejected', rejection);
				socket.end('HTTP/1.1 403 Forbidden\r\n\r\n');
				return;
			}

			this.webSocketServer.handleUpgrade(req, socket, head, webSocket => {
				const daemon = String(req.headers['x-cicadapost-daemon']) as DaemonId;
				this.registerConnection(daemon, {socket: webSocket, dialledBy: daemon});
			});
		});
	}

	/** Starts listening for peers and returns the port. */
	async listen(): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.options.port ?? 0, this.options.host ?? '127.0.0.1', resolve);
		});
		return (this.server.address() as AddressInfo).port;
	}

	/** Keeps a connection to `address` (`host:port`) open until `disconnect`. Omit `daemon` for a seed, whose id is unknown. */
	connect(address: string, daemon?: DaemonId): void {
		const key = daemon ?? address;
		const existing = this.dialTargets.get(key);
		if (existing?.address === address) {
			return;
		}

		this.removeDialTarget(key);
		const target: DialTarget = {
			address, daemon, timer: undefined, socket: undefined,
		};
		this.dialTargets.set(key, target);
		// The daemon with the lower id dials first, so that two daemons that connect to each other rarely open two connections.
		if (daemon === undefined || this.options.self < daemon || this.isOpen(daemon)) {
			this.dial(target);
		} else {
			this.scheduleDial(target);
		}
	}

	/** Stops dialling `daemon` and closes the connection if this daemon dialled it. A peer that still needs a connection dials its own. */
	disconnect(daemon: DaemonId): void {
		this.removeDialTarget(daemon);
		const connection = this.connections.get(daemon);
		if (connection?.dialledBy === this.options.self) {
			connection.socket.close();
		}
	}

	/** Sends the message immediately, or once a pending connection opens. Emits `unsent` if neither happens; heartbeats are dropped without it. */
	send(to: DaemonId, message: PeerMessage): void {
		const connection = this.connections.get(to);
		if (connection?.socket.readyState === WebSocket.OPEN) {
			connection.socket.send(encodeMessage(message));
			return;
		}

		const pending = this.pendingMessages.get(to) ?? [];
		// A delayed heartbeat would make the sender look alive at a later time than it was.
		if (message.kind === 'heartbeat') {
			return;
		}

		if (!this.dialTargets.has(to) || pending.length >= maxPendingMessages) {
			this.emit('unsent', to, message);
			return;
		}

		const timer = setTimeout(() => {
			this.pendingMessages.set(to, (this.pendingMessages.get(to) ?? []).filter(other => other.message !== message));
			this.emit('unsent', to, message);
		}, pendingTimeoutMs);
		this.pendingMessages.set(to, [...pending, {message, timer}]);
	}

	/** Closes all connections after buffered frames have been written, or after a timeout. Messages that still wait for a connection are dropped. */
	async close(): Promise<void> {
		this.isClosed = true;
		for (const key of this.dialTargets.keys()) {
			this.removeDialTarget(key);
		}

		for (const {timer} of [...this.pendingMessages.values()].flat()) {
			clearTimeout(timer);
		}

		this.server.close();
		await Promise.all([...this.connections.values()].map(async ({socket}) => closeSocket(socket)));
		this.webSocketServer.close();
		this.server.closeAllConnections();
	}

	private isOpen(daemon: DaemonId): boolean {
		return this.connections.get(daemon)?.socket.readyState === WebSocket.OPEN;
	}

	private removeDialTarget(key: string): void {
		const target = this.dialTargets.get(key);
		clearTimeout(target?.timer);
		target?.socket?.terminate();
		this.dialTargets.delete(key);
	}

	private checkHandshake(req: IncomingMessage): string | undefined {
		if (req.headers['x-cicadapost-protocol'] !== String(protocolVersion)) {
			return `peer uses protocol version ${String(req.headers['x-cicadapost-protocol'])}, this daemon uses ${protocolVersion}; run the same release on both`;
		}

		if (req.headers.authorization !== `Bearer ${this.options.secret}`) {
			return 'peer sent a different peerSecret; use the same one in the settings of each daemon';
		}

		const daemon = req.headers['x-cicadapost-daemon'];
		if (daemon === undefined || daemon === this.options.self) {
			return `peer sent the id "${String(daemon)}", which is missing or in use by this daemon; give each daemon a unique id`;
		}

		return undefined;
	}

	private isCurrentTarget(target: DialTarget): boolean {
		return !this.isClosed && this.dialTargets.get(target.daemon ?? target.address) === target;
	}

	private scheduleDial(target: DialTarget): void {
		target.timer = setTimeout(() => {
			this.dial(target);
		}, redialDelayMs);
	}

	private dial(target: DialTarget): void {
		if (!this.isCurrentTarget(target)) {
			return;
		}

		if (target.daemon !== undefined && this.isOpen(target.daemon)) {
			this.scheduleDial(target);
			return;
		}

		const socket = new WebSocket(`ws://${target.address}/peer`, {
			headers: {
				'x-cicadapost-protocol': String(protocolVersion),
				'x-cicadapost-daemon': this.options.self,
				authorization: `Bearer ${this.options.secret}`,
			},
			handshakeTimeout: handshakeTimeoutMs,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		target.socket = socket;
		let daemon: DaemonId | undefined;
		socket.on('upgrade', res => {
			daemon = String(res.headers['x-cicadapost-daemon']) as DaemonId;
		});
		socket.on('open', () => {
			target.socket = undefined;
			this.handleOpen(target, daemon, socket);
		});
		socket.on('error', () => {
			// A close event follows, whose handler dials again.
		});
		socket.on('close', () => {
			target.socket = undefined;
			if (this.isCurrentTarget(target)) {
				this.scheduleDial(target);
			}
		});
	}

	private handleOpen(target: DialTarget, daemon: DaemonId | undefined, socket: WebSocket): void {
		if (daemon === undefined || (target.daemon !== undefined && daemon !== target.daemon)) {
			this.emit('rejected', `${target.address} identified itself as ${String(daemon)} instead of ${String(target.daemon)}; the VM list may be out of date`);
			socket.terminate();
			return;
		}

		if (target.daemon === undefined) {
			this.dialTargets.delete(target.address);
			target.daemon = daemon;
			if (!this.dialTargets.has(daemon)) {
				this.dialTargets.set(daemon, target);
			}
		}

		this.registerConnection(daemon, {socket, dialledBy: this.options.self});
	}

	/** Registers a new connection in place of an existing one. If both daemons dialled at the same time, both keep the connection that the lower id dialled. */
	private registerConnection(daemon: DaemonId, connection: Connection): void {
		const existing = this.connections.get(daemon);
		const preferred = this.options.self < daemon ? this.options.self : daemon;
		const keepsExisting = existing?.socket.readyState === WebSocket.OPEN && existing.dialledBy === preferred && connection.dialledBy !== preferred;
		this.attachSocketHandlers(daemon, connection.socket);
		if (keepsExisting) {
			connection.socket.close();
			return;
		}

		this.connections.set(daemon, connection);
		existing?.socket.close();
		this.emit('connected', daemon);
		for (const {message, timer} of this.pendingMessages.get(daemon) ?? []) {
			clearTimeout(timer);
			this.send(daemon, message);
		}

		this.pendingMessages.delete(daemon);
	}

	private attachSocketHandlers(daemon: DaemonId, socket: WebSocket): void {
		let timer = this.startIdleTimer(socket);
		socket.on('message', (data: Uint8Array) => {
			clearTimeout(timer);
			timer = this.startIdleTimer(socket);
			this.handleFrame(daemon, data);
		});
		socket.on('error', () => {
			// A close event follows.
		});
		socket.on('close', () => {
			clearTimeout(timer);
			if (this.connections.get(daemon)?.socket === socket) {
				this.connections.delete(daemon);
			}
		});
	}

	/** Terminates an idle connection. Heartbeats keep a working connection from being idle for so long. */
	private startIdleTimer(socket: WebSocket): NodeJS.Timeout {
		return setTimeout(() => {
			socket.terminate();
		}, this.options.idleTimeoutMs ?? defaultIdleTimeoutMs);
	}

	private handleFrame(from: DaemonId, data: Uint8Array): void {
		let message: PeerMessage | undefined;
		try {
			message = decodeMessage(data);
		} catch {
			this.emit('rejected', `frame from ${from} is not valid MessagePack`);
			return;
		}

		if (message === undefined) {
			this.emit('rejected', `frame from ${from} is not a valid message`);
			return;
		}

		this.emit('message', from, message);
	}
}

/** Closes the socket after its buffered frames have been written. Terminates it after a timeout. */
async function closeSocket(socket: WebSocket): Promise<void> {
	if (socket.readyState === WebSocket.CLOSED) {
		return;
	}

	await new Promise<void>(resolve => {
		const timer = setTimeout(() => {
			socket.terminate();
			resolve();
		}, closeTimeoutMs);
		socket.once('close', () => {
			clearTimeout(timer);
			resolve();
		});
		socket.close();
	});
}
