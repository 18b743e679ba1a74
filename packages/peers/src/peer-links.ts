import {EventEmitter} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	protocolVersion, type DaemonId, type PeerMessage,
} from '@cicadapost/types';
import {WebSocket, WebSocketServer} from 'ws';
import {decodeMessage, encodeMessage} from './encode-message.js';

export type PeerLinksOptions = Readonly<{
	self: DaemonId;
	secret: string;
	host?: string;
	port?: number;
	/** A connection without a frame for this long is closed and dialled again, in milliseconds. */
	silenceMs?: number;
}>;

type Events = {
	message: [from: DaemonId, message: PeerMessage];
	connected: [daemon: DaemonId];
	/** No connection to `to` was open, and none opened in time. */
	unsent: [to: DaemonId, message: PeerMessage];
	/** A frame or a handshake that was not accepted. */
	rejected: [detail: string];
};

/** A connection that this daemon keeps open, by dialling unless the peer has dialled. */
type Wanted = {
	readonly address: string;
	/** Absent for a seed until its handshake has told it. */
	daemon: DaemonId | undefined;
	timer: NodeJS.Timeout | undefined;
	dialling: WebSocket | undefined;
};

type Link = Readonly<{socket: WebSocket; dialledBy: DaemonId}>;
type Held = Readonly<{message: PeerMessage; timer: NodeJS.Timeout}>;

const defaultSilenceMs = 4000;
const redialMs = 500;
const handshakeTimeoutMs = 2000;
/** A message waits this long for a connection that is being opened: several round trips between regions. */
const holdMs = 1000;
const maxHeld = 1024;
const closeTimeoutMs = 1000;
const maxFrameBytes = 8 * 1024 * 1024;

/** Connections to other daemons. Owns their sockets. */
export class PeerLinks extends EventEmitter<Events> {
	private readonly links = new Map<DaemonId, Link>();
	/** By daemon, or by address for a seed. */
	private readonly wanted = new Map<string, Wanted>();
	private readonly held = new Map<DaemonId, Held[]>();
	private readonly server: Server;
	private readonly sockets: WebSocketServer;
	private isClosed = false;

	constructor(private readonly options: PeerLinksOptions) {
		super();
		this.server = createServer((req, res) => {
			res.writeHead(426).end();
		});
		this.sockets = new WebSocketServer({noServer: true, maxPayload: maxFrameBytes, perMessageDeflate: false});
		this.sockets.on('headers', headers => {
			headers.push(`x-cicadapost-daemon: ${options.self}`);
		});
		this.server.on('upgrade', (req: IncomingMessage, socket, head) => {
			const refusal = this.checkHandshake(req);
			if (refusal !== undefined) {
				this.emit('rejected', refusal);
				socket.end('HTTP/1.1 403 Forbidden\r\n\r\n');
				return;
			}

			this.sockets.handleUpgrade(req, socket, head, link => {
				const daemon = String(req.headers['x-cicadapost-daemon']) as DaemonId;
				this.adopt(daemon, {socket: link, dialledBy: daemon});
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
		const known = this.wanted.get(key);
		if (known?.address === address) {
			return;
		}

		this.forget(key);
		const wanted: Wanted = {
			address, daemon, timer: undefined, dialling: undefined,
		};
		this.wanted.set(key, wanted);
		// The daemon with the lower id dials first, so that two that want each other seldom open two connections.
		if (daemon === undefined || this.options.self < daemon || this.isOpen(daemon)) {
			this.dial(wanted);
		} else {
			this.dialLater(wanted);
		}
	}

	/** Gives up the connection to `daemon`. If the peer wants it as well, it dials. */
	disconnect(daemon: DaemonId): void {
		this.forget(daemon);
		const link = this.links.get(daemon);
		if (link?.dialledBy === this.options.self) {
			link.socket.close();
		}
	}

	/** Sends at once, or as soon as a connection that is being opened is there. Otherwise `unsent` is emitted. */
	send(to: DaemonId, message: PeerMessage): void {
		const link = this.links.get(to);
		if (link?.socket.readyState === WebSocket.OPEN) {
			link.socket.send(encodeMessage(message));
			return;
		}

		const held = this.held.get(to) ?? [];
		// A heartbeat that waited would make the sender look alive later than it was.
		if (message.kind === 'heartbeat') {
			return;
		}

		if (!this.wanted.has(to) || held.length >= maxHeld) {
			this.emit('unsent', to, message);
			return;
		}

		const timer = setTimeout(() => {
			this.held.set(to, (this.held.get(to) ?? []).filter(other => other.message !== message));
			this.emit('unsent', to, message);
		}, holdMs);
		this.held.set(to, [...held, {message, timer}]);
	}

	/** Closes all connections after what has been sent has left. */
	async close(): Promise<void> {
		this.isClosed = true;
		for (const key of this.wanted.keys()) {
			this.forget(key);
		}

		for (const {timer} of [...this.held.values()].flat()) {
			clearTimeout(timer);
		}

		this.server.close();
		await Promise.all([...this.links.values()].map(async ({socket}) => closeSocket(socket)));
		this.sockets.close();
		this.server.closeAllConnections();
	}

	private isOpen(daemon: DaemonId): boolean {
		return this.links.get(daemon)?.socket.readyState === WebSocket.OPEN;
	}

	private forget(key: string): void {
		const wanted = this.wanted.get(key);
		clearTimeout(wanted?.timer);
		wanted?.dialling?.terminate();
		this.wanted.delete(key);
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

	private isWanted(wanted: Wanted): boolean {
		return !this.isClosed && this.wanted.get(wanted.daemon ?? wanted.address) === wanted;
	}

	private dialLater(wanted: Wanted): void {
		wanted.timer = setTimeout(() => {
			this.dial(wanted);
		}, redialMs);
	}

	private dial(wanted: Wanted): void {
		if (!this.isWanted(wanted)) {
			return;
		}

		if (wanted.daemon !== undefined && this.isOpen(wanted.daemon)) {
			this.dialLater(wanted);
			return;
		}

		const link = new WebSocket(`ws://${wanted.address}/peer`, {
			headers: {
				'x-cicadapost-protocol': String(protocolVersion),
				'x-cicadapost-daemon': this.options.self,
				authorization: `Bearer ${this.options.secret}`,
			},
			handshakeTimeout: handshakeTimeoutMs,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		wanted.dialling = link;
		let daemon: DaemonId | undefined;
		link.on('upgrade', res => {
			daemon = String(res.headers['x-cicadapost-daemon']) as DaemonId;
		});
		link.on('open', () => {
			wanted.dialling = undefined;
			this.opened(wanted, daemon, link);
		});
		link.on('error', () => {
			// The close event follows and dials again.
		});
		link.on('close', () => {
			wanted.dialling = undefined;
			if (this.isWanted(wanted)) {
				this.dialLater(wanted);
			}
		});
	}

	private opened(wanted: Wanted, daemon: DaemonId | undefined, link: WebSocket): void {
		if (daemon === undefined || (wanted.daemon !== undefined && daemon !== wanted.daemon)) {
			this.emit('rejected', `${wanted.address} answered as ${String(daemon)}, not as ${String(wanted.daemon)}; the VM list may lag`);
			link.terminate();
			return;
		}

		if (wanted.daemon === undefined) {
			this.wanted.delete(wanted.address);
			wanted.daemon = daemon;
			if (!this.wanted.has(daemon)) {
				this.wanted.set(daemon, wanted);
			}
		}

		this.adopt(daemon, {socket: link, dialledBy: this.options.self});
	}

	/** Uses a new connection. Of two that were dialled at once, both ends keep the one of the lower id. */
	private adopt(daemon: DaemonId, link: Link): void {
		const old = this.links.get(daemon);
		const preferred = this.options.self < daemon ? this.options.self : daemon;
		const keepsOld = old?.socket.readyState === WebSocket.OPEN && old.dialledBy === preferred && link.dialledBy !== preferred;
		this.listenTo(daemon, link.socket);
		if (keepsOld) {
			link.socket.close();
			return;
		}

		this.links.set(daemon, link);
		old?.socket.close();
		this.emit('connected', daemon);
		for (const {message, timer} of this.held.get(daemon) ?? []) {
			clearTimeout(timer);
			this.send(daemon, message);
		}

		this.held.delete(daemon);
	}

	private listenTo(daemon: DaemonId, socket: WebSocket): void {
		let timer = this.watch(socket);
		socket.on('message', (data: Uint8Array) => {
			clearTimeout(timer);
			timer = this.watch(socket);
			this.receive(daemon, data);
		});
		socket.on('error', () => {
			// The close event follows.
		});
		socket.on('close', () => {
			clearTimeout(timer);
			if (this.links.get(daemon)?.socket === socket) {
				this.links.delete(daemon);
			}
		});
	}

	/** A connection that went silent is cut; heartbeats keep a good one from ever being silent for so long. */
	private watch(link: WebSocket): NodeJS.Timeout {
		return setTimeout(() => {
			link.terminate();
		}, this.options.silenceMs ?? defaultSilenceMs);
	}

	private receive(from: DaemonId, data: Uint8Array): void {
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
