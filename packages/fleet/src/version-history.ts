import type {Millis, ServiceId, SoftwareVersion} from '@cicadapost/types';
import type {UpstreamRecord} from './upstream.js';

/** Which software versions of a service were listed when. */
export class VersionHistory {
	private readonly lastListedAt = new Map<ServiceId, Map<SoftwareVersion, Millis>>();
	private listed: readonly UpstreamRecord[] = [];
	/** Time from which on all changes of the list are recorded. Undefined until the list has been read. */
	private startedAt: Millis | undefined;

	/** Call this when the list has been read for the first time or after an outage or a long pause, in which versions may have come and left unseen. */
	restart(now: Millis): void {
		this.startedAt = now;
	}

	/** Records a new state of the list. What was listed before counts as listed until now. */
	update(records: readonly UpstreamRecord[], now: Millis): void {
		this.touch(this.listed, now);
		this.touch(records, now);
		this.listed = records;
	}

	/** Returns the only version of a service that has been listed since `since`. Undefined if there were none or several, or the time before the start matters. */
	onlyVersionSince(service: ServiceId, since: Millis, now: Millis): SoftwareVersion | undefined {
		this.touch(this.listed, now);
		const versions = [...this.lastListedAt.get(service) ?? []].filter(([, at]) => at >= since).map(([version]) => version);
		return this.startedAt !== undefined && this.startedAt <= since && versions.length === 1 ? versions[0] : undefined;
	}

	private touch(records: readonly UpstreamRecord[], now: Millis): void {
		for (const {service, softwareVersion} of records) {
			const versions = this.lastListedAt.get(service) ?? new Map<SoftwareVersion, Millis>();
			versions.set(softwareVersion, now);
			this.lastListedAt.set(service, versions);
		}
	}
}
