import type {Millis, UpstreamId} from '@cicadapost/types';

type EngineActivity = {
	lastActivityAt: Millis;
	failures: number;
	suspendedUntil: Millis;
};

/** An engine that could not be reached or fell silent gets no samples for this time, doubled with each time in a row. */
const suspendMs = 600;
const maxSuspendMs = 4000;
/**
An engine at which samples run and from which nothing has come for this long is taken to be gone: events come 40 ms apart,
and up to 350 ms on an engine that is slowed twice over.
*/
const silenceMs = 900;
/** Patience while the engine loads weights, which takes about a second. */
const loadingSilenceMs = 2200;

/** Tells engines that are gone from slow ones by what comes from all runs at an engine together. */
export class LivenessMonitor {
	private readonly activities = new Map<UpstreamId, EngineActivity>();

	/** Something came from the engine. */
	recordActivity(engine: UpstreamId, now: Millis): void {
		const activity = this.activityOf(engine);
		activity.lastActivityAt = now;
		activity.failures = 0;
	}

	/** The engine could not be reached, or fell silent. */
	recordFailure(engine: UpstreamId, now: Millis): void {
		const activity = this.activityOf(engine);
		if (activity.suspendedUntil > now) {
			// Runs that fail together count once.
			return;
		}

		activity.failures += 1;
		activity.suspendedUntil = now + Math.min(maxSuspendMs, suspendMs * (2 ** (activity.failures - 1)));
	}

	isSuspended(engine: UpstreamId, now: Millis): boolean {
		return (this.activities.get(engine)?.suspendedUntil ?? 0) > now;
	}

	/** Whether the engine is silent, given when the oldest of the present runs there was sent. */
	isSilent(engine: UpstreamId, options: Readonly<{oldestSentAt: Millis; isLoading: boolean; now: Millis}>): boolean {
		const {oldestSentAt, isLoading, now} = options;
		const since = Math.max(oldestSentAt, this.activities.get(engine)?.lastActivityAt ?? 0);
		return now - since > (isLoading ? loadingSilenceMs : silenceMs);
	}

	private activityOf(engine: UpstreamId): EngineActivity {
		let activity = this.activities.get(engine);
		if (activity === undefined) {
			activity = {lastActivityAt: 0, failures: 0, suspendedUntil: 0};
			this.activities.set(engine, activity);
		}

		return activity;
	}
}
