import type {AttemptFailure, Chunk} from '@cicadapost/types';
import {createParser} from 'eventsource-parser';
import {
	Agent, DecoratorHandler, errors, request, type Dispatcher,
} from 'undici';
import {z} from 'zod';

/** What an attempt reports while it runs. */
export type AttemptReport =
	| Readonly<{kind: 'sent'}>
	| Readonly<{kind: 'chunk'; chunk: Chunk}>
	| Readonly<{kind: 'finished'; tokens: number; status: number; contentType: string}>
	| Readonly<{kind: 'failed'; failure: AttemptFailure; sent: boolean; detail?: string}>;

export type AttemptOptions = Readonly<{
	url: string;
	method: string;
	path: string;
	contentType: string;
	body: string;
	/** Tokens that the caller already has; the engine continues after them. */
	resumeFrom?: number;
	/** Without a byte for this long the connection counts as silent, in milliseconds. */
	silenceMs?: number;
	/** Asked right before the first byte is written; false ends the attempt as `late` with nothing sent. */
	maySend?: () => boolean;
	signal: AbortSignal;
}>;

const defaultSilenceMs = 5000;
const connectTimeoutMs = 1000;

const eventSchema = z.object({
	text: z.string(), tokens: z.int().min(0), version: z.int(), offset: z.int().min(0),
});

/** Connections to upstreams. A silent connection is closed, and the next attempt opens a new one. */
export class UpstreamConnections {
	private readonly agent = new Agent({
		connect: {timeout: connectTimeoutMs}, pipelining: 1, keepAliveTimeout: 10_000, connections: 256,
	});

	/** Runs one attempt and reports its course. It always ends with `finished` or `failed`, unless the signal aborts it. */
	async run(options: AttemptOptions, report: (report: AttemptReport) => void): Promise<void> {
		const silenceMs = options.silenceMs ?? defaultSilenceMs;
		const progress: Progress = {received: options.resumeFrom ?? 0};
		const dispatcher = this.agent.compose(dispatch => (options_, handler) => dispatch(options_, new SentHandler(handler, () => {
			if (!(options.maySend?.() ?? true)) {
				throw new LateError('the time to send the request has passed');
			}

			report({kind: 'sent'});
		})));
		try {
			const res = await request(`${options.url}${options.path}`, {
				method: options.method as 'POST',
				headers: {'content-type': options.contentType, 'x-resume-from': String(options.resumeFrom ?? 0)},
				...(options.body === '' ? {} : {body: options.body}),
				dispatcher,
				signal: options.signal,
				headersTimeout: silenceMs,
				bodyTimeout: silenceMs,
			});
			const contentType = String(res.headers['content-type'] ?? 'application/octet-stream');
			if (contentType.startsWith('text/event-stream')) {
				await readEvents(res.body, progress, report);
				report({
					kind: 'finished', tokens: progress.received, status: res.statusCode, contentType,
				});
				return;
			}

			readWhole(res.statusCode, contentType, await res.body.text(), report);
		} catch (err) {
			if (!options.signal.aborted) {
				report(failureOf(err));
			}
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}
}

/** Tells when the request is about to be written to a connection: from then on the upstream may have seen a byte. */
class SentHandler extends DecoratorHandler {
	constructor(private readonly inner: Dispatcher.DispatchHandler, private readonly onSent: () => void) {
		super(inner);
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		try {
			this.onSent();
		} catch (err) {
			this.inner.onRequestStart?.(controller, context);
			controller.abort(err as Error);
			return;
		}

		this.inner.onRequestStart?.(controller, context);
	}
}

class LateError extends Error {}

type Progress = {received: number};

async function readEvents(body: AsyncIterable<Uint8Array>, progress: Progress, report: (report: AttemptReport) => void): Promise<void> {
	let isDone = false;
	const parser = createParser({
		onEvent(event) {
			if (event.data === '[DONE]') {
				isDone = true;
				return;
			}

			const chunk = eventSchema.parse(JSON.parse(event.data));
			progress.received = chunk.offset + chunk.tokens;
			report({kind: 'chunk', chunk});
		},
	});
	const decoder = new TextDecoder();
	for await (const part of body) {
		parser.feed(decoder.decode(part, {stream: true}));
	}

	if (!isDone) {
		throw new TruncatedStreamError('the stream ended before its end marker');
	}
}

class TruncatedStreamError extends Error {}

function readWhole(status: number, contentType: string, text: string, report: (report: AttemptReport) => void): void {
	if (status >= 500) {
		report({
			kind: 'failed', failure: 'server-error', sent: true, detail: `the upstream answered with status ${status}`,
		});
		return;
	}

	if (status >= 400 && status !== 404) {
		report({
			kind: 'failed', failure: 'rejected', sent: true, detail: `the upstream answered with status ${status}: ${text.slice(0, 200)}`,
		});
		return;
	}

	// The answer of a plain service is one piece.
	report({
		kind: 'chunk', chunk: {
			offset: 0, tokens: 1, text, version: 0,
		},
	});
	report({
		kind: 'finished', tokens: 1, status, contentType,
	});
}

const unsentCodes: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function failureOf(err: unknown): AttemptReport {
	const code = err instanceof Error && 'code' in err ? err.code : undefined;
	const detail = err instanceof Error ? err.message : String(err);
	if (unsentCodes.has(code)) {
		return {
			kind: 'failed', failure: 'unreachable', sent: false, detail,
		};
	}

	if (err instanceof LateError) {
		return {
			kind: 'failed', failure: 'late', sent: false, detail,
		};
	}

	const isSilent = err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError;
	return {
		kind: 'failed', failure: isSilent ? 'silent' : 'upstream-died', sent: true, detail,
	};
}
