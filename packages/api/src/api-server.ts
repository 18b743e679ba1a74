import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ProblemError} from '@cicadapost/errors';
import {documentSchema, parseSettings, type SiteConfiguration} from '@cicadapost/settings';
import {
	type Chunk, type Millis, type Request, type RequestId,
} from '@cicadapost/types';
import {App} from '@tinyhttp/app';
import {
	type AnswerWriter, JsonCompletionWriter, sendProblem, ServiceWriter, StreamCompletionWriter, type CompletionResult,
} from './answer-writer.js';
import {KeyRing, requireRole} from './authenticate.js';
import {parseCompletion} from './parse-completion.js';
import {parseService} from './parse-service.js';
import {readBody} from './read-body.js';

/** Answer to an operator's change of the configuration. */
export type ApplyAnswer =
	| Readonly<{kind: 'accepted'; version: number}>
	| Readonly<{kind: 'refused'; problem: ProblemError; currentVersion: number; currentDocument: string}>;

/** What the API asks the rest of the daemon to do. */
export type ApiHandlers = Readonly<{
	startRequest: (request: Request) => void;
	abandonRequest: (requestId: RequestId) => void;
	applyConfiguration: (expectedVersion: number, document: string) => Promise<ApplyAnswer>;
	currentConfiguration: () => Readonly<{version: number; document: string}>;
	status: () => unknown;
}>;

export type ApiServerOptions = Readonly<{
	host?: string;
	port?: number;
	bodyBytes?: number;
	operatorKeyHashes?: readonly string[];
	now: () => Millis;
	handlers: ApiHandlers;
}>;

const defaultBodyBytes = 4 * 1024 * 1024;

/** The HTTP interface for callers, trainers and operators. Owns its sockets and the open answers. */
export class ApiServer {
	private readonly keys: KeyRing;
	private readonly writers = new Map<RequestId, AnswerWriter>();
	private readonly server: Server;
	private readonly bodyBytes: number;
	private pools: SiteConfiguration['pools'] = {};

	constructor(private readonly options: ApiServerOptions) {
		this.keys = new KeyRing(options.operatorKeyHashes ?? []);
		this.bodyBytes = options.bodyBytes ?? defaultBodyBytes;
		const app = new App({
			noMatchHandler(_req, res) {
				sendProblem(res, new ProblemError({kind: 'not-found', detail: 'there is no such path', remedy: 'see docs/api.md'}));
			},
			onError(err, _req, res) {
				sendProblem(res, toProblem(err));
			},
		});
		app.post('/v1/completions', async (req, res) => this.complete(req, res));
		app.all('/services/*', async (req, res) => this.callService(req, res));
		app.get('/admin/configuration', (req, res) => {
			this.requireOperator(req);
			const {version, document} = this.options.handlers.currentConfiguration();
			sendJson(res, 200, {version, document: document === '' ? null : (JSON.parse(document) as unknown)});
		});
		app.put('/admin/configuration', async (req, res) => this.apply(req, res));
		app.get('/admin/status', (req, res) => {
			this.requireOperator(req);
			sendJson(res, 200, this.options.handlers.status());
		});
		app.get('/health', (_req, res) => {
			sendJson(res, 200, {status: 'ok'});
		});
		this.server = createServer((req, res) => {
			app.handler(req as never, res as never);
		});
	}

	async listen(): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.options.port ?? 0, this.options.host ?? '127.0.0.1', resolve);
		});
		return (this.server.address() as AddressInfo).port;
	}

	/** Stops accepting connections; open answers go on. */
	stopAccepting(): void {
		this.server.close();
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	useConfiguration(site: SiteConfiguration): void {
		this.keys.update(site.members);
		this.pools = site.pools;
	}

	deliver(requestId: RequestId, chunk: Chunk): void {
		this.writers.get(requestId)?.chunk(chunk);
	}

	finish(requestId: RequestId, result: CompletionResult): void {
		this.writers.get(requestId)?.complete(result);
		this.writers.delete(requestId);
	}

	fail(requestId: RequestId, problem: ProblemError): void {
		this.writers.get(requestId)?.fail(problem);
		this.writers.delete(requestId);
	}

	private requireOperator(req: IncomingMessage): void {
		requireRole(this.keys.authenticate(req.headers.authorization), 'operator');
	}

	private async complete(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const principal = this.keys.authenticate(req.headers.authorization);
		requireRole(principal, 'caller', 'trainer');
		const body = await readBody(req, this.bodyBytes);
		const requestId = randomUUID() as RequestId;
		const {request, stream, model} = parseCompletion({
			headers: req.headers,
			body,
			member: principal.member!,
			requestId,
			pools: this.pools,
		}, this.options.now());
		const writer = stream ? new StreamCompletionWriter(res, {requestId, model}) : new JsonCompletionWriter(res, {requestId, model});
		this.start(request, writer, res);
	}

	private async callService(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const principal = this.keys.authenticate(req.headers.authorization);
		requireRole(principal, 'caller', 'trainer');
		const body = await readBody(req, this.bodyBytes, 'latin1');
		const requestId = randomUUID() as RequestId;
		const request = parseService({
			method: req.method ?? 'GET', url: req.url ?? '/', headers: req.headers, body, member: principal.member!, requestId, pools: this.pools,
		}, this.options.now());
		this.start(request, new ServiceWriter(res, requestId), res);
	}

	private start(request: Request, writer: AnswerWriter, res: ServerResponse): void {
		const {requestId} = request;
		this.writers.set(requestId, writer);
		res.on('close', () => {
			if (this.writers.delete(requestId)) {
				this.options.handlers.abandonRequest(requestId);
			}
		});
		this.options.handlers.startRequest(request);
	}

	private async apply(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.requireOperator(req);
		const expectedVersion = Number(req.headers['if-match']);
		if (!Number.isInteger(expectedVersion) || expectedVersion < 0) {
			throw new ProblemError({
				kind: 'invalid-request', field: 'If-Match', detail: 'If-Match must be the version that the change is based on', remedy: 'read it with GET /admin/configuration; 0 for the first',
			});
		}

		const document = parseSettings(await readBody(req, this.bodyBytes), 'body', documentSchema);
		const parsed = document.mapLeft(err => new ProblemError({
			kind: 'invalid-request', field: err.faults[0]?.field ?? 'body', detail: err.message, remedy: 'correct the document; "cicadapost config check" shows each fault',
		}));
		if (parsed.isLeft()) {
			throw parsed.extract();
		}

		const answer = await this.options.handlers.applyConfiguration(expectedVersion, JSON.stringify(parsed.extract()));
		if (answer.kind === 'accepted') {
			sendJson(res, 200, {version: answer.version});
			return;
		}

		sendProblem(res, answer.problem);
	}
}

function toProblem(err: unknown): ProblemError {
	return err instanceof ProblemError
		? err
		: new ProblemError({
			kind: 'internal', detail: 'the daemon met an unexpected error', remedy: 'report it with the request id', outcome: 'unknown',
		});
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}
