import type {Millis} from '@cicadapost/types';

/** What a daemon believes of its links to the upstreams. */
export type LinkState =
	/** Requests reach upstreams, or nothing has been tried. */
	| 'linked'
	/** A link has failed; it is not known yet whether all have. */
	| 'suspected'
	/** No upstream can be reached. */
	| 'partitioned';

/** One upstream is probed first, since most failures concern a single one. If it does not answer, these further ones decide. */
const furtherProbes = 2;
/** Successive probes that must reach an upstream before a partitioned daemon uses its links again. */
const probesToRecover = 2;
/** Rest after a suspicion that turned out wrong, so that upstreams that crash one after the other cause few probes. */
const restMs = 1500;
/** Interval between the probes of a partitioned daemon. */
const recoveryProbeMs = 500;

/**
Decides when to probe upstreams, and whether this daemon is partitioned from all of them. A healthy daemon sends no probes.
A single upstream that has failed does not count: as long as some upstream can be reached, the links are fine.
*/
export class LinkStateTracker {
	private state: LinkState = 'linked';
	private awaitedProbes = 0;
	private hasProbedFurther = false;
	private successes = 0;
	private restUntil = 0;
	private nextRecoveryProbeAt = 0;

	get current(): LinkState {
		return this.state;
	}

	/** Records a connection that failed, or silence of all upstreams. Returns the number of upstreams to probe now. */
	recordFailure(now: Millis): number {
		if (this.state !== 'linked' || now < this.restUntil) {
			return 0;
		}

		this.state = 'suspected';
		this.hasProbedFurther = false;
		this.awaitedProbes = 1;
		return 1;
	}

	/** Records that a connection to an upstream was established. */
	recordConnected(now: Millis): void {
		if (this.state === 'suspected') {
			this.endSuspicion(now);
		}
	}

	/** Records the outcome of a probe. Returns the number of further upstreams to probe now. */
	recordProbe(isReachable: boolean, now: Millis): number {
		switch (this.state) {
			case 'linked': {
				return 0;
			}

			case 'suspected': {
				return this.examine(isReachable, now);
			}

			case 'partitioned': {
				this.successes = isReachable ? this.successes + 1 : 0;
				if (this.successes >= probesToRecover) {
					this.state = 'linked';
				}

				return 0;
			}
		}
	}

	/** Whether a partitioned daemon is to probe an upstream now. */
	isRecoveryProbeDue(now: Millis): boolean {
		if (this.state !== 'partitioned' || now < this.nextRecoveryProbeAt) {
			return false;
		}

		this.nextRecoveryProbeAt = now + recoveryProbeMs;
		return true;
	}

	private examine(isReachable: boolean, now: Millis): number {
		if (isReachable) {
			this.endSuspicion(now);
			return 0;
		}

		this.awaitedProbes -= 1;
		if (this.awaitedProbes > 0) {
			return 0;
		}

		if (!this.hasProbedFurther) {
			this.hasProbedFurther = true;
			this.awaitedProbes = furtherProbes;
			return furtherProbes;
		}

		this.state = 'partitioned';
		this.successes = 0;
		this.nextRecoveryProbeAt = now + recoveryProbeMs;
		return 0;
	}

	private endSuspicion(now: Millis): void {
		this.state = 'linked';
		this.restUntil = now + restMs;
	}
}
