import type {ClockReadings, Millis} from '@cicadapost/types';

/**
The wall clock is considered to have been set back if it has advanced this much less than the monotonic clock. More than what
rounding and slewing make out of a few seconds.
*/
const clockDisagreementMs = 100;

export type FreshnessQuery = Readonly<{
	/** When the poll was sent whose response last confirmed the copy. Undefined if none has. */
	confirmedAt: ClockReadings | undefined;
	now: ClockReadings;
	/** The copy is fresh until it is this old. */
	maxAgeMs: Millis;
}>;

/**
Whether the copy of the configuration shows every change that was confirmed more than `maxAgeMs` ago. Both clocks have to say so: the
monotonic one stands still while a VM is suspended, and the wall clock may be stepped. A wall clock that was set back proves nothing.
*/
export function isConfigurationFresh({confirmedAt, now, maxAgeMs}: FreshnessQuery): boolean {
	if (confirmedAt === undefined) {
		return false;
	}

	const steadyMs = now.steady - confirmedAt.steady;
	const wallMs = now.wall - confirmedAt.wall;
	const wasSetBack = wallMs < steadyMs - clockDisagreementMs;
	return !wasSetBack && Math.max(steadyMs, wallMs) < maxAgeMs;
}
