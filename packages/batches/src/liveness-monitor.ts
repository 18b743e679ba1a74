import type {Millis, UpstreamId} from '@cicadapost/types';

type EngineActivity = {
	lastActivityAt: Millis;
	failures: number;
	suspendedUntil: Millis;
	failedAt: Millis;
};

/** An engine that was unreachable or silent gets no samples for this time. The time doubles with each consecutive failure. */
const suspendMs = 600;
const maxSuspendMs = 4000;
/**
An engine with active runs that has sent nothing for this long is considered dead. Events are normally 40 ms apart, and up
to 350 ms on an engine with two simultaneous slowdowns.
*/
const silenceMs = 900;
/** Silence timeout while the engine loads weights, which takes about a second. */
const loadingSilenceMs = 2200;

/** An engine that has failed so often in a row counts as out of reach, until it has not failed for some time. */
const unreachableFailures = 2;
const unreachableMs = 10_000;

/** Distinguishes dead engines from slow ones, based on the combined activity of all runs on an engine. */
export class LivenessMonitor {
	private readonly activities = new Map<UpstreamId, EngineActivity>();

	/** Records that the engine has sent something. */
	recordActivity(engine: UpstreamId, now: Millis): void {
		const activity = this.activityOf(engine);
		activity.lastActivityAt = now;
		activity.failures = 0;
	}

	/** Records that the engine was unreachable or silent. */
	recordFailure(engine: UpstreamId, now: Millis): void {
		const activity = this.activityOf(engine);
		if (activity.suspendedUntil > now) {
			// Runs that fail at the same time count as one failure.
			return;
		}

		activity.failures += 1;
		activity.failedAt = now;
		activity.suspendedUntil = now + Math.min(maxSuspendMs, suspendMs * (2 ** (activity.failures - 1)));
	}

	isSuspended(engine: UpstreamId, now: Millis): boolean {
		return (this.activities.get(engine)?.suspendedUntil ?? 0) > now;
	}

	/** Whether this daemon can't reach the engine, so that another one should take it. */
	isUnreachable(engine: UpstreamId, now: Millis): boolean {
		const activity = this.activities.get(engine);
		return activity !== undefined && activity.failures >= unreachableFailures && now - activity.failedAt < unreachableMs;
	}

	/** Whether the engine is silent. `oldestSentAt` is the time at which its oldest active run was sent. */
	isSilent(engine: UpstreamId, options: Readonly<{oldestSentAt: Millis; isLoading: boolean; now: Millis}>): boolean {
		const {oldestSentAt, isLoading, now} = options;
		const since = Math.max(oldestSentAt, this.activities.get(engine)?.lastActivityAt ?? 0);
		return now - since > (isLoading ? loadingSilenceMs : silenceMs);
	}

	private activityOf(engine: UpstreamId): EngineActivity {
		let activity = this.activities.get(engine);
		if (activity === undefined) {
			activity = {
				lastActivityAt: 0, failures: 0, suspendedUntil: 0, failedAt: 0,
			};
			this.activities.set(engine, activity);
		}

		return activity;
	}
}
