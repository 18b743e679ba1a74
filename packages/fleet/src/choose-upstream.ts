import type {DataCentreId, Millis, UpstreamId} from '@cicadapost/types';
import type {LoadReport, UpstreamRecord} from './upstream.js';

/** What this daemon has seen of an upstream itself. */
export type UpstreamHealth = Readonly<{
	/** Requests of this daemon that are at the upstream now. */
	outstanding: number;
	/** Its last load report and when it came. */
	load?: Readonly<{report: LoadReport; at: Millis}>;
	/** Until when it is used only if nothing else is left. */
	avoidUntil: Millis;
	/** Whether a connection to it is open and idle. */
	hasIdleConnection: boolean;
}>;

/** A load report says little about the present after this time; the load changes many times a second. */
const loadReportValidMs = 1500;
/** Cost of leaving the data centre or the region, in units of one occupied slot share. */
const otherDataCentreCost = 0.1;
/** A new connection costs a round trip and is billed. */
const newConnectionCost = 0.1;
/** Added for an upstream that has just failed, so that it is the last choice. */
const avoidedCost = 1000;

export type ChooseUpstreamOptions = Readonly<{
	candidates: readonly UpstreamRecord[];
	health: (id: UpstreamId) => UpstreamHealth;
	dataCentre: DataCentreId;
	/** Upstreams that have had this request. */
	tried: ReadonlySet<UpstreamId>;
	now: Millis;
	/** A number from 0 to 1 that breaks ties, so that daemons with the same view don't choose alike. */
	random: number;
}>;

/**
Chooses the upstream for a plain request: the least loaded by own requests and by a fresh report, weighed by how slow it
is now. Answers the load of short requests that all can serve, where some upstreams are slowed for a while.
*/
export function chooseUpstream(options: ChooseUpstreamOptions): UpstreamRecord | undefined {
	const untried = options.candidates.filter(candidate => !options.tried.has(candidate.id));
	const costs = untried.map((candidate, index) => ({
		candidate,
		cost: costOf(candidate, options),
		// Rotates the candidates, so that equal costs are shared out.
		order: (index + Math.floor(options.random * untried.length)) % untried.length,
	}));
	costs.sort((a, b) => a.cost - b.cost || a.order - b.order);
	return costs[0]?.candidate;
}

function costOf(candidate: UpstreamRecord, {health, dataCentre, now}: ChooseUpstreamOptions): number {
	const seen = health(candidate.id);
	const report = seen.load !== undefined && now - seen.load.at < loadReportValidMs ? seen.load.report : undefined;
	const slots = Math.max(1, candidate.slots);
	const occupied = Math.max(seen.outstanding, report === undefined ? 0 : report.running + report.waiting);
	const slowdown = Math.max(1, report?.slowdown ?? 1, candidate.warmUpMs > 0 ? 1.5 : 1);
	return (slowdown * (1 + (occupied / slots))) + (seen.outstanding / slots)
		+ (candidate.dataCentre === dataCentre ? 0 : otherDataCentreCost)
		+ (seen.hasIdleConnection ? 0 : newConnectionCost)
		+ (seen.avoidUntil > now ? avoidedCost : 0);
}
