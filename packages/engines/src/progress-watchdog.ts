import type {Millis} from '@cicadapost/types';

/** The attempt made no progress within the silence limit. */
export class NoProgressError extends Error {}

/** Aborts an attempt that makes no progress, even if its connection still receives bytes such as keep-alive comments. */
export class ProgressWatchdog {
	private readonly controller = new AbortController();
	private timer: NodeJS.Timeout | undefined;
	private isStopped = false;

	constructor(private readonly limitMs: Millis) {}

	/** Aborts with a `NoProgressError` after the limit. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/** Starts the timer, or restarts it after progress. */
	recordProgress(): void {
		// Refreshing a cleared or expired timer would start it again.
		if (this.isStopped || this.signal.aborted) {
			return;
		}

		if (this.timer === undefined) {
			this.timer = setTimeout(() => {
				this.controller.abort(new NoProgressError(`the upstream made no progress for ${this.limitMs} ms`));
			}, this.limitMs);
			return;
		}

		this.timer.refresh();
	}

	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
	}
}
