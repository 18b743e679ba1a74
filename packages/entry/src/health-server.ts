import {createServer, type Server} from 'node:http';

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

	async listen(address: Readonly<{host: string; port: number}>): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(address, resolve);
		});
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
