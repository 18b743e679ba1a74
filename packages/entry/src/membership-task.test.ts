import {decodeList, encodeList, TableFollower} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	SystemClock, type DaemonId, type DaemonIncarnation, type DataCentreId, type RegionId, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {
	decodeMember, earlierMemberKey, encodeMember, fleetTable, memberKey, memberPart,
} from './member-rows.js';
import {MembershipTask} from './membership-task.js';

const member = (incarnation: string) => ({
	daemon: incarnation.split('#')[0] as DaemonId, incarnation: incarnation as DaemonIncarnation, dataCentre: 'dc' as DataCentreId, region: 'r' as RegionId, cores: 1,
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
			part: member(incarnation).daemon, writes: [{
				table: fleetTable, key: memberKey(member(incarnation).daemon), value: encodeMember({
					...member(incarnation), state: 'live', heartbeatCount: 1, role: 'candidate',
				}),
			}],
		});
		await writeHeartbeat('d2#new');
		const follower = new TableFollower({
			store, clock, table: fleetTable, waitMs: 20,
		});
		followers.push(follower);
		const task = new MembershipTask({
			clock, store, follower, self: member('d1#1'), isCandidate: () => true, onRoleChanged: vi.fn(),
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

	it('takes the pace of an engine from a daemon only while that is alive and accepts work', async () => {
		const store = new MemoryRowStore();
		const clock = new SystemClock();
		const engine = 'e1' as UpstreamId;
		const heartbeat = (state: 'live' | 'leaving') => ({
			part: memberPart('d2' as DaemonId), writes: [{
				table: fleetTable, key: memberKey('d2' as DaemonId), value: encodeMember({
					...member('d2#1'), state, heartbeatCount: 1, role: 'candidate', heartbeatMs: 700, paces: new Map([[engine, 40]]),
				}),
			}],
		});
		await store.transact(heartbeat('live'));
		const follower = new TableFollower({
			store, clock, table: fleetTable, waitMs: 20,
		});
		followers.push(follower);
		const task = new MembershipTask({
			clock, store, follower, self: member('d1#1'), isCandidate: () => true, onRoleChanged: vi.fn(),
		});
		follower.start();
		await expect.poll(() => task.eventMs(engine, clock.now())).toBe(40);
		expect(task.eventMs(engine, clock.now() + 60_000)).toBe(undefined);
		await store.transact(heartbeat('leaving'));
		await expect.poll(() => task.eventMs(engine, clock.now())).toBe(undefined);
	});

	describe('a standby', () => {
		it('announces itself as a candidate at once when it should be one, and as a standby only with its next heartbeat', async () => {
			const store = new MemoryRowStore();
			const clock = new SystemClock();
			const follower = new TableFollower({
				store, clock, table: fleetTable, waitMs: 20,
			});
			followers.push(follower);
			let isCandidate = false;
			const onRoleChanged = vi.fn();
			const task = new MembershipTask({
				clock, store, follower, self: member('d1#1'), isCandidate: () => isCandidate, onRoleChanged,
			});
			const written = async () => {
				const outcome = await store.read({table: fleetTable, part: memberPart('d1' as DaemonId)});
				return outcome.kind === 'rows' ? decodeMember(outcome.rows[0]!.value) : undefined;
			};

			task.start();
			await expect.poll(written).toMatchObject({role: 'standby', heartbeatMs: 3000, heartbeatCount: 1});
			expect(task.updateRole()).toBe(false);
			isCandidate = true;
			expect(task.updateRole()).toBe(true);
			await expect.poll(written).toMatchObject({role: 'candidate', heartbeatMs: 700, heartbeatCount: 2});
			isCandidate = false;
			expect(task.updateRole()).toBe(false);
			expect(task.isStandby).toBe(false);
			await expect.poll(written, {timeout: 5000}).toMatchObject({role: 'standby', heartbeatCount: 3});
			expect(onRoleChanged.mock.calls).toEqual([['candidate', 0], ['standby', 1]]);
			task.stop();
			isCandidate = true;
			expect(task.updateRole()).toBe(false);
		});
	});
});

describe('rows of members', () => {
	it('take as many reads for a daemon that starts in a large fleet as in a small one', () => {
		const parts = (count: number) => new Set(Array.from({length: count}, (_, index) => memberPart(`edge-west-a-${index}` as DaemonId))).size;
		expect(parts(400)).toBe(8);
	});

	describe('beside a daemon of a build that used a part for each daemon', () => {
		it('are written for both builds, as long as that daemon is alive', async () => {
			const store = new MemoryRowStore();
			const clock = new SystemClock();
			const follower = new TableFollower({
				store, clock, table: fleetTable, waitMs: 20,
			});
			const earlierRow = encodeList(['d2', 'd2#1', 'dc', 'r', 'live', 1]);
			await store.transact({part: 'd2', writes: [{table: fleetTable, key: earlierMemberKey, value: earlierRow}]});
			const task = new MembershipTask({
				clock, store, follower, self: member('d1#1'), isCandidate: () => true, onRoleChanged: vi.fn(),
			});
			const partsWithRows = async () => store.parts(fleetTable);
			follower.start();
			await expect.poll(() => task.members(clock.now()).map(({daemon}) => daemon)).toEqual(['d2']);
			task.start();
			await expect.poll(partsWithRows).toEqual(expect.arrayContaining([memberPart('d1' as DaemonId), 'd1']));
			expect(task.members(clock.now()).map(({daemon}) => daemon).toSorted()).toEqual(['d1', 'd2']);
			await store.transact({part: 'd2', writes: [], deletes: [{table: fleetTable, key: earlierMemberKey}]});
			await expect.poll(partsWithRows, {timeout: 5000}).toEqual([memberPart('d1' as DaemonId)]);
			task.stop();
			follower.stop();
		});
	});
});

describe('decodeMember', () => {
	it('reads the engines that a daemon can\'t reach, and nothing from the row of a build that wrote none', () => {
		const record = {
			...member('d1#1'), state: 'live', heartbeatCount: 7, role: 'candidate', heartbeatMs: 700, paces: new Map([['e2' as UpstreamId, 40]]), unreachable: new Set(['e1' as UpstreamId]),
		} as const;
		const encoded = encodeMember(record);
		expect(decodeMember(encoded)).toEqual(record);
		expect(decodeMember(encodeList(decodeList(encoded)!.slice(0, 10)))?.unreachable).toBe(undefined);
	});

	it('reads the row of a build that wrote no roles as a candidate', () => {
		const earlier = decodeList(encodeMember({
			...member('d1#1'), state: 'live', heartbeatCount: 7, role: 'standby',
		}))!.slice(0, 6);
		expect(decodeMember(encodeList(earlier))).toEqual({
			...member('d1#1'), state: 'live', heartbeatCount: 7, role: 'candidate',
		});
	});
});
