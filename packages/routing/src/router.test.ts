import {sampleRequest} from '@cicadapost/stand-ins';
import type {
	AttemptId, DataCentreId, Request, RequestId, ShardId, UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import type {FailureCause} from './problems.js';
import {createRouter, type PoolDestinations} from './router-state.js';
import {decideRouting, type RouterAction, type RouterEvent} from './router.js';

const [u1, u2] = ['u1', 'u2'] as UpstreamId[];
const shard = 'home/model/0' as ShardId;
const away = 'away' as DataCentreId;
const home: PoolDestinations = {shards: [{shard, upstreams: [u1!, u2!]}], dataCentres: []};

const requestOf = (name: string, options: Partial<Request> = {}) => sampleRequest(name, {deadlineAt: 1_000_000, ...options});

class Bench {
	readonly actions: RouterAction[] = [];
	now = 0;
	readonly state = createRouter();

	post(event: RouterEvent): RouterAction[] {
		const {actions} = decideRouting(this.state, event, this.now);
		this.actions.push(...actions);
		return [...actions];
	}

	/** Starts a request and grants its first attempt. */
	start(name: string, options: Partial<Request> = {}, destinations = home): AttemptId {
		this.post({kind: 'request', request: requestOf(name, options), destinations});
		const attempt = `${name}.0` as AttemptId;
		this.post({kind: 'granted', attempt, upstream: u1!});
		return attempt;
	}

	/** Runs a request that generates `tokens` tokens, the first one after `firstTokenMs`. */
	run(name: string, firstTokenMs: number, tokens = 100): void {
		const attempt = this.start(name);
		this.now += firstTokenMs;
		this.chunk(attempt, tokens, 'x');
		this.finish(attempt, tokens);
	}

	chunk(attempt: AttemptId, tokens: number, text: string): RouterAction[] {
		return this.post({
			kind: 'chunk', attempt, chunk: {
				offset: 0, tokens, text, version: 1,
			},
		});
	}

	finish(attempt: AttemptId, tokens: number): void {
		this.post({
			kind: 'finished', attempt, tokens, status: 200, contentType: 'text/event-stream',
		});
	}

	fail(attempt: AttemptId, failure: FailureCause, sent: boolean): void {
		this.post({
			kind: 'failed', attempt, failure, sent,
		});
	}

	of<Kind extends RouterAction['kind']>(kind: Kind): Array<Extract<RouterAction, {kind: Kind}>> {
		return this.actions.filter(action => action.kind === kind) as Array<Extract<RouterAction, {kind: Kind}>>;
	}
}

describe('retries', () => {
	it('stay within the budget when each attempt fails, so that a fault does not multiply the load', () => {
		const bench = new Bench();
		const requests = 2000;
		for (let index = 0; index < requests; index++) {
			bench.post({kind: 'request', request: requestOf(`r${index}`), destinations: home});
			for (let attempt = 0; attempt < 6; attempt++) {
				const id = `r${index}.${attempt}` as AttemptId;
				bench.post({kind: 'granted', attempt: id, upstream: attempt % 2 === 0 ? u1! : u2!});
				bench.fail(id, 'upstream-died', true);
			}
		}

		expect(bench.of('fail')).toHaveLength(requests);
		// A tenth of the requests and the initial burst.
		expect(bench.of('open').length).toBeLessThanOrEqual((requests * 1.1) + 32);
	});

	it('are disabled by a budget of 0', () => {
		const bench = new Bench();
		bench.post({kind: 'policy', retryBudget: 0, hedgeBudget: 0});
		bench.fail(bench.start('r'), 'upstream-died', true);
		expect([bench.of('acquire').length, bench.of('fail').length]).toEqual([1, 1]);
	});

	it('get the time that is left until the deadline and avoid the upstream that failed', () => {
		const bench = new Bench();
		const attempt = bench.start('r', {deadlineAt: 1000});
		bench.now = 400;
		bench.fail(attempt, 'upstream-died', true);
		expect(bench.of('acquire').map(({acquire: {remainingMs, avoid}}) => [remainingMs, avoid])).toEqual([[1000, []], [600, ['u1']]]);
	});
});

describe('a shard that moves', () => {
	it('is tried again after a delay instead of in a loop, without using the retry budget', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf('r'), destinations: home});
		const actions = bench.post({
			kind: 'refused', attempt: 'r.0' as AttemptId, reason: 'not-owner', retryAfterMs: 200,
		});
		expect(actions.map(({kind}) => kind)).toEqual(['release']);
		bench.now = 200;
		expect(bench.post({kind: 'tick'}).map(({kind}) => kind)).toEqual(['acquire']);
	});
});

describe('another data centre', () => {
	const destinations: PoolDestinations = {...home, dataCentres: [{dataCentre: away, costMs: 90}]};

	function refused(bench: Bench, name: string, reason: 'overloaded' | 'no-upstream' | 'over-cap', options: Partial<Request> = {}): string[] {
		bench.post({kind: 'request', request: requestOf(name, options), destinations});
		return bench.post({
			kind: 'refused', attempt: `${name}.0` as AttemptId, reason, retryAfterMs: 500,
		}).map(({kind}) => kind);
	}

	it.each(['overloaded', 'no-upstream'] as const)('gets the request after a local "%s", without using the retry budget', reason => {
		const bench = new Bench();
		bench.post({kind: 'policy', retryBudget: 0, hedgeBudget: 0});
		expect(refused(bench, 'r', reason)).toEqual(['release', 'relay']);
	});

	it('does not get it while a local shard may serve it, because the link is billed by volume', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf('r'), destinations});
		bench.now = 10_000;
		bench.post({kind: 'tick'});
		expect(bench.of('relay')).toEqual([]);
	});

	it('does not get it when the cap is used up, because the cap applies in all data centres', () => {
		expect(refused(new Bench(), 'r', 'over-cap')).toEqual(['release', 'fail']);
	});

	it('does not get it when it could not answer in time', () => {
		expect(refused(new Bench(), 'r', 'overloaded', {deadlineAt: 80})).toEqual(['release', 'fail']);
	});

	it('gets no requests between a refusal and its Retry-After, so that refusals do not saturate the link', () => {
		const bench = new Bench();
		refused(bench, 'r', 'overloaded');
		bench.post({
			kind: 'failed', attempt: 'r.1' as AttemptId, failure: 'overloaded', sent: false, retryAfterMs: 500,
		});
		expect(refused(bench, 's', 'overloaded')).toEqual(['release', 'fail']);
		bench.now = 500;
		expect(refused(bench, 't', 'overloaded')).toEqual(['release', 'relay']);
	});

	it('gets a hedge when the wait for a local slot exceeds the cost of the link', () => {
		const bench = new Bench();
		for (let index = 0; index < 40; index++) {
			bench.run(`w${index}`, 50);
		}

		bench.post({kind: 'request', request: requestOf('r'), destinations});
		bench.now += 185;
		expect(bench.post({kind: 'tick'})).toEqual([]);
		bench.now += 10;
		expect(bench.post({kind: 'tick'}).map(({kind}) => kind)).toEqual(['relay']);
	});
});

describe('hedges', () => {
	function warm(): Bench {
		const bench = new Bench();
		for (let index = 0; index < 40; index++) {
			bench.run(`w${index}`, 50);
		}

		return bench;
	}

	function late(bench: Bench, options: Partial<Request> = {}, destinations = home): AttemptId {
		const attempt = bench.start('late', options, destinations);
		bench.now += 101;
		bench.post({kind: 'tick'});
		return attempt;
	}

	it('start on another upstream when the first token is late, and the loser is cancelled', () => {
		const bench = warm();
		const first = late(bench);
		const {acquire} = bench.of('acquire').at(-1)!;
		expect([acquire.attempt, acquire.avoid]).toEqual(['late.1', ['u1']]);
		bench.post({kind: 'granted', attempt: acquire.attempt, upstream: u2!});
		const actions = bench.chunk(acquire.attempt, 1, 'y');
		expect(actions.map(({kind}) => kind)).toEqual(['cancel', 'release', 'deliver']);
		expect(bench.chunk(first, 1, 'x')).toEqual([]);
	});

	it('go to another data centre when there is no other local upstream', () => {
		const bench = warm();
		late(bench, {}, {shards: [{shard, upstreams: [u1!]}], dataCentres: [{dataCentre: away, costMs: 90}]});
		expect(bench.of('relay').map(({dataCentre}) => dataCentre)).toEqual([away]);
	});

	it.each([['a non-idempotent request', {idempotent: false}], ['training', {requestClass: 'training' as const}]])('do not start for %s', (_name, options) => {
		const bench = warm();
		late(bench, options);
		expect(bench.state.requests.get('late' as RequestId)?.attempts).toHaveLength(1);
	});

	it('use at most 5% of the tokens when more requests are late than the budget covers', () => {
		const bench = new Bench();
		const promptTokens = 1000;
		const requests = 2000;
		for (let index = 0; index < requests; index++) {
			const attempt = bench.start(`r${index}`, {promptTokens});
			bench.now += index % 8 === 7 ? 500 : 50;
			bench.post({kind: 'tick'});
			// The cost of a hedge without a slot is refunded, so each hedge gets a slot.
			bench.post({kind: 'granted', attempt: `r${index}.1` as AttemptId, upstream: u2!});
			bench.chunk(attempt, 10, 'x');
			bench.finish(attempt, 10);
		}

		const hedges = bench.of('acquire').filter(({acquire}) => acquire.attempt.endsWith('.1')).length;
		const extraTokens = hedges * (promptTokens + 8);
		expect(hedges).toBeGreaterThan(80);
		expect(hedges).toBeLessThan(requests / 8);
		expect(extraTokens).toBeLessThanOrEqual(0.05 * requests * (promptTokens + 10));
	});

	it('are refunded when they are refused a slot', () => {
		const bench = warm();
		late(bench);
		const before = bench.state.hedges.available;
		bench.post({
			kind: 'refused', attempt: 'late.1' as AttemptId, reason: 'overloaded', retryAfterMs: 100,
		});
		expect(bench.state.hedges.available).toBe(before + 18);
		expect(bench.of('fail')).toEqual([]);
	});
});
