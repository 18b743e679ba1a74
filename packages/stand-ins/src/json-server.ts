import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** Base class of the stand-ins: an HTTP server on the loopback interface. */
export abstract class JsonServer {
	protected readonly server: Server;

	constructor(private readonly port: number) {
		this.server = createServer((req, res) => {
			void this.handleRequest(req, res);
		});
	}

	/** Resolves with the port. */
	async listen(): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.port, '127.0.0.1', resolve);
		});
		return (this.server.address() as AddressInfo).port;
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	protected abstract handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void>;
}

export function sendJson(res: ServerResponse, status: number, body: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}

export async function readJson(req: IncomingMessage): Promise<Record<string, unknown>> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}
