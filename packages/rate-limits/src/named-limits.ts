import type {Millis, UpstreamId} from '@cicadapost/types';

/** One run of an upstream's process. A restarted upstream keeps its id but not its limit. */
export type UpstreamRun = Readonly<{id: UpstreamId; bornAt: number}>;

/** What a response says about the limit of its upstream. */
export type LimitStatement = Readonly<{
	/** Requests per second from all daemons together. Undefined if the upstream has no limit. */
	requestsPerSecond: number | undefined;
	/** Time at which the request was sent. */
	sentAt: Millis;
}>;

type NamedLimit = Readonly<{bornAt: number; requestsPerSecond: number; confirmedAt: Millis}>;

/** The limits that upstreams have named in their responses. */
export class NamedLimits {
	private readonly limits = new Map<UpstreamId, NamedLimit>();

	/** Returns the limit in requests per second, or undefined if the upstream has none. */
	limitOf({id, bornAt}: UpstreamRun): number | undefined {
		const known = this.limits.get(id);
		return known?.bornAt === bornAt ? known.requestsPerSecond : undefined;
	}

	/**
	Applies a response and returns whether the limit has changed. A response without a limit lifts it, unless its request was
	sent before the limit was last confirmed, since such a response may be older than the limit.
	*/
	recordResponse(upstream: UpstreamRun, {requestsPerSecond, sentAt}: LimitStatement, now: Millis): boolean {
		const known = this.limits.get(upstream.id);
		const isOutdated = known !== undefined && (known.bornAt > upstream.bornAt || (known.bornAt === upstream.bornAt && sentAt < known.confirmedAt));
		if (isOutdated && requestsPerSecond === undefined) {
			return false;
		}

		return this.set(upstream, requestsPerSecond, now);
	}

	/** Sets or lifts a limit and returns whether it has changed. */
	set({id, bornAt}: UpstreamRun, requestsPerSecond: number | undefined, now: Millis): boolean {
		const known = this.limits.get(id);
		if (known !== undefined && known.bornAt > bornAt) {
			return false;
		}

		if (requestsPerSecond === undefined) {
			return this.limits.delete(id);
		}

		this.limits.set(id, {bornAt, requestsPerSecond, confirmedAt: now});
		return known?.bornAt !== bornAt || known.requestsPerSecond !== requestsPerSecond;
	}

	forget(id: UpstreamId): void {
		this.limits.delete(id);
	}
}
