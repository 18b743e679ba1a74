import type {ScalingRules} from '@cicadapost/forwarding';
import type {DataCentreId, Millis} from '@cicadapost/types';
import {NeedHistory} from './need-history.js';
import {planUpstreamCounts, type UpstreamCounts, type UpstreamKind} from './plan-upstream-counts.js';
import {countsInForce, type ScalingNote} from './scaling-note.js';

/** Upstreams of a service in one data centre, as the platform lists them. */
export type ListedCounts = Readonly<{
	dataCentre: DataCentreId;
	ready: Readonly<Record<UpstreamKind, number>>;
	leaving: Readonly<Record<UpstreamKind, number>>;
}>;

/** Ordered upstreams that are not listed for this long beyond their boot time are not counted on: they may have crashed for good. */
const lostMs = 15_000;

export type ServiceObservation = Readonly<{
	rules: ScalingRules;
	listed: readonly ListedCounts[];
	/** Upstreams that the work needs now. Undefined if that can't be told. */
	needed: number | undefined;
}>;

/** The present plan of one service. All daemons compute it from the same rows, so that a new holder goes on where the last one ended. */
export class ServiceScaling {
	private readonly history = new NeedHistory();
	private observation: ServiceObservation | undefined;
	/** Since when fewer upstreams serve in a data centre than are in force. */
	private readonly shortSince = new Map<DataCentreId, Millis>();

	/** Called about once per second. */
	observe(observation: ServiceObservation, now: Millis): void {
		this.observation = observation;
		this.history.record(observation.needed, now);
	}

	/** `notes` are those of the leases of all data centres. `now` is on this daemon's clock, `storeTime` on that of the store. */
	plan(notes: ReadonlyMap<DataCentreId, ScalingNote>, now: Millis, storeTime: Millis): Map<DataCentreId, UpstreamCounts> {
		if (this.observation === undefined) {
			return new Map();
		}

		const {rules, listed, needed} = this.observation;
		const dataCentres = new Set([...listed.map(({dataCentre}) => dataCentre), ...notes.keys()]);
		return planUpstreamCounts({
			rules,
			needed,
			heldNeed: this.history.held(now),
			lost: [...notes].reduce((sum, [dataCentre, note]) => sum + this.lostIn(dataCentre, note, now), 0),
			sinceGivenBackMs: storeTime - Math.max(0, ...[...notes.values()].map(({givenBackAt}) => givenBackAt)),
			now: storeTime,
			dataCentres: [...dataCentres].map(dataCentre => {
				const note = notes.get(dataCentre);
				const counts = this.listedIn(dataCentre);
				return {
					dataCentre,
					ordered: note === undefined ? counts.ready : countsInForce(note),
					blockedUntil: note?.blockedUntil ?? {regular: 0, spot: 0},
					isReclaimed: isReclaimed(counts),
				};
			}),
		});
	}

	private lostIn(dataCentre: DataCentreId, note: ScalingNote, now: Millis): number {
		const {ready} = this.listedIn(dataCentre);
		const counts = countsInForce(note);
		const missing = counts.regular + counts.spot - ready.regular - ready.spot;
		if (missing <= 0) {
			this.shortSince.delete(dataCentre);
			return 0;
		}

		const since = this.shortSince.get(dataCentre) ?? now;
		this.shortSince.set(dataCentre, since);
		return now - since > lostMs + (this.observation?.rules.bootMs ?? 0) ? missing : 0;
	}

	listedIn(dataCentre: DataCentreId): ListedCounts {
		const none = {regular: 0, spot: 0};
		return this.observation?.listed.find(counts => counts.dataCentre === dataCentre) ?? {dataCentre, ready: none, leaving: none};
	}
}

/** Whether the platform takes back the upstreams that may be reclaimed. It does so with all of a data centre at once, so some that leave after an order are told apart. */
export function isReclaimed({ready, leaving}: ListedCounts): boolean {
	return leaving.spot > 0 && ready.spot === 0;
}
