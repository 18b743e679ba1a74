import type {LoadReport, UpstreamHealth} from '@cicadapost/fleet';
import type {Millis, UpstreamId} from '@cicadapost/types';

type HealthRecord = {
	outstanding: number;
	load?: Readonly<{report: LoadReport; at: Millis}>;
	avoidUntil: Millis;
	failures: number;
};

/** An upstream that failed is avoided for this time, which doubles with each consecutive failure up to `maxAvoidMs`. */
const initialAvoidMs = 400;
const maxAvoidMs = 4000;

/** Tracks what this daemon observes of each upstream: its own outstanding requests, load reports and failures. */
export class UpstreamHealthTracker {
	private readonly recordsById = new Map<UpstreamId, HealthRecord>();

	healthOf(id: UpstreamId, hasIdleConnection: boolean): UpstreamHealth {
		const record = this.recordsById.get(id);
		return {
			outstanding: record?.outstanding ?? 0,
			...(record?.load === undefined ? {} : {load: record.load}),
			avoidUntil: record?.avoidUntil ?? 0,
			hasIdleConnection,
		};
	}

	recordStart(id: UpstreamId): void {
		this.recordOf(id).outstanding += 1;
	}

	recordEnd(id: UpstreamId): void {
		const record = this.recordOf(id);
		record.outstanding = Math.max(0, record.outstanding - 1);
	}

	recordLoad(id: UpstreamId, report: LoadReport, now: Millis): void {
		this.recordOf(id).load = {report, at: now};
	}

	recordSuccess(id: UpstreamId): void {
		const record = this.recordOf(id);
		record.failures = 0;
		record.avoidUntil = 0;
	}

	recordFailure(id: UpstreamId, now: Millis): void {
		const record = this.recordOf(id);
		record.failures += 1;
		record.avoidUntil = now + Math.min(maxAvoidMs, initialAvoidMs * (2 ** (record.failures - 1)));
	}

	forget(id: UpstreamId): void {
		this.recordsById.delete(id);
	}

	private recordOf(id: UpstreamId): HealthRecord {
		let record = this.recordsById.get(id);
		if (record === undefined) {
			record = {outstanding: 0, avoidUntil: 0, failures: 0};
			this.recordsById.set(id, record);
		}

		return record;
	}
}
