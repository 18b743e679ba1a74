import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, Millis} from '@cicadapost/types';

export type DrainOptions = Readonly<{
	clock: Clock;
	/** Time from the signal until the platform kills the process. */
	graceMs: Millis;
	isIdle: () => boolean;
	/** Closes the connections on which no request is in progress. */
	closeIdleConnections: () => void;
	/** Leaves samples and rewards to other daemons. */
	releaseWork: () => void;
	/** Answers all requests that are left. */
	answerPending: () => void;
}>;

/** The load balancer stops sending new connections after two failed probes, one second apart. */
const loadBalancerDrainMs = 3200;
/** Runs still active this long before the end of the grace period are released together with their partial text. */
const releaseMarginMs = 2500;
/** The process exits this long before the platform would kill it. */
const exitMarginMs = 500;
/** Time for the last answers to reach their callers. */
const answerMarginMs = 250;
const pollMs = 50;

/** Returns when the requests that are left are answered. */
export function answersEndAt(startedAt: Millis, graceMs: Millis): Millis {
	return startedAt + graceMs - exitMarginMs - answerMarginMs;
}

/** Waits until nothing is in progress or the grace period is nearly over. */
export async function drain(options: DrainOptions): Promise<void> {
	const {clock, graceMs, isIdle, closeIdleConnections, releaseWork, answerPending} = options;
	const startedAt = clock.now();
	let hasReleased = false;
	let hasAnswered = false;
	for (;;) {
		const elapsed = clock.now() - startedAt;
		if (!hasReleased && elapsed > graceMs - releaseMarginMs) {
			hasReleased = true;
			releaseWork();
		}

		if (!hasAnswered && startedAt + elapsed >= answersEndAt(startedAt, graceMs)) {
			hasAnswered = true;
			answerPending();
		}

		if (elapsed > loadBalancerDrainMs) {
			closeIdleConnections();
		}

		if ((isIdle() && elapsed > Math.min(loadBalancerDrainMs, graceMs)) || elapsed > graceMs - exitMarginMs) {
			return;
		}

		await sleep(pollMs);
	}
}

/** Waits until the last answers have been written, for a short time. */
export async function flush({clock, isIdle}: Pick<DrainOptions, 'clock' | 'isIdle'>): Promise<void> {
	const until = clock.now() + answerMarginMs;
	while (!isIdle() && clock.now() < until) {
		await sleep(pollMs / 5);
	}
}
