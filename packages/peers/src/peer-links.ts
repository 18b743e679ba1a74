import {EventEmitter} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	protocolVersion, type DaemonId, type PeerMessage,
} from '@cicadapost/types';
import {Packr} from 'msgpackr';
import {WebSocket, WebSocketServer} from 'ws';
import {parsePeerMessage} from './parse-message.js';

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
	/** A frame or a handshake that was not accepted. */
	rejected: [detail: string];
};

const defaultSilenceMs = 4000;
const redialMs = 500;
const maxFrameBytes = 8 * 1024 * 1024;

/** Connections to other daemons. Owns their sockets. */
export class PeerLinks extends EventEmitter<Events> {
	private readonly packr = new Packr({useRecords: false});
	private readonly links = new Map<DaemonId, WebSocket>();
	private readonly dialled = new Map<string, NodeJS.Timeout | undefined>();
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
				this.adopt(String(req.headers['x-cicadapost-daemon']) as DaemonId, link);
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

	/** Keeps a connection to `host:port` until `disconnect`. */
	connect(address: string): void {
		if (!this.dialled.has(address)) {
			this.dialled.set(address, undefined);
			this.dial(address);
		}
	}

	disconnect(address: string): void {
		clearTimeout(this.dialled.get(address));
		this.dialled.delete(address);
	}

	/** Sends if there is an open connection. False if there is none: then no byte of the message has left. */
	send(to: DaemonId, message: PeerMessage): boolean {
		const link = this.links.get(to);
		if (link?.readyState !== WebSocket.OPEN) {
			return false;
		}

		link.send(this.packr.pack(message));
		return true;
	}

	close(): void {
		this.isClosed = true;
		for (const timer of this.dialled.values()) {
			clearTimeout(timer);
		}

		for (const link of this.links.values()) {
			link.terminate();
		}

		this.sockets.close();
		this.server.close();
		this.server.closeAllConnections();
	}

	private checkHandshake(req: IncomingMessage): string | undefined {
		if (req.headers['x-cicadapost-protocol'] !== String(protocolVersion)) {
			return `peer speaks protocol ${String(req.headers['x-cicadapost-protocol'])}, this daemon ${protocolVersion}; run the same release on both`;
		}

		if (req.headers.authorization !== `Bearer ${this.options.secret}`) {
			return 'peer presented another peerSecret; use the same one in the settings of each daemon';
		}

		return undefined;
	}

	private dial(address: string): void {
		if (this.isClosed || !this.dialled.has(address)) {
			return;
		}

		const link = new WebSocket(`ws://${address}/peer`, {
			headers: {
				'x-cicadapost-protocol': String(protocolVersion),
				'x-cicadapost-daemon': this.options.self,
				authorization: `Bearer ${this.options.secret}`,
			},
			handshakeTimeout: 2000,
			maxPayload: maxFrameBytes,
			perMessageDeflate: false,
		});
		let daemon: DaemonId | undefined;
		link.on('upgrade', res => {
			daemon = String(res.headers['x-cicadapost-daemon']) as DaemonId;
		});
		link.on('open', () => {
			if (daemon !== undefined) {
				this.adopt(daemon, link);
			}
		});
		link.on('error', () => {
			// The close event follows and dials again.
		});
		link.on('close', () => {
			if (this.dialled.has(address)) {
				this.dialled.set(address, setTimeout(() => {
					this.dial(address);
				}, redialMs));
			}
		});
	}

	private adopt(daemon: DaemonId, link: WebSocket): void {
		this.links.set(daemon, link);
		let timer = this.watch(link);
		link.on('message', (data: Uint8Array) => {
			clearTimeout(timer);
			timer = this.watch(link);
			this.receive(daemon, data);
		});
		link.on('error', () => {
			// The close event follows.
		});
		link.on('close', () => {
			clearTimeout(timer);
			if (this.links.get(daemon) === link) {
				this.links.delete(daemon);
			}
		});
		this.emit('connected', daemon);
	}

	/** A connection that went silent is cut; heartbeats keep a good one from ever being silent for so long. */
	private watch(link: WebSocket): NodeJS.Timeout {
		return setTimeout(() => {
			link.terminate();
		}, this.options.silenceMs ?? defaultSilenceMs);
	}

	private receive(from: DaemonId, data: Uint8Array): void {
		let frame: unknown;
		try {
			frame = this.packr.unpack(data);
		} catch {
			this.emit('rejected', `frame from ${from} is not MessagePack`);
			return;
		}

		const message = parsePeerMessage(frame);
		if (message === undefined) {
			this.emit('rejected', `frame from ${from} is not a known message`);
			return;
		}

		this.emit('message', from, message);
	}
}
