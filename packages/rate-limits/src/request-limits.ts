import type {Millis} from '@cicadapost/types';
import type {LimitStatement, UpstreamRun} from './named-limits.js';

/** Why a request is sent to an upstream. */
export type SendReason = 'first' | 'retry' | 'hedge' | 'sample';

/** The limit of an upstream and the state of its queue. */
export type UpstreamLimit = Readonly<{
	requestsPerSecond: number;
	/** Expected time until the upstream may take another request. */
	waitMs: Millis;
}>;

/** Whether a request may be sent now, or no turn is free in time. */
export type Turn = 'granted' | 'none';

/** What the senders of requests need to know about the limits of upstreams. */
export abstract class RequestLimits {
	/** Returns undefined if the upstream has no limit, so that requests may be sent at once. */
	abstract limitOf(upstream: UpstreamRun): UpstreamLimit | undefined;
	/** Asks for a turn of a limited upstream that begins within `maxWaitMs`. Returns a function that withdraws the request. */
	abstract requestTurn(upstream: UpstreamRun, maxWaitMs: Millis, onTurn: (turn: Turn) => void): () => void;
	/** Records that a request is sent. */
	abstract recordSend(upstream: UpstreamRun, reason: SendReason): void;
	/** Records what a response of an upstream says about its limit. */
	abstract recordResponse(upstream: UpstreamRun, statement: LimitStatement): void;
}
