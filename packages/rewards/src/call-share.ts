/** Part of a service's slots that reward calls of all daemons together may use. The rest stays free for callers, whose requests are due within some hundred milliseconds. */
const slotShare = 0.5;

export type CallShareOptions = Readonly<{
	/** Slots of all upstreams that may get the calls. */
	slots: number;
	/** Number of daemons that send reward calls. */
	senders: number;
}>;

/** What one daemon may send to the upstreams of a route. */
export type CallShare = Readonly<{
	maxInFlight: number;
	/** Pause after a call, as a multiple of the time that it took. */
	pauseFactor: number;
}>;

/**
Divides the slots for reward calls among the daemons that send them. Designed for the end of a training step, when dozens of
samples are completed within a second. A daemon whose part is no whole number of slots uses one slot more and pauses after
each call, so that on average no more calls are in flight than there are slots for them.
*/
export function callShare({slots, senders}: CallShareOptions): CallShare {
	const share = (slots * slotShare) / Math.max(1, senders);
	const maxInFlight = Math.max(1, Math.ceil(share));
	return {maxInFlight, pauseFactor: share > 0 ? (maxInFlight / share) - 1 : 0};
}
