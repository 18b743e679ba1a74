import type {Millis} from '@cicadapost/types';

/** Work that has the same due time. */
export type DueWork = Readonly<{
	/** Time until it is due; negative if it is late. */
	dueInMs: Millis;
	/** Expected tokens of samples that are not done. */
	tokens: number;
}>;

export type SampleDemand = Readonly<{
	work: readonly DueWork[];
	/** Expected tokens of the samples that were submitted in the last `submittedMs`. */
	submittedTokens: number;
	submittedMs: Millis;
	/** Time that one slot takes for an expected token. Undefined if it has not been measured. */
	msPerToken: number | undefined;
	/** Upstreams that serve. */
	serving: number;
	/** Slots of one upstream. */
	slots: number;
	/** Time until a new upstream serves. */
	bootMs: Millis;
}>;

/**
Spare capacity for samples that are longer than expected, engines that are slower than others, and uneven placement. Idle
upstreams are cheap compared with a training step that is late.
*/
const sampleMargin = 1.4;
/** Work that is due sooner can't be sped up by new upstreams, but what follows it can. */
const minHorizonMs = 2000;

/** Upstreams to begin with if none serves and the pace is not known. */
const firstUpstreams = 2;

/**
Returns the number of upstreams that complete all accepted samples by their due times, earliest first, and keep up with the
rate of submissions. Undefined while the pace is not known and some serve, which soon shows it. Designed for 8,192 samples in a hundred batches.
*/
export function neededForSamples({work, submittedTokens, submittedMs, msPerToken, serving, slots, bootMs}: SampleDemand): number | undefined {
	if (msPerToken === undefined) {
		return serving === 0 && work.length > 0 ? firstUpstreams : undefined;
	}

	const upstreamMs = (tokens: number) => (tokens * msPerToken * sampleMargin) / Math.max(1, slots);
	let needed = submittedMs > 0 ? upstreamMs(submittedTokens) / submittedMs : 0;
	let tokens = 0;
	for (const due of work.toSorted((a, b) => a.dueInMs - b.dueInMs)) {
		tokens += due.tokens;
		needed = Math.max(needed, upstreamMs(tokens) / Math.max(due.dueInMs, bootMs + minHorizonMs));
	}

	return Math.ceil(needed);
}

export type RequestDemand = Readonly<{
	/** Load that upstreams have reported lately. */
	reported: ReadonlyArray<Readonly<{running: number; waiting: number; slots: number}>>;
	/** Upstreams that serve, including those without a recent report. */
	serving: number;
}>;

/** Share of the slots that plain requests may use. Above it queues form at single upstreams. */
const maxUtilization = 0.6;

/** Returns the number of upstreams that serve the present load of plain requests, or undefined if too few have reported theirs. */
export function neededForRequests({reported, serving}: RequestDemand): number | undefined {
	if (serving === 0) {
		return 1;
	}

	if (reported.length === 0 || reported.length * 2 < serving) {
		return undefined;
	}

	const busy = reported.reduce((sum, {running, waiting}) => sum + running + waiting, 0);
	const slots = reported.reduce((sum, load) => sum + load.slots, 0);
	return slots === 0 ? undefined : Math.ceil(((busy / slots) * Math.max(serving, reported.length)) / maxUtilization);
}
