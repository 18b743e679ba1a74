import type {DaemonAction, DaemonEvent} from '@cicadapost/decision';
import type {AttemptId, Millis, RequestId} from '@cicadapost/types';

export type TraceEntry = Readonly<{
	/** Milliseconds since the request arrived at this daemon. */
	atMs: Millis;
	what: string;
	detail: Readonly<Record<string, unknown>>;
}>;

type Trace = {startedAt: Millis; entries: TraceEntry[]};

export type TraceStoreOptions = Readonly<{
	/** Maximum number of requests to keep. The oldest is removed first. */
	maxRequests?: number;
	/** Maximum number of entries per request. Later entries are dropped. */
	maxEntries?: number;
}>;

/** Extracts the request id from an attempt id, which has the form `<request id>.<number>`. */
export function requestIdOfAttempt(attempt: AttemptId): RequestId {
	return attempt.slice(0, attempt.lastIndexOf('.')) as RequestId;
}

/** Keeps the traces of the latest requests: their events and the actions taken. */
export class TraceStore {
	private readonly traces = new Map<RequestId, Trace>();
	private readonly maxRequests: number;
	private readonly maxEntries: number;

	constructor(options: TraceStoreOptions = {}) {
		this.maxRequests = options.maxRequests ?? 2000;
		this.maxEntries = options.maxEntries ?? 64;
	}

	get(requestId: RequestId): readonly TraceEntry[] | undefined {
		return this.traces.get(requestId)?.entries;
	}

	recordEvent(event: DaemonEvent, now: Millis): void {
		switch (event.kind) {
			case 'request': {
				const {requestId, member, requestClass, pool, deadlineAt, idempotent} = event.request;
				this.startTrace(requestId, now);
				this.addEntry(requestId, now, 'received', {
					member, requestClass, pool, remainingMs: Math.round(deadlineAt - now), idempotent,
				});
				break;
			}

			case 'attempt-sent': {
				this.addEntry(requestIdOfAttempt(event.attempt), now, 'sent', {attempt: event.attempt});
				break;
			}

			case 'attempt-failed': {
				this.addEntry(requestIdOfAttempt(event.attempt), now, 'attempt failed', {attempt: event.attempt, failure: event.failure, sent: event.sent});
				break;
			}

			case 'message': {
				this.recordMessage(event.message, event.from, now);
				break;
			}

			default: {
				break;
			}
		}
	}

	recordAction(action: DaemonAction, now: Millis): void {
		switch (action.kind) {
			case 'open-attempt': {
				this.addEntry(requestIdOfAttempt(action.attempt), now, 'connects to upstream', {
					attempt: action.attempt, upstream: action.upstream, resumeFrom: action.resumeFrom,
				});
				break;
			}

			case 'cancel-attempt': {
				this.addEntry(requestIdOfAttempt(action.attempt), now, 'cancels attempt', {attempt: action.attempt});
				break;
			}

			case 'send': {
				this.recordMessage(action.message, undefined, now, action.to);
				break;
			}

			case 'complete': {
				this.addEntry(action.requestId, now, 'completed', {tokens: action.tokens, status: action.status, versions: action.versions});
				break;
			}

			case 'fail': {
				this.addEntry(action.requestId, now, 'failed', {
					cause: action.cause, outcome: action.problem.outcome, detail: action.problem.detail, remedy: action.problem.remedy,
				});
				break;
			}

			default: {
				break;
			}
		}
	}

	private recordMessage(message: {kind: string; attempt?: AttemptId}, from: string | undefined, now: Millis, to?: string): void {
		const isRecorded = ['acquire', 'grant', 'refuse', 'relay', 'relay-finished', 'relay-failed'].includes(message.kind);
		if (isRecorded && message.attempt !== undefined) {
			const {kind, attempt, ...rest} = message;
			const recordedFields = ['upstream', 'reason', 'retryAfterMs', 'shard', 'failure'].filter(name => name in rest);
			this.addEntry(requestIdOfAttempt(attempt), now, from === undefined ? `sends ${kind}` : `receives ${kind}`, {
				attempt, ...(from === undefined ? {to} : {from}), ...Object.fromEntries(recordedFields.map(name => [name, (rest as Record<string, unknown>)[name]])),
			});
		}
	}

	private startTrace(requestId: RequestId, now: Millis): void {
		this.traces.set(requestId, {startedAt: now, entries: []});
		if (this.traces.size > this.maxRequests) {
			const oldest = this.traces.keys().next().value;
			if (oldest !== undefined) {
				this.traces.delete(oldest);
			}
		}
	}

	private addEntry(requestId: RequestId, now: Millis, what: string, detail: Readonly<Record<string, unknown>>): void {
		const trace = this.traces.get(requestId);
		if (trace !== undefined && trace.entries.length < this.maxEntries) {
			trace.entries.push({atMs: Math.round(now - trace.startedAt), what, detail});
		}
	}
}
