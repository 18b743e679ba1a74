import {shouldMove} from '@cicadapost/sample-order';
import type {Millis} from '@cicadapost/types';
import type {ActiveRun} from './sample-run.js';

export type EnginePace = Readonly<{
	/** Measured time for an expected token in a run at the run's engine. Undefined if no run has ended there yet. */
	msPerToken: number | undefined;
	/** Measured time between two events of a run at the run's engine. Undefined if too few have been seen. */
	eventMs: Millis | undefined;
	/** How many times as long the engine takes for an event as faster ones that have room. */
	slowerBy: number;
	now: Millis;
}>;

/** Whether a run should go on at a faster engine. Its text so far is kept. */
export function isWorthMoving(run: ActiveRun, {msPerToken, eventMs, slowerBy, now}: EnginePace): boolean {
	if (msPerToken === undefined || run.eventsSinceSent === 0) {
		return false;
	}

	const resumedMs = run.resumedEvents * (eventMs ?? 0);
	return shouldMove({elapsedMs: now - run.sentAt, expectedMs: (run.expectedTokens * msPerToken) - resumedMs, slowerBy});
}
