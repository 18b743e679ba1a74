import type {Chunk, Millis} from '@cicadapost/types';
import {
	Agent, buildConnector, DecoratorHandler, request, type Dispatcher,
} from 'undici';
import {
	failureFromResponse, failureFromError, SendDeadlineError, type AttemptReport,
} from './attempt-failure.js';
import {ProgressWatchdog} from './progress-watchdog.js';
import {MalformedStreamError, readEvents} from './read-events.js';
import {ResetGuard} from './reset-guard.js';

export type {AttemptReport} from './attempt-failure.js';

export type AttemptOptions = Readonly<{
	url: string;
	method: string;
	path: string;
	contentType: string;
	body: string;
	/** With `latin1`, `body` and the response text hold one character per byte. */
	encoding?: 'utf8' | 'latin1';
	/** An engine responds with a stream of tokens; the response of a plain service is passed on as a whole. */
	kind?: 'engine' | 'service';
	/** A 5xx response of a plain service is passed on if the request must not be repeated, and is a failure otherwise. */
	idempotent?: boolean;
	/** Time until the caller's deadline, sent as `X-Deadline-Ms`. */
	remainingMs?: Millis;
	/** Number of tokens that the caller already has; the engine continues after them. */
	resumeFrom?: number;
	/** The attempt fails as `silent` after this time without a token, or without a byte from a plain service. */
	silenceMs?: Millis;
	/** Called right before the first byte is written. If it returns false, the attempt fails as `late` and nothing is sent. */
	maySend?: () => boolean;
	signal: AbortSignal;
}>;

type ReportAttempt = (report: AttemptReport) => void;

const defaultSilenceMs: Millis = 5000;
const connectTimeoutMs: Millis = 1000;
/** Longer responses of plain services are rejected, since they are held in memory and, for a relayed call, sent in one frame. */
const maxServiceResponseBytes = 3 * 1024 * 1024;
/** Longer bodies of error responses fail the attempt; the body is read for the error detail. */
const maxErrorBodyBytes = 64 * 1024;

/** HTTP connections to upstreams. A connection that goes silent is closed, and the next attempt opens a new one. */
export class UpstreamConnections {
	private readonly guard = new ResetGuard();
	private readonly agent = new Agent({
		connect: this.guard.watch(buildConnector({timeout: connectTimeoutMs})), pipelining: 1, keepAliveTimeout: 10_000, connections: 256,
	});

	/** Runs one attempt and reports its progress. The last report is `finished` or `failed`, unless the signal aborts the attempt. */
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
		const dispatcher = this.agent.compose(dispatch => (options_, handler) => dispatch(options_, this.guard.protect(new SendGateHandler(handler, {maySend, onSent}))));
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

/** Calls `onSent` right before the request is written to a connection, after which the upstream may have received part of it. */
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
		// The response has no tokens to watch; undici's body timeout watches its bytes.
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

/** The response of a plain service is one chunk that counts as one token. */
function chunkFromBody(text: string): Chunk {
	return {
		offset: 0, tokens: 1, text, version: 0,
	};
}
