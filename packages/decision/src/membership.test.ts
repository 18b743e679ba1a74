import {isReachable} from '@cicadapost/membership';
import type {
	CallId, DaemonId, DataCentreId, Request, RequestId, UpstreamId, VmRecord,
} from '@cicadapost/types';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {shardOwner} from './shards.js';
import {SimulatedCluster} from './simulated-cluster.js';

const upstreams = ['e1', 'e2'];
const document = JSON.stringify({
	base: {members: {acme: {}}, pools: {lm: {kind: 'engine', initialWindow: 1, maxWindow: 1}}, dataCentres: {a: {region: 'a'}, b: {region: 'b'}}},
	overlays: {
		a: {upstreams: Object.fromEntries(upstreams.map(name => [name, {pool: 'lm', url: `http://${name}:1`}]))},
		b: {upstreams: {f1: {pool: 'lm', url: 'http://f1:1'}}},
	},
});

let cluster: SimulatedCluster;

function vm(upstream: string, state: VmRecord['state']): VmRecord {
	return {
		id: upstream as UpstreamId, role: 'upstream', dataCentre: 'a' as DataCentreId, state,
	};
}

function call(daemon: string, name: string): void {
	const request = {
		requestId: name as RequestId,
		member: 'acme',
		requestClass: 'live',
		pool: 'lm',
		promptTokens: 1,
		maxTokens: 1,
		idempotent: true,
		fingerprint: name,
		prefixKey: name,
		payload: {
			method: 'POST', path: '/', contentType: 'application/json', body: '',
		},
		deadlineAt: cluster.now + 60_000,
		bodyHash: name,
		mixedVersions: true,
	} as Request;
	cluster.post(daemon, {kind: 'request', request});
}

function owner(viewedBy = 'a1'): DaemonId {
	return shardOwner(cluster.state(viewedBy).membership, 'a/lm/0' as never)!;
}

function otherThan(...daemons: string[]): string {
	return ['a1', 'a2', 'a3'].find(daemon => !daemons.includes(daemon))!;
}

beforeEach(() => {
	cluster = new SimulatedCluster();
	for (const daemon of ['a1', 'a2', 'a3', 'b1', 'b2']) {
		cluster.start(daemon, daemon.slice(0, 1));
	}

	cluster.publishVmList(upstreams.map(name => vm(name, 'live')));
	cluster.run(2000);
	cluster.post('a1', {
		kind: 'apply-configuration', call: 'first' as CallId, expectedVersion: 0, document,
	});
	cluster.run(2000);
});

describe('a leaving upstream', () => {
	it('of the VM list gets no grant until the list says that it is live again, so that a returned engine is used', () => {
		cluster.publishVmList([vm('e1', 'leaving'), vm('e2', 'leaving')]);
		cluster.run(1500);
		call('a1', 'r1');
		expect(cluster.actions('open-attempt').map(({upstream}) => upstream)).not.toContain('e1');
		cluster.publishVmList(upstreams.map(name => vm(name, 'live')));
		cluster.run(5000);
		expect([...cluster.state('a2').membership.leavingUpstreams]).toEqual([]);
		call('a2', 'r2');
		expect(cluster.actions('open-attempt', 'a2')).toHaveLength(1);
	});

	it('gets no grant from a new owner that has not read its state yet, so that work does not go to it after a takeover', () => {
		const first = owner();
		cluster.answersStateReads = false;
		cluster.daemons.delete(first);
		const viewer = otherThan(first);
		for (let waited = 0; owner(viewer) === first && waited < 10_000; waited += 50) {
			cluster.run(50, 50);
		}

		call(owner(viewer), 'r1');
		expect(cluster.actions('open-attempt')).toEqual([]);
		expect(cluster.actions('fail')).toEqual([]);
		cluster.run(3000);
		expect(cluster.actions('open-attempt')).toHaveLength(1);
	});

	it('gets no grant from an owner that resumes after a pause, so that its stale view does not send work there', () => {
		const first = owner();
		for (const daemon of ['a1', 'a2', 'a3']) {
			if (daemon !== first) {
				cluster.daemons.delete(daemon as DaemonId);
			}
		}

		cluster.run(5000);
		cluster.paused.add(first);
		for (const name of upstreams) {
			cluster.upstreamStatuses.set(name, {
				leaving: true, version: 1, swapping: false, fence: 0,
			});
		}

		cluster.run(5000);
		cluster.paused.delete(first);
		call(first, 'r1');
		expect(cluster.actions('open-attempt')).toEqual([]);
	});

	it('that reports so itself gets no grant although the VM list calls it live, so that a lagging list does no harm', () => {
		cluster.upstreamStatuses.set('e1', {
			leaving: true, version: 1, swapping: false, fence: 0,
		});
		cluster.run(2500);
		const before = cluster.actions('read-state').length;
		cluster.run(10_000);
		// Three engines, each read once a second by the shard owner and every 5 s by the holder of the pool's lease.
		expect(cluster.actions('read-state').length - before).toBeLessThanOrEqual(3 * (11 + 2));
		for (const name of ['r1', 'r2', 'r3']) {
			call('a1', name);
		}

		expect(cluster.actions('open-attempt').map(({upstream}) => upstream)).toEqual(['e2']);
		cluster.upstreamStatuses.clear();
		cluster.run(5000);
		expect(cluster.actions('open-attempt').map(({upstream}) => upstream)).toEqual(['e2', 'e1']);
	});

	it('gets no grant from the next owner of its shard either, which has not read it yet', () => {
		cluster.upstreamStatuses.set('e1', {
			leaving: true, version: 1, swapping: false, fence: 0,
		});
		cluster.run(2500);
		cluster.answersStateReads = false;
		cluster.post(owner(), {kind: 'shut-down'});
		const entry = otherThan(owner());
		call(entry, 'r1');
		call(entry, 'r2');
		cluster.run(2000);
		expect(cluster.actions('open-attempt').map(({upstream}) => upstream)).toEqual(['e2']);
	});
});

describe('a daemon of another data centre', () => {
	it('gets relays over one connection that is opened for them, so that a daemon keeps few connections', () => {
		cluster.publishVmList(upstreams.map(name => vm(name, 'leaving')));
		cluster.run(2000);
		for (const name of ['r1', 'r2', 'r3', 'r4']) {
			call('a1', name);
		}

		const relays = cluster.recorded.filter(({daemon, action}) => daemon === 'a1' && action.kind === 'send' && action.message.kind === 'relay');
		const targets = new Set(relays.map(({action}) => (action as {to: DaemonId}).to));
		expect(relays).toHaveLength(4);
		expect(targets.size).toBe(1);
		cluster.run(40_000);
		expect(cluster.actions('disconnect', 'a1').filter(({daemon}) => targets.has(daemon))).toEqual([]);
	});

	it('that is leaving gets no relay, and the request runs at another one', () => {
		cluster.daemons.get('b1' as DaemonId)!.leaving = true;
		cluster.daemons.get('b2' as DaemonId)!.leaving = true;
		cluster.post('b1', {
			kind: 'message', from: 'a1' as DaemonId, message: {
				kind: 'relay', attempt: 'x.0' as never, request: {pool: 'lm'} as never, payload: {} as never, remainingMs: 1000, sendWithinMs: 1000, mixedVersions: false, resumeFrom: 0,
			},
		});
		expect(cluster.actions('send', 'b1').at(-1)?.message).toMatchObject({kind: 'relay-failed', failure: 'leaving', sent: false});
	});

	it('that ends while it runs a relay fails the attempt, so that the request is repeated at once', () => {
		cluster.state('a1').relays.sentTo.set('x.0' as never, 'b1' as DaemonId);
		cluster.daemons.delete('b1' as DaemonId);
		cluster.run(5000);
		expect(cluster.state('a1').relays.sentTo.size).toBe(0);
	});
});

describe('connection planning', () => {
	it('has two gateways for each ordered pair of data centres and no other connection between them', () => {
		cluster.run(5000);
		const across = ['a1', 'a2', 'a3'].flatMap(from => ['b1', 'b2'].filter(to => cluster.isLinked(from as DaemonId, to as DaemonId)).map(to => `${from}-${to}`));
		expect(across.length).toBeGreaterThanOrEqual(2);
		expect(across.length).toBeLessThanOrEqual(4);
		expect(isReachable(cluster.state('a1').membership, 'b' as DataCentreId)).toBe(true);
		expect(isReachable(cluster.state('a2').membership, 'b' as DataCentreId)).toBe(true);
	});
});

describe('a paused daemon that resumes', () => {
	it('grants nothing by its stale view, so that it does not act as an owner beside the new one', () => {
		const paused = owner();
		cluster.paused.add(paused);
		cluster.run(10_000);
		const entry = otherThan(paused, owner(otherThan(paused)));
		const grantsBefore = cluster.actions('send', paused).filter(({message}) => message.kind === 'grant').length;
		cluster.isMessageLost = (from, to) => from === paused || to === paused;
		cluster.paused.delete(paused);
		const summary = {
			requestId: 'late', member: 'acme', requestClass: 'live', pool: 'lm', promptTokens: 1, maxTokens: 1, idempotent: true, fingerprint: 'f', prefixKey: 'p',
		};
		cluster.post(paused, {
			kind: 'message', from: entry as DaemonId, message: {
				kind: 'acquire', attempt: 'late.0' as never, shard: 'a/lm/0' as never, request: summary as never, remainingMs: 1000, avoid: [],
			},
		});
		expect(cluster.actions('send', paused).filter(({message}) => message.kind === 'grant').length).toBe(grantsBefore);
	});
});

describe('heartbeats', () => {
	const heartbeat = (incarnation: number, sequence: number, leaving: boolean) => ({
		kind: 'message' as const, from: 'a9' as DaemonId, message: {
			kind: 'heartbeat' as const, dataCentre: 'a' as DataCentreId, incarnation, sequence, configurationVersion: 0, leaving, leavingUpstreams: [],
		},
	});

	it('that arrive out of order do not undo a later one, so that a leaving daemon gets no work', () => {
		cluster.post('a1', heartbeat(9, 2, true));
		cluster.post('a1', heartbeat(9, 1, false));
		expect(cluster.state('a1').membership.peers.get('a9' as DaemonId)?.leaving).toBe(true);
	});

	it('of an earlier process are ignored after the daemon was lost, so that a dead process is not considered alive', () => {
		cluster.post('a1', heartbeat(9, 1, false));
		cluster.run(5000);
		cluster.post('a1', heartbeat(8, 7, false));
		cluster.post('a1', heartbeat(9, 1, false));
		expect(cluster.state('a1').membership.peers.has('a9' as DaemonId)).toBe(false);
		cluster.post('a1', heartbeat(10, 1, false));
		expect(cluster.state('a1').membership.peers.get('a9' as DaemonId)?.incarnation).toBe(10);
	});

	it('that carry the id of the receiver are ignored, so that a daemon never counts itself as a peer', () => {
		cluster.post('a1', {...heartbeat(9, 1, false), from: 'a1' as DaemonId});
		expect(cluster.state('a1').membership.peers.has('a1' as DaemonId)).toBe(false);
	});
});

describe('a daemon that shuts down', () => {
	it('passes waiting acquires on, so that their callers notice nothing', () => {
		const leaving = owner();
		const entry = otherThan(leaving);
		for (const name of ['r1', 'r2', 'r3']) {
			call(entry, name);
		}

		expect(cluster.actions('open-attempt', entry)).toHaveLength(2);
		cluster.post(leaving, {kind: 'shut-down'});
		cluster.run(1000);
		// The next owner knows which attempts are running and does not grant a third slot where only two exist.
		const [first, ...others] = cluster.actions('open-attempt', entry);
		expect(others).toHaveLength(1);
		cluster.post(entry, {
			kind: 'attempt-chunk', attempt: first!.attempt, chunk: {
				offset: 0, tokens: 1, text: 'x', version: 1,
			},
		});
		cluster.post(entry, {
			kind: 'attempt-finished', attempt: first!.attempt, tokens: 1, status: 200, contentType: 'text/event-stream',
		});
		cluster.run(1000);
		expect(cluster.actions('open-attempt', entry)).toHaveLength(3);
		expect(cluster.actions('fail')).toEqual([]);
		expect(cluster.state(leaving).schedulers.size).toBe(0);
	});

	it('does not fail a granted request because of a late refusal, so that the request is not repeated needlessly', () => {
		call('a1', 'r1');
		const {attempt} = cluster.actions('open-attempt', 'a1')[0]!;
		cluster.post('a1', {
			kind: 'message', from: otherThan('a1', owner()) as DaemonId, message: {
				kind: 'refuse', attempt, reason: 'not-owner', retryAfterMs: 0,
			},
		});
		expect(cluster.actions('cancel-attempt')).toEqual([]);
	});

	it('at the same time as all others still grants the waiting acquires, so that the last requests end', () => {
		cluster.daemons.delete('a3' as DaemonId);
		cluster.run(5000);
		for (const name of ['r1', 'r2', 'r3', 'r4']) {
			call(name === 'r1' ? 'a2' : 'a1', name);
		}

		cluster.isMessageLost = () => true;
		cluster.post('a1', {kind: 'shut-down'});
		cluster.post('a2', {kind: 'shut-down'});
		cluster.isMessageLost = () => false;
		cluster.run(2000);
		for (let round = 0; round < 2; round++) {
			for (const daemon of ['a1', 'a2']) {
				for (const {attempt} of cluster.actions('open-attempt', daemon)) {
					cluster.post(daemon, {
						kind: 'attempt-finished', attempt, tokens: 0, status: 200, contentType: 'text/event-stream',
					});
				}
			}

			cluster.run(1000);
		}

		expect(cluster.actions('complete')).toHaveLength(4);
		expect(cluster.actions('stopped')).toHaveLength(2);
	});

	it('keeps its shards while there is no other daemon, so that its own last requests get a slot', () => {
		for (const daemon of ['a2', 'a3']) {
			cluster.daemons.delete(daemon as DaemonId);
		}

		cluster.run(5000);
		for (const name of ['r1', 'r2', 'r3']) {
			call('a1', name);
		}

		cluster.post('a1', {kind: 'shut-down'});
		const {attempt} = cluster.actions('open-attempt', 'a1')[0]!;
		cluster.post('a1', {
			kind: 'attempt-finished', attempt, tokens: 0, status: 200, contentType: 'text/event-stream',
		});
		expect(cluster.actions('open-attempt', 'a1')).toHaveLength(3);
		expect(cluster.actions('fail')).toEqual([]);
	});
});
