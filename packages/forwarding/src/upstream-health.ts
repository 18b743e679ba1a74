import type {LoadReport, UpstreamHealth} from '@cicadapost/fleet';
import type {Millis, UpstreamId} from '@cicadapost/types';

type Observed = {
	outstanding: number;
	load?: Readonly<{report: LoadReport; at: Millis}>;
	avoidUntil: Millis;
	failures: number;
};

/** An upstream that failed is avoided for this time, doubled with each failure in a row. */
const avoidMs = 400;
const maxAvoidMs = 4000;

/** What this daemon has seen of upstreams: its own requests there, their load reports, their failures. */
export class HealthBook {
	private readonly observed = new Map<UpstreamId, Observed>();

	health(id: UpstreamId, hasIdleConnection: boolean): UpstreamHealth {
		const seen = this.observed.get(id);
		return {
			outstanding: seen?.outstanding ?? 0,
			...(seen?.load === undefined ? {} : {load: seen.load}),
			avoidUntil: seen?.avoidUntil ?? 0,
			hasIdleConnection,
		};
	}

	started(id: UpstreamId): void {
		this.of(id).outstanding += 1;
	}

	ended(id: UpstreamId): void {
		const seen = this.of(id);
		seen.outstanding = Math.max(0, seen.outstanding - 1);
	}

	reported(id: UpstreamId, report: LoadReport, now: Millis): void {
		this.of(id).load = {report, at: now};
	}

	succeeded(id: UpstreamId): void {
		const seen = this.of(id);
		seen.failures = 0;
		seen.avoidUntil = 0;
	}

	failed(id: UpstreamId, now: Millis): void {
		const seen = this.of(id);
		seen.failures += 1;
		seen.avoidUntil = now + Math.min(maxAvoidMs, avoidMs * (2 ** (seen.failures - 1)));
	}

	forget(id: UpstreamId): void {
		this.observed.delete(id);
	}

	private of(id: UpstreamId): Observed {
		let seen = this.observed.get(id);
		if (seen === undefined) {
			seen = {outstanding: 0, avoidUntil: 0, failures: 0};
			this.observed.set(id, seen);
		}

		return seen;
	}
}
