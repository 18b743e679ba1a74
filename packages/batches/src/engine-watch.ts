import {PaceMeter} from '@cicadapost/sample-order';
import type {Millis, UpstreamId} from '@cicadapost/types';
import {LivenessMonitor} from './liveness-monitor.js';
import {SlowdownDetector} from './slowdown-detector.js';
import type {ActiveRun} from './sample-run.js';

/** What the runs of this daemon show about the engines that it owns: silence, failures and slowness. */
export class EngineWatch {
	private readonly liveness = new LivenessMonitor();
	private readonly slowdowns = new SlowdownDetector();
	private readonly pace = new PaceMeter();
	/** Starts of the engines that have measurements. */
	private bornAt: ReadonlyMap<UpstreamId, number> = new Map();

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

	/** Records a completed run that generated its whole text. `expectedTokens` is the trainer's estimate of its output. */
	recordRun(engine: UpstreamId, run: Readonly<{tookMs: Millis; expectedTokens: number}>): void {
		this.pace.record(engine, run);
	}

	/**
	Forgets what was measured at all other engines, and at earlier starts of these. Only the owner of an engine sees how it changes,
	so an earlier owner must not judge it by what it has measured.
	*/
	retain(engines: ReadonlyArray<Readonly<{id: UpstreamId; bornAt: number}>>): void {
		const bornAt = new Map(engines.map(engine => [engine.id, engine.bornAt]));
		for (const [id, start] of this.bornAt) {
			if (bornAt.get(id) !== start) {
				this.slowdowns.forget(id);
				this.pace.forget(id);
			}
		}

		this.bornAt = bornAt;
	}

	/** Whether an engine has recently failed and should not get new samples. */
	isSuspended(engine: UpstreamId, now: Millis): boolean {
		return this.liveness.isSuspended(engine, now);
	}

	/** Whether this daemon can't reach an engine, so that another one should take it. */
	isUnreachable(engine: UpstreamId, now: Millis): boolean {
		return this.liveness.isUnreachable(engine, now);
	}

	/** Whether an engine currently generates events much more slowly than usual. */
	isSlow(engine: UpstreamId, now: Millis): boolean {
		return this.slowdowns.isSlow(engine, now);
	}

	/** Measured time for one expected token in a run at an engine, in ms. Undefined if no run has ended there yet. */
	msPerToken(engine: UpstreamId): number | undefined {
		return this.pace.msPerToken(engine);
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
