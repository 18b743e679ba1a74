import type {MemberRecord} from '@cicadapost/fleet';
import {
	decodeList, encodeList, type RowStore, type TableFollower,
} from '@cicadapost/store';
import type {DaemonId, DaemonIncarnation, Millis} from '@cicadapost/types';
import {fleetTable} from './member-rows.js';

const part = 'duty-members';
const keyPrefix = 'duty/';
const writeIntervalMs = 2000;

export type DutyMembersOptions = Readonly<{
	store: RowStore;
	follower: Pick<TableFollower, 'copy' | 'mergeRows' | 'isLoaded'>;
	self: Readonly<{daemon: DaemonId; incarnation: DaemonIncarnation}>;
	/** Daemons that are alive, of this and earlier builds. */
	members: (now: Millis) => readonly MemberRecord[];
}>;

/** The daemons that carry out duties. Those of earlier builds and those without the settings do not, and must not be waited for. */
export class DutyMembers {
	private nextWriteAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: DutyMembersOptions) {}

	/** Daemons that are alive and have announced in this run of theirs that they carry out duties. */
	list(now: Millis): DaemonId[] {
		return this.options.members(now).filter(({daemon, incarnation}) => this.announcedBy(daemon) === incarnation).map(({daemon}) => daemon);
	}

	/** Announces this daemon, unless the store has its row. */
	async announce(now: Millis): Promise<void> {
		const {store, follower, self} = this.options;
		if (!follower.isLoaded || now < this.nextWriteAt || this.announcedBy(self.daemon) === self.incarnation) {
			return;
		}

		this.nextWriteAt = now + writeIntervalMs;
		const row = {table: fleetTable, key: keyPrefix + self.daemon, value: encodeList([self.incarnation])};
		const outcome = await store.transact({part, writes: [row]});
		if (outcome.kind === 'committed') {
			follower.mergeRows([{...row, part, version: outcome.version}]);
		}
	}

	/** Deletes the rows of daemons that are gone. Called by the holder of a duty. */
	async sweep(now: Millis): Promise<void> {
		const {store, follower, members} = this.options;
		const live = new Set(members(now).map(({daemon}) => daemon));
		const deletes = follower.copy.part(part)
			.filter(({key}) => !live.has(key.slice(keyPrefix.length) as DaemonId))
			.slice(0, 100)
			.map(({key}) => ({table: fleetTable, key}));
		if (live.size > 0 && deletes.length > 0) {
			await store.transact({part, writes: [], deletes});
		}
	}

	private announcedBy(daemon: DaemonId): unknown {
		const row = this.options.follower.copy.get(part, keyPrefix + daemon);
		return row === undefined ? undefined : decodeList(row.value)?.[0];
	}
}
