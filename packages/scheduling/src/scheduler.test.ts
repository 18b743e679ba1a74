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

type RequestSpec = Readonly<{
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

type Job = {spec: RequestSpec; upstream: string; startedAt: number; firstAt: number; done: number};

const attemptOf = (name: string) => id<AttemptId>(name);

function acquireOf(spec: RequestSpec): Acquire {
	return {
		kind: 'acquire',
		attempt: attemptOf(spec.name),
		shard,
		remainingMs: spec.remainingMs ?? 60_000,
		avoid: (spec.avoid ?? []).map(name => id<UpstreamId>(name)),
		request: {
			requestId: id<RequestId>(spec.name),
			member: id<MemberId>(spec.member ?? 'm'),
			requestClass: spec.requestClass ?? 'live',
			pool: id<PoolId>('pool'),
			promptTokens: 0,
			maxTokens: spec.maxTokens ?? spec.tokens ?? 20,
			idempotent: spec.idempotent ?? true,
			fingerprint: id<Fingerprint>(spec.fingerprint ?? spec.name),
			prefixKey: spec.prefixKey ?? '',
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

/** Simulates a shard of engines in virtual time. A step of an engine takes `stepMs` plus `stepMsPerSequence` per running request. */
class Bench {
	now = 0;
	readonly state: SchedulerState;
	readonly jobs = new Map<string, Job>();
	readonly specs = new Map<string, RequestSpec>();
	readonly sentAt = new Map<string, number>();
	readonly refused: Array<{name: string; reason: string; retryAfterMs: number; at: number}> = [];
	readonly granted: Array<{name: string; upstream: string; at: number}> = [];
	readonly finished: Array<{name: string; at: number; startedAt: number}> = [];
	readonly shared: SchedulerAction[] = [];
	readonly slowness = new Map<string, number>();
	readonly dead = new Set<string>();
	readonly poisons = new Set<string>();
	readonly lost: string[] = [];
	/** Tokens of finished requests by member. */
	readonly tokensOf = new Map<string, number>();
	/** Generated tokens by member, including those of running requests. */
	readonly generatedOf = new Map<string, number>();

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

	sendRequest(spec: RequestSpec): void {
		this.specs.set(spec.name, spec);
		this.sentAt.set(spec.name, this.now);
		this.send({kind: 'acquire', from: entry, acquire: acquireOf(spec)});
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
		const spec = this.specs.get(name)!;
		this.granted.push({name, upstream, at: this.now});
		this.jobs.set(name, {
			spec, upstream, startedAt: this.now, firstAt: 0, done: 0,
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
		const poisoned = jobs.some(([, job]) => this.poisons.has(job.spec.fingerprint ?? job.spec.name));
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
			const member = job.spec.member ?? 'm';
			job.done += 1 / stepMs;
			this.generatedOf.set(member, (this.generatedOf.get(member) ?? 0) + (1 / stepMs));
			job.firstAt = job.firstAt === 0 && job.done >= 1 ? this.now : job.firstAt;
			if (job.done >= (job.spec.tokens ?? 20)) {
				this.tokensOf.set(member, (this.tokensOf.get(member) ?? 0) + (job.spec.tokens ?? 20));
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

/** Returns a function that keeps `depth` requests of a member waiting or running, each up to `spread` tokens longer than specified. */
function maintainLoad(bench: Bench, spec: Omit<RequestSpec, 'name'> & {member: string}, depth: number, spread = 0): () => void {
	let count = 0;
	const open = new Set<string>();
	return () => {
		for (const name of open) {
			if (!bench.jobs.has(name) && !bench.state.queue.attempts.has(attemptOf(name))) {
				open.delete(name);
			}
		}

		while (open.size < depth) {
			const name = `${spec.member}-${spec.requestClass ?? 'live'}-${count++}`;
			open.add(name);
			bench.sendRequest({...spec, name, tokens: (spec.tokens ?? 20) + (spread === 0 ? 0 : (count * 37) % spread)});
		}
	};
}

describe('fair queue', () => {
	describe('with members that always wait', () => {
		it('shares tokens by weight, so that neither short requests nor many requests gain a share', () => {
			const bench = new Bench(['u1', 'u2'], {weights: {a: 5, b: 3, c: 2}});
			const topUps = [
				maintainLoad(bench, {member: 'a', tokens: 40}, 20), maintainLoad(bench, {member: 'b', tokens: 10}, 20), maintainLoad(bench, {member: 'c', tokens: 20}, 60),
			];
			bench.run(20_000, () => {
				for (const topUp of topUps) {
					topUp();
				}
			});
			const total = [...bench.tokensOf.values()].reduce((sum, tokens) => sum + tokens, 0);
			for (const [member, share] of [['a', 0.5], ['b', 0.3], ['c', 0.2]] as const) {
				expect(bench.tokensOf.get(member)! / total).toBeCloseTo(share, 1.6);
			}
		});
	});

	describe('with a member that overstates its tokens', () => {
		it('corrects the charge to the tokens that were generated', () => {
			const bench = new Bench(['u1', 'u2'], {weights: {a: 1, b: 1}});
			const topUps = [maintainLoad(bench, {member: 'a', tokens: 20, maxTokens: 400}, 20), maintainLoad(bench, {member: 'b', tokens: 20}, 20)];
			const topUpAll = () => {
				for (const topUp of topUps) {
					topUp();
				}
			};

			bench.run(2000, topUpAll);
			bench.tokensOf.clear();
			bench.run(10_000, topUpAll);
			expect(bench.tokensOf.get('a')! / bench.tokensOf.get('b')!).toBeCloseTo(1, 1);
		});
	});

	describe('with requests that take half as long as the period over which shares are measured', () => {
		it('keeps each share of the generated tokens in every 10 s, although tokens are charged at the grant', () => {
			const shares = {a: 0.5, b: 0.3, c: 0.2};
			const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 16, weights: shares});
			const topUps = Object.keys(shares).map(member => maintainLoad(bench, {member, tokens: 200, maxTokens: 800}, 80, 600));
			const topUpAll = () => {
				for (const topUp of topUps) {
					topUp();
				}
			};

			bench.run(20_000, topUpAll);
			for (const _ of [1, 2]) {
				bench.generatedOf.clear();
				bench.run(10_000, topUpAll);
				const total = [...bench.generatedOf.values()].reduce((sum, tokens) => sum + tokens, 0);
				for (const [member, share] of Object.entries(shares)) {
					expect(Math.abs((bench.generatedOf.get(member)! / total / share) - 1)).toBeLessThan(0.08);
				}
			}
		});
	});

	describe('with live and training requests', () => {
		it('grants live requests first and reserves the floor for training', () => {
			const bench = new Bench(['u1'], {weights: {m: 1}});
			const topUps = [maintainLoad(bench, {member: 'm', tokens: 20}, 20), maintainLoad(bench, {member: 'm', requestClass: 'training', tokens: 20}, 20)];
			bench.run(20_000, () => {
				for (const topUp of topUps) {
					topUp();
				}
			});
			const training = bench.finished.filter(({name}) => name.includes('training')).length / bench.finished.length;
			expect(training).toBeGreaterThan(0.18);
			expect(training).toBeLessThan(0.23);
		});
	});

	describe('with training requests that keep all slots busy', () => {
		it('starts live requests without waiting for a training request to end', () => {
			const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 16});
			const topUpTraining = maintainLoad(bench, {
				member: 't', requestClass: 'training', tokens: 100, maxTokens: 300,
			}, 100, 200);
			let count = 0;
			bench.run(20_000, () => {
				topUpTraining();
				if (bench.now % 50 === 0) {
					bench.sendRequest({name: `live-${count++}`, member: 'l', tokens: 20});
				}
			});
			const waits = bench.granted.filter(({name, at}) => name.startsWith('live') && at > 5000)
				.map(({name, at}) => at - bench.sentAt.get(name)!)
				.toSorted((a, b) => a - b);
			expect(waits[Math.floor(waits.length * 0.99)]).toBeLessThan(10);
			expect(bench.jobs.size).toBeGreaterThan(58);
		});
	});

	describe('with a member that has received more than its share through the training floor', () => {
		it('does not penalize it when another member starts to train', () => {
			const bench = new Bench(['u1', 'u2'], {window: 16, weights: {a: 9, b: 1, c: 1}});
			const topUps = [maintainLoad(bench, {member: 'a', tokens: 20}, 60), maintainLoad(bench, {member: 'b', requestClass: 'training', tokens: 20}, 60)];
			const topUpAll = () => {
				for (const topUp of topUps) {
					topUp();
				}
			};

			bench.run(10_000, topUpAll);
			topUps.push(maintainLoad(bench, {member: 'c', requestClass: 'training', tokens: 20}, 60));
			bench.tokensOf.clear();
			bench.run(10_000, topUpAll);
			expect(bench.tokensOf.get('b')! / bench.tokensOf.get('c')!).toBeGreaterThan(0.8);
			expect(bench.tokensOf.get('b')! / bench.tokensOf.get('c')!).toBeLessThan(1.25);
		});
	});

	describe('with a first request that may not run on the free upstream', () => {
		it('grants the next one, so that no slot remains idle', () => {
			const bench = new Bench(['u1', 'u2'], {window: 1});
			bench.sendRequest({name: 'long', tokens: 500});
			bench.sendRequest({name: 'short', tokens: 5});
			const other = bench.granted[0]!.upstream === 'u1' ? 'u2' : 'u1';
			bench.sendRequest({name: 'picky', avoid: [other]});
			bench.sendRequest({name: 'any'});
			bench.run(100);
			expect(bench.granted.map(({name}) => name)).toContain('any');
			expect(bench.granted.map(({name}) => name)).not.toContain('picky');
		});
	});
});

describe('windows', () => {
	it('grow while concurrency increases throughput and stop growing when it does not', () => {
		const grows = new Bench(['u1'], {
			window: 4, maxWindow: 64, stepMs: 20, stepMsPerSequence: 0.1,
		});
		const saturated = new Bench(['u1'], {
			window: 4, maxWindow: 64, stepMs: 2, stepMsPerSequence: 4,
		});
		for (const bench of [grows, saturated]) {
			const topUp = maintainLoad(bench, {member: 'm', tokens: 10}, 100);
			bench.run(20_000, topUp);
		}

		expect(grows.running('u1')).toBeGreaterThan(40);
		expect(saturated.running('u1')).toBeLessThan(12);
	});
});

describe('slow upstreams', () => {
	it('get only probes, even before the slowed requests have ended, and return when their probes are normal', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 4});
		const topUp = maintainLoad(bench, {member: 'm', tokens: 20}, 11);
		bench.run(3000, topUp);
		bench.slowness.set('u1', 10);
		bench.run(1000, topUp);
		expect(bench.state.upstreams.get(id<UpstreamId>('u1'))!.health.status).toBe('slow');
		bench.run(9000, topUp);
		const probes = bench.granted.filter(({upstream, at}) => upstream === 'u1' && at > 4000).length;
		expect(probes).toBeLessThan(8);
		bench.slowness.delete('u1');
		bench.run(4000, topUp);
		expect(bench.state.upstreams.get(id<UpstreamId>('u1'))!.health.status).toBe('up');
		expect(bench.running('u1')).toBeGreaterThan(1);
	});

	it('are not detected among equal upstreams when a few requests are much longer than the rest', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 4});
		let count = 0;
		let wasSlow = false;
		bench.run(60_000, () => {
			if (bench.now % 20 === 0) {
				count++;
				bench.sendRequest({name: `r${count}`, tokens: count % 20 === 0 ? 200 : 20, maxTokens: 400});
			}

			wasSlow ||= [...bench.state.upstreams.values()].some(({health}) => health.status === 'slow');
		});
		expect(wasSlow).toBe(false);
	});
});

describe('crashed upstreams', () => {
	it('are probed one request at a time with backoff and return after a success', () => {
		const bench = new Bench(['u1', 'u2']);
		const topUp = maintainLoad(bench, {member: 'm', tokens: 20}, 12);
		bench.run(1000, topUp);
		bench.dead.add('u1');
		bench.run(3000, topUp);
		const during = bench.granted.filter(({upstream, at}) => upstream === 'u1' && at > 1010);
		expect(during.length).toBeGreaterThan(0);
		expect(during.length).toBeLessThan(5);
		bench.dead.delete('u1');
		bench.run(5000, topUp);
		expect(bench.running('u1')).toBeGreaterThan(2);
	});

	it('are probed with a non-idempotent request if there is no other, so that the shard recovers', () => {
		const bench = new Bench(['u1']);
		bench.sendRequest({name: 'r1', idempotent: false, fingerprint: 'call-out'});
		bench.end('r1', 'upstream-died');
		bench.run(5000);
		bench.sendRequest({name: 'r2', idempotent: false, fingerprint: 'call-out'});
		bench.run(1000);
		expect(bench.granted.map(({name}) => name)).toEqual(['r1', 'r2']);
	});

	it('are not assumed when a connection has become silent', () => {
		const bench = new Bench(['u1', 'u2']);
		bench.sendRequest({name: 'r'});
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
			// The capacity is 40 requests per second: 8 slots, 200 ms per request.
			if (bench.now % Math.round(1000 / offeredPerSecond) === 0) {
				bench.sendRequest({name: `r${count++}`, tokens: 20, remainingMs: 2000});
			}

			while (seen < bench.refused.length) {
				const {name, at, retryAfterMs} = bench.refused[seen++]!;
				if (!name.includes('again')) {
					returns.push({at: at + retryAfterMs, name});
				}
			}

			for (const back of returns.filter(({at}) => at === bench.now)) {
				bench.sendRequest({
					name: `${back.name}-again`, fingerprint: back.name, tokens: 20, remainingMs: 2000,
				});
			}
		});
		return bench;
	};

	describe.each([80, 160])('with %i requests a second at a capacity of 40', offered => {
		const bench = overload(offered);

		it('refuses at once instead of close to the deadline', () => {
			const waits = bench.refused.map(({name, at}) => at - bench.sentAt.get(name)!);
			expect(waits.length).toBeGreaterThan(100);
			expect(waits.filter(wait => wait > 100).length / waits.length).toBeLessThan(0.02);
		});

		it('keeps goodput at capacity', () => {
			expect(bench.finished.filter(({at}) => at > 5000).length).toBeGreaterThan(0.95 * 40 * 25);
		});

		it('accepts 90% of the callers that retry at the time they were told', () => {
			const again = [...bench.specs.keys()].filter(name => name.includes('again'));
			const refusedAgain = bench.refused.filter(({name}) => name.includes('again'));
			expect(again.length).toBeGreaterThan(50);
			expect(refusedAgain.length / again.length).toBeLessThan(0.1);
		});
	});

	it('refuses a waiting request as soon as its deadline can no longer be met', () => {
		const bench = new Bench(['u1'], {window: 1});
		bench.sendRequest({name: 'first', tokens: 20});
		bench.run(250);
		bench.sendRequest({name: 'long', tokens: 400, maxTokens: 400});
		bench.sendRequest({name: 'late', tokens: 20, remainingMs: 2000});
		bench.run(1990);
		const refused = bench.refused.find(({name}) => name === 'late');
		expect(refused?.at).toBeLessThan(2150);
	});
});

describe('suspects', () => {
	it('crash at most three upstreams when a caller repeats its request, and are then refused at once', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4', 'u5', 'u6']);
		const topUp = maintainLoad(bench, {member: 'm', tokens: 20}, 20);
		bench.poisons.add('poison');
		let count = 0;
		bench.run(20_000, () => {
			topUp();
			const last = `poison-${count}`;
			const isOpen = bench.jobs.has(last) || bench.state.queue.attempts.has(attemptOf(last));
			if (!isOpen && bench.now % 10 === 0) {
				count++;
				bench.sendRequest({name: `poison-${count}`, fingerprint: 'poison', member: 'p'});
			}
		});
		expect(bench.lost.length).toBe(3);
		expect(bench.refused.at(-1)?.reason).toBe('blocked');
		expect(bench.refused.filter(({name, reason}) => !name.startsWith('poison') && reason === 'blocked')).toEqual([]);
	});

	it('are never samples of a training step, so that a burst of crashes does not block a sample that is still owed', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4', 'u5']);
		for (let crash = 0; crash < 4; crash++) {
			const name = `sample-${crash}`;
			bench.sendRequest({
				name, fingerprint: 'sample', requestClass: 'training', tokens: 100,
			});
			bench.run(20);
			const grant = bench.granted.find(granted => granted.name === name);
			expect(grant).toBeDefined();
			bench.dead.add(grant!.upstream);
			bench.run(20);
		}

		bench.sendRequest({
			name: 'sample-again', fingerprint: 'sample', requestClass: 'training', tokens: 100,
		});
		bench.run(10_000);
		expect(bench.refused).toEqual([]);
		expect(bench.finished.map(({name}) => name)).toEqual(['sample-again']);
	});

	it('run on at most two upstreams at a time while unproven', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4']);
		for (let i = 0; i < 16; i++) {
			bench.sendRequest({name: `same-${i}`, fingerprint: 'same', tokens: 20});
		}

		expect(new Set(bench.granted.map(({upstream}) => upstream)).size).toBe(2);
		bench.run(1000);
		expect(bench.finished.length).toBe(16);
	});

	it('never share an upstream with another suspect', () => {
		const bench = new Bench(['u1', 'u2', 'u3'], {window: 4});
		for (let i = 0; i < 12; i++) {
			bench.sendRequest({name: `r${i}`, tokens: 100});
		}

		bench.run(50);
		const {upstream} = bench.granted[0]!;
		const suspects = bench.granted.filter(grant => grant.upstream === upstream).map(({name}) => name);
		bench.dead.add(upstream);
		bench.run(15);
		for (const name of suspects) {
			bench.sendRequest({name: `${name}-again`, fingerprint: name, tokens: 20});
		}

		bench.run(6000, () => {
			const running = [...bench.jobs.values()].filter(job => suspects.includes(job.spec.fingerprint ?? ''));
			expect(new Set(running.map(job => job.upstream)).size).toBe(running.length);
		});
		expect(bench.finished.filter(({name}) => name.endsWith('again')).length).toBe(suspects.length);
	});
});

describe('daemon changes', () => {
	it('counts what an entry daemon reports as running, so that a new owner does not grant the same slots again', () => {
		const bench = new Bench(['u1'], {window: 2});
		const {request} = acquireOf({name: 'old'});
		bench.specs.set('old', {name: 'old'});
		bench.send({
			kind: 'running', from: entry, attempts: ['old-1', 'old-2'].map(name => ({
				attempt: attemptOf(name), upstream: id<UpstreamId>('u1'), request, elapsedMs: 10, remainingMs: 5000,
			})),
		});
		bench.sendRequest({name: 'new', requestClass: 'training'});
		expect(bench.granted).toEqual([]);
		bench.send({kind: 'daemon-lost', daemon: entry});
		expect(waitingCount(bench.state)).toBe(0);
		expect(bench.state.running.size).toBe(0);
	});

	it('gives no grant on a leaving upstream', () => {
		const bench = new Bench(['u1', 'u2']);
		bench.configure(['u1']);
		for (let i = 0; i < 8; i++) {
			bench.sendRequest({name: `r${i}`});
		}

		expect(new Set(bench.granted.map(({upstream}) => upstream))).toEqual(new Set(['u2']));
	});
});

describe('prefix affinity', () => {
	it('takes a request with a warm prefix before its turn while all slots are busy, and delays none for long', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 4});
		const perGroup = 16;
		for (let i = 0; i < 40 * perGroup; i++) {
			// Groups of 16 arrive four at a time, interleaved.
			const group = (Math.floor(i / (4 * perGroup)) * 4) + (i % 4);
			bench.sendRequest({
				name: `r${i}`, prefixKey: `p${group}`, requestClass: 'training', tokens: 10 + (i % 7), maxTokens: 20, remainingMs: 600_000,
			});
		}

		bench.run(20_000);
		expect(bench.finished.length).toBe(40 * perGroup);
		const served = new Map<string, Set<string>>();
		let warm = 0;
		for (const [order, {name, upstream}] of bench.granted.entries()) {
			const {prefixKey} = bench.specs.get(name)!;
			const upstreams = served.get(prefixKey!) ?? new Set();
			served.set(prefixKey!, upstreams);
			warm += upstreams.has(upstream) ? 1 : 0;
			upstreams.add(upstream);
			expect(Math.abs(order - Number(name.slice(1)))).toBeLessThan(100);
		}

		// The first request of each group can't hit a cache on any upstream.
		expect(warm / (40 * (perGroup - 1))).toBeGreaterThan(0.9);
	});

	it('sends requests with one prefix to the upstream that served it, although others have free slots', () => {
		const bench = new Bench(['u1', 'u2', 'u3', 'u4'], {window: 8});
		for (let i = 0; i < 30; i++) {
			bench.sendRequest({name: `r${i}`, prefixKey: `p${i % 3}`, tokens: 10});
			bench.run(60);
		}

		const upstreamsOf = (prefix: number) => new Set(bench.granted.filter(({name}) => Number(name.slice(1)) % 3 === prefix).map(({upstream}) => upstream));
		expect([0, 1, 2].map(prefix => upstreamsOf(prefix).size)).toEqual([1, 1, 1]);
	});
});
