import type {DataCentreId, Millis, UpstreamId} from '@cicadapost/types';
import type {LoadReport, UpstreamRecord} from './upstream.js';

/** State of an upstream as observed by this daemon. */
export type UpstreamHealth = Readonly<{
	/** Number of requests of this daemon in progress on the upstream. */
	outstanding: number;
	/** The last load report and its time of arrival. */
	load?: Readonly<{report: LoadReport; at: Millis}>;
	/** Until this time, the upstream is used only if there is no other. */
	avoidUntil: Millis;
	/** Whether there is an open, idle connection to the upstream. */
	hasIdleConnection: boolean;
}>;

/** Load reports are ignored after this time, because the load changes many times per second. */
const loadReportValidMs = 1500;
/** Cost of using an upstream in another data centre, in the same or another region. A cost of 1 corresponds to all slots being occupied. */
const otherDataCentreCost = 0.1;
/** A new connection costs a round trip and is billed. */
const newConnectionCost = 0.1;
/** Cost of a turn at an upstream that limits its rate: reserving it takes a store call. */
const turnCost = 1;
/** Cost of each millisecond until the turn begins. 30 ms are about the duration of a short request. */
const turnWaitCostPerMs = 1 / 30;
/** Cost added to an upstream that has just failed, so that it is chosen last. */
const avoidedCost = 1000;

export type ChooseUpstreamOptions = Readonly<{
	candidates: readonly UpstreamRecord[];
	health: (id: UpstreamId) => UpstreamHealth;
	/** Returns the time until an upstream that limits its rate may take another request, or undefined if it has no limit. */
	turnWaitMs?: (upstream: UpstreamRecord) => Millis | undefined;
	dataCentre: DataCentreId;
	/** Upstreams on which this request has already been tried. */
	tried: ReadonlySet<UpstreamId>;
	now: Millis;
	/** A random number from 0 to 1 that breaks ties, so that daemons with the same view choose different upstreams. */
	random: number;
}>;

/**
Chooses the upstream with the lowest cost for a plain request. The cost combines the daemon's own requests, a recent load
report and the current slowdown. This suits short requests that any upstream can serve, while some upstreams are
temporarily slow.
*/
export function chooseUpstream(options: ChooseUpstreamOptions): UpstreamRecord | undefined {
	const untried = options.candidates.filter(candidate => !options.tried.has(candidate.id));
	const costs = untried.map((candidate, index) => ({
		candidate,
		cost: costOf(candidate, options),
		// Rotates the candidates, so that load is spread among those with equal costs.
		order: (index + Math.floor(options.random * untried.length)) % untried.length,
	}));
	costs.sort((a, b) => a.cost - b.cost || a.order - b.order);
	return costs[0]?.candidate;
}

function costOf(candidate: UpstreamRecord, {health, turnWaitMs, dataCentre, now}: ChooseUpstreamOptions): number {
	const waitMs = turnWaitMs?.(candidate);
	const observed = health(candidate.id);
	const report = observed.load !== undefined && now - observed.load.at < loadReportValidMs ? observed.load.report : undefined;
	const slots = Math.max(1, candidate.slots);
	const occupied = Math.max(observed.outstanding, report === undefined ? 0 : report.running + report.waiting);
	const slowdown = Math.max(1, report?.slowdown ?? 1, candidate.warmUpMs > 0 ? 1.5 : 1);
	return (slowdown * (1 + (occupied / slots))) + (observed.outstanding / slots)
		+ (candidate.dataCentre === dataCentre ? 0 : otherDataCentreCost)
		+ (observed.hasIdleConnection ? 0 : newConnectionCost)
		+ (waitMs === undefined ? 0 : turnCost + (waitMs * turnWaitCostPerMs))
		+ (observed.avoidUntil > now ? avoidedCost : 0);
}
