import type {Chunk, Millis} from '@cicadapost/types';
import {
	Agent, DecoratorHandler, request, type Dispatcher,
} from 'undici';
import {
	failureFromResponse, failureFromError, SendDeadlineError, type AttemptReport,
} from './attempt-failure.js';
import {ProgressWatchdog} from './progress-watchdog.js';
import {MalformedStreamError, readEvents} from './read-events.js';

export type {AttemptReport} from './attempt-failure.js';

export type AttemptOptions = Readonly<{
	url: string;
	method: string;
	path: string;
	contentType: string;
	body: string;
	/** `latin1`: `body` and the text of the answer hold one character for each byte. */
	encoding?: 'utf8' | 'latin1';
	/** An engine answers with a stream of tokens; the answer of a plain service is passed on whole. */
	kind?: 'engine' | 'service';
	/** The server error of a plain service is an answer if the request must not be repeated, and a failure otherwise. */
	idempotent?: boolean;
	/** Time until the deadline of the caller, passed on as `X-Deadline-Ms`. */
	remainingMs?: Millis;
	/** Tokens that the caller already has; the engine continues after them. */
	resumeFrom?: number;
	/** Without a token for this long, or without a byte of a plain service, the connection counts as silent. */
	silenceMs?: Millis;
	/** Asked right before the first byte is written; false ends the attempt as `late` with nothing sent. */
	maySend?: () => boolean;
	signal: AbortSignal;
}>;

type ReportAttempt = (report: AttemptReport) => void;

const defaultSilenceMs: Millis = 5000;
const connectTimeoutMs: Millis = 1000;
/** Longer answers of plain services are refused: they are held in memory, and in one frame if the call was relayed. */
const maxServiceResponseBytes = 3 * 1024 * 1024;
/** What is read of an error answer, for the detail of the problem. */
const maxErrorBodyBytes = 64 * 1024;

/** Connections to upstreams. A silent connection is closed, and the next attempt opens a new one. */
export class UpstreamConnections {
	private readonly agent = new Agent({
		connect: {timeout: connectTimeoutMs}, pipelining: 1, keepAliveTimeout: 10_000, connections: 256,
	});

	/** Runs one attempt and reports its course. It always ends with `finished` or `failed`, unless the signal aborts it. */
	async run(options: AttemptOptions, report: ReportAttempt): Promise<void> {
		const progress: Progress = {isSent: false};
		const watchdog = new ProgressWatchdog(options.silenceMs ?? defaultSilenceMs);
		try {
			const res = await this.send({...options, signal: AbortSignal.any([options.signal, watchdog.signal])}, () => {
				progress.isSent = true;
				watchdog.recordProgress();
				report({kind: 'sent'});
			});
			await readResponse(res, options, progressReport => {
				watchdog.recordProgress();
				report(progressReport);
			}, watchdog);
		} catch (err) {
			if (!options.signal.aborted) {
				report(failureFromError(watchdog.signal.aborted ? watchdog.signal.reason : err, progress.isSent));
			}
		} finally {
			watchdog.stop();
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async send(options: AttemptOptions, onSent: () => void): Promise<Dispatcher.ResponseData> {
		const silenceMs = options.silenceMs ?? defaultSilenceMs;
		const maySend = options.maySend ?? (() => true);
		const dispatcher = this.agent.compose(dispatch => (options_, handler) => dispatch(options_, new SendGateHandler(handler, {maySend, onSent})));
		return request(`${options.url}${options.path}`, {
			method: options.method as 'POST',
			headers: headersOf(options),
			...(options.body === '' ? {} : {body: Buffer.from(options.body, options.encoding ?? 'utf8')}),
			dispatcher,
			signal: options.signal,
			headersTimeout: silenceMs,
			bodyTimeout: silenceMs,
		});
	}
}

function headersOf(options: AttemptOptions): Record<string, string> {
	const deadline = options.remainingMs === undefined ? {} : {'x-deadline-ms': String(Math.max(1, Math.floor(options.remainingMs)))};
	const resume = options.kind === 'service' ? {} : {'x-resume-from': String(options.resumeFrom ?? 0)};
	return {'content-type': options.contentType, ...deadline, ...resume};
}

type Progress = {isSent: boolean};

type SendGate = Readonly<{maySend: () => boolean; onSent: () => void}>;

/** Called when the request is about to be written to a connection: from then on the upstream may have seen a byte. */
class SendGateHandler extends DecoratorHandler {
	constructor(private readonly inner: Dispatcher.DispatchHandler, private readonly gate: SendGate) {
		super(inner);
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		if (this.gate.maySend()) {
			this.gate.onSent();
			this.inner.onRequestStart?.(controller, context);
			return;
		}

		this.inner.onRequestStart?.(controller, context);
		controller.abort(new SendDeadlineError('the time to send the request has passed'));
	}
}

async function readResponse(res: Dispatcher.ResponseData, options: AttemptOptions, report: ReportAttempt, watchdog: ProgressWatchdog): Promise<void> {
	const contentType = String(res.headers['content-type'] ?? 'application/octet-stream');
	const {statusCode} = res;
	const isService = options.kind === 'service';
	const failure = failureFromResponse({
		status: statusCode, retryAfter: res.headers['retry-after'], isService, idempotent: options.idempotent ?? true,
	});
	if (failure !== undefined) {
		const text = new TextDecoder().decode(await readBody(res.body, maxErrorBodyBytes));
		report({...failure, detail: `${failure.detail ?? ''}: ${text.slice(0, 200)}`});
		return;
	}

	if (isService) {
		// A whole answer has no tokens to watch; undici watches its bytes.
		watchdog.stop();
		const text = Buffer.from(await readBody(res.body, maxServiceResponseBytes)).toString(options.encoding ?? 'utf8');
		report({kind: 'chunk', chunk: chunkFromBody(text)});
		report({
			kind: 'finished', tokens: 1, status: statusCode, contentType,
		});
		return;
	}

	if (!contentType.startsWith('text/event-stream')) {
		throw new MalformedStreamError(`the upstream answered with "${contentType}" in place of a stream of events`);
	}

	const tokens = await readEvents(res.body, options.resumeFrom ?? 0, chunk => {
		report({kind: 'chunk', chunk});
	});
	report({
		kind: 'finished', tokens, status: statusCode, contentType,
	});
}

async function readBody(body: AsyncIterable<Uint8Array>, limitBytes: number): Promise<Uint8Array> {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const part of body) {
		size += part.length;
		if (size > limitBytes) {
			throw new MalformedStreamError(`the answer of the upstream has more than ${limitBytes} bytes`);
		}

		parts.push(part);
	}

	return Buffer.concat(parts);
}

/** The answer of a plain service is one piece that counts as one token. */
function chunkFromBody(text: string): Chunk {
	return {
		offset: 0, tokens: 1, text, version: 0,
	};
}
