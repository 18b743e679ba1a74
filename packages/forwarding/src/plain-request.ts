import type {LoadReport, UpstreamStart} from '@cicadapost/fleet';
import type {
	Millis, RequestId, TeamId, UpstreamId,
} from '@cicadapost/types';
import type {Route} from './route.js';
import type {StreamContinuation} from './stream-origins.js';

export type PlainRequest = Readonly<{
	requestId: RequestId | undefined;
	method: string;
	/** Path including the query string. */
	path: string;
	host: string;
	/** Alternating names and values, as received. */
	headers: readonly string[];
	body: Uint8Array;
	route: Route;
	/** The team whose key the caller presented, if any. */
	team?: TeamId;
	/** Set if the caller continues an interrupted stream. */
	continues?: StreamContinuation;
	/** The caller's deadline or the end of the route's timeout, whichever is first, on this daemon's clock. */
	deadlineAt: Millis;
}>;

/** Why a request got no response from an upstream. */
export type ForwardFailure =
	/** The request did not run and will not run. */
	| Readonly<{kind: 'refused'; retryAfterMs: Millis; reason: string}>
	/** The request may have run. */
	| Readonly<{kind: 'failed'; reason: string}>
	| Readonly<{kind: 'timed-out'; mayHaveRun: boolean}>;

/** Receives the response to one request. Each method except `data` is called at most once. */
export abstract class ResponseReceiver {
	/** Receives the status and headers; the body follows through `data`. `from` is the upstream, if this daemon has chosen it. */
	abstract head(status: number, headers: readonly string[], from?: UpstreamStart): void;
	abstract data(chunk: Uint8Array): void;
	abstract end(): void;
	/** The response was interrupted after its head was passed on. */
	abstract truncate(reason: string): void;
	abstract fail(failure: ForwardFailure): void;
}

/** The outcome of an attempt or of a whole request, for logs and metrics. */
export type RequestReport = Readonly<{
	requestId: RequestId | undefined;
	upstream: UpstreamId | undefined;
	outcome: string;
	/** Time since the request was received, in milliseconds. Set only in the last report of a request. */
	tookMs: Millis | undefined;
	/** Inputs of the decision that is reported. */
	inputs: Readonly<Record<string, unknown>>;
}>;

/** The end of a request, for accounting. */
export type RequestEnd = Readonly<{
	requestId: RequestId | undefined;
	team: TeamId | undefined;
	/** Name of the route. */
	route: string;
	outcome: string;
	tookMs: Millis;
	/** Set if an upstream has responded to the request and did not say that it has not run it. `upstream` is undefined if another daemon chose it. */
	ran: Readonly<{sentAt: Millis; upstream: UpstreamId | undefined}> | undefined;
}>;

/** A request that an upstream has begun to run, or may have, for accounting. */
export type RequestRun = Readonly<{
	requestId: RequestId | undefined;
	team: TeamId | undefined;
	/** Name of the route. */
	route: string;
	/** Undefined if another daemon chose it. */
	upstream: UpstreamId | undefined;
	sentAt: Millis;
	/** When the head of the response arrived. Undefined if the response was lost. */
	answeredAt: Millis | undefined;
	/** The load that the upstream reported with the response. */
	load: LoadReport | undefined;
}>;
