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
	/** A connection without a frame for this long is closed and dialled again, in milliseconds. */
	idleTimeoutMs?: number;
}>;

type PeerConnectionsEvents = {
	message: [from: DaemonId, message: PeerMessage];
	connected: [daemon: DaemonId];
	/** No connection to `to` was open, and none opened in time. */
	unsent: [to: DaemonId, message: PeerMessage];
	/** A frame or a handshake that was not accepted. */
	rejected: [detail: string];
};

/** A connection that this daemon keeps open, by dialling unless the peer has dialled. */
type DialTarget = {
	readonly address: string;
	/** Absent for a seed until its handshake has told it. */
	daemon: DaemonId | undefined;
	timer: NodeJS.Timeout | undefined;
	socket: WebSocket | undefined;
};

type Connection = Readonly<{socket: WebSocket; dialledBy: DaemonId}>;
type PendingMessage = Readonly<{message: PeerMessage; timer: NodeJS.Timeout}>;

const defaultIdleTimeoutMs = 4000;
const redialDelayMs = 500;
const handshakeTimeoutMs = 2000;
/** A message waits this long for a connection that is being opened: several round trips between regions. */
const pendingTimeoutMs = 1000;
const maxPendingMessages = 1024;
const closeTimeoutMs = 1000;
const maxFrameBytes = 8 * 1024 * 1024;

/** Connections to other daemons. Owns their sockets. */
export class PeerConnections extends EventEmitter<PeerConnectionsEvents> {
	private readonly connections = new Map<DaemonId, Connection>();
	/** By daemon, or by address for a seed. */
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

	/** Starts to listen and returns the port. */
	async listen(): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.options.port ?? 0, this.options.host ?? '127.0.0.1', resolve);
		});
		return (this.server.address() as AddressInfo).port;
	}

	/** Keeps a connection to `host:port` until `disconnect`. `daemon` is unknown for a seed. */
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
		// The daemon with the lower id dials first, so that two that want each other seldom open two connections.
		if (daemon === undefined || this.options.self < daemon || this.isOpen(daemon)) {
			this.dial(target);
		} else {
			this.scheduleDial(target);
		}
	}

	/** Gives up the connection to `daemon`. If the peer wants it as well, it dials. */
	disconnect(daemon: DaemonId): void {
		this.removeDialTarget(daemon);
		const connection = this.connections.get(daemon);
		if (connection?.dialledBy === this.options.self) {
			connection.socket.close();
		}
	}

	/** Sends at once, or as soon as a connection that is being opened is there. Otherwise `unsent` is emitted. */
	send(to: DaemonId, message: PeerMessage): void {
		const connection = this.connections.get(to);
		if (connection?.socket.readyState === WebSocket.OPEN) {
			connection.socket.send(encodeMessage(message));
			return;
		}

		const pending = this.pendingMessages.get(to) ?? [];
		// A heartbeat that waited would make the sender look alive later than it was.
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

	/** Closes all connections after what has been sent has left. */
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
			return `peer speaks protocol ${String(req.headers['x-cicadapost-protocol'])}, this daemon ${protocolVersion}; run the same release on both`;
		}

		if (req.headers.authorization !== `Bearer ${this.options.secret}`) {
			return 'peer presented another peerSecret; use the same one in the settings of each daemon';
		}

		const daemon = req.headers['x-cicadapost-daemon'];
		if (daemon === undefined || daemon === this.options.self) {
			return `peer presented the id "${String(daemon)}"; give each daemon an id of its own`;
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
			// The close event follows and dials again.
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
			this.emit('rejected', `${target.address} answered as ${String(daemon)}, not as ${String(target.daemon)}; the VM list may lag`);
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

	/** Uses a new connection. Of two that were dialled at once, both ends keep the one of the lower id. */
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
			// The close event follows.
		});
		socket.on('close', () => {
			clearTimeout(timer);
			if (this.connections.get(daemon)?.socket === socket) {
				this.connections.delete(daemon);
			}
		});
	}

	/** A connection that went silent is cut; heartbeats keep a good one from ever being silent for so long. */
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
			this.emit('rejected', `frame from ${from} is not MessagePack`);
			return;
		}

		if (message === undefined) {
			this.emit('rejected', `frame from ${from} is not a known message`);
			return;
		}

		this.emit('message', from, message);
	}
}

/** Closes after the frames that wait have been written, or after a time limit. */
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
