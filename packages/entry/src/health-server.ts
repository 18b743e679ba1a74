import {createServer, type Server} from 'node:http';
import {listenOn, type ListenerAddress} from '@cicadapost/listeners';

export type HealthServerOptions = Readonly<{
	readyPath: string;
	isReady: () => boolean;
}>;

/** Serves the platform's readiness probe. */
export class HealthServer {
	private readonly server: Server;

	constructor({readyPath, isReady}: HealthServerOptions) {
		this.server = createServer((req, res) => {
			const status = req.url === readyPath ? (isReady() ? 200 : 503) : 404;
			res.writeHead(status, {'Content-Length': 0});
			res.end();
		});
	}

	async listen(address: ListenerAddress, onError: (err: Error) => void): Promise<void> {
		await listenOn(this.server, address, onError);
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
