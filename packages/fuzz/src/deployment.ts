import {
	createJob, jobPayload, Simulation, type CallerRequest, type FakeDaemon, type FakeEngine,
} from '@cicadapost/fakes';
import type {
	CallId, DaemonId, DataCentreId, Fingerprint, MemberId, PoolId, RequestId, UpstreamId,
} from '@cicadapost/types';

/** A job that a caller has sent, recorded so that the oracle can check its results. */
export type SentJob = Readonly<{
	key: string;
	tokens: number;
	isNonIdempotent: boolean;
	isPoison: boolean;
	/** One id for each time that the caller sent the job, all under the same idempotency key. */
	requestIds: RequestId[];
}>;

export type DeploymentOptions = Readonly<{
	seed: number;
	/** Marks all requests as idempotent, so that daemons may run each of them more than once. Only for the negative control. */
	hidesNonIdempotent?: boolean;
	/** Gives each resend of a request a new fingerprint, so that daemons do not recognize it. Only for the negative control. */
	hidesResends?: boolean;
}>;

const dataCentres = {west: 'alpen', east: 'lage'};
const daemonDataCentres = {
	'entry-1': 'west', 'entry-2': 'west', 'entry-3': 'east', 'entry-4': 'east',
} as const;
const engineDataCentres = {
	'engine-1': 'west', 'engine-2': 'west', 'engine-3': 'west', 'engine-4': 'west', 'engine-5': 'east', 'engine-6': 'east', 'engine-7': 'east', 'engine-8': 'east',
} as const;
const startupMs = 4000;

/** A simulated deployment of four daemons and eight engines in two data centres. */
export class Deployment {
	readonly simulation: Simulation;
	readonly daemons: readonly FakeDaemon[];
	readonly engines: readonly FakeEngine[];
	readonly jobs = new Map<string, SentJob>();
	/** Daemons that have been asked to shut down gracefully. */
	readonly shutDownDaemons = new Set<DaemonId>();
	private sequence = 0;
	private weight = 1;

	constructor(private readonly options: DeploymentOptions) {
		this.simulation = new Simulation({seed: options.seed, dataCentres, vmListLagMs: 1000});
		this.engines = Object.entries(engineDataCentres).map(([upstream, dataCentre]) => this.simulation.addEngine({
			upstream: upstream as UpstreamId, pool: 'netmodel' as PoolId, dataCentre: dataCentre as DataCentreId,
		}));
		this.simulation.tables.seed('configuration', 'current', this.simulation.encodeConfigurationRow({members: this.members}));
		this.daemons = Object.entries(daemonDataCentres).map(([daemon, dataCentre], index) => this.simulation.addDaemon({
			daemon: daemon as DaemonId, dataCentre: dataCentre as DataCentreId, clockOffsetMs: 1000 * index,
		}));
		this.simulation.publishVms();
		this.simulation.queue.runUntil(startupMs);
	}

	advance(ms: number): void {
		this.simulation.queue.runUntil(this.simulation.queue.now + ms);
	}

	call(daemon: FakeDaemon, job: Readonly<{tokens: number; isNonIdempotent: boolean; isPoison: boolean}>): void {
		const key = `job-${this.sequence}`;
		this.jobs.set(key, {key, ...job, requestIds: []});
		this.send(daemon, this.jobs.get(key)!);
	}

	/** Resends an earlier job, as a caller does after its connection broke. */
	resend(daemon: FakeDaemon, index: number): void {
		const jobs = [...this.jobs.values()];
		if (jobs.length > 0) {
			this.send(daemon, jobs[index % jobs.length]!);
		}
	}

	applyConfiguration(daemon: FakeDaemon): void {
		this.weight++;
		const call = `apply-${this.weight}` as CallId;
		daemon.post({
			kind: 'apply-configuration', call, expectedVersion: daemon.state.configuration.version, document: this.document(),
		});
	}

	shutDownGracefully(daemon: FakeDaemon): void {
		if (daemon.status === 'running') {
			this.shutDownDaemons.add(daemon.daemon);
			daemon.post({kind: 'shut-down'});
		}
	}

	/** Ends all faults and advances the time far enough for all requests in flight to end. */
	endFaultsAndSettle(): void {
		const {network, tables, objects, queue} = this.simulation;
		network.unblockAll();
		Object.assign(network.faults, {lossRate: 0, duplicationRate: 0, maxReorderDelayMs: 0});
		const noFaults = {
			isDown: false, delayMs: 5, lostResponseRate: 0, staleReadRate: 0,
		};
		Object.assign(tables.faults, noFaults);
		Object.assign(objects.faults, noFaults);
		for (const daemon of this.daemons) {
			daemon.resume();
			if (daemon.status === 'dead') {
				daemon.restart();
			}
		}

		for (const engine of this.engines) {
			engine.slowness = 1;
			if (!engine.isAlive) {
				engine.start();
			}
		}

		queue.runUntil(queue.now + 45_000);
	}

	private document(): string {
		return this.simulation.configuration({members: this.members});
	}

	private get members(): Readonly<Record<string, {weight: number}>> {
		return {inspectors: {weight: this.weight}, clerks: {weight: 1}};
	}

	private send(daemon: FakeDaemon, job: SentJob): void {
		const requestId = `${daemon.daemon}-r${this.sequence++}` as RequestId;
		job.requestIds.push(requestId);
		const isMarkedNonIdempotent = job.isNonIdempotent && this.options.hidesNonIdempotent !== true;
		const fingerprint = this.options.hidesResends === true ? requestId : job.key;
		const request: CallerRequest = {
			requestId,
			member: 'inspectors' as MemberId,
			requestClass: 'live',
			pool: 'netmodel' as PoolId,
			promptTokens: 32,
			maxTokens: job.tokens,
			idempotent: !isMarkedNonIdempotent,
			fingerprint: fingerprint as Fingerprint,
			prefixKey: '',
			payload: jobPayload(createJob({key: job.key, tokens: job.tokens, isPoison: job.isPoison})),
			bodyHash: job.key,
			mixedVersions: false,
			remainingMs: 8000,
			...(isMarkedNonIdempotent ? {idempotencyKey: job.key} : {}),
		};
		daemon.call(request);
	}
}
