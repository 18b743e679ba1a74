import type {ClockReadings, Millis} from '@cicadapost/types';

/** The clocks may differ by this much over any time, for example because the wall clock has a resolution of one millisecond. */
const clockToleranceMs = 100;
/** The clocks may differ by this share of the elapsed time. Time services slew a wall clock by up to a twelfth. */
const clockToleranceShare = 0.1;

export type FreshnessQuery = Readonly<{
	/** When the poll was sent whose response last confirmed the copy. Undefined if none has. */
	confirmedAt: ClockReadings | undefined;
	now: ClockReadings;
	/** The copy is fresh until it is this old. */
	maxAgeMs: Millis;
}>;

/**
Whether the copy of the configuration shows every change that was confirmed more than `maxAgeMs` ago. Both clocks have to say so: the
monotonic one stands still while a VM is suspended, and the wall clock may be stepped. Clocks that disagree prove nothing, since a step
back may hide a part of a suspension; the next confirmed poll ends this.
*/
export function isConfigurationFresh({confirmedAt, now, maxAgeMs}: FreshnessQuery): boolean {
	if (confirmedAt === undefined) {
		return false;
	}

	const steadyMs = now.steady - confirmedAt.steady;
	const wallMs = now.wall - confirmedAt.wall;
	const agree = Math.abs(wallMs - steadyMs) <= clockToleranceMs + (steadyMs * clockToleranceShare);
	return agree && Math.max(steadyMs, wallMs) < maxAgeMs;
}
