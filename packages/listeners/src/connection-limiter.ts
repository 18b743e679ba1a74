import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What is known about an open connection. */
export type ConnectionState = Readonly<{
	/** Number of requests that are being received or answered. A request begins with the end of its head. */
	requests: number;
	/** When the connection was opened or its last request ended, in milliseconds. */
	idleSince: number;
}>;

/** Chooses the connection to close when there are too many: the one that has been without a request for longest. Undefined if all have one. */
export function chooseConnectionToClose<Key>(connections: Iterable<readonly [Key, ConnectionState]>): Key | undefined {
	let chosen: Readonly<{key: Key; idleSince: number}> | undefined;
	for (const [key, {requests, idleSince}] of connections) {
		if (requests === 0 && idleSince < (chosen?.idleSince ?? Number.POSITIVE_INFINITY)) {
			chosen = {key, idleSince};
		}
	}

	return chosen?.key;
}

export type ConnectionLimiterOptions = Readonly<{
	maxConnections: number;
	now: () => number;
	/** Called for each connection that is closed. `peer` is its IP address. */
	onClosed: (peer: string | undefined) => void;
}>;

/** Keeps the connections of a server below a limit. Those without a request are closed first; if all have one, the new one is closed. */
export function limitConnections(server: Server, {maxConnections, now, onClosed}: ConnectionLimiterOptions): void {
	const connections = new Map<Socket, ConnectionState>();
	const countRequest = (socket: Socket, difference: 1 | -1) => {
		const state = connections.get(socket);
		if (state !== undefined) {
			connections.set(socket, {requests: state.requests + difference, idleSince: now()});
		}
	};

	server.on('connection', (socket: Socket) => {
		connections.set(socket, {requests: 0, idleSince: now()});
		socket.once('close', () => {
			connections.delete(socket);
		});
		if (connections.size <= maxConnections) {
			return;
		}

		const closed = chooseConnectionToClose([...connections].filter(([candidate]) => candidate !== socket)) ?? socket;
		onClosed(closed.remoteAddress);
		connections.delete(closed);
		closed.destroy();
	});
	server.on('request', (req: IncomingMessage, res: ServerResponse) => {
		const {socket} = req;
		countRequest(socket, 1);
		res.once('close', () => {
			countRequest(socket, -1);
		});
	});
}
