import {
	canRequestPermit, isPermitValid, maxTransitMs, permitRestMs, requestPermit, type ClockReadings, type PermitTable,
} from '@cicadapost/permits';
import type {RowStore} from '@cicadapost/store';
import type {Clock, DaemonId, Millis} from '@cicadapost/types';
import {backOffMs} from './call-pace.js';
import {shouldTryDuty} from './decide-candidate.js';
import type {
	CallLimits, DutyClient, DutyKind, DutyOutcome,
} from './duty-client.js';
import {
	decodeDuty, dutyKey, dutyPart, encodeDuty, renewDuty, type DutyRecord,
} from './duty-record.js';

export type PreparedCall = Readonly<{
	/** Undefined if only the note changes. */
	body: Uint8Array | undefined;
	/** Written together with the permit, before the call. */
	note: unknown;
	/** Returns the note after the call, or undefined if the note stays and the call is repeated. */
	noteAfter: (outcome: DutyOutcome) => unknown;
}>;

/** What a duty does for one subject. */
export type DutyWork = Readonly<{
	/** Returns since when a call has been due, undefined if none is. Called several times a second, so it must be cheap. */
	dueSince: (note: unknown, now: Millis) => Millis | undefined;
	/** Gathers the content of the call that is due. Returns undefined if it can't be made now. */
	prepare: (note: unknown, now: Millis) => Promise<PreparedCall | undefined>;
}>;

/** A step of a duty, for logs and metrics. */
export type DutyReport = Readonly<{
	duty: DutyKind;
	subject: string;
	outcome: string;
	fencingToken: number | undefined;
	/** How long the call had been due. */
	dueForMs: Millis;
	/** Set if this daemon has taken the duty over: who held it before. */
	tookOverFrom?: DaemonId | 'nobody';
}>;

export type DutyRunnerOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Follows the fleet's table. */
	follower: PermitTable;
	client: DutyClient;
	duty: DutyKind;
	/** Empty for a duty with a single subject. */
	subject: string;
	/** Subjects with the same key normally have the same holder. By default each has its own. */
	rankKey?: string;
	self: DaemonId;
	leaseMs: Millis;
	/** Daemons that are alive. */
	members: (now: Millis) => readonly DaemonId[];
	/** Minimum time between two calls. */
	minIntervalMs: () => Millis;
	work: DutyWork;
	random: () => number;
	onDutyReport: (report: DutyReport) => void;
}>;

/** After this many calls in a row that may not have reached the receiver, the holder lets another daemon try: its link may be at fault. */
const maxUnreached = 3;
/** A call must have ended within this share of the lease, before another daemon may make one. */
const callShareOfLease = 0.8;

/** Carries out one duty for one subject whenever this daemon holds it or may take it over. */
export class DutyRunner {
	readonly part: string;
	private isBusy = false;
	private failures = 0;
	private unreached = 0;
	private nextCallAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: DutyRunnerOptions) {
		this.part = dutyPart(options.duty, options.subject);
	}

	/** The lease as this daemon knows it. */
	get record(): DutyRecord | undefined {
		const row = this.options.follower.copy.get(this.part, dutyKey);
		return row === undefined ? undefined : decodeDuty(row.value);
	}

	get isHolder(): boolean {
		return this.record?.holder === this.options.self;
	}

	/** Makes the call that is due, if it is this daemon's turn. Called several times a second. */
	async run(): Promise<void> {
		const {clock, work, self, members, leaseMs} = this.options;
		const now = clock.now();
		if (this.isBusy || now < this.nextCallAt) {
			return;
		}

		const {record} = this;
		if (!this.mayRequestPermit(record, now)) {
			return;
		}

		const dueSince = work.dueSince(record?.note, now);
		if (dueSince === undefined || !shouldTryDuty({
			self, part: this.options.rankKey ?? this.part, holder: record?.holder, isReleased: record?.isReleased === true, members: members(now), dueForMs: now - dueSince, leaseMs,
		})) {
			return;
		}

		this.isBusy = true;
		try {
			await this.carryOut(record, now - dueSince);
		} finally {
			this.isBusy = false;
		}
	}

	private mayRequestPermit(permit: DutyRecord | undefined, now: Millis): boolean {
		const {follower, self, leaseMs} = this.options;
		const unchangedMs = now - (follower.copy.changedAt(this.part, dutyKey) ?? now);
		return canRequestPermit({
			permit, unchangedMs, self, silenceMs: leaseMs,
		});
	}

	private async carryOut(record: DutyRecord | undefined, dueForMs: Millis): Promise<void> {
		const {clock, work, client, duty, minIntervalMs} = this.options;
		const prepared = await work.prepare(record?.note, clock.now());
		if (prepared === undefined) {
			this.pauseAfterFailure();
			return;
		}

		const requestedAt = this.readClocks();
		const granted = await this.requestPermit(prepared.note, record, requestedAt.steady, dueForMs);
		if (granted === undefined) {
			this.pauseAfterFailure();
			return;
		}

		const {permit, version} = granted;
		if (prepared.body === undefined) {
			this.failures = 0;
			return;
		}

		const {canSend} = this.callLimits(requestedAt);
		if (!canSend()) {
			this.report('the permit came too late', permit.fencingToken, dueForMs);
			this.pauseAfterFailure();
			return;
		}

		this.nextCallAt = requestedAt.steady + minIntervalMs();
		const outcome = await client.send({
			duty, holder: permit.holder, fencingToken: permit.fencingToken, body: prepared.body,
		}, this.callLimits(requestedAt));
		this.report(describeOutcome(outcome), permit.fencingToken, dueForMs);
		await this.applyOutcome({
			outcome, prepared, permit, version,
		});
	}

	private async applyOutcome({outcome, prepared, permit, version}: Readonly<{outcome: DutyOutcome; prepared: PreparedCall; permit: DutyRecord; version: number}>): Promise<void> {
		this.unreached = outcome.kind === 'not-sent' || outcome.kind === 'unknown' ? this.unreached + 1 : 0;
		const note = prepared.noteAfter(outcome);
		if (outcome.kind === 'done') {
			this.failures = 0;
		} else {
			this.pauseAfterFailure(outcome.kind === 'busy' ? outcome.retryAfterMs : 0);
		}

		const isReleased = this.unreached >= maxUnreached && this.options.members(this.options.clock.now()).length > 1;
		if (isReleased) {
			this.unreached = 0;
			this.nextCallAt = this.options.clock.now() + (2 * permitRestMs(this.options.leaseMs));
			this.report('released', permit.fencingToken, 0);
		}

		if (note !== undefined || isReleased) {
			await this.writeRecord({...permit, note: note ?? permit.note, ...(isReleased ? {isReleased} : {})}, version);
		}
	}

	private callLimits(requestedAt: ClockReadings): CallLimits {
		const {leaseMs} = this.options;
		return {
			canSend: () => isPermitValid(requestedAt, this.readClocks()),
			isOverdue: () => {
				const now = this.readClocks();
				const [steady, wall] = [now.steady - requestedAt.steady, now.wall - requestedAt.wall];
				return Math.max(steady, wall) > leaseMs * callShareOfLease || wall < -maxTransitMs;
			},
		};
	}

	private async requestPermit(note: unknown, before: DutyRecord | undefined, now: Millis, dueForMs: Millis): Promise<Readonly<{permit: DutyRecord; version: number}> | undefined> {
		const {store, follower, self, leaseMs} = this.options;
		const outcome = await requestPermit<DutyRecord>({
			store,
			follower,
			part: this.part,
			key: dutyKey,
			self,
			silenceMs: leaseMs,
			now,
			decode: decodeDuty,
			encode: encodeDuty,
			next: current => renewDuty(current, self, note),
			// The content was prepared for this note; that of another holder may be further.
			isCurrent: current => current?.holder === before?.holder && JSON.stringify(current?.note) === JSON.stringify(before?.note),
		});
		switch (outcome.kind) {
			case 'granted': {
				if (before?.holder !== self) {
					this.report('taken over', outcome.permit.fencingToken, dueForMs, before?.holder ?? 'nobody');
				}

				return outcome;
			}

			case 'held':
			case 'conflict': {
				return undefined;
			}

			case 'unreadable': {
				this.report('the lease row has an unknown shape; delete it once no daemon of another version runs', undefined, dueForMs);
				return undefined;
			}

			case 'refused':
			case 'unknown': {
				this.report(`the lease was ${outcome.kind === 'refused' ? 'refused' : 'not answered'} by the store`, undefined, dueForMs);
				return undefined;
			}
		}
	}

	/** Records the progress, unless another daemon has taken the duty over meanwhile. If it can't be recorded, the call is repeated. */
	private async writeRecord(record: DutyRecord, version: number): Promise<void> {
		const {store, follower} = this.options;
		const write = {table: follower.copy.table, key: dutyKey, value: encodeDuty(record)};
		const outcome = await store.transact({
			part: this.part, expected: [{table: write.table, key: dutyKey, version}], writes: [write],
		});
		if (outcome.kind === 'committed') {
			follower.mergeRows([{...write, part: this.part, version: outcome.version}]);
		} else if (outcome.kind === 'conflict') {
			follower.mergeRows(outcome.rows);
		}
	}

	private pauseAfterFailure(minMs: Millis = 0): void {
		const {clock, random} = this.options;
		this.failures += 1;
		this.nextCallAt = Math.max(this.nextCallAt, clock.now() + Math.max(minMs, backOffMs(this.failures, random())));
	}

	private readClocks(): ClockReadings {
		const {clock} = this.options;
		return {steady: clock.now(), wall: clock.wallTime()};
	}

	private report(outcome: string, fencingToken: number | undefined, dueForMs: Millis, tookOverFrom?: DutyReport['tookOverFrom']): void {
		const {duty, subject, onDutyReport} = this.options;
		onDutyReport({
			duty, subject, outcome, fencingToken, dueForMs: Math.round(dueForMs), ...(tookOverFrom === undefined ? {} : {tookOverFrom}),
		});
	}
}

function describeOutcome(outcome: DutyOutcome): string {
	switch (outcome.kind) {
		case 'rejected': {
			return `rejected with status ${outcome.status}`;
		}

		case 'unknown':
		case 'not-sent': {
			return `${outcome.kind}: ${outcome.cause}`;
		}

		case 'done':
		case 'unavailable':
		case 'busy': {
			return outcome.kind;
		}
	}
}
