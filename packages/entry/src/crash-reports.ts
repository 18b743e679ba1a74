import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CrashRegistry, CrashGuard, fingerprintOf, lifeKey, type RequestContent, type UpstreamLife,
} from '@cicadapost/forwarding';
import {
	decodeList, encodeList, type RowChange, type RowStore, type TableFollower,
} from '@cicadapost/store';
import type {
	Clock, Fingerprint, Millis, UpstreamId,
} from '@cicadapost/types';
import {splitAddress} from './entry-settings.js';
import {fleetTable} from './member-rows.js';

export type CrashReportsOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Follows the table of the fleet. The part of a report is the fingerprint, so that reports of all daemons add up. */
	follower: TableFollower;
	/** Whether this daemon deletes the old reports of a part. */
	isOwner: (part: string) => boolean;
	onCrash: (fingerprint: Fingerprint, life: UpstreamLife) => void;
	/** Whether nothing listens at an address any more. */
	isRefused?: (address: string) => Promise<boolean>;
}>;

const keyPrefix = 'crash/';
/** A crashed process refuses connections at once; one that can't be reached says nothing about a crash. */
const probeTimeoutMs = 600;
/** Pauses before a report that the store did not take is written again; together longer than short outages. */
const retryMs = [200, 500, 1000, 2000, 4000, 8000];
/** Reports older than this are deleted, so that a request may be tried again on upstreams that have been mended. */
const retentionMs = 15 * 60_000;
const sweepMs = 30_000;

/** A task that shares among all daemons which requests have ended which upstreams. */
export class CrashReports extends CrashGuard {
	private readonly book = new CrashRegistry();
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly options: CrashReportsOptions) {
		super();
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
		this.timer = setInterval(() => {
			void this.sweep();
		}, sweepMs);
	}

	override isBlocked(req: RequestContent): boolean {
		return !this.book.isEmpty && this.book.isBlocked(fingerprintOf(req));
	}

	override reportPossibleCrash(req: RequestContent, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): void {
		void this.confirm(fingerprintOf(req), upstream);
	}

	stop(): void {
		clearInterval(this.timer);
	}

	/** Deletes reports that are too old. */
	async sweep(): Promise<void> {
		const {follower, store, isOwner, clock} = this.options;
		const oldest = follower.storeTime(clock.now()) - retentionMs;
		const {copy} = follower;
		for (const part of copy.parts()) {
			const old = copy.part(part).filter(row => row.key.startsWith(keyPrefix) && reportedAt(row.value) < oldest);
			if (old.length > 0 && isOwner(part)) {
				await store.transact({part, writes: [], deletes: old.map(({key}) => ({table: fleetTable, key}))});
			}
		}
	}

	private async confirm(fingerprint: Fingerprint, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): Promise<void> {
		if (!await (this.options.isRefused ?? isRefused)(upstream.address)) {
			return;
		}

		const life: UpstreamLife = {upstream: upstream.id, bornAt: upstream.bornAt};
		if (this.book.record(fingerprint, life)) {
			this.options.onCrash(fingerprint, life);
			await this.report(fingerprint, life);
		}
	}

	private async report(fingerprint: Fingerprint, life: UpstreamLife): Promise<void> {
		const {store, follower, clock} = this.options;
		const value = encodeList([follower.storeTime(clock.now())]);
		for (const pause of [0, ...retryMs]) {
			await sleep(pause);
			const outcome = await store.transact({part: fingerprint, writes: [{table: fleetTable, key: keyOfLife(life), value}]});
			if (outcome.kind === 'committed') {
				return;
			}
		}
	}

	private apply(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const {part, key} = change.kind === 'written' ? change.row : change.key;
			const life = lifeOfKey(key);
			if (life === undefined) {
				continue;
			}

			if (change.kind === 'written') {
				this.book.record(part as Fingerprint, life);
			} else {
				this.book.forget(part as Fingerprint, life);
			}
		}
	}
}

function keyOfLife(life: UpstreamLife): string {
	return `${keyPrefix}${lifeKey(life)}`;
}

function lifeOfKey(key: string): UpstreamLife | undefined {
	const [upstream, bornAt] = key.startsWith(keyPrefix) ? key.slice(keyPrefix.length).split('#') : [];
	return upstream === undefined || bornAt === undefined ? undefined : {upstream: upstream as UpstreamId, bornAt: Number(bornAt)};
}

/** Time of a report on the store's clock; a row that can't be read counts as old. */
function reportedAt(value: Uint8Array): Millis {
	const [at] = decodeList(value) ?? [];
	return typeof at === 'number' ? at : 0;
}

async function isRefused(address: string): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({...splitAddress(address), timeout: probeTimeoutMs});
		const settle = (refused: boolean) => {
			socket.destroy();
			resolve(refused);
		};

		socket.on('connect', () => {
			settle(false);
		});
		socket.on('timeout', () => {
			settle(false);
		});
		socket.on('error', err => {
			settle((err as NodeJS.ErrnoException).code === 'ECONNREFUSED');
		});
	});
}
