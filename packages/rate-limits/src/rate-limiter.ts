import type {Clock, Millis, UpstreamId} from '@cicadapost/types';
import {NamedLimits, type LimitStatement, type UpstreamRun} from './named-limits.js';
import {
	RequestLimits, type SendReason, type Turn, type UpstreamLimit,
} from './request-limits.js';

/** A change of the limit of an upstream, for logs. */
export type LimitReport = Readonly<{
	upstream: UpstreamId;
	bornAt: number;
	/** Undefined if the limit was lifted. */
	requestsPerSecond: number | undefined;
}>;

export type RateLimiterOptions = Readonly<{
	clock: Clock;
	onLimitReport: (report: LimitReport) => void;
	/** Called for each request to an upstream that has a limit. */
	onLimitedSend: (upstream: UpstreamId, reason: SendReason) => void;
}>;

/** Records the limits that upstreams name, and the requests that are sent to limited upstreams. */
export class RateLimiter extends RequestLimits {
	private readonly named = new NamedLimits();

	constructor(private readonly options: RateLimiterOptions) {
		super();
	}

	override limitOf(upstream: UpstreamRun): UpstreamLimit | undefined {
		const requestsPerSecond = this.named.limitOf(upstream);
		return requestsPerSecond === undefined ? undefined : {requestsPerSecond, waitMs: 0};
	}

	override requestTurn(upstream: UpstreamRun, maxWaitMs: Millis, onTurn: (turn: Turn) => void): () => void {
		onTurn({kind: 'granted'});
		return () => {}; // eslint-disable-line @typescript-eslint/no-empty-function
	}

	override recordSend(upstream: UpstreamRun, reason: SendReason): void {
		if (this.named.limitOf(upstream) !== undefined) {
			this.options.onLimitedSend(upstream.id, reason);
		}
	}

	override recordResponse(upstream: UpstreamRun, statement: LimitStatement): void {
		const {clock, onLimitReport} = this.options;
		if (this.named.recordResponse(upstream, statement, clock.now())) {
			onLimitReport({upstream: upstream.id, bornAt: upstream.bornAt, requestsPerSecond: statement.requestsPerSecond});
		}
	}
}
