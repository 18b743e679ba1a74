import type {
	AttemptId, DataCentreId, Millis, PoolId, Request, RequestId, ShardId, UpstreamId,
} from '@cicadapost/types';
import type {StreamState} from './assemble-stream.js';
import {createBudget, type Budget} from './budget.js';
import type {FirstTokenTimes} from './first-tokens.js';

/** A shard of the local data centre with its upstreams that are not leaving. */
export type LocalShard = Readonly<{shard: ShardId; upstreams: readonly UpstreamId[]}>;

/** Another data centre that has upstreams of the pool. */
export type RemoteDataCentre = Readonly<{
	dataCentre: DataCentreId;
	/** Cost of the link (round trip, batching delay and billed volume), as the local wait that it is equivalent to. */
	costMs: Millis;
}>;

/** The places where a pool is available. Computed from configuration and membership for each new request. */
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
	/** Whether a byte may have reached an upstream. Set by `open` and `relay`; cleared only if the edge or the peer reports that nothing was sent. */
	mayHaveSent: boolean;
	/** Whether the edge has reported that it has started to write to a connection. */
	written: boolean;
	/** Tokens taken from the hedge budget; 0 if the attempt is not a hedge. */
	readonly hedgeCost: number;
	openedAt: Millis;
	firstTokenAt: Millis | undefined;
	/** Time of the last frame of a relayed attempt. */
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
	/** Counter that selects the first local shard to try, so that requests rotate over the shards. */
	readonly firstShard: number;
	stream: StreamState;
	attempts: Attempt[];
	/** Whether a byte of an attempt that has ended may have reached an upstream. */
	mayHaveSent: boolean;
	/** Whether an attempt that has ended was written to a connection, even if its upstream declined to run it. */
	written: boolean;
	/** Number of attempts so far, used to number their ids. */
	attemptCount: number;
	failures: number;
	/** Upstreams on which this request has failed. After a soft failure, which concerns only the connection, the upstream may be retried if there is no other. */
	avoid: Map<UpstreamId, 'soft' | 'hard'>;
	refusedShards: Set<ShardId>;
	triedDataCentres: Set<DataCentreId>;
	isHedged: boolean;
	/** Longest retry delay that any destination has returned; an earlier retry would be refused by that destination again. */
	retryAfterMs: Millis;
	/** Time of the next attempt, if none is running and one is scheduled. */
	retryAt: Millis | undefined;
};

export type RouterState = {
	requests: Map<RequestId, RequestEntry>;
	attempts: Map<AttemptId, RequestId>;
	/** Number of requests so far, used to rotate over the shards of a pool. */
	rotation: number;
	/** Limits retries to a share of the first attempts. */
	retries: Budget;
	/** Limits the tokens of hedges to a share of all tokens. */
	hedges: Budget;
	firstTokens: Map<PoolId, FirstTokenTimes>;
	/** Data centres that have refused a relay, with the time until which no other relay is sent to them. */
	closedUntil: Map<DataCentreId, Millis>;
};

const defaultRetryShare = 0.1;
/** The crash of an engine interrupts up to a full window of streams of one daemon. The bucket covers the retries of such a burst. */
const retryBurst = 64;
const defaultHedgeShare = 0.05;
/** Covers a few simultaneous hedges with long prompts. More would noticeably load the other engines. */
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

/** Returns whether a byte of the request may have reached an upstream. */
export function mayHaveSent(entry: RequestEntry): boolean {
	return entry.mayHaveSent || entry.attempts.some(attempt => attempt.mayHaveSent);
}
