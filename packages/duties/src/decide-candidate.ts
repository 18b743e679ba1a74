import {rankByRendezvousScore} from '@cicadapost/membership';
import {permitRestMs} from '@cicadapost/permits';
import type {DaemonId, Millis} from '@cicadapost/types';

/** Further daemons never try. The first ones drop out of the members when they die, so others move up. */
const maxCandidates = 3;
/** A holder that is alive is given this many times the rest of a lease before another daemon steps in. */
const holderPatience = 1.5;

export type CandidateState = Readonly<{
	self: DaemonId;
	/** Identifies the duty and its subject. */
	part: string;
	/** Undefined if nobody has held the duty yet. */
	holder: DaemonId | undefined;
	/** Whether the holder lets others try. */
	isReleased?: boolean;
	/** Daemons that are alive. */
	members: readonly DaemonId[];
	/** Time for which a call has been due. */
	dueForMs: Millis;
	leaseMs: Millis;
}>;

/**
Whether this daemon should try to carry out a call that is due. The holder always may, so it stays the same while it works.
If it is gone, the first member by rendezvous hashing takes over, and the next ones only if the call stays undone for clearly
longer. Designed for 370 daemons: the members are ranked only when a call is due and the holder is gone or late.
*/
export function shouldTryDuty({self, part, holder, isReleased = false, members, dueForMs, leaseMs}: CandidateState): boolean {
	if (holder === self) {
		return true;
	}

	const restMs = permitRestMs(leaseMs);
	const isHolderAlive = !isReleased && holder !== undefined && members.includes(holder);
	const patienceMs = isHolderAlive ? holderPatience * restMs : 0;
	if (dueForMs < patienceMs) {
		return false;
	}

	const others = members.filter(member => member !== holder);
	const rank = rankByRendezvousScore(part, others, maxCandidates).indexOf(self);
	return rank !== -1 && dueForMs >= patienceMs + (rank * restMs);
}
