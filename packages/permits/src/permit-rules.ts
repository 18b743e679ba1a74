import type {DaemonId, Millis} from '@cicadapost/types';

/** A call must be sent within this time after its permit was requested. */
export const permitValidityMs = 500;
/** Maximum time that a call takes to reach its receiver. */
export const maxTransitMs = 300;

/** What all permits have in common. */
export type Permit = Readonly<{
	holder: DaemonId;
	/** Never decreases, and differs between two holders. */
	fencingToken: number;
}>;

export type PermitRequestState = Readonly<{
	permit: Permit | undefined;
	/** Time since this daemon learned of the current permit. */
	unchangedMs: Millis;
	self: DaemonId;
	/** Minimum time that receivers require between calls of two different holders. */
	silenceMs: Millis;
}>;

/** Time for which a permit must have rested before another daemon may request one. */
export function permitRestMs(silenceMs: Millis): Millis {
	return permitValidityMs + silenceMs + maxTransitMs;
}

/** Whether this daemon may request a permit now. The current holder always may. */
export function canRequestPermit({permit, unchangedMs, self, silenceMs}: PermitRequestState): boolean {
	return permit === undefined || permit.holder === self || unchangedMs >= permitRestMs(silenceMs);
}

export type ClockReadings = Readonly<{steady: Millis; wall: Millis}>;

/**
Whether a permit that was requested at `requestedAt` still allows a call at `now`. The monotonic clock may stop while the VM
is suspended, and the wall clock may be adjusted, so both must agree that little time has passed.
*/
export function isPermitValid(requestedAt: ClockReadings, now: ClockReadings): boolean {
	const steady = now.steady - requestedAt.steady;
	const wall = now.wall - requestedAt.wall;
	return steady >= 0 && steady < permitValidityMs && wall >= -maxTransitMs && wall < permitValidityMs;
}
