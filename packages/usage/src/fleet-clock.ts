import {ownerOf} from '@cicadapost/membership';
import {readAll, type RowStore, type TableFollower} from '@cicadapost/store';
import type {Clock, DaemonId, Millis} from '@cicadapost/types';
import {fleetOffset} from './fleet-time.js';
import {
	clockPart, daemonOfClock, decodeOffset, encodeOffset, fleetOffsetKey, fleetOffsetPart, usageTable,
} from './usage-rows.js';

/** A daemon publishes its offset again if it has changed by more than this. The store's responses alone move it by some milliseconds. */
const publishChangeMs = 20;
/** Rows of daemons that are gone are deleted with the others; those of live ones are renewed in this interval. */
const publishIntervalMs = 60_000;
const updateIntervalMs = 5000;
/** Interval until the offset is known. */
const firstUpdateMs = 400;
/** A response of the store that is older says too little about its clock: the monotonic clock may have stopped since. */
const maxCopyAgeMs = 3000;

export type FleetClockOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Any follower of a table; it knows the store's clock. */
	follower: Pick<TableFollower, 'storeTime' | 'isLoaded' | 'age'>;
	self: DaemonId;
	/** Daemons that are alive. */
	members: (now: Millis) => readonly DaemonId[];
	/** Called when the offset in use changes. */
	onOffset: (offsetMs: Millis, previousMs: Millis | undefined) => void;
}>;

/** Tells true time, which all daemons agree on: the store's clock plus an offset that is a row of the store. */
export class FleetClock {
	private publishedMs: Millis | undefined;
	private publishedAt: Millis = Number.NEGATIVE_INFINITY;
	private offset: Millis | undefined;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: FleetClockOptions) {}

	start(): void {
		this.timer = setTimeout(() => {
			void this.update();
			this.start();
		}, this.offset === undefined ? firstUpdateMs : updateIntervalMs);
	}

	stop(): void {
		clearTimeout(this.timer);
	}

	/** True time minus the store's clock. Undefined until enough daemons have published their clocks. */
	get offsetMs(): Millis | undefined {
		return this.offset;
	}

	/** Converts a time of this daemon to the store's clock. */
	storeTime(time: Millis): Millis {
		return this.options.follower.storeTime(time);
	}

	/** Milliseconds since the start of 1970 in true time, or undefined while it is not known. */
	trueTime(now: Millis): Millis | undefined {
		return this.offset === undefined || !this.options.follower.isLoaded ? undefined : this.storeTime(now) + this.offset;
	}

	/** Publishes this daemon's offset, takes over the one that all use, and renews that if it is this daemon's turn. */
	async update(): Promise<void> {
		const {clock, store, follower, self, members} = this.options;
		const now = clock.now();
		if (!follower.isLoaded || follower.age(now) > maxCopyAgeMs) {
			return;
		}

		await this.publish(clock.wallTime() - this.storeTime(now), now);
		const read = await store.read({table: usageTable, part: fleetOffsetPart, limit: 1});
		if (read.kind === 'unavailable') {
			return;
		}

		const row = read.rows.find(({key}) => key === fleetOffsetKey);
		const current = row === undefined ? undefined : decodeOffset(row.value);
		this.use(current);
		if (ownerOf(fleetOffsetPart, members(now)) === self) {
			await this.renew(row?.version ?? 0, current);
		}
	}

	private async publish(ownMs: Millis, now: Millis): Promise<void> {
		const {store, self} = this.options;
		if (this.publishedMs !== undefined && Math.abs(ownMs - this.publishedMs) <= publishChangeMs && now - this.publishedAt < publishIntervalMs) {
			return;
		}

		const outcome = await store.transact({part: clockPart, writes: [{table: usageTable, key: self, value: encodeOffset(ownMs)}]});
		if (outcome.kind === 'committed') {
			this.publishedMs = ownMs;
			this.publishedAt = now;
		}
	}

	private async renew(version: number, previousMs: Millis | undefined): Promise<void> {
		const {clock, store, members} = this.options;
		const rows = await readAll(store, {table: usageTable, part: clockPart});
		const published = (rows ?? []).flatMap(({key, value}) => {
			const offsetMs = decodeOffset(value);
			return offsetMs === undefined ? [] : [{daemon: daemonOfClock(key), offsetMs}];
		});
		const next = fleetOffset({published, members: members(clock.now()), previousMs});
		if (next === undefined) {
			return;
		}

		const outcome = await store.transact({
			part: fleetOffsetPart,
			expected: [{table: usageTable, key: fleetOffsetKey, version}],
			writes: [{table: usageTable, key: fleetOffsetKey, value: encodeOffset(next)}],
		});
		if (outcome.kind === 'committed') {
			this.use(next);
		}
	}

	private use(offsetMs: Millis | undefined): void {
		if (offsetMs !== undefined && offsetMs !== this.offset) {
			const previousMs = this.offset;
			this.offset = offsetMs;
			this.options.onOffset(offsetMs, previousMs);
		}
	}
}
