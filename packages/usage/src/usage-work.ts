import type {
	DutyClient, DutyOutcome, DutyWork, PreparedCall,
} from '@cicadapost/duties';
import {readAll, type RowStore} from '@cicadapost/store';
import type {Clock, Millis, TeamId} from '@cicadapost/types';
import type {FleetClock} from './fleet-clock.js';
import {windowAt} from './fleet-time.js';
import {
	lastSummable, nextWindow, summableAt, type ReportTimes,
} from './plan-reports.js';
import {
	addCounts, countParts, reportOf, reportPart, reportRows, usageTable, windowKey, windowOfPart,
} from './usage-rows.js';

/** Reports that are frozen before one call, so that the rows of counts do not pile up while the receiver is unavailable. */
const maxFrozenPerCall = 5;
/** After an outage of the store the other daemons first write what they have counted meanwhile. Twice the longest interval of their writes. */
const minConnectedMs = 3000;
/** A report that the receiver has rejected so often is given up, so that it does not hold up later ones. */
const maxRejections = 5;

/** What happened to a window, for logs and metrics. */
export type WindowReport = Readonly<{
	window: number;
	outcome: 'sent' | 'skipped' | 'given up';
	/** True time after the end of the window. */
	lateMs: Millis;
	reason?: string;
}>;

export type UsageWorkOptions = Readonly<ReportTimes & {
	clock: Clock;
	store: RowStore;
	client: DutyClient;
	fleetClock: FleetClock;
	/** How long the store has responded to this daemon without a failure. */
	connectedFor: (now: Millis) => Millis;
	onWindowReport: (report: WindowReport) => void;
	/** Called with a row of counts that can't be read. Its counts are missing in the report. */
	onUnreadable: (part: string, key: string) => void;
}>;

/**
Reports windows one after the other. The note of the duty is the first window that has not been reported. The content of a
report is a row that is written once, so every repeat by any daemon has the same bytes.
*/
export class UsageWork implements DutyWork {
	private rejections = 0;
	/** Window whose report the store never accepts. */
	private rejectedWindow: number | undefined;

	constructor(private readonly options: UsageWorkOptions) {}

	dueSince(note: unknown, now: Millis): Millis | undefined {
		const trueTime = this.options.fleetClock.trueTime(now);
		if (trueTime === undefined || this.options.connectedFor(now) < minConnectedMs) {
			return undefined;
		}

		const window = parseNote(note);
		const dueForMs = window === undefined ? 0 : trueTime - summableAt(window, this.options);
		return dueForMs < 0 ? undefined : now - dueForMs;
	}

	async prepare(note: unknown, now: Millis): Promise<PreparedCall | undefined> {
		const trueTime = this.options.fleetClock.trueTime(now);
		if (trueTime === undefined) {
			return undefined;
		}

		const window = parseNote(note);
		if (window === undefined) {
			return this.prepareFirst(trueTime);
		}

		const newest = lastSummable(trueTime, this.options);
		const next = nextWindow(window, newest, window < newest - 1 ? await this.countedWindows() ?? [window] : []);
		if (next !== window) {
			this.options.onWindowReport({
				window, outcome: 'skipped', lateMs: this.lateMs(window), reason: `no daemon counted anything until window ${next}`,
			});
			return noteOnly(next);
		}

		const body = await this.freeze(window, newest);
		if (body === undefined && this.rejectedWindow === window) {
			this.options.onWindowReport({
				window, outcome: 'given up', lateMs: this.lateMs(window), reason: 'the store never accepts the report',
			});
			return noteOnly(window + 1);
		}

		return body === undefined
			? undefined
			: {body, note: window, noteAfter: outcome => this.noteAfter(window, outcome)};
	}

	/** The first report is that of the window in which the first daemon counted or started. */
	private async prepareFirst(trueTime: Millis): Promise<PreparedCall | undefined> {
		const counted = await this.countedWindows();
		return counted === undefined ? undefined : noteOnly(Math.min(windowAt(trueTime, this.options.windowMs), ...counted));
	}

	/** Freezes the report of a window and of some that follow. Returns the content of the first one. */
	private async freeze(window: number, newest: number): Promise<Uint8Array | undefined> {
		const last = Math.min(newest, window + maxFrozenPerCall - 1);
		const frozen = await readAll(this.options.store, {
			table: usageTable, part: reportPart, from: windowKey(window), to: windowKey(last + 1),
		});
		if (frozen === undefined) {
			return undefined;
		}

		let first: Uint8Array | undefined;
		for (let at = window; at <= last; at += 1) {
			const body = reportOf(frozen, at) ?? await this.writeReport(at);
			first ??= body;
			if (body === undefined) {
				break;
			}
		}

		return first;
	}

	/** Sums a window and writes its report, unless another daemon has. Returns the content that is in the store. */
	private async writeReport(window: number): Promise<Uint8Array | undefined> {
		const {store, client} = this.options;
		const counts = await this.sum(window);
		if (counts === undefined) {
			return undefined;
		}

		const value = client.encodeUsage({window, counts});
		const rows = reportRows(window, value).map(row => ({...row, table: usageTable}));
		const outcome = await store.transact({
			part: reportPart, expected: rows.map(({table, key}) => ({table, key, version: 0})), writes: rows,
		});
		switch (outcome.kind) {
			case 'committed': {
				return value;
			}

			case 'conflict': {
				return reportOf(outcome.rows, window);
			}

			case 'rejected': {
				this.rejectedWindow = window;
				return undefined;
			}

			case 'refused':
			case 'unknown': {
				return undefined;
			}
		}
	}

	private async sum(window: number): Promise<ReadonlyMap<TeamId, number> | undefined> {
		const {store, onUnreadable} = this.options;
		const shards = await Promise.all(countParts(window).map(async part => readAll(store, {table: usageTable, part})));
		const sum = new Map<TeamId, number>();
		for (const rows of shards) {
			if (rows === undefined) {
				return undefined;
			}

			for (const {part, key, value} of rows) {
				if (!addCounts(value, sum)) {
					onUnreadable(part, key);
				}
			}
		}

		return sum;
	}

	private async countedWindows(): Promise<number[] | undefined> {
		const parts = await this.options.store.parts(usageTable);
		return parts?.flatMap(part => windowOfPart(part) ?? []);
	}

	private noteAfter(window: number, outcome: DutyOutcome): unknown {
		this.rejections = outcome.kind === 'rejected' ? this.rejections + 1 : 0;
		if (outcome.kind === 'done') {
			this.options.onWindowReport({window, outcome: 'sent', lateMs: this.lateMs(window)});
			return window + 1;
		}

		if (this.rejections < maxRejections) {
			return undefined;
		}

		this.rejections = 0;
		this.options.onWindowReport({
			window, outcome: 'given up', lateMs: this.lateMs(window), reason: 'the receiver rejects the report',
		});
		return window + 1;
	}

	private lateMs(window: number): Millis {
		const {clock, fleetClock, windowMs} = this.options;
		return Math.round((fleetClock.trueTime(clock.now()) ?? 0) - ((window + 1) * windowMs));
	}
}

function parseNote(note: unknown): number | undefined {
	return typeof note === 'number' && Number.isSafeInteger(note) ? note : undefined;
}

function noteOnly(note: number): PreparedCall {
	return {body: undefined, note, noteAfter: () => undefined};
}
