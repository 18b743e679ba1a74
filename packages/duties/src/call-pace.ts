import type {Millis} from '@cicadapost/types';

/** Share of the permitted rate that is used, so that calls which bunch up on their way stay within it. */
const usedRateShare = 0.8;
const firstBackOffMs = 250;
/** Calls that the receiver answers again soon after an outage, without loading it during one. */
const maxBackOffMs = 4000;

export type CallRate = Readonly<{
	/** Permitted calls of all daemons together. */
	callsPerSecond: number;
	/** Number of duties, which share the rate equally. */
	duties: number;
	/** Number of subjects of this duty, which share its part equally. */
	subjects: number;
}>;

/**
Minimum time between two calls of a duty for one subject. Each subject has a single holder, so equal parts for each subject
keep the sum of all daemons within the rate without any exchange between them.
*/
export function minCallIntervalMs({callsPerSecond, duties, subjects}: CallRate): Millis {
	return (1000 * Math.max(1, duties) * Math.max(1, subjects)) / (callsPerSecond * usedRateShare);
}

/** Pause after `failures` failed calls in a row, with jitter so that subjects do not call in step. `random` is in [0, 1). */
export function backOffMs(failures: number, random: number): Millis {
	return failures === 0 ? 0 : (Math.min(maxBackOffMs, firstBackOffMs * (2 ** (failures - 1))) * (1 + random)) / 2;
}
