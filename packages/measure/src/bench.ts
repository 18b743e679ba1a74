import {
	createJob, defaultSpeed, jobPayload, requestsPerSecond, Simulation, type CallerRequest, type EngineSpeed, type FakeDaemon, type FakeEngine, type FakeEngineOptions, type Job,
} from '@cicadapost/fakes';
import type {
	DaemonId, DataCentreId, Fingerprint, MemberId, Millis, PoolId, RequestClass, RequestId, UpstreamId,
} from '@cicadapost/types';
import {Collector} from './collector.js';
import {Dispatcher, type DispatchRule} from './dispatcher.js';

/** The system under test: daemons that run the decision code, each variant with its own configuration, or a baseline. */
export type Variant = Readonly<{name: string}> & (
	| Readonly<{kind: 'policy'; pool?: Readonly<Record<string, unknown>>; policy?: Readonly<Record<string, unknown>>; hasFixedWindows?: boolean; hasNoWeights?: boolean; hasNoPrefixKeys?: boolean; hasNoClasses?: boolean}>
	| Readonly<{kind: 'dispatcher'; rule: DispatchRule}>
	/** How the samples of batches are ordered; used only by the batch-order case. */
	| Readonly<{kind: 'planner'; planner: 'product' | 'slack' | 'submission-order' | 'shortest-first' | 'longest-first'}>
);

export const policy: Variant = {name: 'policy', kind: 'policy'};
export const withoutHedges: Variant = {name: 'policy without hedges', kind: 'policy', policy: {hedgeBudget: 0}};
export const withoutRetries: Variant = {name: 'policy without retries', kind: 'policy', policy: {retryBudget: 0}};
/** Fixes the window of each engine at its batch size, by setting the initial size to the maximum. */
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
	/** Pool settings for all variants; the settings of a variant take precedence. */
	pool?: Readonly<Record<string, unknown>>;
}>;

export type RequestSpec = Readonly<{
	member: string;
	requestClass: RequestClass;
	/** Unchanged when the caller sends the request again. */
	key: string;
	/** 0 for the first time that the request is sent, 1 for the first resend, and so on. */
	sendIndex?: number;
	job: Partial<Job>;
	deadlineMs: Millis;
	idempotent?: boolean;
	/** Size to which the body that crosses the network is padded. */
	bodyBytes?: number;
}>;

/** Creates the request that a caller sends for `spec`. */
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
		// Trailing spaces are ignored by the JSON parser; they stand in for a photo or a long prompt.
		payload: {...payload, body: payload.body.padEnd(spec.bodyBytes ?? 0)},
		bodyHash: spec.key,
		mixedVersions: true,
		remainingMs: spec.deadlineMs,
	};
}

/** Simulates one run: engines in one data centre, with a variant in front of them. */
export class Bench {
	readonly simulation: Simulation;
	readonly collector: Collector;
	readonly engines: FakeEngine[] = [];
	readonly daemons: FakeDaemon[] = [];
	/** When the load starts; the daemons load their configuration before that. */
	readonly startAt: Millis = 5000;
	private readonly dispatcher: Dispatcher | undefined;
	private next = 0;

	constructor(private readonly options: BenchOptions) {
		this.simulation = new Simulation({seed: options.seed, dataCentres: {[homeDataCentre]: 'alpen-west'}, recordsEvents: false});
		this.collector = new Collector(this.simulation.recorder, () => this.simulation.queue.now);
		for (let index = 0; index < options.engines; index++) {
			this.engines.push(this.simulation.addEngine({
				...options.engine, ...(options.speed === undefined ? {} : {speed: options.speed}), upstream: `engine-${String(index).padStart(3, '0')}` as UpstreamId, pool, dataCentre: homeDataCentre,
			}));
		}

		if (options.variant.kind === 'dispatcher') {
			this.dispatcher = new Dispatcher(this.simulation, options.variant.rule);
		} else if (options.variant.kind === 'policy') {
			this.startDaemons(options.variant);
		}

		this.simulation.queue.runUntil(this.startAt);
	}

	/** Requests per second that the engines complete when all of them run full batches. */
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

		// The platform's load balancer distributes callers over the live daemons in round-robin order.
		const live = this.daemons.filter(daemon => daemon.status !== 'dead');
		live[this.next++ % live.length]!.call(request);
		return requestId;
	}

	/** Schedules calls of `send` as a Poisson process with rate `perSecond`, from `fromMs` to `toMs` after the start of the load. */
	scheduleArrivals(perSecond: number, fromMs: Millis, toMs: Millis, send: (index: number) => void): void {
		const random = this.simulation.random.fork();
		let index = 0;
		const scheduleNext = (at: Millis): void => {
			if (at >= this.startAt + toMs) {
				return;
			}

			this.simulation.queue.schedule(at - this.simulation.queue.now, () => {
				send(index++);
				scheduleNext(this.simulation.queue.now + random.exponential(1000 / perSecond));
			});
		};

		scheduleNext(this.startAt + fromMs + random.exponential(1000 / perSecond));
	}

	/** Schedules `run` at `ms` after the start of the load. */
	scheduleAt(ms: Millis, run: () => void): void {
		this.simulation.queue.schedule(this.startAt + ms - this.simulation.queue.now, run);
	}

	/** Runs the simulation until `ms` after the start of the load. */
	runUntil(ms: Millis): void {
		this.simulation.queue.runUntil(this.startAt + ms);
	}

	private startDaemons(variant: Extract<Variant, {kind: 'policy'}>): void {
		const {members} = this.options;
		const batch = this.options.speed?.maxBatch ?? defaultSpeed.maxBatch;
		this.simulation.tables.seed('configuration', 'current', this.simulation.encodeConfigurationRow({
			members: variant.hasNoWeights === true ? Object.fromEntries(Object.entries(members).map(([name, member]) => [name, {...member, weight: 1}])) : members,
			pool: {
				maxWindow: batch, ...(variant.hasFixedWindows === true ? {initialWindow: batch} : {}), ...this.options.pool, ...variant.pool,
			},
			policy: variant.policy ?? {},
		}));
		for (let index = 0; index < (this.options.daemons ?? 4); index++) {
			this.daemons.push(this.simulation.addDaemon({
				daemon: `daemon-${index}` as DaemonId, dataCentre: homeDataCentre, clockOffsetMs: 1_000_000 * index,
			}));
		}

		this.simulation.publishVms();
	}
}
