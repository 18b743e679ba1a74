import type {
	DutyClient, DutyOutcome, DutyWork, PreparedCall,
} from '@cicadapost/duties';
import type {DataCentreId, Millis, ServiceId} from '@cicadapost/types';
import type {UpstreamKind} from './plan-upstream-counts.js';
import {
	countsInForce, parseNote, toNote, type ScalingNote,
} from './scaling-note.js';
import {isReclaimed, type ServiceScaling} from './service-scaling.js';

/** A kind that was not available is not ordered there for this long, so that other data centres are tried. */
const unavailableMs: Readonly<Record<UpstreamKind, Millis>> = {regular: 15_000, spot: 30_000};
/** After a reclaim the platform would soon reclaim again. */
const reclaimedMs = 60_000;

/** An order and why it is given, for logs and metrics. */
export type ScaleReport = Readonly<{
	service: ServiceId;
	dataCentre: DataCentreId;
	kind: UpstreamKind;
	before: number;
	count: number;
	reason: string;
	outcome: string;
}>;

export type ScalingWorkOptions = Readonly<{
	service: ServiceId;
	dataCentre: DataCentreId;
	scaling: ServiceScaling;
	client: DutyClient;
	/** Notes of the leases of all data centres of the service. */
	notes: () => ReadonlyMap<DataCentreId, ScalingNote>;
	/** Converts a time of this daemon to the store's clock. */
	storeTime: (now: Millis) => Millis;
	onScaleReport: (report: ScaleReport) => void;
}>;

/** Orders the planned number of upstreams of a service in one data centre. An order names the whole number, so it may be repeated. */
export class ScalingWork implements DutyWork {
	/** Since when an order has been due. */
	private since: Millis | undefined;

	constructor(private readonly options: ScalingWorkOptions) {}

	dueSince(stored: unknown, now: Millis): Millis | undefined {
		const isDue = this.next(parseNote(stored), now) !== undefined;
		this.since = isDue ? this.since ?? now : undefined;
		return this.since;
	}

	async prepare(stored: unknown, now: Millis): Promise<PreparedCall | undefined> {
		const {service, dataCentre, client} = this.options;
		const note = parseNote(stored);
		const next = this.next(note, now);
		if (next === undefined) {
			return undefined;
		}

		const {kind, count, plan, inForce} = next;
		const base: ScalingNote = note ?? {
			ordered: inForce, pending: undefined, blockedUntil: {regular: 0, spot: 0}, givenBackAt: 0,
		};
		return {
			body: client.encodeScale({
				service, dataCentre, upstreams: count, isSpot: kind === 'spot',
			}),
			note: toNote({...base, pending: {kind, count}}),
			noteAfter: outcome => {
				this.options.onScaleReport({
					service, dataCentre, kind, before: base.ordered[kind], count, reason: plan.reason, outcome: outcome.kind,
				});
				return this.noteAfter(base, {kind, count}, outcome, now);
			},
		};
	}

	/** The next order: one whose outcome is not known first, then the kind of which more are needed. */
	private next(note: ScalingNote | undefined, now: Millis) {
		const {scaling, dataCentre, notes, storeTime} = this.options;
		const plan = scaling.plan(notes(), now, storeTime(now)).get(dataCentre);
		if (plan === undefined) {
			return undefined;
		}

		const inForce = note === undefined ? scaling.listedIn(dataCentre).ready : countsInForce(note);
		const kinds = (['regular', 'spot'] as const)
			.filter(kind => plan[kind] !== inForce[kind])
			.sort((a, b) => (plan[b] - inForce[b]) - (plan[a] - inForce[a]));
		const kind = note?.pending?.kind ?? kinds[0];
		return kind === undefined
			? undefined
			: {
				kind, count: plan[kind], plan, inForce,
			};
	}

	private noteAfter(note: ScalingNote, order: Readonly<{kind: UpstreamKind; count: number}>, outcome: DutyOutcome, now: Millis): unknown {
		const {storeTime, scaling, dataCentre} = this.options;
		const {kind, count} = order;
		switch (outcome.kind) {
			case 'done': {
				const isTakenBack = kind === 'spot' && count === 0 && isReclaimed(scaling.listedIn(dataCentre));
				return toNote({
					ordered: {...note.ordered, [kind]: count},
					pending: undefined,
					blockedUntil: isTakenBack ? {...note.blockedUntil, spot: storeTime(now) + reclaimedMs} : note.blockedUntil,
					givenBackAt: count < note.ordered[kind] && !isTakenBack ? storeTime(now) : note.givenBackAt,
				});
			}

			case 'unavailable':
			case 'rejected': {
				return toNote({...note, pending: undefined, blockedUntil: {...note.blockedUntil, [kind]: storeTime(now) + unavailableMs[kind]}});
			}

			case 'busy':
			case 'not-sent': {
				// Nothing was carried out, but an earlier order may have been.
				return note.pending === undefined ? toNote(note) : undefined;
			}

			case 'unknown': {
				return undefined;
			}
		}
	}
}

