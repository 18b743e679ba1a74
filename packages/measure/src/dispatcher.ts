import {
	parseJob, type CallerRequest, type FakeEngine, type Simulation,
} from '@cicadapost/fakes';
import type {
	AttemptId, Chunk, Millis, RequestId, VersionSpan,
} from '@cicadapost/types';

/** How a baseline selects an engine. */
export type DispatchRule =
	/** Round robin over the engines, without a queue. */
	| 'round-robin'
	/** The engine with the lowest load in its last report, ties broken at random, without a queue. */
	| 'least-reported-load'
	/** One FIFO queue, and a fixed window for each engine. */
	| 'first-come-queue'
	/** Like `first-come-queue`, but prefers engines that have the prefix cached, with exact knowledge of each cache at any time. */
	| 'oracle-of-caches';

/** A typical load balancer as a baseline: it does not retry, and does not distinguish members. */
export class Dispatcher {
	private next = 0;
	private readonly inFlight = new Map<FakeEngine, number>();
	/** Queued requests in order of arrival. */
	private readonly waiting = new Map<RequestId, CallerRequest>();
	private readonly deadlines = new Map<RequestId, Millis>();

	constructor(private readonly simulation: Simulation, private readonly rule: DispatchRule) {}

	call(request: CallerRequest): void {
		this.simulation.recorder.record({
			kind: 'caller-sent', daemon: 'dispatcher' as never, requestId: request.requestId, job: parseJob(request.payload).key,
		});
		this.deadlines.set(request.requestId, this.simulation.queue.now + request.remainingMs);
		if (this.rule === 'round-robin' || this.rule === 'least-reported-load') {
			this.open(request, this.pickWithoutQueue(request));
			return;
		}

		const {requestId} = request;
		this.waiting.set(requestId, request);
		this.simulation.queue.schedule(request.remainingMs, () => {
			if (this.waiting.delete(requestId)) {
				this.fail(requestId, 'deadline');
			}
		});
		this.grant();
	}

	private availableEngines(request: CallerRequest): FakeEngine[] {
		return [...this.simulation.engines.values()].filter(engine => engine.pool === request.pool && engine.isAlive && !engine.isLeaving);
	}

	private pickWithoutQueue(request: CallerRequest): FakeEngine | undefined {
		const engines = this.availableEngines(request);
		if (engines.length === 0) {
			return undefined;
		}

		if (this.rule === 'round-robin') {
			return engines[this.next++ % engines.length];
		}

		const loads = engines.map(engine => {
			const {running, waiting} = engine.loadReport();
			return running + waiting;
		});
		const least = Math.min(...loads);
		return this.simulation.random.pick(engines.filter((_, index) => loads[index] === least));
	}

	private grant(): void {
		for (const [requestId, request] of this.waiting) {
			const engine = this.pickWithinWindow(request);
			if (engine === undefined) {
				return;
			}

			this.waiting.delete(requestId);
			this.open(request, engine);
		}
	}

	private pickWithinWindow(request: CallerRequest): FakeEngine | undefined {
		const free = this.availableEngines(request).filter(engine => (this.inFlight.get(engine) ?? 0) < engine.speed.maxBatch);
		const cached = this.rule === 'oracle-of-caches' ? free.filter(engine => engine.isCached(request.prefixKey)) : [];
		const candidates = cached.length > 0 ? cached : free;
		return candidates.toSorted((a, b) => (this.inFlight.get(a) ?? 0) - (this.inFlight.get(b) ?? 0))[0];
	}

	private open(request: CallerRequest, engine: FakeEngine | undefined): void {
		const {requestId} = request;
		if (engine === undefined) {
			this.fail(requestId, 'no-upstream');
			return;
		}

		const versions: VersionSpan[] = [];
		this.count(engine, 1);
		let isEnded = false;
		const end = (): void => {
			isEnded = true;
			this.count(engine, -1);
			this.grant();
		};

		engine.open(`${requestId}.0` as AttemptId, parseJob(request.payload), 0, {
			chunk: (chunk: Chunk) => {
				this.simulation.recorder.record({kind: 'caller-chunk', requestId, chunk});
			},
			finished: tokens => {
				this.simulation.recorder.record({
					kind: 'caller-completed', requestId, tokens, status: 200, versions,
				});
				end();
			},
			failed: failure => {
				this.fail(requestId, failure);
				end();
			},
		});
		this.simulation.queue.schedule(this.deadlines.get(requestId)! - this.simulation.queue.now, () => {
			if (!isEnded) {
				engine.cancel(`${requestId}.0` as AttemptId);
				this.fail(requestId, 'deadline');
				end();
			}
		});
	}

	private count(engine: FakeEngine, delta: number): void {
		this.inFlight.set(engine, (this.inFlight.get(engine) ?? 0) + delta);
	}

	private fail(requestId: RequestId, cause: 'deadline' | 'no-upstream' | 'upstream-died' | string): void {
		this.simulation.recorder.record({
			kind: 'caller-failed', requestId, cause: cause as 'deadline', outcome: 'unknown', retryAfterMs: 1000,
		});
	}
}
