import {documentSchema} from '@cicadapost/settings';
import {
	id, type AttemptId, type DaemonId, type DataCentreId, type Fingerprint, type MemberId, type PeerMessage, type PoolId, type RegionId, type Request, type RequestId, type RowResponse, type VmRecord,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {createDaemonState, type DaemonState} from './daemon-state.js';
import {decide} from './decide.js';
import type {DaemonAction, DaemonEvent} from './events.js';

const tickMs = 50;
const upstreamsOf = (dataCentre: string, names: readonly string[]) => Object.fromEntries(names.map(name => [`${dataCentre}-${name}`, {pool: 'pool', url: 'http://127.0.0.1:1/'}]));

const document = JSON.stringify(documentSchema.parse({
	base: {
		members: {m: {}, capped: {cap: {tokensPerSecond: 100}}},
		pools: {pool: {kind: 'engine', initialWindow: 2, maxWindow: 2}},
		dataCentres: {'dc-1': {region: 'r'}, 'dc-2': {region: 'r'}},
	},
	overlays: {'dc-1': {upstreams: upstreamsOf('dc-1', ['u1', 'u2', 'u3', 'u4'])}, 'dc-2': {upstreams: upstreamsOf('dc-2', ['u1'])}},
}));

type Opened = Extract<DaemonAction, {kind: 'open-attempt'}> & {by: DaemonId};

/** Simulates daemons of two data centres with a table service. Messages and calls arrive immediately. */
class InMemoryCluster {
	now = 0;
	readonly daemons = new Map<DaemonId, DaemonState>();
	readonly opened: Opened[] = [];
	readonly ended: Array<Extract<DaemonAction, {kind: 'fail' | 'complete'}>> = [];
	readonly messages: Array<{from: DaemonId; to: DaemonId; message: PeerMessage}> = [];
	private readonly rows = new Map<string, {version: number; value: string}>();
	private readonly queue: Array<{to: DaemonId; event: DaemonEvent}> = [];

	constructor(names: Readonly<Record<string, string>>) {
		for (const [name, dataCentre] of Object.entries(names)) {
			const daemon = id<DaemonId>(name);
			this.daemons.set(daemon, createDaemonState({
				self: daemon, dataCentre: id<DataCentreId>(dataCentre), region: id<RegionId>('r'), incarnation: 1,
			}));
		}

		for (const daemon of this.daemons.keys()) {
			this.send(daemon, {kind: 'message', from: daemon, message: {kind: 'configuration', version: 1, document}});
		}

		this.run(4000);
	}

	/** The VM list as the platform publishes it, with all daemons of this test. */
	private get vms(): VmRecord[] {
		return [...this.daemons].map(([daemon, state]) => ({
			id: daemon, role: 'entry', dataCentre: state.dataCentre, state: 'live', peerAddress: `${daemon}:1`,
		}));
	}

	send(to: DaemonId, event: DaemonEvent): void {
		this.queue.push({to, event});
		for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
			const state = this.daemons.get(next.to);
			if (state !== undefined) {
				for (const action of decide(state, next.event, this.now).actions) {
					this.apply(next.to, action);
				}
			}
		}
	}

	run(ms: number): void {
		for (const until = this.now + ms; this.now < until;) {
			this.now += tickMs;
			for (const daemon of this.daemons.keys()) {
				this.send(daemon, {kind: 'tick'});
			}
		}
	}

	request(to: DaemonId, name: string, fields: Partial<Request> = {}): void {
		this.send(to, {
			kind: 'request', request: {
				requestId: id<RequestId>(name),
				member: id<MemberId>('m'),
				requestClass: 'live',
				pool: id<PoolId>('pool'),
				promptTokens: 10,
				maxTokens: 10,
				idempotent: true,
				fingerprint: id<Fingerprint>(name),
				prefixKey: '',
				payload: {
					method: 'POST', path: '/', contentType: 'application/json', body: '{}',
				},
				deadlineAt: this.now + 60_000,
				bodyHash: '',
				mixedVersions: true,
				...fields,
			},
		});
	}

	fail(attempt: AttemptId): void {
		const {by} = this.opened.find(opened => opened.attempt === attempt)!;
		this.send(by, {
			kind: 'attempt-failed', attempt, failure: 'upstream-died', sent: true,
		});
	}

	private apply(from: DaemonId, action: DaemonAction): void {
		switch (action.kind) {
			case 'send': {
				this.messages.push({from, to: action.to, message: action.message});
				this.queue.push({to: action.to, event: {kind: 'message', from, message: action.message}});
				break;
			}

			case 'open-attempt': {
				this.opened.push({...action, by: from});
				break;
			}

			case 'fail':
			case 'complete': {
				this.ended.push(action);
				break;
			}

			case 'read-vm-list': {
				this.queue.push({to: from, event: {kind: 'vm-list', vms: this.vms}});
				break;
			}

			case 'read-row': {
				const row = this.rows.get(`${action.table}/${action.key}`);
				this.queue.push({to: from, event: {kind: 'row-answer', call: action.call, answer: row === undefined ? {kind: 'absent'} : {kind: 'row', ...row}}});
				break;
			}

			case 'write-row': {
				this.queue.push({to: from, event: {kind: 'row-answer', call: action.call, answer: this.write(action)}});
				break;
			}

			default: {
				break;
			}
		}
	}

	private write(action: Extract<DaemonAction, {kind: 'write-row'}>): RowResponse {
		const key = `${action.table}/${action.key}`;
		const row = this.rows.get(key);
		if ((row?.version ?? 0) !== action.expectedVersion) {
			return {kind: 'conflict', ...row!};
		}

		this.rows.set(key, {version: action.expectedVersion + 1, value: action.value});
		return {kind: 'written', version: action.expectedVersion + 1};
	}
}

const [a, b, far] = ['a', 'b', 'far'].map(name => id<DaemonId>(name)) as [DaemonId, DaemonId, DaemonId];
const create = () => new InMemoryCluster({a: 'dc-1', b: 'dc-1', far: 'dc-2'});

describe('suspects', () => {
	it('are known to the daemons of all data centres, and blocked there after three deaths', () => {
		const cluster = create();
		cluster.request(a, 'poison');
		for (const _ of [1, 2, 3]) {
			const {attempt} = cluster.opened.at(-1)!;
			cluster.fail(attempt);
			cluster.run(200);
		}

		expect(cluster.opened.length).toBe(3);
		cluster.request(far, 'again', {fingerprint: id<Fingerprint>('poison')});
		cluster.request(far, 'innocent');
		expect(cluster.ended.at(-1)).toMatchObject({kind: 'fail', requestId: 'again', cause: 'blocked'});
		expect(cluster.ended.at(-1)).toMatchObject({problem: {retryAfterMs: expect.any(Number)}});
		expect(cluster.opened.at(-1)).toMatchObject({by: far, attempt: 'innocent.0'});
	});

	it('are copied to a daemon that has just started', () => {
		const cluster = create();
		cluster.request(a, 'poison');
		cluster.fail(cluster.opened.at(-1)!.attempt);
		const fresh = id<DaemonId>('fresh');
		cluster.daemons.set(fresh, createDaemonState({
			self: fresh, dataCentre: id<DataCentreId>('dc-2'), region: id<RegionId>('r'), incarnation: 1,
		}));
		cluster.run(6000);
		expect([...cluster.daemons.get(fresh)!.suspects.suspects.keys()]).toEqual(['poison']);
	});
});

describe('a change of the shard owner', () => {
	it('is followed by a report of the running attempts, so that the new owner does not over-admit', () => {
		const cluster = create();
		const owner = [...cluster.daemons].find(([, state]) => state.dataCentre === 'dc-1' && state.schedulers.size > 0)![0];
		const other = owner === a ? b : a;
		for (let i = 0; i < 12; i++) {
			cluster.request(other, `r${i}`, {requestClass: 'training'});
		}

		expect(cluster.opened.length).toBe(8);
		cluster.daemons.delete(owner);
		cluster.run(5000);
		expect(cluster.opened.length).toBe(8);
		const scheduler = [...cluster.daemons.get(other)!.schedulers.values()][0]!;
		expect(scheduler.running.size).toBe(8);
		expect(scheduler.queue.attempts.size).toBe(4);
	});
});

describe('a member with a cap', () => {
	it('is refused over its cap before anything runs, with a time after which it is admitted', () => {
		const cluster = create();
		cluster.run(4000);
		for (let i = 0; i < 20; i++) {
			cluster.request(i % 2 === 0 ? a : b, `r${i}`, {member: id<MemberId>('capped')});
		}

		// Half of the cap belongs to this data centre. That allows a burst of 100 tokens, at 20 for each request.
		const started = new Set(cluster.opened.map(({attempt}) => attempt)).size;
		expect(started).toBeLessThanOrEqual(5);
		const refused = cluster.ended.filter(({kind}) => kind === 'fail');
		expect(refused.length).toBeGreaterThanOrEqual(15);
		expect(refused[0]).toMatchObject({cause: 'over-cap', sent: false, problem: {outcome: 'not-run'}});
		const [first] = refused as Array<Extract<DaemonAction, {kind: 'fail'}>>;
		cluster.run(Math.ceil(first!.problem.retryAfterMs! / tickMs) * tickMs);
		const before = cluster.ended.length;
		cluster.request(a, 'back', {member: id<MemberId>('capped'), fingerprint: first!.requestId as unknown as Fingerprint});
		expect(cluster.ended.slice(before)).toEqual([]);
	});
});
