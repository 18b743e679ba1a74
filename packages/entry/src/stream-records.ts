import {setTimeout as sleep} from 'node:timers/promises';
import type {VersionHistory} from '@cicadapost/fleet';
import {StreamOrigins, type StreamOrigin} from '@cicadapost/forwarding';
import {
	decodeList, encodeList, readAll, type RowStore, type StoredRow,
} from '@cicadapost/store';
import type {
	Clock, DataCentreId, Millis, RequestId, ServiceId, SoftwareVersion,
} from '@cicadapost/types';

/** Table of the origins of streams. The part is the data centre of the daemon that relayed the first event, the key the request. */
export const streamTable = 'streams';

export type StreamRecordsOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Returns the current time on the store's clock. */
	storeTime: () => Millis;
	dataCentre: DataCentreId;
	/** All data centres with daemons. */
	dataCentres: readonly DataCentreId[];
	/** Returns the number of daemons, which share the store's rate of writes. */
	daemons: () => number;
	versions: VersionHistory;
	/** Whether this daemon's copy of the list can't have missed upstreams since it was last read. */
	isListContinuous: () => boolean;
	/** Reads from the store which software versions of a service are listed now. Returns undefined if the store does not respond. */
	readVersions: (service: ServiceId) => Promise<readonly SoftwareVersion[] | undefined>;
	/** Whether this daemon is responsible for deleting the old records of a part. */
	isOwner: (part: string) => boolean;
	/** Called if records are dropped, because the store has not taken any for a long time. */
	onDropped: (count: number) => void;
}>;

/** Streams end within this time. */
const maxStreamMs = 60_000;
/** Records are kept for longer than any caller tries to continue its stream. */
const retentionMs = 10 * 60_000;
const sweepMs = 5 * 60_000;
/** Records are collected for this time per daemon, which bounds the writes of the whole fleet to 333 per second. */
const collectMsPerDaemon = 3;
const retryMs = 200;
/** Maximum number of rows in a transaction. The store accepts 100. */
const maxRows = 90;
const maxPending = 5000;
/** A caller that continues a stream must not wait longer for its origin. */
const findTimeoutMs = 400;
/** Keys of the store have at most 200 bytes. */
const maxKeyLength = 200;

/** Shares among all daemons where streams began. */
export class StreamRecords extends StreamOrigins {
	/** Origins of this daemon's own streams, oldest first. */
	private readonly own = new Map<RequestId, Readonly<{origin: StreamOrigin; at: Millis}>>();
	private pending = new Map<RequestId, StreamOrigin>();
	private flushTimer: NodeJS.Timeout | undefined;
	private isFlushing = false;
	/** Number of records of the next transaction, which is lower after the store has rejected one for good. */
	private maxRecords = maxRows;
	private readonly sweepTimer: NodeJS.Timeout;

	constructor(private readonly options: StreamRecordsOptions) {
		super();
		this.sweepTimer = setInterval(() => {
			void this.sweep();
		}, sweepMs);
	}

	override record(stream: RequestId, origin: StreamOrigin): void {
		const now = this.options.clock.now();
		this.forgetOld(now);
		this.own.set(stream, {origin, at: now});
		if (Buffer.byteLength(stream) > maxKeyLength) {
			return;
		}

		this.pending.set(stream, origin);
		this.limitPending();
		this.scheduleFlush(this.options.daemons() * collectMsPerDaemon);
	}

	override async originOf(stream: RequestId): Promise<StreamOrigin | undefined> {
		const own = this.own.get(stream);
		if (own !== undefined) {
			return own.origin;
		}

		return Promise.race([this.readFrom(stream), sleep(findTimeoutMs, undefined, {ref: false})]);
	}

	/** Reads the list anew, since an upstream of another version may have begun the stream before this daemon's copy shows it. */
	override async onlyVersion(service: ServiceId): Promise<SoftwareVersion | undefined> {
		const {clock, versions, isListContinuous, readVersions} = this.options;
		const now = clock.now();
		const version = isListContinuous() ? versions.onlyVersionSince(service, now - maxStreamMs, now) : undefined;
		const listed = version === undefined ? undefined : await Promise.race([readVersions(service), sleep(findTimeoutMs, undefined, {ref: false})]);
		return listed?.every(other => other === version) === true ? version : undefined;
	}

	stop(): void {
		clearTimeout(this.flushTimer);
		clearInterval(this.sweepTimer);
	}

	/** Deletes the old records of the data centres that this daemon is responsible for. */
	async sweep(): Promise<void> {
		const {store, storeTime, dataCentres, isOwner} = this.options;
		for (const part of dataCentres.filter(dataCentre => isOwner(dataCentre))) {
			const rows = await readAll(store, {table: streamTable, part}) ?? [];
			const old = rows.filter(row => recordedAt(row) < storeTime() - retentionMs);
			for (let index = 0; index < old.length; index += maxRows) {
				await store.transact({part, writes: [], deletes: old.slice(index, index + maxRows).map(({key}) => ({table: streamTable, key}))});
			}
		}
	}

	private scheduleFlush(delayMs: Millis): void {
		this.flushTimer ??= setTimeout(() => {
			this.flushTimer = undefined;
			void this.flush();
		}, delayMs);
	}

	private async flush(): Promise<void> {
		if (this.isFlushing) {
			return;
		}

		this.isFlushing = true;
		const {store, storeTime, dataCentre} = this.options;
		const batch = [...this.pending].slice(0, this.maxRecords);
		const outcome = await store.transact({
			part: dataCentre,
			writes: batch.map(([stream, {service, softwareVersion}]) => ({table: streamTable, key: stream, value: encodeList([service, softwareVersion, storeTime()])})),
		});
		this.isFlushing = false;
		if (outcome.kind === 'committed') {
			this.maxRecords = maxRows;
		} else if (outcome.kind === 'rejected') {
			this.maxRecords = Math.max(1, Math.floor(batch.length / 2));
		}

		if (outcome.kind === 'committed' || (outcome.kind === 'rejected' && batch.length === 1)) {
			for (const [stream] of batch) {
				this.pending.delete(stream);
			}
		}

		if (outcome.kind === 'rejected' && batch.length === 1) {
			this.options.onDropped(1);
		}

		if (this.pending.size > 0) {
			this.scheduleFlush(outcome.kind === 'committed' ? 0 : retryMs);
		}
	}

	private limitPending(): void {
		const excess = this.pending.size - maxPending;
		if (excess > 0) {
			this.pending = new Map([...this.pending].slice(excess));
			this.options.onDropped(excess);
		}
	}

	private forgetOld(now: Millis): void {
		for (const [stream, {at}] of this.own) {
			if (now - at < retentionMs) {
				return;
			}

			this.own.delete(stream);
		}
	}

	/** Reads the record from this data centre, where most callers continue their streams, and then from the others. */
	private async readFrom(stream: RequestId): Promise<StreamOrigin | undefined> {
		const {dataCentre, dataCentres} = this.options;
		const near = await this.read(dataCentre, stream);
		if (near !== undefined) {
			return near;
		}

		const others = await Promise.all(dataCentres.filter(other => other !== dataCentre).map(async other => this.read(other, stream)));
		return others.find(origin => origin !== undefined);
	}

	private async read(part: string, stream: RequestId): Promise<StreamOrigin | undefined> {
		const outcome = await this.options.store.read({
			table: streamTable, part, from: stream, to: `${stream}\0`, limit: 1,
		});
		const [row] = outcome.kind === 'rows' ? outcome.rows : [];
		const [service, softwareVersion] = row === undefined ? [] : decodeList(row.value) ?? [];
		return typeof service === 'string' && typeof softwareVersion === 'string'
			? {service: service as ServiceId, softwareVersion: softwareVersion as SoftwareVersion}
			: undefined;
	}
}

/** Time of a record on the store's clock. 0 for a row that can't be decoded, so that it is deleted. */
function recordedAt({value}: StoredRow): Millis {
	const at = decodeList(value)?.[2];
	return typeof at === 'number' ? at : 0;
}
