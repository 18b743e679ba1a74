import type {LoadReport} from '@cicadapost/fleet';
import type {Millis, UpstreamId} from '@cicadapost/types';

/** Weight of the newest response in the usual time of a route. */
const newestWeight = 0.1;
/** Routes beyond this number have no usual time of their own, so that a large configuration does not exhaust memory. */
const maxRoutes = 1000;

/** What is known of a request that an upstream has run. */
export type RequestTimes = Readonly<{
	route: string;
	upstream: UpstreamId | undefined;
	sentAt: Millis;
	/** When the head of the response arrived. Undefined if the response was lost. */
	answeredAt: Millis | undefined;
	/** The load that the upstream reported with the response. */
	load: LoadReport | undefined;
}>;

/**
Estimates when upstreams began to run requests. An upstream whose queue is empty began at once. If requests wait there, this
one probably did too, and began as long before its response as requests of its route usually take.
Without a response the request counts as begun when it was sent.
*/
export class BeginEstimator {
	/** Usual time from sending to the response without a queue, by route. */
	private readonly usualMs = new Map<string, Millis>();

	/** Returns a time between `sentAt` and `answeredAt`, and learns from the response. */
	estimate({route, sentAt, answeredAt, load}: RequestTimes): Millis {
		if (answeredAt === undefined) {
			return sentAt;
		}

		const tookMs = answeredAt - sentAt;
		const usual = this.usualMs.get(route);
		if (load === undefined || load.waiting === 0) {
			if (usual !== undefined || this.usualMs.size < maxRoutes) {
				this.usualMs.set(route, usual === undefined ? tookMs : usual + ((tookMs - usual) * newestWeight));
			}

			return sentAt;
		}

		return usual === undefined ? sentAt : Math.max(sentAt, answeredAt - (usual * Math.max(1, load.slowdown)));
	}
}
