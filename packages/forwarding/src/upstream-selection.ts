import {chooseUpstream, type UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {
	intervalMs, maxTurnWaitMs, type RequestLimits, type SendReason, type UpstreamLimit,
} from '@cicadapost/rate-limits';
import type {
	Clock, DataCentreId, Millis, UpstreamId,
} from '@cicadapost/types';
import type {ConnectionPool} from './connection-pool.js';
import type {PlainRequest} from './plain-request.js';
import {pickService} from './route.js';
import type {StreamOrigin} from './stream-origins.js';
import type {UpstreamHealthTracker} from './upstream-health.js';

export type UpstreamSelectionOptions = Readonly<{
	clock: Clock;
	directory: UpstreamDirectory;
	pool: Pick<ConnectionPool, 'hasIdle'>;
	health: UpstreamHealthTracker;
	limits: RequestLimits;
	dataCentre: DataCentreId;
	random: () => number;
}>;

/** A request waits for a turn for this much longer than elsewhere: about two calls to a store in another region. */
const turnPatienceMs = 60;

/** Chooses the upstreams of one request. */
export class UpstreamSelection {
	/** Upstreams that have had the request, or twice had no turn for it. */
	private readonly tried = new Set<UpstreamId>();
	/** Upstreams that had no turn for the request in time. Only after that does this daemon know how long their queue is. */
	private readonly withoutTurn = new Set<UpstreamId>();
	/** Where the stream began that the request continues. */
	private origin: StreamOrigin | undefined;

	constructor(private readonly options: UpstreamSelectionOptions, private readonly req: PlainRequest) {}

	/** Allows only upstreams at which a stream from `origin` may go on. */
	restrictTo(origin: StreamOrigin): void {
		this.origin = origin;
	}

	recordSend(upstream: UpstreamRecord): void {
		this.tried.add(upstream.id);
	}

	recordNoTurn(upstream: UpstreamRecord): void {
		if (this.withoutTurn.has(upstream.id)) {
			this.tried.add(upstream.id);
		}

		this.withoutTurn.add(upstream.id);
	}

	/** Upstreams that have not had the request and can take it in time. A hedge must not use up the rate of a limited upstream. */
	candidates(reason: SendReason): readonly UpstreamRecord[] {
		return this.readyUpstreams().filter(upstream => {
			const limit = this.options.limits.limitOf(upstream);
			const canTake = limit === undefined || (reason !== 'hedge' && limit.waitMs <= this.maxQueueMs(limit));
			return canTake && !this.tried.has(upstream.id);
		});
	}

	choose(reason: SendReason): UpstreamRecord | undefined {
		const {
			clock, health, limits, pool, dataCentre, random,
		} = this.options;
		return chooseUpstream({
			candidates: this.candidates(reason),
			health: id => health.healthOf(id, pool.hasIdle(id)),
			turnWaitMs: upstream => limits.limitOf(upstream)?.waitMs,
			dataCentre,
			tried: this.tried,
			now: clock.now(),
			random: random(),
		});
	}

	/** Returns how long the request may wait for a turn at the chosen upstream before it is better off elsewhere. */
	maxTurnWaitMs(chosen: UpstreamRecord, limit: UpstreamLimit, reason: SendReason): Millis {
		const {clock, health, limits} = this.options;
		const others = this.candidates(reason).filter(({id}) => id !== chosen.id && health.healthOf(id, false).avoidUntil <= clock.now());
		const waitElsewhereMs = Math.min(...others.map(upstream => limits.limitOf(upstream)?.waitMs ?? 0));
		return Math.min(this.maxQueueMs(limit), waitElsewhereMs + turnPatienceMs);
	}

	/** Time until the queue of an upstream that limits its rate has moved on far enough for one more request; 0 if one has no limit. */
	waitForTurnMs(): Millis {
		const waits = this.readyUpstreams().map(upstream => {
			const limit = this.options.limits.limitOf(upstream);
			return limit === undefined ? 0 : Math.max(0, limit.waitMs - this.maxQueueMs(limit)) + intervalMs(limit.requestsPerSecond);
		});
		return waits.length === 0 ? 0 : Math.min(...waits);
	}

	private maxQueueMs({requestsPerSecond}: UpstreamLimit): Millis {
		const {deadlineAt, route} = this.req;
		return maxTurnWaitMs({remainingMs: deadlineAt - this.options.clock.now(), targetLatencyMs: route.targetLatencyMs, requestsPerSecond});
	}

	private readyUpstreams(): readonly UpstreamRecord[] {
		const {origin} = this;
		if (origin !== undefined) {
			return this.options.directory.ready(origin.service).filter(upstream => upstream.softwareVersion === origin.softwareVersion);
		}

		const service = pickService(this.req.route, this.options.random());
		return service === undefined ? [] : this.options.directory.ready(service);
	}
}
