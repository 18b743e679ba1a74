import type {Millis} from '@cicadapost/types';

/** No progress for the silence limit. */
export class NoProgressError extends Error {}

/** Ends an attempt that makes no progress, whatever bytes its connection carries. */
export class ProgressWatchdog {
	private readonly controller = new AbortController();
	private timer: NodeJS.Timeout | undefined;
	private isStopped = false;

	constructor(private readonly limitMs: Millis) {}

	/** Aborts with a `SilentError` after the limit. */
	get signal(): AbortSignal {
		return this.controller.signal;
	}

	/** Starts to watch, or starts again after progress. */
	recordProgress(): void {
		// Refreshing a timer that was cleared or has fired would arm it again.
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
