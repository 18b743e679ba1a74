import {type ServerResponse} from 'node:http';
import {retryAfterSeconds, type ProblemError} from '@cicadapost/errors';
import type {Chunk, RequestId, VersionSpan} from '@cicadapost/types';

export type CompletionResult = Readonly<{
	tokens: number;
	status: number;
	contentType: string;
	versions: readonly VersionSpan[];
}>;

/** Sends an `application/problem+json` response, or only ends the response if its headers were sent. `extension` holds extension members of the body (RFC 9457, section 3.2). */
export function sendProblem(res: ServerResponse, problem: ProblemError, extension: Readonly<Record<string, unknown>> = {}): void {
	if (res.headersSent) {
		res.end();
		return;
	}

	const retryHeaders = problem.retryAfterMs === undefined ? {} : {'retry-after': String(retryAfterSeconds(problem.retryAfterMs))};
	res.writeHead(problem.status, {'content-type': 'application/problem+json', ...retryHeaders});
	res.end(JSON.stringify({...problem.toBody(), ...extension}));
}

/** Writes the response to one request. */
export abstract class ResponseWriter {
	constructor(protected readonly res: ServerResponse) {}

	abstract writeChunk(chunk: Chunk): void;
	abstract complete(result: CompletionResult): void;
	abstract fail(problem: ProblemError): void;
}

export type CompletionOptions = Readonly<{requestId: RequestId; model: string}>;

/** Buffers a completion and sends it as one JSON document. */
export class JsonCompletionWriter extends ResponseWriter {
	private text = '';

	constructor(res: ServerResponse, private readonly options: CompletionOptions) {
		super(res);
	}

	override writeChunk(chunk: Chunk): void {
		this.text += chunk.text;
	}

	override complete(result: CompletionResult): void {
		this.res.writeHead(200, {'content-type': 'application/json', 'x-request-id': this.options.requestId});
		this.res.end(JSON.stringify({
			id: this.options.requestId,
			object: 'text_completion',
			model: this.options.model,
			choices: [{index: 0, text: this.text, finish_reason: 'stop'}],
			usage: {completion_tokens: result.tokens},
			versions: result.versions,
		}));
	}

	override fail(problem: ProblemError): void {
		sendProblem(this.res, problem);
	}
}

/** Streams a completion as server-sent events, one per chunk. */
export class StreamCompletionWriter extends ResponseWriter {
	constructor(res: ServerResponse, private readonly options: CompletionOptions) {
		super(res);
	}

	override writeChunk(chunk: Chunk): void {
		this.writeHeadersOnce();
		this.writeEvent({
			id: this.options.requestId, object: 'text_completion', model: this.options.model, choices: [{index: 0, text: chunk.text, finish_reason: null}],
		});
	}

	override complete(result: CompletionResult): void {
		this.writeHeadersOnce();
		this.writeEvent({
			id: this.options.requestId,
			object: 'text_completion',
			model: this.options.model,
			choices: [{index: 0, text: '', finish_reason: 'stop'}],
			usage: {completion_tokens: result.tokens},
			versions: result.versions,
		});
		this.res.end('data: [DONE]\n\n');
	}

	/** Once the first chunk is sent, the status can't change, so the problem is sent as an `error` event. */
	override fail(problem: ProblemError): void {
		if (!this.res.headersSent) {
			sendProblem(this.res, problem);
			return;
		}

		this.res.end(`event: error\ndata: ${JSON.stringify(problem.toBody())}\n\n`);
	}

	private writeHeadersOnce(): void {
		if (!this.res.headersSent) {
			this.res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': this.options.requestId});
		}
	}

	private writeEvent(data: unknown): void {
		this.res.write(`data: ${JSON.stringify(data)}\n\n`);
	}
}

/** Returns the response of a plain service unchanged. Its chunks hold one character per byte (Latin-1). */
export class ServiceResponseWriter extends ResponseWriter {
	private text = '';

	constructor(res: ServerResponse, private readonly requestId: RequestId) {
		super(res);
	}

	override writeChunk(chunk: Chunk): void {
		this.text += chunk.text;
	}

	override complete(result: CompletionResult): void {
		this.res.writeHead(result.status, {'content-type': result.contentType, 'x-request-id': this.requestId});
		this.res.end(Buffer.from(this.text, 'latin1'));
	}

	override fail(problem: ProblemError): void {
		sendProblem(this.res, problem);
	}
}
