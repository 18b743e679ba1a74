import {
	mayBeRunning, liveMembers, heartbeatIntervalMs, type LivenessContext, type MemberRecord, type MemberObservation,
} from '@cicadapost/fleet';
import {
	maxRowBytes, type RowChange, type RowStore, type TableFollower,
} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId, UpstreamId,
} from '@cicadapost/types';
import {
	decodeMember, earlierMemberKey, encodeMember, fleetTable, isMemberRow, memberKey, memberPart,
} from './member-rows.js';

export type MembershipOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	self: Readonly<{daemon: DaemonId; incarnation: DaemonIncarnation; dataCentre: DataCentreId; region: RegionId; cores: number}>;
	/** Whether this daemon should be a candidate for engines. */
	isCandidate: () => boolean;
	/** Returns the measured paces of this daemon's engines, which heartbeats carry. Defaults to none. */
	paces?: () => ReadonlyMap<UpstreamId, Millis>;
	/** Returns the engines of this daemon that it can't reach, which heartbeats carry. Defaults to none. */
	unreachable?: () => ReadonlySet<UpstreamId>;
	/** Called when this daemon has become a candidate or a standby. */
	onRoleChanged: (role: MemberRecord['role'], candidates: number) => void;
}>;

/** A heartbeat write that takes longer than the heartbeat interval is abandoned in favour of the next one. */
const heartbeatTimeoutMs = 2000;

/** Time between two events of a run on an engine, and the heartbeat that has announced it. */
type AnnouncedPace = Readonly<{eventMs: Millis; observation: MemberObservation}>;

/** Announces this daemon through heartbeats in the store, and tracks which other daemons are alive. */
export class MembershipTask {
	private state: MemberRecord['state'] = 'live';
	private role: MemberRecord['role'] = 'standby';
	private heartbeatCount = 0;
	private timer: NodeJS.Timeout | undefined;
	private isSendingHeartbeat = false;
	/** Decoded member rows by part and key. Each row is decoded once per change. */
	private readonly observed = new Map<string, MemberObservation>();
	/** The newest observation of each daemon by incarnation, cached until a row changes. */
	private cachedObservations: ReadonlyMap<DaemonIncarnation, MemberObservation> | undefined;
	/** Announced paces of engines, cached until a row changes. */
	private cachedPaces: ReadonlyMap<UpstreamId, AnnouncedPace> | undefined;

	constructor(private readonly options: MembershipOptions) {
		options.follower.on('changed', changes => {
			this.apply(changes);
		});
	}

	/** Starts sending heartbeats. */
	start(): void {
		this.setRole(this.options.isCandidate() ? 'candidate' : 'standby');
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
		this.timer = undefined;
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

	/** Returns the time between two events of a run on an engine, as the daemon that has measured it last has announced it. Undefined once that daemon is dead or leaves. */
	eventMs(engine: UpstreamId, now: Millis): Millis | undefined {
		this.cachedPaces ??= new Map([...this.observations().values()]
			.sort((a, b) => a.seenAt - b.seenAt)
			.flatMap(observation => [...observation.record.paces ?? []].map(([id, eventMs]): [UpstreamId, AnnouncedPace] => [id, {eventMs, observation}])));
		const pace = this.cachedPaces.get(engine);
		return pace !== undefined && liveMembers([pace.observation], this.livenessContext(now)).length > 0 ? pace.eventMs : undefined;
	}

	private livenessContext(now: Millis): LivenessContext {
		return {members: this.observations().size, connectedForMs: this.options.follower.connectedFor(now), now};
	}

	private apply(changes: readonly RowChange[]): void {
		const {copy} = this.options.follower;
		for (const change of changes) {
			const {part, key} = change.kind === 'written' ? change.row : change.key;
			if (!isMemberRow({key})) {
				continue;
			}

			this.cachedObservations = undefined;
			this.cachedPaces = undefined;
			const row = `${part}/${key}`;
			const record = change.kind === 'written' ? decodeMember(change.row.value) : undefined;
			if (record === undefined) {
				this.observed.delete(row);
			} else {
				this.observed.set(row, {record, seenAt: copy.changedAt(part, key) ?? 0});
			}
		}
	}

	private observations(): ReadonlyMap<DaemonIncarnation, MemberObservation> {
		this.cachedObservations ??= new Map([...this.newestByDaemon().values()].map(observation => [observation.record.incarnation, observation]));
		return this.cachedObservations;
	}

	/** A daemon has two rows if builds with different places for them have run. The one that has changed last counts. */
	private newestByDaemon(): Map<DaemonId, MemberObservation> {
		const newest = new Map<DaemonId, MemberObservation>();
		for (const observation of this.observed.values()) {
			const {daemon, heartbeatMs} = observation.record;
			const other = newest.get(daemon);
			const isNewer = other === undefined || observation.seenAt > other.seenAt || (observation.seenAt === other.seenAt && heartbeatMs !== undefined);
			if (isNewer) {
				newest.set(daemon, observation);
			}
		}

		return newest;
	}

	private setRole(role: MemberRecord['role']): void {
		if (role !== this.role) {
			this.role = role;
			this.options.onRoleChanged(role, this.countMembers('candidate'));
		}
	}

	private countMembers(role: MemberRecord['role']): number {
		return this.members(this.options.clock.now()).filter(member => member.role === role).length;
	}

	private intervalMs(): Millis {
		return heartbeatIntervalMs(this.role, this.countMembers(this.role));
	}

	private async sendHeartbeat(): Promise<void> {
		if (this.isSendingHeartbeat) {
			return;
		}

		this.isSendingHeartbeat = true;
		this.heartbeatCount += 1;
		const {store, follower, self, paces, unreachable = () => new Set<UpstreamId>()} = this.options;
		const record: MemberRecord = {
			...self, state: this.state, heartbeatCount: this.heartbeatCount, role: this.role, heartbeatMs: this.intervalMs(), unreachable: unreachable(),
		};
		const withPaces = paces === undefined ? record : {...record, paces: paces()};
		const encoded = encodeMember(withPaces);
		const value = encoded.length > maxRowBytes ? encodeMember(record) : encoded;
		const rows = [{part: memberPart(self.daemon), key: memberKey(self.daemon)}];
		if (this.hasEarlierBuilds()) {
			rows.push({part: self.daemon, key: earlierMemberKey});
		}

		await Promise.all(rows.map(async ({part, key}) => {
			const row = {table: fleetTable, key, value};
			const outcome = await store.transact({part, writes: [row]}, heartbeatTimeoutMs);
			if (outcome.kind === 'committed') {
				follower.mergeRows([{...row, part, version: outcome.version}]);
			}
		}));
		await this.deleteEarlierRows();
		this.isSendingHeartbeat = false;
	}

	/** Deletes the rows of this daemon that only earlier builds read, once none of them is left. */
	private async deleteEarlierRows(): Promise<void> {
		const {store, follower, self} = this.options;
		const rows = follower.copy.part(self.daemon);
		if (rows.length > 0 && !this.hasEarlierBuilds()) {
			await store.transact({part: self.daemon, writes: [], deletes: rows.map(({key}) => ({table: fleetTable, key}))}, heartbeatTimeoutMs);
		}
	}

	/** Whether a daemon of a build without roles is alive, which reads only rows in a part of their own. */
	private hasEarlierBuilds(): boolean {
		return this.members(this.options.clock.now()).some(({heartbeatMs}) => heartbeatMs === undefined);
	}
}
