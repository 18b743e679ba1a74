import type {RoutingConfiguration} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import type {TableFollower} from '@cicadapost/store';
import {isConfigurationFresh, type CopyFreshness} from '@cicadapost/teams';
import type {Clock, Millis} from '@cicadapost/types';

/**
Age up to which the copy may reject a key or a path that it does not list. The operator counts on a new configuration some seconds
after its confirmation; before then callers expect to be rejected.
*/
const maxRejectionAgeMs = 2500;

/** Shortest time between two requests to the store to confirm the copy. They must not add up while the store is slow. */
const askIntervalMs = 200;

export type AccessMonitorOptions = Readonly<{
	clock: Clock;
	logger: Logger;
	/** Follows the operator's table. */
	follower: Pick<TableFollower, 'confirmedAt' | 'confirm'>;
	configuration: () => RoutingConfiguration | undefined;
	/** Time after which a revoked key must not be accepted by any daemon, in milliseconds. Undefined if there is no such bound. */
	revocationMs: Millis | undefined;
}>;

/** Knows what this daemon's copy of the configuration is recent enough for, and logs when it stops being so. */
export class AccessMonitor {
	private allowedKeys = true;
	private askedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: AccessMonitorOptions) {}

	/** Reads both clocks, and asks the store to confirm a copy that is too old. Called once for each check of a call. */
	freshness(): CopyFreshness {
		const {clock, follower: {confirmedAt}, revocationMs} = this.options;
		const now = {steady: clock.now(), wall: clock.wallTime()};
		const isFresh = (maxAgeMs: Millis) => isConfigurationFresh({confirmedAt, now, maxAgeMs});
		const freshness = {
			allowsKeys: revocationMs === undefined || isFresh(revocationMs),
			allowsRejection: isFresh(Math.min(maxRejectionAgeMs, revocationMs ?? maxRejectionAgeMs)),
		};
		if (this.options.configuration()?.teams !== undefined) {
			this.logChange(freshness.allowsKeys, confirmedAt === undefined ? undefined : Math.round(now.steady - confirmedAt.steady));
			if (!freshness.allowsKeys || !freshness.allowsRejection) {
				this.askStore(now.steady);
			}
		}

		return freshness;
	}

	/** Whether calls with keys are served. */
	get servesKeys(): boolean {
		return this.options.configuration()?.teams === undefined || this.freshness().allowsKeys;
	}

	/** After a suspension or a step of the wall clock, the copy is confirmed within some milliseconds instead of at the end of the next long poll. */
	private askStore(now: Millis): void {
		if (now - this.askedAt >= askIntervalMs) {
			this.askedAt = now;
			void this.options.follower.confirm();
		}
	}

	private logChange(allowsKeys: boolean, ageMs: Millis | undefined): void {
		if (allowsKeys === this.allowedKeys) {
			return;
		}

		this.allowedKeys = allowsKeys;
		const {logger} = this.options;
		if (allowsKeys) {
			logger.info({event: 'keys-accepted', ageMs}, 'the configuration is known to be current; calls with keys are served again');
		} else {
			logger.warn({event: 'keys-refused', ageMs}, 'the configuration is not known to be current; calls with keys are refused until the store confirms it');
		}
	}
}
