import type {Millis} from '@cicadapost/types';

export type BatchDemand = Readonly<{
	/** Whether this daemon owns an engine, and so claims samples. */
	ownsEngines: boolean;
	/** Whether this daemon is a standby, which gets engines only after it has become a candidate. */
	isStandby: boolean;
	/** Number of samples that this daemon runs. */
	running: number;
	/** Number of trainers that wait for a result at this daemon. */
	waiting: number;
}>;

/** Delay between polls of a daemon that needs the batches. A sample runs for a second on average, so the delay hardly counts. */
const activePauseMs = 80;
/** Delay of a candidate that does not need them at the moment. It must stay ready to take over engines. */
const idlePauseMs = 500;
/** Delay of a standby. Calls of trainers read from the store what its copy lacks. */
const standbyPauseMs = 1500;

/**
Returns for how long a daemon lets changes to batches accumulate before it polls again. Each claim and result in the fleet
is a change, so without a delay the number of polls grows with the number of daemons times the rate of samples.
*/
export function batchFeedPause({ownsEngines, isStandby, running, waiting}: BatchDemand): Millis {
	if (ownsEngines || running > 0 || waiting > 0) {
		return activePauseMs;
	}

	return isStandby ? standbyPauseMs : idlePauseMs;
}
