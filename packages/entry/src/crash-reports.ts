import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CrashRegistry, CrashGuard, fingerprintOf, incarnationKey, type RequestContent, type UpstreamIncarnation,
} from '@cicadapost/forwarding';
import {
	decodeList, encodeList, type RowChange, type RowStore, type TableFollower,
} from '@cicadapost/store';
import type {
	Clock, Fingerprint, Millis, UpstreamId,
} from '@cicadapost/types';
import {parseAddress} from './entry-settings.js';
import {fleetTable} from './member-rows.js';

export type CrashReportsOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Follows the fleet table. The part of a report is the fingerprint, so that the reports of all daemons accumulate. */
	follower: TableFollower;
	/** Whether this daemon is responsible for deleting the expired reports of a part. */
	isOwner: (part: string) => boolean;
	onCrash: (fingerprint: Fingerprint, incarnation: UpstreamIncarnation) => void;
	/** Whether connections to an address are refused, because nothing listens there. */
	refusesConnections?: (address: string) => Promise<boolean>;
	/** Whether this daemon reaches an upstream other than this one. If not, a refusal says nothing about the upstream. */
	reachesAnother?: (upstream: UpstreamId) => Promise<boolean>;
}>;

const keyPrefix = 'crash/';
/** Connections to a crashed process are refused immediately. A timeout is no evidence of a crash. */
const probeTimeoutMs = 600;
/** Delays between attempts to write a report. Their sum exceeds a short outage of the store. */
const retryDelaysMs = [200, 500, 1000, 2000, 4000, 8000];
/** Reports older than this are deleted, so that a request may run again once the upstreams have been fixed. */
const retentionMs = 15 * 60_000;
const sweepMs = 30_000;

/** Shares among all daemons which requests have crashed which upstreams. */
export class CrashReports extends CrashGuard {
	private readonly registry = new CrashRegistry();
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
		return !this.registry.isEmpty && this.registry.isBlocked(fingerprintOf(req));
	}

	override reportPossibleCrash(req: RequestContent, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): void {
		void this.confirmCrash(fingerprintOf(req), upstream);
	}

	stop(): void {
		clearInterval(this.timer);
	}

	/** Deletes expired reports. */
	async sweep(): Promise<void> {
		const {follower, store, isOwner, clock} = this.options;
		const cutoff = follower.storeTime(clock.now()) - retentionMs;
		const {copy} = follower;
		for (const part of copy.parts()) {
			const expired = copy.part(part).filter(row => row.key.startsWith(keyPrefix) && reportTimeOf(row.value) < cutoff);
			if (expired.length > 0 && isOwner(part)) {
				await store.transact({part, writes: [], deletes: expired.map(({key}) => ({table: fleetTable, key}))});
			}
		}
	}

	private async confirmCrash(fingerprint: Fingerprint, upstream: Readonly<{id: UpstreamId; address: string; bornAt: number}>): Promise<void> {
		const {reachesAnother} = this.options;
		if (!await (this.options.refusesConnections ?? refusesConnections)(upstream.address)) {
			return;
		}

		if (reachesAnother !== undefined && !await reachesAnother(upstream.id)) {
			return;
		}

		const incarnation: UpstreamIncarnation = {upstream: upstream.id, bornAt: upstream.bornAt};
		if (this.registry.record(fingerprint, incarnation)) {
			this.options.onCrash(fingerprint, incarnation);
			await this.report(fingerprint, incarnation);
		}
	}

	private async report(fingerprint: Fingerprint, incarnation: UpstreamIncarnation): Promise<void> {
		const {store, follower, clock} = this.options;
		const value = encodeList([follower.storeTime(clock.now())]);
		for (const pause of [0, ...retryDelaysMs]) {
			await sleep(pause);
			const outcome = await store.transact({part: fingerprint, writes: [{table: fleetTable, key: reportKey(incarnation), value}]});
			if (outcome.kind === 'committed') {
				return;
			}
		}
	}

	private apply(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const {part, key} = change.kind === 'written' ? change.row : change.key;
			const incarnation = parseReportKey(key);
			if (incarnation === undefined) {
				continue;
			}

			if (change.kind === 'written') {
				this.registry.record(part as Fingerprint, incarnation);
			} else {
				this.registry.forget(part as Fingerprint, incarnation);
			}
		}
	}
}

function reportKey(incarnation: UpstreamIncarnation): string {
	return `${keyPrefix}${incarnationKey(incarnation)}`;
}

function parseReportKey(key: string): UpstreamIncarnation | undefined {
	const [upstream, bornAt] = key.startsWith(keyPrefix) ? key.slice(keyPrefix.length).split('#') : [];
	return upstream === undefined || bornAt === undefined ? undefined : {upstream: upstream as UpstreamId, bornAt: Number(bornAt)};
}

/** Time of a report on the store's clock. 0 for a row that can't be decoded, so that it is deleted. */
function reportTimeOf(value: Uint8Array): Millis {
	const [at] = decodeList(value) ?? [];
	return typeof at === 'number' ? at : 0;
}

async function refusesConnections(address: string): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({...parseAddress(address), timeout: probeTimeoutMs});
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
