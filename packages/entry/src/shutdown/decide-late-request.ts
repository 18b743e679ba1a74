import type {RequestKind} from '@cicadapost/forwarding';
import type {Millis} from '@cicadapost/types';

export type LateRequest = Readonly<{
	kind: RequestKind;
	/** Time since the daemon began to shut down. */
	sinceStopMs: Millis;
	/** Time until the daemon answers whatever is left. */
	leftMs: Millis;
	/** Time until the deadline of the request, at which it is answered in any case. */
	deadlineMs: Millis;
	/** Time within which requests of the route are usually answered. Undefined if it is not known. */
	expectedMs: Millis | undefined;
}>;

/** New connections still arrive within this time, since the load balancer has to notice the shutdown, and a refused caller may come back. */
const earlyMs: Millis = 2500;
/** Time for all attempts at storing a batch. */
const submissionMs: Millis = 3000;
/** Later requests must usually end in this share of the time that is left. A request that doesn't is answered with an error. */
const lateShare = 0.5;

/**
Whether a request that arrives while the daemon shuts down is still served. A stream can't be answered with an error once it
has begun, and a request that may run once can't be sent again after an error. So they are served late only if their deadline
falls into the time that is left.
*/
export function shouldServeLate({kind, sinceStopMs, leftMs, deadlineMs, expectedMs}: LateRequest): boolean {
	if (leftMs <= 0) {
		return false;
	}

	if (kind === 'batch') {
		return leftMs >= submissionMs;
	}

	if (deadlineMs <= leftMs) {
		return true;
	}

	const isEarly = sinceStopMs <= earlyMs;
	if (kind === 'idempotent') {
		return expectedMs === undefined ? isEarly : expectedMs <= leftMs * (isEarly ? 1 : lateShare);
	}

	return isEarly && (expectedMs === undefined || expectedMs <= leftMs);
}
