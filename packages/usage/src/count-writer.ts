import {chunksOf, type RowStore} from '@cicadapost/store';
import type {Clock, Millis, TeamId} from '@cicadapost/types';
import {BeginEstimator, type RequestTimes} from './estimate-begin.js';
import type {FleetClock} from './fleet-clock.js';
import {countPart, encodeCounts, usageTable} from './usage-rows.js';
import {WindowCounts} from './window-counts.js';

/** Writes of counts that all daemons together make in a second, unless there are so many that the longest interval exceeds it. */
const writesPerSecond = 130;
const minIntervalMs = 250;
/** A window's last counts must reach the store well before it is summed. */
const maxIntervalMs = 1500;
/** Full rows take up most of what the store accepts in a transaction. */
const rowsPerTransaction = 10;

/** Returns the time between two writes of counts: the shorter, the less a killed VM loses. */
export function countIntervalMs(daemons: number): Millis {
	return Math.min(maxIntervalMs, Math.max(minIntervalMs, (daemons * 1000) / writesPerSecond));
}

export type CountWriterOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	fleetClock: FleetClock;
	/** This run of the daemon. A restarted daemon begins new rows. */
	incarnation: string;
	windowMs: Millis;
	/** Number of daemons that are alive. */
	daemons: () => number;
}>;

/** Counts the requests of this daemon's callers, and writes the counts to the store. */
export class CountWriter {
	private readonly counts: WindowCounts;
	private readonly estimator = new BeginEstimator();
	/** Versions of the first row of each transaction, by window and key. */
	private readonly versions = new Map<number, Map<string, number>>();
	private timer: NodeJS.Timeout | undefined;
	private isWriting = false;
	private isStopped = false;

	constructor(private readonly options: CountWriterOptions) {
		this.counts = new WindowCounts(options.windowMs);
	}

	start(): void {
		this.timer = setTimeout(() => {
			void this.flush();
			this.start();
		}, countIntervalMs(this.options.daemons()));
	}

	/** Counts a request that an upstream has run, or may have run. */
	record(team: TeamId, times: RequestTimes): void {
		const {fleetClock} = this.options;
		this.counts.record(team, fleetClock.storeTime(this.estimator.estimate(times)), fleetClock.offsetMs);
	}

	/** Writes the counts that have changed. */
	async flush(): Promise<void> {
		const {offsetMs} = this.options.fleetClock;
		if (this.isWriting || this.isStopped || offsetMs === undefined) {
			return;
		}

		this.counts.assignPending(offsetMs);
		this.isWriting = true;
		for (const window of this.counts.takeChanged()) {
			if (!await this.write(window)) {
				this.counts.markChanged(window);
			}
		}

		this.isWriting = false;
	}

	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
	}

	/** Writes on condition, so that an earlier write that takes effect late does not undo a later one. Returns whether the counts are in the store. */
	private async write(window: number): Promise<boolean> {
		const {incarnation} = this.options;
		const rows = encodeCounts(incarnation, this.counts.countsOf(window));
		let isWritten = true;
		for (const part of chunksOf(rows, rowsPerTransaction)) {
			isWritten = await this.writeRows(window, part) && isWritten;
		}

		if (isWritten) {
			this.forgetVersions(window);
		}

		return isWritten;
	}

	private async writeRows(window: number, rows: ReadonlyArray<Readonly<{key: string; value: Uint8Array}>>): Promise<boolean> {
		const {store, incarnation} = this.options;
		const versions = this.versions.get(window) ?? new Map<string, number>();
		this.versions.set(window, versions);
		const key = rows[0]?.key ?? '';
		const outcome = await store.transact({
			part: countPart(window, incarnation), expected: [{table: usageTable, key, version: versions.get(key) ?? 0}], writes: rows.map(row => ({...row, table: usageTable})),
		});
		if (outcome.kind === 'committed') {
			versions.set(key, outcome.version);
		} else if (outcome.kind === 'conflict') {
			versions.set(key, outcome.rows.find(row => row.key === key)?.version ?? 0);
		}

		// Counts that the store never accepts are not written again before they change.
		return outcome.kind === 'committed' || outcome.kind === 'rejected';
	}

	private forgetVersions(window: number): void {
		for (const known of this.versions.keys()) {
			if (this.counts.countsOf(known).size === 0 && known < window) {
				this.versions.delete(known);
			}
		}
	}
}
