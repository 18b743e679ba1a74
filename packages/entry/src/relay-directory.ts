import {randomBytes} from 'node:crypto';
import type {MemberRecord} from '@cicadapost/fleet';
import type {RelayCandidate} from '@cicadapost/relays';
import type {RowChange, RowStore, TableFollower} from '@cicadapost/store';
import type {DaemonId, DaemonIncarnation} from '@cicadapost/types';
import {fleetTable, memberPart} from './member-rows.js';
import {
	daemonOfRelayRow, decodeRelayRecord, encodeRelayRecord, relayKey, type RelayRecord,
} from './relay-rows.js';

export type RelayDirectoryOptions = Readonly<{
	store: RowStore;
	/** Follows the fleet's table. */
	follower: TableFollower;
	self: Readonly<{daemon: DaemonId; incarnation: DaemonIncarnation}>;
	/** Where this daemon takes requests of others. Undefined if it takes none. */
	address: string | undefined;
	/** Called when another daemon has announced or revoked a partition. */
	onChanged: () => void;
}>;

const keyBytes = 12;
const writeTimeoutMs = 2000;
const retryMs = 500;

/** Announces how this daemon takes requests of others and whether it reaches upstreams, and knows the same of the other daemons. */
export class RelayDirectory {
	/** Key that other daemons must present here. Each process makes a new one. */
	readonly key = randomBytes(keyBytes).toString('base64url');
	private readonly records = new Map<string, RelayRecord>();
	private isPartitioned = false;
	private isWriting = false;
	private isStopped = false;
	private written: boolean | undefined;
	private retryTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: RelayDirectoryOptions) {
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
	}

	/** Announces this daemon. */
	start(): void {
		void this.write();
	}

	stop(): void {
		this.isStopped = true;
		clearTimeout(this.retryTimer);
	}

	/** Announces that this daemon reaches no upstream, or that it reaches them again. */
	announce(isPartitioned: boolean): void {
		this.isPartitioned = isPartitioned;
		void this.write();
	}

	/** Returns the members that take requests of other daemons, without this one. */
	candidates(members: readonly MemberRecord[]): RelayCandidate[] {
		return members.flatMap(({daemon, incarnation, dataCentre, region}): RelayCandidate[] => {
			const record = this.recordOf(daemon, incarnation);
			return record === undefined || daemon === this.options.self.daemon
				? []
				: [{
					daemon, dataCentre, region, address: record.address, key: record.key, isPartitioned: record.isPartitioned,
				}];
		});
	}

	/** Returns the members that reach upstreams as far as they have announced, or all members if none does. */
	linkedMembers(members: readonly MemberRecord[]): readonly MemberRecord[] {
		const linked = members.filter(({daemon, incarnation}) => (
			daemon === this.options.self.daemon ? !this.isPartitioned : this.recordOf(daemon, incarnation)?.isPartitioned !== true
		));
		return linked.length === 0 ? members : linked;
	}

	/** The record of an earlier process of the daemon does not count. */
	private recordOf(daemon: DaemonId, incarnation: DaemonIncarnation): RelayRecord | undefined {
		const record = this.records.get(daemon);
		return record?.incarnation === incarnation ? record : undefined;
	}

	private apply(changes: readonly RowChange[]): void {
		let hasChanges = false;
		for (const change of changes) {
			const daemon = daemonOfRelayRow(change.kind === 'written' ? change.row : change.key);
			if (daemon === undefined) {
				continue;
			}

			hasChanges = true;
			const record = change.kind === 'written' ? decodeRelayRecord(change.row.value) : undefined;
			if (record === undefined) {
				this.records.delete(daemon);
			} else {
				this.records.set(daemon, record);
			}

			if (daemon === this.options.self.daemon) {
				this.repairOwnRow(record);
			}
		}

		if (hasChanges) {
			this.options.onChanged();
		}
	}

	/** Writes the present state again if the store has applied an earlier write after it, whose response was lost. */
	private repairOwnRow(record: RelayRecord | undefined): void {
		const isCurrent = record?.incarnation === this.options.self.incarnation && record.key === this.key && record.isPartitioned === this.isPartitioned;
		if (this.written !== undefined && !isCurrent) {
			this.written = undefined;
			void this.write();
		}
	}

	/** Writes the present state, and again until the store has taken it. */
	private async write(): Promise<void> {
		const {store, self, address} = this.options;
		if (this.isWriting || this.isStopped || address === undefined || this.written === this.isPartitioned) {
			return;
		}

		this.isWriting = true;
		clearTimeout(this.retryTimer);
		const {isPartitioned} = this;
		const value = encodeRelayRecord({
			incarnation: self.incarnation, address, key: this.key, isPartitioned,
		});
		const outcome = await store.transact({part: memberPart(self.daemon), writes: [{table: fleetTable, key: relayKey(self.daemon), value}]}, writeTimeoutMs);
		this.isWriting = false;
		if (outcome.kind === 'committed') {
			this.written = isPartitioned;
			void this.write();
		} else if (outcome.kind === 'rejected') {
			// The store never accepts this row. Only another one is worth a call.
			this.written = isPartitioned;
		} else {
			this.written = undefined;
			this.retryTimer = setTimeout(() => {
				void this.write();
			}, retryMs);
		}
	}
}
