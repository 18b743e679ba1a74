import {
	mayBeRunning, liveMembers, heartbeatIntervalMs, type FleetClock, type MemberRecord, type MemberObservation,
} from '@cicadapost/fleet';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonLife, DataCentreId, Millis, RegionId,
} from '@cicadapost/types';
import {
	decodeMember, encodeMember, fleetTable, memberKey,
} from './member-rows.js';

export type MembershipOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	self: Readonly<{daemon: DaemonId; life: DaemonLife; dataCentre: DataCentreId; region: RegionId}>;
}>;

/** A heartbeat that takes longer than the pause between two is given up for the next one. */
const beatTimeoutMs = 2000;

/** A task that tells other daemons through the store that this one lives, and knows who else does. */
export class MembershipTask {
	private state: MemberRecord['state'] = 'live';
	private beat = 0;
	private timer: NodeJS.Timeout | undefined;
	private isBeating = false;
	/** The members' rows, decoded once for each change of the table. */
	private sighted: ReadonlyMap<DaemonLife, MemberObservation> | undefined;

	constructor(private readonly options: MembershipOptions) {
		options.follower.on('changed', () => {
			this.sighted = undefined;
		});
	}

	/** Begins to send heartbeats. */
	start(): void {
		void this.sendBeat();
		this.timer = setTimeout(() => {
			this.start();
		}, heartbeatIntervalMs(this.sightings().size));
	}

	/** Tells the others at once that this daemon takes no more work. */
	leave(): void {
		this.state = 'leaving';
		void this.sendBeat();
	}

	stop(): void {
		clearTimeout(this.timer);
	}

	members(now: Millis): MemberRecord[] {
		return liveMembers([...this.sightings().values()], this.fleetClock(now));
	}

	/**
	Whether a process that had claimed something by `claimedVersion` still runs, or may still run. A daemon claims only after
	its first heartbeat, so a life that is missing from a copy of at least that version has ended.
	*/
	isAlive(life: string, claimedVersion: number, now: Millis): boolean {
		const {follower, self} = this.options;
		if (life === self.life) {
			return true;
		}

		const sighting = this.sightings().get(life as DaemonLife);
		if (sighting === undefined) {
			return follower.copyVersion < claimedVersion;
		}

		// A daemon that is leaving keeps what it runs until it gives it back.
		return mayBeRunning(sighting, this.fleetClock(now));
	}

	private fleetClock(now: Millis): FleetClock {
		return {members: this.sightings().size, connectedForMs: this.options.follower.connectedFor(now), now};
	}

	private sightings(): ReadonlyMap<DaemonLife, MemberObservation> {
		const {copy} = this.options.follower;
		this.sighted ??= new Map(copy.parts().flatMap((part): Array<[DaemonLife, MemberObservation]> => {
			const row = copy.get(part, memberKey);
			const record = row === undefined ? undefined : decodeMember(row.value);
			return record === undefined ? [] : [[record.life, {record, seenAt: copy.changedAt(part, memberKey) ?? 0}]];
		}));
		return this.sighted;
	}

	private async sendBeat(): Promise<void> {
		if (this.isBeating) {
			return;
		}

		this.isBeating = true;
		this.beat += 1;
		const {store, follower, self} = this.options;
		const write = {table: fleetTable, key: memberKey, value: encodeMember({...self, state: this.state, heartbeatCount: this.beat})};
		const outcome = await store.transact({part: self.daemon, writes: [write]}, beatTimeoutMs);
		if (outcome.kind === 'committed') {
			follower.learn([{...write, part: self.daemon, version: outcome.version}]);
		}

		this.isBeating = false;
	}
}
