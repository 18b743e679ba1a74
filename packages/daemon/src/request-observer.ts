import type {DaemonAction, DaemonEvent} from '@cicadapost/decision';
import type {Logger, Metrics} from '@cicadapost/observability';
import type {Millis, Request, RequestId} from '@cicadapost/types';
import {requestIdOfAttempt} from './trace-store.js';

type ObservedRequest = {
	readonly request: Request;
	readonly arrivedAt: Millis;
	attempts: number;
	hasFirstToken: boolean;
};

export type RequestObserverOptions = Readonly<{logger: Logger; metrics: Metrics}>;

/** Records histograms from the events and actions of requests, and logs each failed attempt, further attempt and failed request. */
export class RequestObserver {
	private readonly requests = new Map<RequestId, ObservedRequest>();

	constructor(private readonly options: RequestObserverOptions) {}

	observeEvent(event: DaemonEvent, now: Millis): void {
		if (event.kind === 'request') {
			this.requests.set(event.request.requestId, {
				request: event.request, arrivedAt: now, attempts: 0, hasFirstToken: false,
			});
		}

		if (event.kind === 'caller-left') {
			this.requests.delete(event.requestId);
		}

		if (event.kind === 'attempt-failed') {
			const observed = this.requests.get(requestIdOfAttempt(event.attempt));
			this.options.logger.info({
				event: 'attempt-failed', attempt: event.attempt, failure: event.failure, sent: event.sent, detail: event.detail, ...logFieldsOf(observed?.request),
			}, 'attempt failed');
		}
	}

	observeAction(action: DaemonAction, now: Millis): void {
		switch (action.kind) {
			case 'open-attempt': {
				this.observeAttempt(action, now);
				break;
			}

			case 'deliver': {
				const observed = this.requests.get(action.requestId);
				if (observed !== undefined && !observed.hasFirstToken) {
					observed.hasFirstToken = true;
					this.recordDuration('time_to_first_token', observed, now);
				}

				break;
			}

			case 'complete': {
				const observed = this.requests.get(action.requestId);
				this.requests.delete(action.requestId);
				if (observed !== undefined) {
					this.recordDuration('total_time', observed, now);
				}

				break;
			}

			case 'fail': {
				this.observeFailure(action);
				break;
			}

			default: {
				break;
			}
		}
	}

	private observeAttempt(action: Extract<DaemonAction, {kind: 'open-attempt'}>, now: Millis): void {
		const observed = this.requests.get(requestIdOfAttempt(action.attempt));
		if (observed === undefined) {
			return;
		}

		observed.attempts++;
		if (observed.attempts === 1) {
			this.recordDuration('wait', observed, now);
			return;
		}

		this.options.logger.info({
			event: 'further-attempt', attempt: action.attempt, number: observed.attempts, upstream: action.upstream, ...logFieldsOf(observed.request),
		}, 'request retried or hedged');
		this.options.metrics.count('further_attempts', {class: observed.request.requestClass});
	}

	private observeFailure(action: Extract<DaemonAction, {kind: 'fail'}>): void {
		const observed = this.requests.get(action.requestId);
		this.requests.delete(action.requestId);
		this.options.logger.info({
			event: 'request-failed',
			requestId: action.requestId,
			cause: action.cause,
			outcome: action.problem.outcome,
			detail: action.problem.detail,
			retryAfterMs: action.problem.retryAfterMs,
			...logFieldsOf(observed?.request),
		}, 'request failed');
		this.options.metrics.count('failed_requests', {cause: action.cause, outcome: action.problem.outcome});
	}

	private recordDuration(name: 'wait' | 'time_to_first_token' | 'total_time', observed: ObservedRequest, now: Millis): void {
		const {member, requestClass} = observed.request;
		this.options.metrics.record(name, now - observed.arrivedAt, {member, requestClass});
	}
}

function logFieldsOf(request: Request | undefined): Record<string, string> {
	return request === undefined
		? {}
		: {
			requestId: request.requestId, member: request.member, class: request.requestClass, pool: request.pool,
		};
}
