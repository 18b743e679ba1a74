import type {KeyIndex, Team} from '@cicadapost/teams';
import type {DataCentreId, Millis, ServiceId} from '@cicadapost/types';

/** Whether a request may be repeated. A request of kind `once` runs at most once. */
export type RequestKind = 'idempotent' | 'once' | 'stream' | 'batch';

export type Route = Readonly<{
	name: string;
	host: string;
	/** Path prefix that begins and ends with a slash. */
	prefix: string;
	kind: RequestKind;
	/** Services that the route distributes its requests to, by weight. */
	services: ReadonlyArray<Readonly<{service: ServiceId; weight: number}>>;
	/** Maximum time until the caller gets a response. */
	timeoutMs: Millis;
	/** Time within which a response has its full value to the caller. */
	targetLatencyMs: Millis;
	/** Maximum number of upstreams that one request is sent to. */
	maxAttempts: number;
	/** 0 is the highest priority. */
	priority: number;
	/** Whether a stream that was interrupted may continue at another upstream. */
	isResumable: boolean;
	/** Batches: time from submission until all results are due. */
	batchDeadlineMs: Millis;
	/** Batches: time from submission after which an item may be dropped. */
	maxQueueMs: Millis;
	/** Batches: all events of a sample must come from one weight version. */
	isSingleVersion: boolean;
	/** Whether requests need no key where the configuration has teams. False if absent. */
	isPublic?: boolean;
}>;

export type ServiceConfiguration = Readonly<{
	name: ServiceId;
	healthPath: string;
	/** Maximum number of connections that one upstream accepts from all callers. */
	maxConnections: number;
	/** Models of an engine service; empty for a plain service. */
	models: readonly string[];
	/** Absent if the number of its upstreams is not up to the daemons. */
	scaling?: ScalingRules;
}>;

/** Limits and prices of the upstreams of a service. */
export type ScalingRules = Readonly<{
	/** Fewest and most upstreams in each data centre, of both kinds together. */
	min: number;
	max: number;
	/** Time from the order of an upstream until it serves. */
	bootMs: Millis;
	/** Price of an upstream that may be reclaimed, relative to one that may not. */
	spotPrice: number;
	/** Price of an upstream in each data centre, relative to the others. 1 where absent. */
	prices: ReadonlyMap<DataCentreId, number>;
}>;

export type CallerLimits = Readonly<{
	headerBytes: number;
	bodyBytes: number;
	headerTimeoutMs: Millis;
	idleTimeoutMs: Millis;
}>;

export type RoutingConfiguration = Readonly<{
	version: number;
	routes: readonly Route[];
	services: readonly ServiceConfiguration[];
	limits: CallerLimits;
	/** Absent if requests need no keys. */
	teams?: KeyIndex;
	/** The teams of an earlier configuration, if this one has none. Upstreams still never get their keys. */
	formerTeams?: KeyIndex;
}>;

/** Returns the route of the host with the longest prefix that matches the path. */
export function matchRoute(configuration: RoutingConfiguration, host: string, path: string): Route | undefined {
	let best: Route | undefined;
	for (const route of configuration.routes) {
		if (route.host === host && path.startsWith(route.prefix) && (best === undefined || route.prefix.length > best.prefix.length)) {
			best = route;
		}
	}

	return best;
}

/** Returns the route with the priority of the team, if the team has one. */
export function routeForTeam(route: Route, team: Team | undefined): Route {
	return team?.priority === undefined ? route : {...route, priority: team.priority};
}

/** Picks one of the route's services by weight. `random` is a number from 0 to 1. */
export function pickService(route: Route, random: number): ServiceId | undefined {
	const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = random * total;
	for (const {service, weight} of route.services) {
		remainingWeight -= weight;
		if (remainingWeight < 0) {
			return service;
		}
	}

	return route.services.find(({weight}) => weight > 0)?.service;
}
