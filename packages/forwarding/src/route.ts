import type {Millis, ServiceId} from '@cicadapost/types';

/** What may be repeated: `once` runs at most once for each request of a caller. */
export type RequestKind = 'idempotent' | 'once' | 'stream' | 'batch';

export type Route = Readonly<{
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	prefix: string;
	kind: RequestKind;
	/** The services that serve it, with their shares. */
	services: ReadonlyArray<Readonly<{service: ServiceId; weight: number}>>;
	/** Longest time that a caller is kept waiting. */
	timeoutMs: Millis;
	/** Time within which an answer has its full value to the caller. */
	targetLatencyMs: Millis;
	/** Upstreams that one request may be sent to. */
	maxAttempts: number;
	/** 0 is the most urgent. */
	priority: number;
	/** A stream that broke off may go on at another upstream. */
	isResumable: boolean;
	/** Batches: time from the submission in which all results are due. */
	batchDeadlineMs: Millis;
	/** Batches: time from the submission after which an item may be given up. */
	maxQueueMs: Millis;
	/** Batches: all events of a sample come from one weight version. */
	isSingleVersion: boolean;
}>;

export type ServiceConfiguration = Readonly<{
	name: ServiceId;
	healthPath: string;
	/** Connections that one upstream accepts from all callers. */
	maxConnections: number;
	/** Models of an engine service, empty for a plain one. */
	models: readonly string[];
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
}>;

/** The route with the longest prefix that begins the path, among those of the host. */
export function matchRoute(configuration: RoutingConfiguration, host: string, path: string): Route | undefined {
	let best: Route | undefined;
	for (const route of configuration.routes) {
		if (route.host === host && path.startsWith(route.prefix) && (best === undefined || route.prefix.length > best.prefix.length)) {
			best = route;
		}
	}

	return best;
}

/** One of the route's services, by weight. `random` is from 0 to 1. */
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
