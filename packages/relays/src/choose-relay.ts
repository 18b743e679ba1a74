import type {
	DaemonId, DataCentreId, Millis, RegionId,
} from '@cicadapost/types';

/** Another daemon as a possible relay. */
export type RelayCandidate = Readonly<{
	daemon: DaemonId;
	dataCentre: DataCentreId;
	region: RegionId;
	/** IP address and port. */
	address: string;
	/** Key that the daemon accepts from other daemons. */
	key: string;
	/** Whether the daemon has announced that it reaches no upstream. */
	isPartitioned: boolean;
}>;

export type ChooseRelayOptions = Readonly<{
	candidates: readonly RelayCandidate[];
	/** Daemons that this request was already passed on to. */
	tried: ReadonlySet<DaemonId>;
	/** Returns the number of requests that this daemon has passed on to another one and that are in progress. */
	inProgress: (daemon: DaemonId) => number;
	/** Whether a daemon has recently passed on a request of this one. */
	isProven: (daemon: DaemonId) => boolean;
	/** Returns the time until which a daemon that could not pass on a request is not used. */
	avoidUntil: (daemon: DaemonId) => Millis;
	dataCentre: DataCentreId;
	region: RegionId;
	now: Millis;
	/** A random number from 0 to 1, so that daemons with the same view choose different relays. */
	random: number;
}>;

/**
Chooses the daemon that passes a request on to an upstream: a near one, since links between regions are slow and billed by
volume, and among those one with few requests of this daemon. Daemons that have proven to reach upstreams go first, and
after a failed send also if they are farther away, because partitions are not announced while the store is away.
*/
export function chooseRelay(options: ChooseRelayOptions): RelayCandidate | undefined {
	const {candidates, tried, inProgress, isProven, avoidUntil, now, random} = options;
	const usable = candidates.filter(candidate => !candidate.isPartitioned && !tried.has(candidate.daemon) && avoidUntil(candidate.daemon) <= now);
	const proven = usable.filter(({daemon}) => isProven(daemon));
	const nearest = nearestOf(usable, options);
	const nearestProven = nearest.filter(candidate => proven.includes(candidate));
	const preferred = nearestProven.length === 0 && tried.size > 0 ? nearestOf(proven, options) : nearestProven;
	const choices = preferred.length === 0 ? nearest : preferred;
	const least = Math.min(...choices.map(({daemon}) => inProgress(daemon)));
	const idlest = choices.filter(({daemon}) => inProgress(daemon) === least);
	return idlest[Math.floor(random * idlest.length)];
}

/** Returns the candidates in the same data centre, or else in the same region, or else all. */
function nearestOf(candidates: readonly RelayCandidate[], {dataCentre, region}: Pick<ChooseRelayOptions, 'dataCentre' | 'region'>): readonly RelayCandidate[] {
	const levels = [
		candidates.filter(candidate => candidate.dataCentre === dataCentre),
		candidates.filter(candidate => candidate.region === region),
		candidates,
	];
	return levels.find(level => level.length > 0) ?? [];
}
