import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ProblemError} from '@cicadapost/errors';
import {type DataCentreConfiguration} from '@cicadapost/settings';
import {
	type Chunk, type MemberId, type Millis, type Request, type RequestId, type TrainerAnswer, type TrainerCall,
} from '@cicadapost/types';
import {App} from '@tinyhttp/app';
import {registerAdminRoutes, type AdminHandlers} from './admin-routes.js';
import {
	type ResponseWriter, JsonCompletionWriter, sendProblem, ServiceResponseWriter, StreamCompletionWriter, type CompletionResult,
} from './response-writer.js';
import {KeyRing, requireRole} from './authenticate.js';
import {parseCompletion} from './parse-completion.js';
import {parseServiceCall} from './parse-service.js';
import {parseTrainerCall, trainerResponseBody, type TrainerCallKind} from './parse-trainer-call.js';
import {readBody} from './read-body.js';
import {sendJson} from './send-json.js';

/** Operations that the API delegates to the daemon. */
export type ApiHandlers = AdminHandlers & Readonly<{
	startRequest: (request: Request) => void;
	cancelRequest: (requestId: RequestId) => void;
	/** Resolves with the answer to a trainer's call. The signal is aborted when the connection closes. */
	handleTrainerCall: (member: MemberId, call: TrainerCall, signal: AbortSignal) => Promise<TrainerAnswer>;
}>;

export type ApiServerOptions = Readonly<{
	host?: string;
	port?: number;
	bodyBytes?: number;
	operatorKeyHashes?: readonly string[];
	/** Prefix of the ids of completion requests, so that operators know which daemon holds the trace. */
	daemon: string;
	now: () => Millis;
	handlers: ApiHandlers;
}>;

const defaultBodyBytes = 4 * 1024 * 1024;

/** HTTP server for callers, trainers and operators. Owns its sockets and the responses in progress. */
export class ApiServer {
	private readonly keys: KeyRing;
	private readonly writers = new Map<RequestId, ResponseWriter>();
	private readonly openResponses = new Set<ServerResponse>();
	private readonly server: Server;
	private readonly bodyBytes: number;
	private pools: DataCentreConfiguration['pools'] = {};
	private isAccepting = true;
	private resolveIdle: () => void = () => undefined;

	constructor(private readonly options: ApiServerOptions) {
		this.keys = new KeyRing(options.operatorKeyHashes ?? []);
		this.bodyBytes = options.bodyBytes ?? defaultBodyBytes;
		const app = new App({
			settings: {xPoweredBy: false},
			noMatchHandler(_req, res) {
				sendProblem(res, new ProblemError({kind: 'not-found', detail: 'there is no such path', remedy: 'see docs/api.md'}));
			},
			onError(err, _req, res) {
				sendProblem(res, toProblem(err));
			},
		});
		app.post('/v1/completions', async (req, res) => this.handleCompletion(req, res));
		app.post('/v1/rollouts/groups', async (req, res) => this.handleTrainerCall('submit', req, res));
		app.post('/v1/rollouts/fetch', async (req, res) => this.handleTrainerCall('fetch', req, res));
		app.post('/v1/rollouts/ack', async (req, res) => this.handleTrainerCall('ack', req, res));
		app.all('/services/*', async (req, res) => this.handleServiceCall(req, res));
		registerAdminRoutes(app, {keys: this.keys, handlers: options.handlers, bodyBytes: this.bodyBytes});
		app.get('/health', (_req, res) => {
			sendJson(res, 200, {status: 'ok'});
		});
		this.server = createServer((req, res) => {
			this.trackResponse(res);
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

	/** Stops accepting connections. Responses in progress are completed, and those without headers yet close their connection. */
	stopAccepting(): void {
		this.isAccepting = false;
		for (const res of this.openResponses) {
			if (!res.headersSent) {
				res.setHeader('connection', 'close');
			}
		}

		this.server.close();
	}

	/** Resolves once no response is in progress. */
	async whenIdle(): Promise<void> {
		if (this.openResponses.size > 0) {
			await new Promise<void>(resolve => {
				this.resolveIdle = resolve;
			});
		}
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	updateConfiguration(site: DataCentreConfiguration): void {
		this.keys.update(site.members);
		this.pools = site.pools;
	}

	writeChunk(requestId: RequestId, chunk: Chunk): void {
		this.writers.get(requestId)?.writeChunk(chunk);
	}

	finish(requestId: RequestId, result: CompletionResult): void {
		this.writers.get(requestId)?.complete(result);
		this.writers.delete(requestId);
	}

	fail(requestId: RequestId, problem: ProblemError): void {
		this.writers.get(requestId)?.fail(problem);
		this.writers.delete(requestId);
	}

	private trackResponse(res: ServerResponse): void {
		if (!this.isAccepting) {
			res.setHeader('connection', 'close');
		}

		this.openResponses.add(res);
		res.on('close', () => {
			this.openResponses.delete(res);
			if (this.openResponses.size === 0) {
				this.resolveIdle();
			}
		});
	}

	private async handleCompletion(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const principal = this.keys.authenticate(req.headers.authorization);
		requireRole(principal, 'caller', 'trainer');
		const body = await readBody(req, this.bodyBytes);
		const requestId = `${this.options.daemon}-${randomUUID()}` as RequestId;
		const {request, stream, model} = parseCompletion({
			headers: req.headers,
			body,
			member: principal.member!,
			requestId,
			pools: this.pools,
		}, this.options.now());
		const writer = stream ? new StreamCompletionWriter(res, {requestId, model}) : new JsonCompletionWriter(res, {requestId, model});
		this.startRequest(request, writer, res);
	}

	private async handleServiceCall(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const principal = this.keys.authenticate(req.headers.authorization);
		requireRole(principal, 'caller', 'trainer');
		const body = await readBody(req, this.bodyBytes, 'latin1');
		const requestId = randomUUID() as RequestId;
		const request = parseServiceCall({
			method: req.method ?? 'GET', url: req.url ?? '/', headers: req.headers, body, member: principal.member!, requestId, pools: this.pools,
		}, this.options.now());
		this.startRequest(request, new ServiceResponseWriter(res, requestId), res);
	}

	private startRequest(request: Request, writer: ResponseWriter, res: ServerResponse): void {
		const {requestId} = request;
		this.writers.set(requestId, writer);
		res.on('close', () => {
			if (this.writers.delete(requestId)) {
				this.options.handlers.cancelRequest(requestId);
			}
		});
		this.options.handlers.startRequest(request);
	}

	private async handleTrainerCall(kind: TrainerCallKind, req: IncomingMessage, res: ServerResponse): Promise<void> {
		const principal = this.keys.authenticate(req.headers.authorization);
		requireRole(principal, 'trainer');
		const call = parseTrainerCall(kind, await readBody(req, this.bodyBytes));
		const controller = new AbortController();
		res.on('close', () => {
			controller.abort();
		});
		const answer = await this.options.handlers.handleTrainerCall(principal.member!, call, controller.signal);
		sendJson(res, 200, trainerResponseBody(answer));
	}
}

function toProblem(err: unknown): ProblemError {
	return err instanceof ProblemError
		? err
		: new ProblemError({
			kind: 'internal', detail: 'the daemon met an unexpected error', remedy: 'report it with the request id', outcome: 'unknown',
		});
}
