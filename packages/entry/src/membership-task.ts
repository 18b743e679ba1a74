import {
	mayBeRunning, liveMembers, heartbeatIntervalMs, type LivenessContext, type MemberRecord, type MemberObservation,
} from '@cicadapost/fleet';
import type {RowChange, RowStore, TableFollower} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId,
} from '@cicadapost/types';
import {
	decodeMember, encodeMember, fleetTable, memberKey,
} from './member-rows.js';

export type MembershipOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	self: Readonly<{daemon: DaemonId; incarnation: DaemonIncarnation; dataCentre: DataCentreId; region: RegionId; cores: number}>;
	/** Whether this daemon should be a candidate for engines. */
	isCandidate: () => boolean;
}>;

/** A heartbeat write that takes longer than the heartbeat interval is abandoned in favour of the next one. */
const heartbeatTimeoutMs = 2000;

/** Announces this daemon through heartbeats in the store, and tracks which other daemons are alive. */
export class MembershipTask {
	private state: MemberRecord['state'] = 'live';
	private role: MemberRecord['role'] = 'standby';
	private heartbeatCount = 0;
	private timer: NodeJS.Timeout | undefined;
	private isSendingHeartbeat = false;
	/** Decoded member rows by daemon. Each row is decoded once per change. */
	private readonly observed = new Map<string, MemberObservation>();
	/** The same by incarnation, cached until a row changes. */
	private cachedObservations: ReadonlyMap<DaemonIncarnation, MemberObservation> | undefined;

	constructor(private readonly options: MembershipOptions) {
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
	}

	/** Starts sending heartbeats. */
	start(): void {
		this.role = this.options.isCandidate() ? 'candidate' : 'standby';
		void this.sendHeartbeat();
		this.timer = setTimeout(() => {
			this.start();
		}, this.intervalMs());
	}

	/** Becomes a candidate at once if this daemon should be one, and returns whether it has. The way back waits for the next heartbeat. */
	updateRole(): boolean {
		if (this.timer === undefined || this.role === 'candidate' || !this.options.isCandidate()) {
			return false;
		}

		clearTimeout(this.timer);
		this.start();
		return true;
	}

	get isStandby(): boolean {
		return this.role === 'standby';
	}

	/** Announces immediately that this daemon accepts no more work. */
	leave(): void {
		this.state = 'leaving';
		void this.sendHeartbeat();
	}

	stop(): void {
		clearTimeout(this.timer);
	}

	members(now: Millis): MemberRecord[] {
		return liveMembers([...this.observations().values()], this.livenessContext(now));
	}

	/**
	Whether an incarnation that had made a claim by `claimedVersion` is, or may be, still running. A daemon makes claims only after
	its first heartbeat, so one that is missing from a copy of at least that version has ended.
	*/
	isAlive(incarnation: string, claimedVersion: number, now: Millis): boolean {
		const {follower, self} = this.options;
		if (incarnation === self.incarnation) {
			return true;
		}

		const observation = this.observations().get(incarnation as DaemonIncarnation);
		if (observation === undefined) {
			return follower.copyVersion < claimedVersion;
		}

		// A leaving daemon keeps its claims until it releases them.
		return mayBeRunning(observation, this.livenessContext(now));
	}

	private livenessContext(now: Millis): LivenessContext {
		return {members: this.observations().size, connectedForMs: this.options.follower.connectedFor(now), now};
	}

	private apply(changes: readonly RowChange[]): void {
		const {copy} = this.options.follower;
		for (const change of changes) {
			const {part, key} = change.kind === 'written' ? change.row : change.key;
			if (key !== memberKey) {
				continue;
			}

			this.cachedObservations = undefined;
			const record = change.kind === 'written' ? decodeMember(change.row.value) : undefined;
			if (record === undefined) {
				this.observed.delete(part);
			} else {
				this.observed.set(part, {record, seenAt: copy.changedAt(part, memberKey) ?? 0});
			}
		}
	}

	private observations(): ReadonlyMap<DaemonIncarnation, MemberObservation> {
		this.cachedObservations ??= new Map([...this.observed.values()].map(observation => [observation.record.incarnation, observation]));
		return this.cachedObservations;
	}

	private intervalMs(): Millis {
		const peers = [...this.observations().values()].filter(({record}) => record.role === this.role);
		return heartbeatIntervalMs(this.role, peers.length);
	}

	private async sendHeartbeat(): Promise<void> {
		if (this.isSendingHeartbeat) {
			return;
		}

		this.isSendingHeartbeat = true;
		this.heartbeatCount += 1;
		const {store, follower, self} = this.options;
		const value = encodeMember({
			...self, state: this.state, heartbeatCount: this.heartbeatCount, role: this.role, heartbeatMs: this.intervalMs(),
		});
		const heartbeatRow = {table: fleetTable, key: memberKey, value};
		const outcome = await store.transact({part: self.daemon, writes: [heartbeatRow]}, heartbeatTimeoutMs);
		if (outcome.kind === 'committed') {
			follower.mergeRows([{...heartbeatRow, part: self.daemon, version: outcome.version}]);
		}

		this.isSendingHeartbeat = false;
	}
}
