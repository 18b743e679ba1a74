import {
	id, type Acquire, type AttemptId, type DaemonId, type Fingerprint, type MemberId, type PoolId, type Release, type RequestClass, type RequestId, type ShardId, type UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import type {SchedulerAction, SchedulerEvent, ShardUpstream} from './events.js';
import {decideScheduling} from './scheduler.js';
import {createScheduler, waitingCount, type SchedulerState} from './scheduler-state.js';

const entry = id<DaemonId>('entry-1');
const shard = id<ShardId>('dc/pool/0');
const tickMs = 50;

type Asked = Readonly<{
	name: string;
	member?: string;
	requestClass?: RequestClass;
	tokens?: number;
	maxTokens?: number;
	remainingMs?: number;
	fingerprint?: string;
	prefixKey?: string;
	avoid?: readonly string[];
	idempotent?: boolean;
}>;

type Job = {asked: Asked; upstream: string; startedAt: number; firstAt: number; done: number};

const attemptOf = (name: string) => id<AttemptId>(name);

function acquireOf(asked: Asked): Acquire {
	return {
		kind: 'acquire',
		attempt: attemptOf(asked.name),
		shard,
		remainingMs: asked.remainingMs ?? 60_000,
		avoid: (asked.avoid ?? []).map(name => id<UpstreamId>(name)),
		request: {
			requestId: id<RequestId>(asked.name),
			member: id<MemberId>(asked.member ?? 'm'),
			requestClass: asked.requestClass ?? 'live',
			pool: id<PoolId>('pool'),
			promptTokens: 0,
			maxTokens: asked.maxTokens ?? asked.tokens ?? 20,
			idempotent: asked.idempotent ?? true,
			fingerprint: id<Fingerprint>(asked.fingerprint ?? asked.name),
			prefixKey: asked.prefixKey ?? '',
		},
	};
}

type BenchOptions = Readonly<{
	window?: number;
	maxWindow?: number;
	weights?: Record<string, number>;
	stepMs?: number;
	stepMsPerSequence?: number;
	trainingFloor?: number;
}>;

/** A shard of fake engines in virtual time: a step takes `stepMs` plus `stepMsPerSequence` for each running request. */
class Bench {
	now = 0;
	readonly state: SchedulerState;
	readonly jobs = new Map<string, Job>();
	readonly asked = new Map<string, Asked>();
	readonly askedAt = new Map<string, number>();
	readonly refused: Array<{name: string; reason: string; retryAfterMs: number; at: number}> = [];
	readonly granted: Array<{name: string; upstream: string; at: number}> = [];
	readonly finished: Array<{name: string; at: number; startedAt: number}> = [];
	readonly shared: SchedulerAction[] = [];
	readonly slowness = new Map<string, number>();
	readonly dead = new Set<string>();
	readonly poisons = new Set<string>();
	readonly lost: string[] = [];
	tokensOf = new Map<string, number>();

	constructor(readonly upstreams: readonly string[], readonly options: BenchOptions = {}) {
		this.state = createScheduler();
		this.configure();
	}

	configure(leaving: readonly string[] = []): void {
		const window = this.options.window ?? 4;
		const upstreams = this.upstreams.map((name): ShardUpstream => ({
			upstream: id<UpstreamId>(name), leaving: leaving.includes(name), initialWindow: window, maxWindow: this.options.maxWindow ?? window,
		}));
		const weights = new Map(Object.entries(this.options.weights ?? {}).map(([name, weight]) => [id<MemberId>(name), weight]));
		this.send({
			kind: 'upstreams-changed', upstreams, weights, trainingFloor: this.options.trainingFloor ?? 0.2,
		});
	}

	ask(asked: Asked): void {
		this.asked.set(asked.name, asked);
		this.askedAt.set(asked.name, this.now);
		this.send({kind: 'acquire', from: entry, acquire: acquireOf(asked)});
	}

	send(event: SchedulerEvent): void {
		for (const action of decideScheduling(this.state, event, this.now).actions) {
			if (action.kind === 'grant') {
				this.start(action.attempt, action.upstream);
			} else if (action.kind === 'refuse') {
				this.refused.push({
					name: action.attempt, reason: action.reason, retryAfterMs: action.retryAfterMs, at: this.now,
				});
			} else {
				this.shared.push(action);
			}
		}
	}

	start(name: string, upstream: string): void {
		const asked = this.asked.get(name)!;
		this.granted.push({name, upstream, at: this.now});
		this.jobs.set(name, {
			asked, upstream, startedAt: this.now, firstAt: 0, done: 0,
		});
	}

	end(name: string, result: Release['result']): void {
		const job = this.jobs.get(name)!;
		this.jobs.delete(name);
		this.send({
			kind: 'release', release: {
				kind: 'release',
				attempt: attemptOf(name),
				shard,
				result,
				tokens: Math.floor(job.done),
				...(job.firstAt > 0 ? {firstTokenMs: job.firstAt - job.startedAt} : {}),
				generationMs: job.firstAt > 0 ? this.now - job.firstAt : 0,
			},
		});
	}

	/** Advances the engines by one millisecond. */
	step(): void {
		this.now++;
		if (this.now % tickMs === 0) {
			this.send({kind: 'tick'});
		}

		for (const upstream of this.upstreams) {
			this.stepEngine(upstream);
		}
	}

	stepEngine(upstream: string): void {
		const jobs = [...this.jobs].filter(([, job]) => job.upstream === upstream);
		const poisoned = jobs.some(([, job]) => this.poisons.has(job.asked.fingerprint ?? job.asked.name));
		if (poisoned || this.dead.has(upstream)) {
			if (poisoned) {
				this.lost.push(upstream);
			}

			for (const [name, job] of jobs) {
				this.end(name, this.dead.has(upstream) && job.done === 0 ? 'unreachable' : 'upstream-died');
			}

			return;
		}

		const stepMs = ((this.options.stepMs ?? 10) + ((this.options.stepMsPerSequence ?? 0) * jobs.length)) * (this.slowness.get(upstream) ?? 1);
		for (const [name, job] of jobs) {
			job.done += 1 / stepMs;
			job.firstAt = job.firstAt === 0 && job.done >= 1 ? this.now : job.firstAt;
			if (job.done >= (job.asked.tokens ?? 20)) {
				const member = job.asked.member ?? 'm';
				this.tokensOf.set(member, (this.tokensOf.get(member) ?? 0) + (job.asked.tokens ?? 20));
				this.finished.push({name, at: this.now, startedAt: job.startedAt});
				this.end(name, 'finished');
			}
		}
	}

	run(ms: number, each: (bench: Bench) => void = () => undefined): void {
		for (const until = this.now + ms; this.now < until;) {
			this.step();
			each(this);
		}
	}

	running(upstream: string): number {
		return [...this.jobs.values()].filter(job => job.upstream === upstream).length;
	}
}

/** Keeps `depth` requests of a member waiting or running. */
function keepAsking(bench: Bench, asked: Omit<Asked, 'name'> & {member: string}, depth: number): () => void {
	let count = 0;
	const open = new Set<string>();
	return () => {
		for (const name of open) {
			if (!bench.jobs.has(name) && !bench.state.queue.attempts.has(attemptOf(name))) {
				open.delete(name);
			}
		}

		while (open.size < depth) {
			const name = `${asked.member}-${asked.requestClass ?? 'live'}-${count++}`;
			open.add(name);
			bench.ask({...asked, name});
		}
	};
}

describe('fair queue', () => {
	describe('with members that always wait', () => {
		it('shares tokens by weight, so that neither short requests nor many requests gain a share', () => {
			const bench = new Bench(['u1', 'u2'], {weights: {a: 5, b: 3, c: 2}});
			const asks = [
				keepAsking(bench, {member: 'a', tokens: 40}, 20), keepAsking(bench, {member: 'b', tokens: 10}, 20), keepAsking(bench, {member: 'c', tokens: 20}, 60),
			];
			bench.run(20_000, () => {
				for (const ask of asks) {
					ask();
				}
			});
			const total = [...bench.tokensOf.values()].reduce((sum, tokens) => sum + tokens, 0);
			for (const [member, share] of [['a', 0.5], ['b', 0.3], ['c', 0.2]] as const) {
				expect(bench.tokensOf.get(member)! / total).toBeCloseTo(share, 1.6);
			}
		});
	});

	describe('with a member that overstates its tokens', () => {
		it('corrects the charge by the real tokens', () => {
			const bench = new Bench(['u1', 'u2'], {weights: {a: 1, b: 1}});
			const asks = [keepAsking(bench, {member: 'a', tokens: 20, maxTokens: 400}, 20), keepAsking(bench, {member: 'b', tokens: 20}, 20)];
			const askAll = () => {
				for (const ask of asks) {
					ask();
				}
			};

			bench.run(2000, askAll);
			bench.tokensOf.clear();
			bench.run(10_000, askAll);
			expect(bench.tokensOf.get('a')! / bench.tokensOf.get('b')!).toBeCloseTo(1, 1);
		});
	});

	describe('with live and training requests', () => {
		it('grants live requests first and leaves training its floor', () => {
			const bench = new Bench(['u1'], {weights: {m: 1}});
			const asks = [keepAsking(bench, {member: 'm', tokens: 20}, 20), keepAsking(bench, {member: 'm', requestClass: 'training', tokens: 20}, 20)];
			bench.run(20_000, () => {
				for (const ask of asks) {
					ask();
				}
			});
			const training = bench.finished.filter(({name}) => name.includes('training')).length / bench.finished.length;
			expect(training).toBeGreaterThan(0.18);
			expect(training).toBeLessThan(0.23);
		});
	});

	describe('with a first request that may not run on the free upstream', () => {
		it('grants the next one, so that no slot stays idle', () => {
			const bench = new Bench(['u1', 'u2'], {window: 1});
			bench.ask({name: 'long', tokens: 500});
			bench.ask({name: 'short', tokens: 5});
			const other = bench.granted[0]!.upstream === 'u1' ? 'u2' : 'u1';
			bench.ask({name: 'picky', avoid: [other]});
			bench.ask({name: 'any'});
			bench.run(100);
			expect(bench.granted.map(({name}) => name)).toContain('any');
			expect(bench.granted.map(({name}) => name)).not.toContain('picky');
		});
	});
});

describe('windows', () => {
	it('grow while throughput gains from concurrency and stop where it does not', () => {
		const grows = new Bench(['u1'], {
			window: 4, maxWindow: 64, stepMs: 20, stepMsPerSequence: 0.1,
		});
		const saturated = new Bench(['u1'], {
			window: 4, maxWindow: 64, stepMs: 2, stepMsPerSequence: 4,
		});
		for (const bench of [grows, saturated]) {
			const ask = keepAsking(bench, {member: 'm', tokens: 10}, 100);
			bench.run(20_000, ask);
		}

		expect(grows.running('u1')).toBeGreaterThan(40);
		expect(saturated.running('u1')).toBeLessThan(12);
	});
});

describe('slow upstreams', () => {
	it('get probes only, before the slowed requests have ended, and return when their probes are normal', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 4});
		const ask = keepAsking(bench, {member: 'm', tokens: 20}, 11);
		bench.run(3000, ask);
		bench.slowness.set('u1', 10);
		bench.run(1000, ask);
		expect(bench.state.upstreams.get(id<UpstreamId>('u1'))!.health.status).toBe('slow');
		bench.run(9000, ask);
		const probes = bench.granted.filter(({upstream, at}) => upstream === 'u1' && at > 4000).length;
		expect(probes).toBeLessThan(8);
		bench.slowness.delete('u1');
		bench.run(4000, ask);
		expect(bench.state.upstreams.get(id<UpstreamId>('u1'))!.health.status).toBe('up');
		expect(bench.running('u1')).toBeGreaterThan(1);
	});

	it('are not found among equal upstreams when a few requests are much longer than the rest', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 4});
		let count = 0;
		let wasSlow = false;
		bench.run(60_000, () => {
			if (bench.now % 20 === 0) {
				count++;
				bench.ask({name: `r${count}`, tokens: count % 20 === 0 ? 200 : 20, maxTokens: 400});
			}

			wasSlow ||= [...bench.state.upstreams.values()].some(({health}) => health.status === 'slow');
		});
		expect(wasSlow).toBe(false);
	});
});

describe('dead upstreams', () => {
	it('are probed one request at a time after a back-off and return after a success', () => {
		const bench = new Bench(['u1', 'u2']);
		const ask = keepAsking(bench, {member: 'm', tokens: 20}, 12);
		bench.run(1000, ask);
		bench.dead.add('u1');
		bench.run(3000, ask);
		const during = bench.granted.filter(({upstream, at}) => upstream === 'u1' && at > 1010);
		expect(during.length).toBeGreaterThan(0);
		expect(during.length).toBeLessThan(5);
		bench.dead.delete('u1');
		bench.run(5000, ask);
		expect(bench.running('u1')).toBeGreaterThan(2);
	});

	it('return through a non-idempotent request where there is no other, or the shard would stay closed', () => {
		const bench = new Bench(['u1']);
		bench.ask({name: 'r1', idempotent: false, fingerprint: 'call-out'});
		bench.end('r1', 'upstream-died');
		bench.run(5000);
		bench.ask({name: 'r2', idempotent: false, fingerprint: 'call-out'});
		bench.run(1000);
		expect(bench.granted.map(({name}) => name)).toEqual(['r1', 'r2']);
	});

	it('are not assumed because a connection has gone silent', () => {
		const bench = new Bench(['u1', 'u2']);
		bench.ask({name: 'r'});
		const {upstream} = bench.granted[0]!;
		bench.end('r', 'silent');
		expect(bench.state.upstreams.get(id<UpstreamId>(upstream))!.health.status).toBe('up');
	});
});

describe('admission', () => {
	const overload = (offeredPerSecond: number) => {
		const bench = new Bench(['u1', 'u2']);
		const returns: Array<{at: number; name: string}> = [];
		let count = 0;
		let seen = 0;
		bench.run(30_000, () => {
			// Capacity is 40 requests a second: 8 slots of 200 ms.
			if (bench.now % Math.round(1000 / offeredPerSecond) === 0) {
				bench.ask({name: `r${count++}`, tokens: 20, remainingMs: 2000});
			}

			while (seen < bench.refused.length) {
				const {name, at, retryAfterMs} = bench.refused[seen++]!;
				if (!name.includes('again')) {
					returns.push({at: at + retryAfterMs, name});
				}
			}

			for (const back of returns.filter(({at}) => at === bench.now)) {
				bench.ask({
					name: `${back.name}-again`, fingerprint: back.name, tokens: 20, remainingMs: 2000,
				});
			}
		});
		return bench;
	};

	describe.each([80, 160])('with %i requests a second at a capacity of 40', offered => {
		const bench = overload(offered);

		it('refuses at once, so that no caller learns it near its deadline', () => {
			const waits = bench.refused.map(({name, at}) => at - bench.askedAt.get(name)!);
			expect(waits.length).toBeGreaterThan(100);
			expect(waits.filter(wait => wait > 100).length / waits.length).toBeLessThan(0.02);
		});

		it('keeps goodput at capacity', () => {
			expect(bench.finished.filter(({at}) => at > 5000).length).toBeGreaterThan(0.95 * 40 * 25);
		});

		it('accepts nine in ten of those who return when they were told to', () => {
			const again = [...bench.asked.keys()].filter(name => name.includes('again'));
			const refusedAgain = bench.refused.filter(({name}) => name.includes('again'));
			expect(again.length).toBeGreaterThan(50);
			expect(refusedAgain.length / again.length).toBeLessThan(0.1);
		});
	});

	it('refuses a waiting request as soon as its deadline can no longer be met', () => {
		const bench = new Bench(['u1'], {window: 1});
		bench.ask({name: 'first', tokens: 20});
		bench.run(250);
		bench.ask({name: 'long', tokens: 400, maxTokens: 400});
		bench.ask({name: 'late', tokens: 20, remainingMs: 2000});
		bench.run(1990);
		const refused = bench.refused.find(({name}) => name === 'late');
		expect(refused?.at).toBeLessThan(2150);
	});
});

describe('suspects', () => {
	it('lose at most three upstreams to one request that its caller repeats, and then refuse it at once', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4', 'u5', 'u6']);
		const ask = keepAsking(bench, {member: 'm', tokens: 20}, 20);
		bench.poisons.add('poison');
		let count = 0;
		bench.run(20_000, () => {
			ask();
			const last = `poison-${count}`;
			const isOpen = bench.jobs.has(last) || bench.state.queue.attempts.has(attemptOf(last));
			if (!isOpen && bench.now % 10 === 0) {
				count++;
				bench.ask({name: `poison-${count}`, fingerprint: 'poison', member: 'p'});
			}
		});
		expect(bench.lost.length).toBe(3);
		expect(bench.refused.at(-1)?.reason).toBe('blocked');
		expect(bench.refused.filter(({name, reason}) => !name.startsWith('poison') && reason === 'blocked')).toEqual([]);
	});

	it('run on at most two upstreams at a time while unproven', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4']);
		for (let i = 0; i < 16; i++) {
			bench.ask({name: `same-${i}`, fingerprint: 'same', tokens: 20});
		}

		expect(new Set(bench.granted.map(({upstream}) => upstream)).size).toBe(2);
		bench.run(1000);
		expect(bench.finished.length).toBe(16);
	});

	it('never share an upstream with another suspect', () => {
		const bench = new Bench(['u1', 'u2', 'u3'], {window: 4});
		for (let i = 0; i < 12; i++) {
			bench.ask({name: `r${i}`, tokens: 100});
		}

		bench.run(50);
		const {upstream} = bench.granted[0]!;
		const suspects = bench.granted.filter(grant => grant.upstream === upstream).map(({name}) => name);
		bench.dead.add(upstream);
		bench.run(15);
		for (const name of suspects) {
			bench.ask({name: `${name}-again`, fingerprint: name, tokens: 20});
		}

		bench.run(6000, () => {
			const running = [...bench.jobs.values()].filter(job => suspects.includes(job.asked.fingerprint ?? ''));
			expect(new Set(running.map(job => job.upstream)).size).toBe(running.length);
		});
		expect(bench.finished.filter(({name}) => name.endsWith('again')).length).toBe(suspects.length);
	});
});

describe('changes of daemons', () => {
	it('counts what an entry daemon reports as running, so that a new owner does not grant the same slots again', () => {
		const bench = new Bench(['u1'], {window: 2});
		const {request} = acquireOf({name: 'old'});
		bench.asked.set('old', {name: 'old'});
		bench.send({
			kind: 'running', from: entry, attempts: ['old-1', 'old-2'].map(name => ({
				attempt: attemptOf(name), upstream: id<UpstreamId>('u1'), request, elapsedMs: 10, remainingMs: 5000,
			})),
		});
		bench.ask({name: 'new', requestClass: 'training'});
		expect(bench.granted).toEqual([]);
		bench.send({kind: 'daemon-lost', daemon: entry});
		expect(waitingCount(bench.state)).toBe(0);
		expect(bench.state.running.size).toBe(0);
	});

	it('gives no grant on a leaving upstream', () => {
		const bench = new Bench(['u1', 'u2']);
		bench.configure(['u1']);
		for (let i = 0; i < 8; i++) {
			bench.ask({name: `r${i}`});
		}

		expect(new Set(bench.granted.map(({upstream}) => upstream))).toEqual(new Set(['u2']));
	});
});

describe('prefix affinity', () => {
	it('sends requests with one prefix to the upstream that served it, while others have room too', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 8});
		for (let i = 0; i < 30; i++) {
			bench.ask({name: `r${i}`, prefixKey: `p${i % 3}`, tokens: 10});
			bench.run(60);
		}

		const upstreamsOf = (prefix: number) => new Set(bench.granted.filter(({name}) => Number(name.slice(1)) % 3 === prefix).map(({upstream}) => upstream));
		expect([0, 1, 2].map(prefix => upstreamsOf(prefix).size)).toEqual([1, 1, 1]);
	});
});
