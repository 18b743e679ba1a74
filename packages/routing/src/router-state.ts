import type {
	AttemptId, DataCentreId, Millis, PoolId, Request, RequestId, ShardId, UpstreamId,
} from '@cicadapost/types';
import type {StreamState} from './assemble-stream.js';
import {createBudget, type Budget} from './budget.js';
import type {FirstTokenTimes} from './first-tokens.js';

/** A shard of the own data centre with the upstreams that are not leaving. */
export type LocalShard = Readonly<{shard: ShardId; upstreams: readonly UpstreamId[]}>;

/** Another data centre that has upstreams of the pool. */
export type RemoteDataCentre = Readonly<{
	dataCentre: DataCentreId;
	/** What the link costs, as the wait at home that is worth it: round trip, delay of batches, and the billed volume. */
	costMs: Millis;
}>;

/** Where a pool can be reached now. Computed from configuration and membership for each new request. */
export type PoolDestinations = Readonly<{
	shards: readonly LocalShard[];
	/** Nearest first. */
	dataCentres: readonly RemoteDataCentre[];
}>;

export type Destination = Readonly<{kind: 'shard'; shard: ShardId}> | Readonly<{kind: 'data-centre'; dataCentre: DataCentreId}>;

export type Attempt = {
	readonly attempt: AttemptId;
	readonly destination: Destination;
	upstream: UpstreamId | undefined;
	/** Whether a byte may have reached an upstream: set with `open` or `relay`, cleared only if the edge or the peer reports that nothing was sent. */
	mayHaveSent: boolean;
	/** Whether the edge has reported that it writes to a connection. */
	written: boolean;
	/** Tokens taken from the hedge budget; 0 for an attempt that is no hedge. */
	readonly hedgeCost: number;
	openedAt: Millis;
	firstTokenAt: Millis | undefined;
	/** Last frame of a relayed attempt. */
	progressAt: Millis;
	tokens: number;
	status: number;
	contentType: string;
};

export type RequestEntry = {
	readonly request: Request;
	readonly destinations: PoolDestinations;
	/** No byte is sent to an upstream after this time. */
	readonly notAfter: Millis;
	/** First home shard that is asked; requests take turns. */
	readonly firstShard: number;
	stream: StreamState;
	attempts: Attempt[];
	/** Whether a byte of an attempt that has ended may have reached an upstream. */
	mayHaveSent: boolean;
	/** Whether an attempt that has ended was written to a connection, although its upstream may have declined it. */
	written: boolean;
	/** Attempts so far; numbers their ids. */
	attemptCount: number;
	failures: number;
	/** Upstreams that failed on this request. A soft failure concerns the connection only, so the upstream may be used again if there is no other. */
	avoid: Map<UpstreamId, 'soft' | 'hard'>;
	refusedShards: Set<ShardId>;
	triedDataCentres: Set<DataCentreId>;
	isHedged: boolean;
	/** Longest time that a place named; sooner than that, one of them would refuse again. */
	retryAfterMs: Millis;
	/** Time of the next attempt while none is running. */
	retryAt: Millis | undefined;
};

export type RouterState = {
	requests: Map<RequestId, RequestEntry>;
	attempts: Map<AttemptId, RequestId>;
	/** Counts requests, so that they take turns over the shards of a pool. */
	rotation: number;
	/** Retries as a share of first attempts. */
	retries: Budget;
	/** Tokens of hedges as a share of all tokens. */
	hedges: Budget;
	firstTokens: Map<PoolId, FirstTokenTimes>;
	/** Data centres that refused a relay, until a later try is likely to succeed. */
	closedUntil: Map<DataCentreId, Millis>;
};

const defaultRetryShare = 0.1;
/** A crashed engine leaves up to a window of streams to one daemon; the bucket covers such a burst. */
const retryBurst = 64;
const defaultHedgeShare = 0.05;
/** Covers a few hedges with long prompts at once; more would be load that the slow engine's neighbours feel. */
const hedgeBurstTokens = 16_384;

export function createRouter(): RouterState {
	return {
		requests: new Map(),
		attempts: new Map(),
		rotation: 0,
		retries: createBudget({share: defaultRetryShare, initial: retryBurst / 2, burst: retryBurst}),
		hedges: createBudget({share: defaultHedgeShare, initial: 0, burst: hedgeBurstTokens}),
		firstTokens: new Map(),
		closedUntil: new Map(),
	};
}

/** Whether a byte of the request may have reached an upstream. */
export function mayHaveSent(entry: RequestEntry): boolean {
	return entry.mayHaveSent || entry.attempts.some(attempt => attempt.mayHaveSent);
}
