import type {Millis} from '@cicadapost/types';

/** Weight of a new request in the two averages. */
const weight = 0.1;
/** A request rarely takes longer than the mean and this many mean deviations. */
const deviations = 4;

type Estimate = {meanMs: number; deviationMs: number};

/** Estimates how long the requests of each route take from those that were answered. */
export class ServiceTimes {
	private readonly routes = new Map<string, Estimate>();

	record(route: string, tookMs: Millis): void {
		const known = this.routes.get(route);
		if (known === undefined) {
			this.routes.set(route, {meanMs: tookMs, deviationMs: tookMs / 2});
			return;
		}

		known.deviationMs += (Math.abs(tookMs - known.meanMs) - known.deviationMs) * weight;
		known.meanMs += (tookMs - known.meanMs) * weight;
	}

	/** Time within which nearly all requests of a route are answered. Undefined if none has been yet. */
	expectedMs(route: string): Millis | undefined {
		const known = this.routes.get(route);
		return known === undefined ? undefined : known.meanMs + (deviations * known.deviationMs);
	}

	/** Forgets all routes but these. */
	retain(routes: ReadonlySet<string>): void {
		for (const route of this.routes.keys()) {
			if (!routes.has(route)) {
				this.routes.delete(route);
			}
		}
	}
}
