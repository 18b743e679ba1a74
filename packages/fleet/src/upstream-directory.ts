import {isDeepStrictEqual} from 'node:util';
import type {Millis, ServiceId, UpstreamId} from '@cicadapost/types';
import type {UpstreamRecord} from './upstream.js';

/**
Entries that expired while the store was unavailable reappear within about two seconds after it has recovered, if the
upstream is alive. The additional 300 ms cover the delay of the change feed.
*/
export const returnGraceMs = 2300;

/** Statements of upstreams that are remembered. Ids of upstreams that have left rarely come back. */
const maxStatements = 1000;

/** One run of an upstream's process. */
export type UpstreamStart = Readonly<{id: UpstreamId; bornAt: number}>;

type Entry = Readonly<{
	record: UpstreamRecord;
	/** Set for an entry that disappeared during or shortly after a store outage: until this time, it is treated as present. */
	missingUntil?: Millis;
}>;

export type StoreConnection = Readonly<{
	/** Time for which the store has responded without a failure. */
	connectedForMs: Millis;
}>;

/** The upstreams listed by the platform. Distinguishes upstreams that have left from entries that are missing after a store outage. */
export class UpstreamDirectory {
	private readonly entries = new Map<UpstreamId, Entry>();
	/** Start of the process of each upstream that has stated that it leaves, oldest statement first. */
	private readonly leaving = new Map<UpstreamId, number>();
	/** Cached sorted views, because requests and claims read them many times per second. Invalidated by every change. */
	private sorted: readonly UpstreamRecord[] | undefined;
	private readonly readyByService = new Map<ServiceId, readonly UpstreamRecord[]>();

	/**
	Adds or updates a record and returns whether it has changed. Most heartbeats of upstreams change nothing. An upstream that
	has stated that it leaves counts as leaving until it has started anew, whatever its entry says.
	*/
	upsert(listed: UpstreamRecord): boolean {
		const record = this.hasStatedLeaving(listed) ? {...listed, state: 'leaving' as const} : listed;
		const known = this.entries.get(record.id);
		if (known !== undefined && isDeepStrictEqual(known.record, record)) {
			if (known.missingUntil !== undefined) {
				this.entries.set(record.id, {record: known.record});
			}

			return false;
		}

		this.set(record.id, {record});
		return true;
	}

	/**
	Removes an entry at once if it disappears while the store is responding. An entry that disappears during or shortly after
	an outage may only have expired, so it is kept until it has had time to reappear.
	*/
	remove(id: UpstreamId, connection: StoreConnection, now: Millis): void {
		const entry = this.entries.get(id);
		if (entry === undefined || entry.missingUntil !== undefined) {
			return;
		}

		const remainingMs = returnGraceMs - connection.connectedForMs;
		if (remainingMs > 0) {
			this.entries.set(id, {record: entry.record, missingUntil: now + remainingMs});
			return;
		}

		this.set(id, undefined);
	}

	/** Records an upstream's statement that it leaves. Returns whether the statement is new. */
	recordLeaving({id, bornAt}: UpstreamStart): boolean {
		if (this.hasStatedLeaving({id, bornAt})) {
			return false;
		}

		this.leaving.delete(id);
		this.leaving.set(id, bornAt);
		const [oldest] = this.leaving.keys();
		if (this.leaving.size > maxStatements && oldest !== undefined) {
			this.leaving.delete(oldest);
		}

		const entry = this.entries.get(id);
		if (entry !== undefined && this.hasStatedLeaving(entry.record)) {
			this.set(id, {...entry, record: {...entry.record, state: 'leaving'}});
		}

		return true;
	}

	/** Removes an entry that does not describe a usable upstream. */
	discard(id: UpstreamId): void {
		this.set(id, undefined);
	}

	/** Removes and returns the entries that have not reappeared in time. */
	expire(now: Millis): UpstreamRecord[] {
		const expired = [...this.entries.values()].filter(entry => entry.missingUntil !== undefined && entry.missingUntil <= now);
		for (const entry of expired) {
			this.set(entry.record.id, undefined);
		}

		return expired.map(entry => entry.record);
	}

	get(id: UpstreamId): UpstreamRecord | undefined {
		return this.entries.get(id)?.record;
	}

	/** Returns the upstreams of a service that accept new work, sorted by id. */
	ready(service: ServiceId): readonly UpstreamRecord[] {
		const known = this.readyByService.get(service) ?? this.all().filter(record => record.service === service && record.state === 'ready');
		this.readyByService.set(service, known);
		return known;
	}

	/** Returns all upstreams, sorted by id. */
	all(): readonly UpstreamRecord[] {
		this.sorted ??= [...this.entries.values()].map(entry => entry.record).sort((a, b) => (a.id < b.id ? -1 : 1));
		return this.sorted;
	}

	private hasStatedLeaving({id, bornAt}: UpstreamStart): boolean {
		return (this.leaving.get(id) ?? Number.NEGATIVE_INFINITY) >= bornAt;
	}

	private set(id: UpstreamId, entry: Entry | undefined): void {
		if (entry === undefined) {
			this.entries.delete(id);
		} else {
			this.entries.set(id, entry);
		}

		this.sorted = undefined;
		this.readyByService.clear();
	}
}
