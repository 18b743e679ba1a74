import type {Millis} from '@cicadapost/types';

/** A timer that is scheduled at most once at a time. */
export class OneShotTimer {
	private timer: NodeJS.Timeout | undefined;

	/** Replaces what was scheduled. Schedules nothing if `delayMs` is undefined. */
	schedule(delayMs: Millis | undefined, onDue: () => void): void {
		this.cancel();
		if (delayMs !== undefined) {
			this.timer = setTimeout(onDue, delayMs);
		}
	}

	cancel(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
	}
}
