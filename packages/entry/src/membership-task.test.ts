import {TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	SystemClock, type DaemonId, type DaemonIncarnation, type DataCentreId, type RegionId,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {encodeMember, fleetTable, memberKey} from './member-rows.js';
import {MembershipTask} from './membership-task.js';

const member = (incarnation: string) => ({
	daemon: incarnation.split('#')[0] as DaemonId, incarnation: incarnation as DaemonIncarnation, dataCentre: 'dc' as DataCentreId, region: 'r' as RegionId,
});

describe('MembershipTask', () => {
	const followers: TableFollower[] = [];

	afterEach(() => {
		for (const follower of followers.splice(0)) {
			follower.stop();
		}
	});

	it('considers a daemon alive until its first heartbeat could have been read, and a restarted daemon\'s earlier incarnation dead', async () => {
		const store = new MemoryRowStore();
		const clock = new SystemClock();
		const writeHeartbeat = async (incarnation: string) => store.transact({
			part: member(incarnation).daemon, writes: [{table: fleetTable, key: memberKey, value: encodeMember({...member(incarnation), state: 'live', heartbeatCount: 1})}],
		});
		await writeHeartbeat('d2#new');
		const follower = new TableFollower({
			store, clock, table: fleetTable, waitMs: 20,
		});
		followers.push(follower);
		const task = new MembershipTask({
			clock, store, follower, self: member('d1#1'),
		});
		// Nothing has been read yet: the claim may belong to an incarnation whose heartbeat has not arrived.
		expect(task.isAlive('d2#new', 2, clock.now())).toBe(true);
		follower.start();
		await expect.poll(() => follower.copyVersion, {timeout: 2000}).toBe(1);
		expect(task.isAlive('d2#new', 1, clock.now())).toBe(true);
		expect(task.isAlive('d2#old', 1, clock.now())).toBe(false);
		expect(task.isAlive('d3#1', 2, clock.now())).toBe(true);
		expect(task.isAlive('d3#1', 1, clock.now())).toBe(false);
	});
});
