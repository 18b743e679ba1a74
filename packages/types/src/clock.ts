import {performance} from 'node:perf_hooks';
import type {Millis} from './ids.js';

/** Source of the present time. Decision code never reads it; it is handed the time. */
export abstract class Clock {
	/** Milliseconds since the start of the process; never goes back. */
	abstract now(): Millis;
	/** Milliseconds since 1970, for values that leave the process. */
	abstract wallTime(): Millis;
}

export class SystemClock extends Clock {
	override now(): Millis {
		return performance.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}
