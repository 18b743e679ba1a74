import {
	createJob, defaultSpeed, jobPayload, requestsPerSecond, World, type CallerRequest, type EngineSpeed, type FakeDaemon, type FakeEngine, type FakeEngineOptions, type Job,
} from '@cicadapost/fakes';
import type {
	DaemonId, DataCentreId, Fingerprint, MemberId, Millis, PoolId, RequestClass, RequestId, UpstreamId,
} from '@cicadapost/types';
import {Collector} from './collector.js';
import {Dispatcher, type DispatchRule} from './dispatcher.js';

/** What answers the callers: the decision code in daemons, with a configuration of its own, or a baseline. */
export type Variant = Readonly<{name: string}> & (
	| Readonly<{kind: 'policy'; pool?: Readonly<Record<string, unknown>>; policy?: Readonly<Record<string, unknown>>; hasFixedWindows?: boolean; hasNoWeights?: boolean; hasNoPrefixKeys?: boolean; hasNoClasses?: boolean}>
	| Readonly<{kind: 'dispatcher'; rule: DispatchRule}>
	/** What orders the samples of batches; only the case batch-order knows it. */
	| Readonly<{kind: 'planner'; planner: 'product' | 'submission-order' | 'shortest-first' | 'longest-first'}>
);

export const policy: Variant = {name: 'policy', kind: 'policy'};
export const withoutHedges: Variant = {name: 'policy without hedges', kind: 'policy', policy: {hedgeBudget: 0}};
export const withoutRetries: Variant = {name: 'policy without retries', kind: 'policy', policy: {retryBudget: 0}};
/** The window of each engine stays at the size of the engine's batch. */
export const fixedWindows: Variant = {name: 'policy with fixed windows', kind: 'policy', hasFixedWindows: true};
export const roundRobin: Variant = {name: 'round robin', kind: 'dispatcher', rule: 'round-robin'};
export const leastReportedLoad: Variant = {name: 'least reported load', kind: 'dispatcher', rule: 'least-reported-load'};
export const firstComeQueue: Variant = {name: 'first-come queue', kind: 'dispatcher', rule: 'first-come-queue'};
export const baselines = [roundRobin, leastReportedLoad, firstComeQueue] as const;

export const homeDataCentre = 'alpen-west-1' as DataCentreId;
export const pool = 'netmodel' as PoolId;

export type BenchOptions = Readonly<{
	seed: number;
	variant: Variant;
	engines: number;
	daemons?: number;
	members: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	speed?: Partial<EngineSpeed>;
	engine?: Partial<FakeEngineOptions>;
	/** Settings of the pool for each variant; a variant's own settings go first. */
	pool?: Readonly<Record<string, unknown>>;
}>;

export type RequestSpec = Readonly<{
	member: string;
	requestClass: RequestClass;
	/** Stays the same when the caller sends the request again. */
	key: string;
	/** Number of the try, from 0. */
	sendIndex?: number;
	job: Partial<Job>;
	deadlineMs: Millis;
	idempotent?: boolean;
	/** Size of the body that crosses the network. */
	bodyBytes?: number;
}>;

/** The request that a caller sends for `work`. */
export function createRequest(spec: RequestSpec, hasNoPrefixKeys = false): CallerRequest {
	const job = createJob({...spec.job, key: spec.key});
	const payload = jobPayload(job);
	return {
		requestId: `${spec.key}~${spec.sendIndex ?? 0}` as RequestId,
		member: spec.member as MemberId,
		requestClass: spec.requestClass,
		pool,
		promptTokens: job.promptTokens,
		maxTokens: Math.max(job.tokens, 16),
		idempotent: spec.idempotent ?? true,
		fingerprint: spec.key as Fingerprint,
		prefixKey: hasNoPrefixKeys ? '' : job.prefixKey,
		// JSON ignores the blanks behind the job; they stand for a photo or a long prompt.
		payload: {...payload, body: payload.body.padEnd(spec.bodyBytes ?? 0)},
		bodyHash: spec.key,
		mixedVersions: true,
		remainingMs: spec.deadlineMs,
	};
}

/** One run: a world with engines of one data centre, and a variant in front of them. */
export class Bench {
	readonly world: World;
	readonly collector: Collector;
	readonly engines: FakeEngine[] = [];
	readonly daemons: FakeDaemon[] = [];
	/** Start of the load; before it the daemons have read their configuration. */
	readonly startAt: Millis = 5000;
	private readonly dispatcher: Dispatcher | undefined;
	private next = 0;

	constructor(private readonly options: BenchOptions) {
		this.world = new World({seed: options.seed, dataCentres: {[homeDataCentre]: 'alpen-west'}, isKeepingRecord: false});
		this.collector = new Collector(this.world.recorder, () => this.world.queue.now);
		for (let index = 0; index < options.engines; index++) {
			this.engines.push(this.world.addEngine({
				...options.engine, ...(options.speed === undefined ? {} : {speed: options.speed}), upstream: `engine-${String(index).padStart(3, '0')}` as UpstreamId, pool, dataCentre: homeDataCentre,
			}));
		}

		if (options.variant.kind === 'dispatcher') {
			this.dispatcher = new Dispatcher(this.world, options.variant.rule);
		} else if (options.variant.kind === 'policy') {
			this.startDaemons(options.variant);
		}

		this.world.queue.runUntil(this.startAt);
	}

	/** Requests a second that the engines complete when all of them run full batches. */
	capacity(job: Readonly<{tokens: number; promptTokens: number}>): number {
		return this.engines.length * requestsPerSecond(this.engines[0]!.speed, job);
	}

	send(spec: RequestSpec): RequestId {
		const hasNoPrefixKeys = this.options.variant.kind === 'policy' && this.options.variant.hasNoPrefixKeys === true;
		const request = createRequest(spec, hasNoPrefixKeys);
		const {requestId} = request;
		this.collector.recordSend({
			requestId, job: spec.key, member: spec.member, requestClass: spec.requestClass, deadlineMs: spec.deadlineMs,
		});
		if (this.dispatcher !== undefined) {
			this.dispatcher.call(request);
			return requestId;
		}

		// The load balancer of the platform sends callers to each live daemon in turn.
		const live = this.daemons.filter(daemon => daemon.status !== 'dead');
		live[this.next++ % live.length]!.call(request);
		return requestId;
	}

	/** Calls `send` at random times with `perSecond` on average, from `fromMs` to `toMs` after the start. */
	scheduleArrivals(perSecond: number, fromMs: Millis, toMs: Millis, send: (index: number) => void): void {
		const random = this.world.random.fork();
		let index = 0;
		const scheduleNext = (at: Millis): void => {
			if (at >= this.startAt + toMs) {
				return;
			}

			this.world.queue.schedule(at - this.world.queue.now, () => {
				send(index++);
				scheduleNext(this.world.queue.now + random.exponential(1000 / perSecond));
			});
		};

		scheduleNext(this.startAt + fromMs + random.exponential(1000 / perSecond));
	}

	scheduleAt(ms: Millis, run: () => void): void {
		this.world.queue.schedule(this.startAt + ms - this.world.queue.now, run);
	}

	runUntil(ms: Millis): void {
		this.world.queue.runUntil(this.startAt + ms);
	}

	private startDaemons(variant: Extract<Variant, {kind: 'policy'}>): void {
		const {members} = this.options;
		const batch = this.options.speed?.maxBatch ?? defaultSpeed.maxBatch;
		this.world.tables.seed('configuration', 'current', this.world.storedConfiguration({
			members: variant.hasNoWeights === true ? Object.fromEntries(Object.entries(members).map(([name, member]) => [name, {...member, weight: 1}])) : members,
			pool: {
				maxWindow: batch, ...(variant.hasFixedWindows === true ? {initialWindow: batch} : {}), ...this.options.pool, ...variant.pool,
			},
			policy: variant.policy ?? {},
		}));
		for (let index = 0; index < (this.options.daemons ?? 4); index++) {
			this.daemons.push(this.world.addDaemon({
				daemon: `daemon-${index}` as DaemonId, dataCentre: homeDataCentre, clockOffsetMs: 1_000_000 * index,
			}));
		}

		this.world.publishVms();
	}
}
