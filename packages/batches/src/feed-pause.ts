import type {Millis} from '@cicadapost/types';

export type BatchDemand = Readonly<{
	/** Whether this daemon owns an engine, and so claims samples. */
	ownsEngines: boolean;
	/** Number of samples that this daemon runs. */
	running: number;
	/** Number of trainers that wait for a result at this daemon. */
	waiting: number;
}>;

/** Delay between polls of a daemon that needs the batches. A sample runs for a second on average, so the delay hardly counts. */
const activePauseMs = 80;
/** Delay of a daemon that does not need them. It must stay ready to take over engines. */
const idlePauseMs = 500;

/**
Returns for how long a daemon lets changes to batches accumulate before it polls again. Each claim and result in the fleet
is a change, so without a delay the number of polls grows with the number of daemons times the rate of samples.
*/
export function batchFeedPause({ownsEngines, running, waiting}: BatchDemand): Millis {
	return ownsEngines || running > 0 || waiting > 0 ? activePauseMs : idlePauseMs;
}
