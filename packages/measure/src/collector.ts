import type {Observation, Recorder} from '@cicadapost/fakes';
import type {Millis, RequestClass, RequestId} from '@cicadapost/types';

/** Network latency between a caller and the daemons, in each direction. */
const clientLatencyMs = 3;

/** One request as its caller saw it, and the upstream attempts made for it. */
export type CallRecord = {
	readonly requestId: RequestId;
	readonly job: string;
	readonly member: string;
	readonly requestClass: RequestClass;
	readonly deadlineMs: Millis;
	readonly sentAt: Millis;
	firstTokenAt: Millis | undefined;
	endedAt: Millis | undefined;
	result: 'open' | 'completed' | 'failed' | 'cut';
	cause: string;
	retryAfterMs: Millis | undefined;
	tokens: number;
	attempts: Array<{at: Millis; upstream: string}>;
};

export type SentRequest = Readonly<{requestId: RequestId; job: string; member: string; requestClass: RequestClass; deadlineMs: Millis}>;

/** Builds a record of each request from the recorded observations. */
export class Collector {
	readonly calls = new Map<RequestId, CallRecord>();
	/** Tokens that engines generated in attempts that have ended; tokens taken over from an earlier attempt are not counted again. */
	generatedTokens = 0;
	private readonly latestCallByJob = new Map<string, CallRecord>();
	private readonly resumeOffsets = new Map<string, number>();
	private readonly endListeners: Array<(call: CallRecord) => void> = [];

	constructor(recorder: Recorder, private readonly now: () => Millis) {
		recorder.listen(event => {
			this.observe(event);
		});
	}

	onEnd(listener: (call: CallRecord) => void): void {
		this.endListeners.push(listener);
	}

	/** Must be called right before the request is passed to a daemon or a baseline. */
	recordSend(sent: SentRequest): void {
		const call: CallRecord = {
			...sent, sentAt: this.now(), firstTokenAt: undefined, endedAt: undefined, result: 'open', cause: '', retryAfterMs: undefined, tokens: 0, attempts: [],
		};
		this.calls.set(sent.requestId, call);
		this.latestCallByJob.set(sent.job, call);
	}

	list(filter: (call: CallRecord) => boolean = () => true): CallRecord[] {
		return [...this.calls.values()].filter(call => filter(call));
	}

	private observe(event: Observation): void {
		switch (event.kind) {
			case 'caller-chunk': {
				const call = this.calls.get(event.requestId);
				if (call !== undefined) {
					call.firstTokenAt ??= event.at;
					call.tokens += event.chunk.tokens;
				}

				break;
			}

			case 'caller-completed': {
				this.end(event.requestId, 'completed');
				break;
			}

			case 'caller-cut': {
				this.end(event.requestId, 'cut');
				break;
			}

			case 'caller-failed': {
				const call = this.calls.get(event.requestId);
				if (call !== undefined) {
					call.cause = event.cause;
					call.retryAfterMs = event.retryAfterMs;
				}

				this.end(event.requestId, 'failed');
				break;
			}

			case 'upstream-received': {
				this.latestCallByJob.get(event.job)?.attempts.push({at: event.at, upstream: event.upstream});
				this.resumeOffsets.set(event.attempt, event.resumeFrom);
				break;
			}

			case 'upstream-ended': {
				this.generatedTokens += event.tokens - (this.resumeOffsets.get(event.attempt) ?? 0);
				this.resumeOffsets.delete(event.attempt);
				break;
			}

			default: {
				break;
			}
		}
	}

	private end(requestId: RequestId, result: CallRecord['result']): void {
		const call = this.calls.get(requestId);
		if (call?.result !== 'open') {
			return;
		}

		call.result = result;
		call.endedAt = this.now();
		for (const listener of this.endListeners) {
			listener(call);
		}
	}
}

/** Latency as the caller sees it; a request without a complete response counts with its full deadline. */
export function latencyMs(call: CallRecord): Millis {
	return call.result === 'completed' ? call.endedAt! - call.sentAt + (2 * clientLatencyMs) : call.deadlineMs;
}

/** Time to first token as the caller sees it; a request without any token counts with its full deadline. */
export function firstTokenMs(call: CallRecord): Millis {
	return call.firstTokenAt === undefined ? call.deadlineMs : call.firstTokenAt - call.sentAt + (2 * clientLatencyMs);
}

/** Generated tokens that were not delivered in a complete response, relative to the tokens that were. */
export function wastedTokenShare(collector: Collector): number {
	const ended = collector.list(call => call.result !== 'open');
	const delivered = ended.filter(call => call.result === 'completed').reduce((total, call) => total + call.tokens, 0);
	return delivered === 0 ? 0 : Math.max(0, (collector.generatedTokens - delivered) / delivered);
}

/** Describes the slowest requests with a timeline of each, to find out why a bound was missed. */
export function describeSlowest(calls: readonly CallRecord[], count = 5): string[] {
	return calls.toSorted((a, b) => latencyMs(b) - latencyMs(a)).slice(0, count).map(call => {
		const attempts = call.attempts.map(attempt => `${attempt.upstream} after ${Math.round(attempt.at - call.sentAt)} ms`).join(', ');
		const first = call.firstTokenAt === undefined ? 'no token' : `first token after ${Math.round(call.firstTokenAt - call.sentAt)} ms`;
		const end = call.endedAt === undefined ? 'still open' : `${call.result} after ${Math.round(call.endedAt - call.sentAt)} ms`;
		return `${call.requestId} (${call.member}) sent at ${Math.round(call.sentAt)} ms: upstreams [${attempts}], ${first}, ${end}${call.cause === '' ? '' : ` (${call.cause})`}`;
	});
}
