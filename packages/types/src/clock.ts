import {performance} from 'node:perf_hooks';
import type {Millis} from './ids.js';

/** Both clocks at one moment. The monotonic one may stand still while a VM is suspended, and the wall clock may be stepped. */
export type ClockReadings = Readonly<{steady: Millis; wall: Millis}>;

/** Source of the current time. Decision functions take the time as an argument and never read a clock. */
export abstract class Clock {
	/** Monotonic time in milliseconds since the start of the process. */
	abstract now(): Millis;
	/** Milliseconds since the Unix epoch, for values that leave the process. */
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
