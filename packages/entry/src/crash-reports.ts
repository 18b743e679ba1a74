import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	CrashRegistry, CrashGuard, crashRetentionMs, fingerprintOf, incarnationKey, isExplained, type CrashRecord, type RequestContent, type UpstreamIncarnation,
} from '@cicadapost/forwarding';
import {
	chunksOf, type RowChange, type RowStore, type StoredRow, type TableFollower,
} from '@cicadapost/store';
import type {
	Clock, Fingerprint, Millis, UpstreamId,
} from '@cicadapost/types';
import {
	crashKey, decodeCrashRow, encodeCrashRow, parseCrashRowKey, probeKey, responseKey, type CrashRowKey,
} from './crash-rows.js';
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
	/** Called when this daemon has reported a response that explains the crashes of a request. Defaults to nothing. */
	onExplained?: (fingerprint: Fingerprint) => void;
	/** Called when this daemon may send a blocked request once. Defaults to nothing. */
	onProbe?: (fingerprint: Fingerprint, probe: number) => void;
	/** Whether connections to an address are refused, because nothing listens there. */
	refusesConnections?: (address: string) => Promise<boolean>;
	/** Whether this daemon reaches an upstream other than this one. If not, a refusal says nothing about the upstream. */
	reachesAnother?: (upstream: UpstreamId) => Promise<boolean>;
	/** Number of daemons, over which reports of responses to one request are spread. Defaults to 1. */
	daemonCount?: () => number;
	/** Returns a number from 0 to 1. Defaults to `Math.random`. */
	random?: () => number;
}>;

type CrashedUpstream = Readonly<{id: UpstreamId; address: string; bornAt: number}>;

/** The requests that were in flight at an upstream whose connections were closed. */
type Suspects = {readonly fingerprints: Set<Fingerprint>; unconfirmed: Set<Fingerprint>; isConfirming: boolean};

/** Connections to a crashed process are refused immediately. A timeout is no evidence of a crash. */
const probeTimeoutMs = 600;
/** Delays between attempts to write a report. Their sum exceeds a short outage of the store. */
const retryDelaysMs = [200, 500, 1000, 2000, 4000, 8000];
const sweepMs = 30_000;
/** Minimum time between two reports of responses by this daemon. */
const responseIntervalMs = 100;
/** Average time between the reports of all daemons about one request. A partition of the store takes 200 writes a second. */
const spreadPerDaemonMs = 10;
/** Delay after a failed report of a response. */
const responseRetryMs = 1000;
/** Responses to further requests count at this daemon only, so that a burst of crashes does not occupy the store. */
const maxUnreported = 100;
/** The store takes 100 entries in a transaction. */
const maxDeletes = 90;
/** A blocked request waits this long for the permission to be sent as a probe. */
const permissionTimeoutMs = 500;
/** Minimum time between two attempts of this daemon to get the permission for one request. */
const permissionIntervalMs = 1000;

/** Shares among all daemons which requests have crashed which upstreams, and which responses speak against it. */
export class CrashReports extends CrashGuard {
	private readonly registry = new CrashRegistry();
	/** A request is checked before each attempt, and its body may be large. */
	private readonly fingerprints = new WeakMap<RequestContent, Fingerprint>();
	private readonly suspects = new Map<string, Suspects>();
	/** Requests with responses that are not reported yet. */
	private readonly unreported = new Set<Fingerprint>();
	private readonly permissionAskedAt = new Map<Fingerprint, Millis>();
	private readonly timer: NodeJS.Timeout;
	/** Requests whose responses are reported next. */
	private readonly due: Fingerprint[] = [];
	private isReporting = false;
	private isStopped = false;

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
		return !this.registry.isEmpty && this.registry.isBlocked(this.fingerprintOf(req), this.now());
	}

	override reportPossibleCrash(req: RequestContent, upstream: CrashedUpstream): void {
		const fingerprint = this.fingerprintOf(req);
		const key = incarnationKey({upstream: upstream.id, bornAt: upstream.bornAt});
		const suspects = this.suspects.get(key) ?? {fingerprints: new Set(), unconfirmed: new Set(), isConfirming: false};
		this.suspects.set(key, suspects);
		suspects.fingerprints.add(fingerprint);
		suspects.unconfirmed.add(fingerprint);
		if (!suspects.isConfirming) {
			void this.confirmCrash(suspects, upstream);
		}
	}

	override reportResponse(req: RequestContent): void {
		if (this.registry.isEmpty) {
			return;
		}

		const fingerprint = this.fingerprintOf(req);
		if (!this.registry.isSuspect(fingerprint)) {
			return;
		}

		this.registry.recordResponse(fingerprint, this.now());
		if (!this.unreported.has(fingerprint) && this.unreported.size < maxUnreported) {
			this.unreported.add(fingerprint);
			void this.scheduleReport(fingerprint);
		}
	}

	override requestProbe(req: RequestContent): Promise<boolean> | undefined {
		const fingerprint = this.fingerprintOf(req);
		const now = this.now();
		const decision = this.registry.decide(fingerprint, now);
		const askedAt = this.permissionAskedAt.get(fingerprint);
		if (decision.kind === 'send' || decision.probe === undefined || (askedAt !== undefined && now - askedAt < permissionIntervalMs)) {
			return undefined;
		}

		this.permissionAskedAt.set(fingerprint, now);
		return this.takeProbe(fingerprint, decision.probe);
	}

	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
	}

	/** Deletes expired reports, and those that responses explain. */
	async sweep(): Promise<void> {
		const {follower, store, isOwner} = this.options;
		const now = this.now();
		this.registry.prune(now);
		this.suspects.clear();
		this.permissionAskedAt.clear();
		const {copy} = follower;
		for (const part of copy.parts()) {
			const rows = copy.part(part);
			const response = rows.find(({key}) => key === responseKey);
			const respondedAt = response === undefined ? undefined : decodeCrashRow(response.value).at;
			const expired = rows.filter(row => hasExpired(row, respondedAt, now));
			if (expired.length > 0 && isOwner(part)) {
				for (const deleted of chunksOf(expired)) {
					await store.transact({part, writes: [], deletes: deleted.map(({key}) => ({table: fleetTable, key}))});
				}
			}
		}
	}

	private now(): Millis {
		const {follower, clock} = this.options;
		return follower.storeTime(clock.now());
	}

	private fingerprintOf(req: RequestContent): Fingerprint {
		const known = this.fingerprints.get(req);
		if (known !== undefined) {
			return known;
		}

		const fingerprint = fingerprintOf(req);
		this.fingerprints.set(req, fingerprint);
		return fingerprint;
	}

	private async confirmCrash(suspects: Suspects, upstream: CrashedUpstream): Promise<void> {
		const at = this.now();
		suspects.isConfirming = true;
		const isConfirmed = await this.isCrash(upstream);
		suspects.isConfirming = false;
		const {fingerprints, unconfirmed} = suspects;
		suspects.unconfirmed = new Set();
		if (!isConfirmed) {
			return;
		}

		const incarnation: UpstreamIncarnation = {upstream: upstream.id, bornAt: upstream.bornAt};
		const crash = {at, isShared: fingerprints.size > 1};
		for (const fingerprint of unconfirmed) {
			if (this.registry.record(fingerprint, incarnation, crash)) {
				this.options.onCrash(fingerprint, incarnation);
				void this.reportCrash(fingerprint, incarnation, crash);
			}
		}
	}

	private async isCrash({id, address}: CrashedUpstream): Promise<boolean> {
		const {reachesAnother = async () => true, refusesConnections: isRefused = refusesConnections} = this.options;
		const isDown = await isRefused(address);
		return isDown && reachesAnother(id);
	}

	/** Reports the response to a request after a random delay, so that another daemon's report may arrive first. */
	private async scheduleReport(fingerprint: Fingerprint): Promise<void> {
		const {daemonCount = () => 1, random = Math.random} = this.options;
		await sleep(random() * spreadPerDaemonMs * daemonCount());
		this.due.push(fingerprint);
		if (!this.isReporting) {
			await this.reportDue();
		}
	}

	private async reportDue(): Promise<void> {
		this.isReporting = true;
		for (let fingerprint = this.due.shift(); fingerprint !== undefined; fingerprint = this.due.shift()) {
			await this.reportExplained(fingerprint);
		}

		this.isReporting = false;
	}

	/** Reports the last response to a request and deletes the crashes that it explains, so that earlier builds forget them too. */
	private async reportExplained(fingerprint: Fingerprint): Promise<void> {
		this.unreported.delete(fingerprint);
		while (!this.isStopped && !this.isReported(fingerprint)) {
			const explained = this.registry.explained(fingerprint);
			const at = this.registry.respondedAt(fingerprint) ?? this.now();
			const probes = this.options.follower.copy.part(fingerprint).filter(({key}) => parseCrashRowKey(key)?.kind === 'probe');
			const outcome = await this.options.store.transact({
				part: fingerprint,
				writes: [{table: fleetTable, key: responseKey, value: encodeCrashRow({at})}],
				deletes: [...explained.map(incarnation => crashKey(incarnation)), ...probes.map(({key}) => key)].slice(0, maxDeletes).map(key => ({table: fleetTable, key})),
			});
			if (outcome.kind === 'committed') {
				this.options.onExplained?.(fingerprint);
			}

			await sleep(outcome.kind === 'committed' ? responseIntervalMs : responseRetryMs);
			if (outcome.kind === 'committed') {
				return;
			}
		}
	}

	/** Whether a row says already that a response explains all known crashes of a request. */
	private isReported(fingerprint: Fingerprint): boolean {
		const row = this.options.follower.copy.get(fingerprint, responseKey);
		return row !== undefined && this.registry.crashesOf(fingerprint).every(crash => isExplained(crash, decodeCrashRow(row.value).at));
	}

	/** Tries to be the daemon that sends a probe. */
	private async takeProbe(fingerprint: Fingerprint, probe: number): Promise<boolean> {
		const {store, follower, onProbe} = this.options;
		const key = probeKey(probe);
		const at = this.now();
		const outcome = await store.transact({
			part: fingerprint,
			// A row from before the last response may still be there.
			expected: [{table: fleetTable, key, version: follower.copy.get(fingerprint, key)?.version ?? 0}],
			writes: [{table: fleetTable, key, value: encodeCrashRow({at})}],
		}, permissionTimeoutMs);
		switch (outcome.kind) {
			case 'committed': {
				this.registry.recordProbe(fingerprint, probe, at);
				onProbe?.(fingerprint, probe);
				return true;
			}

			case 'conflict': {
				follower.mergeRows(outcome.rows);
				return false;
			}

			case 'refused':
			case 'rejected':
			case 'unknown': {
				return false;
			}
		}
	}

	private async reportCrash(fingerprint: Fingerprint, incarnation: UpstreamIncarnation, crash: CrashRecord): Promise<void> {
		const writes = [{table: fleetTable, key: crashKey(incarnation), value: encodeCrashRow(crash)}];
		for (const pause of [0, ...retryDelaysMs]) {
			await sleep(pause);
			const outcome = await this.options.store.transact({part: fingerprint, writes});
			if (outcome.kind === 'committed') {
				return;
			}
		}
	}

	private apply(changes: readonly RowChange[]): void {
		for (const change of changes) {
			const {part, key} = change.kind === 'written' ? change.row : change.key;
			const parsed = parseCrashRowKey(key);
			if (parsed === undefined) {
				continue;
			}

			if (change.kind === 'written') {
				this.applyWrite(part as Fingerprint, parsed, decodeCrashRow(change.row.value));
			} else {
				this.applyDelete(part as Fingerprint, parsed);
			}
		}
	}

	private applyWrite(fingerprint: Fingerprint, key: CrashRowKey, record: CrashRecord): void {
		switch (key.kind) {
			case 'crash': {
				this.registry.record(fingerprint, key.incarnation, record);
				break;
			}

			case 'response': {
				this.registry.recordResponse(fingerprint, record.at);
				break;
			}

			case 'probe': {
				this.registry.recordProbe(fingerprint, key.probe, record.at);
				break;
			}
		}
	}

	private applyDelete(fingerprint: Fingerprint, key: CrashRowKey): void {
		switch (key.kind) {
			case 'crash': {
				this.registry.forget(fingerprint, key.incarnation);
				break;
			}

			case 'response': {
				this.registry.forgetResponse(fingerprint);
				break;
			}

			case 'probe': {
				this.registry.forgetProbe(fingerprint, key.probe);
				break;
			}
		}
	}
}

/** Whether a row about a request no longer counts. */
function hasExpired({key, value}: StoredRow, respondedAt: Millis | undefined, now: Millis): boolean {
	const parsed = parseCrashRowKey(key);
	if (parsed === undefined) {
		return false;
	}

	const record = decodeCrashRow(value);
	return now - record.at >= crashRetentionMs || (parsed.kind !== 'response' && isExplained(record, respondedAt));
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
