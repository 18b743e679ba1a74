import type {Millis, UpstreamId} from '@cicadapost/types';
import {LivenessMonitor} from './liveness-monitor.js';
import {SlowdownDetector} from './slowdown-detector.js';
import type {ActiveRun} from './sample-run.js';

/** What the runs of this daemon show about the engines that it owns: silence, failures and slowness. */
export class EngineWatch {
	private readonly liveness = new LivenessMonitor();
	private readonly slowdowns = new SlowdownDetector();

	constructor(private readonly isLoading: (engine: UpstreamId) => boolean) {}

	recordActivity(engine: UpstreamId, now: Millis): void {
		this.liveness.recordActivity(engine, now);
	}

	recordFailure(engine: UpstreamId, now: Millis): void {
		this.liveness.recordFailure(engine, now);
	}

	/** Records the time since the previous event of the same run, except while the engine loads weights. */
	recordGap(engine: UpstreamId, gapMs: Millis, now: Millis): void {
		if (!this.isLoading(engine)) {
			this.slowdowns.recordGap(engine, gapMs, now);
		}
	}

	/** Forgets how fast an engine was. Call this when it has no runs any more. */
	resetPace(engine: UpstreamId): void {
		this.slowdowns.reset(engine);
	}

	/** Whether an engine has recently failed and should not get new samples. */
	isSuspended(engine: UpstreamId, now: Millis): boolean {
		return this.liveness.isSuspended(engine, now);
	}

	/** Whether an engine currently generates events much more slowly than usual. */
	isSlow(engine: UpstreamId, now: Millis): boolean {
		return this.slowdowns.isSlow(engine, now);
	}

	/** Measured time between two events of a run on an engine. Undefined if too few have been seen. */
	eventMs(engine: UpstreamId, now: Millis): Millis | undefined {
		return this.slowdowns.eventMs(engine, now);
	}

	/** Engines that have been silent for too long although they have runs. This detects a dead engine much sooner than the timeouts of single runs. */
	silentEngines(runs: Iterable<ActiveRun>, now: Millis): UpstreamId[] {
		const oldest = new Map<UpstreamId, Millis>();
		for (const {engine, sentAt, withdrawTurn} of runs) {
			if (withdrawTurn === undefined) {
				oldest.set(engine, Math.min(sentAt, oldest.get(engine) ?? Number.POSITIVE_INFINITY));
			}
		}

		return [...oldest]
			.filter(([engine, oldestSentAt]) => this.liveness.isSilent(engine, {oldestSentAt, isLoading: this.isLoading(engine), now}))
			.map(([engine]) => engine);
	}
}
