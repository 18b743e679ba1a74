import type {
	DaemonId, DaemonIncarnation, DataCentreId, RegionId, ServiceId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {chooseCandidates} from './choose-candidates.js';
import {chooseUpstream, type UpstreamHealth} from './choose-upstream.js';
import {assignEngines} from './engine-ownership.js';
import {
	liveMembers, heartbeatIntervalMs, memberTimeoutMs, type MemberRecord,
} from './members.js';
import {returnGraceMs, UpstreamDirectory} from './upstream-directory.js';
import type {UpstreamRecord} from './upstream.js';

const upstream = (name: string, dataCentre = 'west-a'): UpstreamRecord => ({
	id: name as UpstreamId,
	service: 'desk' as ServiceId,
	address: '127.0.0.1:1',
	dataCentre: dataCentre as DataCentreId,
	slots: 6,
	state: 'ready',
	softwareVersion: 'v1' as SoftwareVersion,
	warmUpMs: 0,
	models: new Map(),
	bornAt: 1,
});

const member = (name: string, dataCentre = 'west-a', region = 'west'): MemberRecord => ({
	daemon: name as DaemonId, incarnation: `${name}#1` as DaemonIncarnation, dataCentre: dataCentre as DataCentreId, region: region as RegionId, state: 'live', heartbeatCount: 1, role: 'candidate', cores: 1,
});

describe('UpstreamDirectory', () => {
	const desk = 'desk' as ServiceId;

	it('removes an entry at once if it disappears while the store responds, so that a leaving upstream gets no work', () => {
		const directory = new UpstreamDirectory();
		directory.upsert(upstream('u1'));
		directory.remove('u1' as UpstreamId, {connectedForMs: 60_000}, 0);
		expect(directory.ready(desk)).toEqual([]);
	});

	describe('an upstream that has stated that it leaves', () => {
		const start = {id: 'u1' as UpstreamId, bornAt: 1};

		it('is not ready, whatever its entry says, until it has started anew', () => {
			const directory = new UpstreamDirectory();
			directory.upsert(upstream('u1'));
			expect(directory.recordLeaving(start)).toBe(true);
			expect(directory.ready(desk)).toEqual([]);
			directory.upsert({...upstream('u1'), slots: 7});
			expect(directory.ready(desk)).toEqual([]);
			directory.upsert({...upstream('u1'), bornAt: 2});
			expect(directory.ready(desk)).toHaveLength(1);
		});

		it('stays so if an entry of an earlier start arrives, or if its entry disappears and comes back', () => {
			const directory = new UpstreamDirectory();
			directory.upsert({...upstream('u1'), bornAt: 2});
			directory.recordLeaving({...start, bornAt: 2});
			directory.upsert(upstream('u1'));
			expect(directory.ready(desk)).toEqual([]);
			directory.remove('u1' as UpstreamId, {connectedForMs: 60_000}, 0);
			directory.upsert({...upstream('u1'), bornAt: 2});
			expect(directory.ready(desk)).toEqual([]);
		});

		it('is remembered if the statement arrives before its entry', () => {
			const directory = new UpstreamDirectory();
			directory.recordLeaving(start);
			directory.upsert(upstream('u1'));
			expect(directory.ready(desk)).toEqual([]);
		});

		it('is not affected by a statement of its earlier start', () => {
			const directory = new UpstreamDirectory();
			directory.upsert({...upstream('u1'), bornAt: 2});
			expect(directory.recordLeaving(start)).toBe(true);
			expect(directory.ready(desk)).toHaveLength(1);
			expect(directory.recordLeaving(start)).toBe(false);
		});

		it('is still known after many others have left', () => {
			const directory = new UpstreamDirectory();
			for (let index = 0; index < 900; index++) {
				directory.recordLeaving({id: `gone-${index}` as UpstreamId, bornAt: 1});
			}

			directory.recordLeaving(start);
			directory.upsert(upstream('u1'));
			expect(directory.ready(desk)).toEqual([]);
		});
	});

	describe('an entry that expired while the store was unavailable', () => {
		it('is kept until it has had time to reappear', () => {
			const directory = new UpstreamDirectory();
			directory.upsert(upstream('u1'));
			directory.remove('u1' as UpstreamId, {connectedForMs: 100}, 1000);
			directory.expire(1000 + returnGraceMs - 200);
			expect(directory.ready(desk)).toHaveLength(1);
			directory.expire(1000 + returnGraceMs);
			expect(directory.ready(desk)).toEqual([]);
		});

		it('is kept permanently if it reappears', () => {
			const directory = new UpstreamDirectory();
			directory.upsert(upstream('u1'));
			directory.remove('u1' as UpstreamId, {connectedForMs: 0}, 0);
			directory.upsert(upstream('u1'));
			directory.expire(60_000);
			expect(directory.ready(desk)).toHaveLength(1);
		});
	});
});

describe('the sorted views of the directory', () => {
	const desk = 'desk' as ServiceId;
	it('reflect each change, and stay the same while heartbeats change nothing', () => {
		const directory = new UpstreamDirectory();
		expect(directory.upsert(upstream('u2'))).toBe(true);
		expect(directory.upsert(upstream('u1'))).toBe(true);
		const before = directory.all();
		expect(directory.ready(desk).map(({id}) => id)).toEqual(['u1', 'u2']);
		expect(directory.upsert(upstream('u1'))).toBe(false);
		expect(directory.all()).toBe(before);
		expect(directory.upsert({...upstream('u1'), state: 'leaving'})).toBe(true);
		expect(directory.ready(desk).map(({id}) => id)).toEqual(['u2']);
		directory.discard('u2' as UpstreamId);
		expect(directory.ready(desk)).toEqual([]);
		expect(directory.all().map(({id}) => id)).toEqual(['u1']);
	});

	it('drop an upstream that has not reappeared in time', () => {
		const directory = new UpstreamDirectory();
		directory.upsert(upstream('u1'));
		directory.remove('u1' as UpstreamId, {connectedForMs: 0}, 0);
		expect(directory.ready(desk)).toHaveLength(1);
		expect(directory.upsert(upstream('u1'))).toBe(false);
		directory.expire(60_000);
		expect(directory.ready(desk)).toHaveLength(1);
		directory.remove('u1' as UpstreamId, {connectedForMs: 60_000}, 0);
		expect(directory.ready(desk)).toEqual([]);
	});
});

describe('chooseUpstream', () => {
	const idle: UpstreamHealth = {outstanding: 0, avoidUntil: 0, hasIdleConnection: true};
	const choose = (health: Record<string, Partial<UpstreamHealth>>, tried: string[] = []) => chooseUpstream({
		candidates: [upstream('u1'), upstream('u2'), upstream('u3', 'west-b')],
		health: id => ({...idle, ...health[id]}),
		dataCentre: 'west-a' as DataCentreId,
		tried: new Set(tried as UpstreamId[]),
		now: 1000,
		random: 0,
	})?.id;

	it('avoids an upstream that reports a slowdown', () => {
		const load = {
			report: {
				running: 1, waiting: 0, slots: 6, slowdown: 2.5,
			}, at: 900,
		};
		expect(choose({u1: {load}})).toBe('u2');
	});

	it('ignores an old report', () => {
		const load = {
			report: {
				running: 6, waiting: 20, slots: 6, slowdown: 3,
			}, at: -5000,
		};
		expect(choose({u1: {load}, u2: {outstanding: 1}})).toBe('u1');
	});

	it('prefers its own data centre among equal upstreams, and another data centre to full upstreams', () => {
		expect(choose({})).toBe('u1');
		expect(choose({u1: {outstanding: 6}, u2: {outstanding: 6}})).toBe('u3');
	});

	it('uses an upstream that has just failed only if there is no other', () => {
		expect(choose({u1: {avoidUntil: 2000}, u2: {avoidUntil: 2000}})).toBe('u3');
		expect(choose({u1: {avoidUntil: 2000}}, ['u2', 'u3'])).toBe('u1');
		expect(choose({}, ['u1', 'u2', 'u3'])).toBeUndefined();
	});
});

describe('liveMembers', () => {
	const observation = {record: member('d1'), seenAt: 0};
	const isAlive = (heartbeatMs: number, now: number) => liveMembers(
		[{...observation, record: {...observation.record, heartbeatMs}}],
		{members: 9, connectedForMs: 60_000, now},
	).length === 1;

	it('considers a member without heartbeats dead', () => {
		const silenceMs = memberTimeoutMs(heartbeatIntervalMs('candidate', 9));
		expect(liveMembers([observation], {members: 9, connectedForMs: 60_000, now: silenceMs - 1})).toHaveLength(1);
		expect(liveMembers([observation], {members: 9, connectedForMs: 60_000, now: silenceMs})).toHaveLength(0);
	});

	it('judges each member by the interval that its own row names', () => {
		expect([isAlive(700, 2599), isAlive(700, 2600)]).toEqual([true, false]);
		expect([isAlive(3000, 9499), isAlive(3000, 9500)]).toEqual([true, false]);
	});

	it('considers no member dead after a store outage, during which no heartbeat could arrive', () => {
		expect(liveMembers([observation], {members: 9, connectedForMs: 500, now: 60_000})).toHaveLength(1);
	});

	it('keeps heartbeat traffic within the control budget of each reader, at any fleet size', () => {
		const bytesPerHeartbeat = 150;
		const budget = 16 * 1024;
		for (const members of [9, 82, 370, 1000]) {
			for (const candidates of [0, Math.min(members, 12), Math.ceil(members / 3), members]) {
				const standbys = members - candidates;
				const perSecond = (1000 * candidates / heartbeatIntervalMs('candidate', candidates)) + (1000 * standbys / heartbeatIntervalMs('standby', standbys));
				expect(perSecond * bytesPerHeartbeat).toBeLessThan(budget);
			}
		}
	});

	it('detects the death of a candidate within 2.6 s if the fleet has up to 59 of them', () => {
		expect(memberTimeoutMs(heartbeatIntervalMs('candidate', 12))).toBe(2600);
		expect(memberTimeoutMs(heartbeatIntervalMs('candidate', 59))).toBe(2600);
	});
});

describe('assignEngines', () => {
	const regionOf = () => 'west' as RegionId;
	const engines = ['e1', 'e2', 'e3', 'e4'].map(name => upstream(name));

	it('distributes the engines of a data centre over its daemons', () => {
		const owners = assignEngines({engines, members: [member('d1'), member('d2'), member('d3', 'west-b')], regionOf});
		const counts = ['d1', 'd2', 'd3'].map(name => [...owners.values()].filter(owner => owner === name).length);
		expect(counts).toEqual([2, 2, 0]);
	});

	it('assigns every engine to a daemon while one is alive anywhere', () => {
		const owners = assignEngines({engines, members: [member('d9', 'east-a', 'east')], regionOf});
		expect([...owners.values()]).toEqual(['d9', 'd9', 'd9', 'd9']);
	});

	it('assigns engines to candidates, also of another data centre, and to standbys only if there is no candidate', () => {
		const standby = {...member('d1'), role: 'standby'} as const;
		const owners = (members: MemberRecord[]) => new Set(assignEngines({engines, members, regionOf}).values());
		expect(owners([standby, member('d2', 'west-b')])).toEqual(new Set(['d2']));
		expect(owners([standby])).toEqual(new Set(['d1']));
	});

	it('gives larger VMs more engines', () => {
		const owners = assignEngines({engines, members: [{...member('large'), cores: 1.35}, {...member('small'), cores: 0.3}], regionOf});
		expect([...owners.values()].filter(owner => owner === 'large')).toHaveLength(4);
	});

	describe('with an engine that its owner can\'t reach', () => {
		const assign = (members: readonly MemberRecord[]) => assignEngines({engines, members, regionOf});
		const reaching = (name: string, unreachable: readonly string[] = []): MemberRecord => ({...member(name), unreachable: new Set(unreachable as UpstreamId[])});
		const [before, owner] = (() => {
			const owners = assign([reaching('d1'), reaching('d2'), reaching('d3')]);
			return [owners, owners.get('e1' as UpstreamId)!] as const;
		})();
		const names = ['d1', 'd2', 'd3'];

		it('gives it to a daemon that reaches it, and moves no other engine', () => {
			const after = assign(names.map(name => reaching(name, name === owner ? ['e1'] : [])));
			expect(after.get('e1' as UpstreamId)).not.toBe(owner);
			expect([...after].filter(([engine, daemon]) => before.get(engine) !== daemon).map(([engine]) => engine)).toEqual(['e1']);
		});

		it('leaves it with its owner if no other daemon reaches it or takes engines for that reason', () => {
			expect(assign(names.map(name => reaching(name, ['e1']))).get('e1' as UpstreamId)).toBe(owner);
			expect(assign(names.map(name => (name === owner ? reaching(name, ['e1']) : member(name)))).get('e1' as UpstreamId)).toBe(owner);
		});
	});

	it('computes the same assignment for any order of engines and members', () => {
		const members = [member('d1'), member('d2')];
		const forwards = assignEngines({engines, members, regionOf});
		const backwards = assignEngines({engines: engines.toReversed(), members: members.toReversed(), regionOf});
		expect(Object.fromEntries(backwards)).toEqual(Object.fromEntries(forwards));
	});
});

describe('chooseCandidates', () => {
	const dataCentres = ['west-a', 'west-b', 'west-c', 'east-a', 'east-b', 'east-c'];
	const regionOf = (dataCentre: string) => dataCentre.split('-')[0] as RegionId;
	const engines = dataCentres.flatMap(dataCentre => Array.from({length: 6}, (_, index) => upstream(`${dataCentre}-e${index}`, dataCentre)));
	/** In each data centre some large VMs and many small ones. */
	const fleet = (large: number, small: number) => dataCentres.flatMap(dataCentre => Array.from({length: large + small}, (_, index): MemberRecord => ({
		...member(`${dataCentre}-${index}`, dataCentre, regionOf(dataCentre)), cores: index < large ? 1.35 : 0.324,
	})));

	it('chooses every daemon of a small fleet, also while its engines are gone', () => {
		const members = fleet(3, 1);
		expect(chooseCandidates({engines, members, regionOf}).size).toBe(members.length);
		expect(chooseCandidates({engines: [], members, regionOf}).size).toBe(members.length);
	});

	it('keeps the number of candidates independent of the number of daemons, largest VMs first', () => {
		for (const small of [6, 25, 60]) {
			const members = fleet(8, small);
			const chosen = members.filter(({daemon}) => chooseCandidates({engines, members, regionOf}).has(daemon));
			expect(chosen).toHaveLength(48);
			expect(chosen.every(({cores}) => cores === 1.35)).toBe(true);
		}
	});

	it('replaces candidates that die and keeps the others, so that no engine is left without a near owner', () => {
		const members = fleet(8, 25);
		const before = chooseCandidates({engines, members, regionOf});
		const left = members.filter(({daemon}) => !/^west-a-[0-5]$/v.test(daemon));
		const after = chooseCandidates({engines, members: left, regionOf});
		expect([...before].filter(daemon => left.some(member => member.daemon === daemon)).every(daemon => after.has(daemon))).toBe(true);
		expect([...after].filter(daemon => daemon.startsWith('west-a-'))).toHaveLength(8);
	});

	it('chooses daemons of the region for a data centre without any', () => {
		// The other data centres have four candidates each anyway.
		const members = fleet(2, 4).filter(({dataCentre}) => dataCentre !== 'west-a');
		const ofWestA = engines.filter(({dataCentre}) => dataCentre === 'west-a');
		const chosen = chooseCandidates({engines: ofWestA, members, regionOf});
		const withoutEngines = chooseCandidates({engines: [], members, regionOf});
		expect([...withoutEngines].filter(daemon => daemon.startsWith('west-'))).toHaveLength(8);
		expect([...chosen].filter(daemon => daemon.startsWith('west-')).length).toBeGreaterThan(8);
		expect([...chosen].filter(daemon => daemon.startsWith('east-'))).toHaveLength(12);
	});
});
