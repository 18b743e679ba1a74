import {retryAfterSeconds} from '@cicadapost/errors';
import type {PeerMessage, RequestId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {Bench, once, requestOf} from './bench.test-helper.js';

describe('a non-idempotent request', () => {
	describe('with its claim', () => {
		it('is opened only after the claim is stored, and carries the time until which it may be sent', () => {
			const bench = new Bench();
			bench.post({kind: 'request', request: requestOf(once)});
			expect(bench.opened).toEqual([]);
			bench.now = 1500;
			bench.store({kind: 'written', version: 1});
			expect(bench.opened.map(({notAfter}) => notAfter)).toEqual([2500]);
		});

		it('is refused as not-run at once when the store can not be reached', () => {
			const bench = new Bench();
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'unavailable'});
			bench.store({kind: 'unavailable'});
			expect([bench.failure.outcome, bench.opened.length]).toEqual(['not-run', 0]);
			expect(retryAfterSeconds(bench.failure.retryAfterMs!)).toBeGreaterThan(0);
		});

		it('is not sent by a daemon that was paused until after sendBy, and says so', () => {
			const bench = new Bench({home: ['u1']});
			bench.post({kind: 'request', request: requestOf(once)});
			bench.now = 12_000;
			bench.store({kind: 'written', version: 1});
			expect([bench.failure.outcome, bench.opened.length]).toEqual(['not-run', 0]);
		});

		it('records what it answered, and runs on without its caller', () => {
			const bench = new Bench();
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'written', version: 1});
			bench.post({kind: 'attempt-sent', attempt: bench.attempt});
			bench.post({kind: 'caller-left', requestId: 'r' as RequestId});
			expect(bench.of('cancel-attempt')).toEqual([]);
			bench.post({
				kind: 'attempt-chunk', attempt: bench.attempt, chunk: {
					offset: 0, tokens: 1, text: 'done', version: 0,
				},
			});
			bench.finishes(1, 201, 'text/plain');
			const row = bench.of('write-row').at(-1)!;
			expect([row.expectedVersion, JSON.parse(row.value)]).toMatchObject([1, {state: 'finished', status: 201, body: 'done'}]);
		});
	});

	describe('whose caller leaves before it was sent', () => {
		it('frees its key, or a repeat would get "unknown" for ever and the daemon could not shut down', () => {
			const bench = new Bench();
			bench.becomeClient();
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'written', version: 1});
			bench.post({kind: 'caller-left', requestId: 'r' as RequestId});
			const row = bench.of('write-row').at(-1)!;
			expect([row.expectedVersion, JSON.parse(row.value)]).toMatchObject([1, {state: 'not-run'}]);
			bench.store({kind: 'written', version: 2});
			bench.post({kind: 'shut-down'});
			expect(bench.of('stopped')).toHaveLength(1);
		});
	});

	describe('with a failed attempt', () => {
		const failures = ['silent', 'upstream-died', 'server-error'] as const;

		it.each(failures)('is not sent a second time after "%s", and ends as unknown without Retry-After', failure => {
			const bench = new Bench();
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'written', version: 1});
			bench.post({kind: 'attempt-sent', attempt: bench.attempt});
			bench.fails(failure, true);
			expect([bench.opened.length, bench.failure.outcome, bench.failure.retryAfterMs]).toEqual([1, 'unknown', undefined]);
		});

		it('is sent to another upstream when the first refused the connection, since no byte left', () => {
			const bench = new Bench();
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'written', version: 1});
			bench.fails('unreachable', false);
			expect(new Set(bench.opened.map(({upstream}) => upstream)).size).toBe(2);
		});
	});

	describe('with a repeated grant', () => {
		it('is opened once, since the second grant would run it again', () => {
			const bench = new Bench();
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'written', version: 1});
			const {attempt, upstream} = bench.opened[0]!;
			bench.message({kind: 'grant', attempt, upstream});
			expect(bench.opened).toHaveLength(1);
		});
	});

	describe('relayed to this daemon', () => {
		const relay: PeerMessage = {
			kind: 'relay', attempt: 'a.0' as never, request: requestOf(once), payload: requestOf().payload, remainingMs: 5000, sendWithinMs: 2000, resumeFrom: 0, mixedVersions: false,
		};

		it('runs once when the frame comes twice, also after it has ended', () => {
			const bench = new Bench();
			bench.message(relay);
			bench.message(relay);
			bench.fails('upstream-died', true);
			bench.message(relay);
			expect(bench.opened.map(({notAfter}) => notAfter)).toEqual([2000]);
			expect(bench.sent('relay-failed').map(({sent}) => sent)).toEqual([true]);
		});

		it('does not run when its cancel came first', () => {
			const bench = new Bench();
			bench.message({kind: 'cancel-relay', attempt: 'a.0' as never});
			bench.message(relay);
			expect(bench.opened).toEqual([]);
		});
	});
});

describe('the outcome that a caller is told', () => {
	const cases = ['open', 'sent'] as const;

	it.each(cases)('is unknown at the deadline when the attempt was in state "%s", since a byte may have left', state => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf()});
		if (state === 'sent') {
			bench.post({kind: 'attempt-sent', attempt: bench.attempt});
		}

		bench.now = 30_000;
		bench.post({kind: 'tick'});
		expect([bench.failure.kind, bench.failure.outcome]).toEqual(['deadline-passed', 'unknown']);
		expect(bench.of('cancel-attempt')).toHaveLength(1);
	});

	it('is not-run when each upstream refused the connection', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf()});
		for (let index = 0; index < 2; index++) {
			bench.fails('unreachable', false);
		}

		expect([bench.failure.outcome, bench.failure.retryAfterMs !== undefined]).toEqual(['not-run', true]);
	});

	it('stays unknown when a later attempt was not sent', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf()});
		bench.fails('upstream-died', true);
		bench.fails('unreachable', false);
		expect(bench.failure.outcome).toBe('unknown');
	});

	describe('of a relay', () => {
		const upstreams = {home: [], away: ['v1']};

		it('is not-run when the relay was never handed to a connection', () => {
			const bench = new Bench(upstreams);
			bench.post({kind: 'request', request: requestOf()});
			bench.post({kind: 'message-unsent', to: 'away-1' as never, message: bench.sent('relay')[0]!});
			expect(bench.failure.outcome).toBe('not-run');
		});

		it('is unknown when its daemon is lost', () => {
			const bench = new Bench(upstreams);
			bench.post({kind: 'request', request: requestOf()});
			bench.now += 3100;
			bench.post({kind: 'tick'});
			expect(bench.failure.outcome).toBe('unknown');
		});

		it('is unknown at once for a non-idempotent request whose relay is silent', () => {
			const bench = new Bench(upstreams);
			bench.post({kind: 'request', request: requestOf(once)});
			bench.store({kind: 'written', version: 1});
			bench.now += 2000;
			bench.heartbeat();
			bench.post({kind: 'tick'});
			expect(bench.failure.outcome).toBe('unknown');
			expect([bench.sent('relay').length, bench.sent('cancel-relay').length]).toEqual([1, 1]);
		});

		it('is what the other daemon reports', () => {
			const bench = new Bench(upstreams);
			bench.post({kind: 'request', request: requestOf()});
			bench.message({
				kind: 'relay-failed', attempt: bench.sent('relay')[0]!.attempt, failure: 'overloaded', sent: false, retryAfterMs: 3000,
			});
			expect([bench.failure.outcome, bench.failure.retryAfterMs]).toEqual(['not-run', 3000]);
		});
	});
});

describe('a request with an Idempotency-Key', () => {
	it('is not run beside another one with the same key', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf({idempotencyKey: 'k'})});
		bench.post({kind: 'request', request: requestOf({idempotencyKey: 'k', requestId: 'r2' as RequestId})});
		expect([bench.opened.length, bench.failure.status]).toEqual([1, 409]);
	});
});

describe('bad input that only the configuration or the history shows', () => {
	it.each(['nothing', 'constructor'])('names the field of the unknown pool "%s" and starts nothing', pool => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf({pool: pool as never, idempotencyKey: 'k'})});
		expect([bench.failure.status, bench.failure.field, bench.failure.outcome, bench.opened.length]).toEqual([404, 'model', 'not-run', 0]);
		// The key has not been used up.
		bench.post({kind: 'request', request: requestOf({bodyHash: 'other', idempotencyKey: 'k'})});
		expect(bench.opened).toHaveLength(1);
	});

	it('refuses a non-idempotent request without a key, since all of those would share one row', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf({idempotent: false})});
		expect([bench.failure.status, bench.failure.field, bench.of('write-row').length]).toEqual([400, 'Idempotency-Key', 0]);
	});

	it('names the key that was used with another body and starts nothing', () => {
		const bench = new Bench();
		bench.post({kind: 'request', request: requestOf({idempotencyKey: 'k'})});
		bench.post({kind: 'request', request: requestOf({idempotencyKey: 'k', bodyHash: 'other', requestId: 'r2' as RequestId})});
		expect([bench.failure.status, bench.failure.field, bench.failure.outcome, bench.opened.length]).toEqual([409, 'Idempotency-Key', 'not-run', 1]);
	});
});

describe('a grant for an attempt that has ended', () => {
	it('is released at its owner, or the slot stays taken', () => {
		const bench = new Bench();
		bench.message({kind: 'grant', attempt: 'old.0' as never, upstream: 'u1' as never});
		expect(bench.sent('release')).toMatchObject([{attempt: 'old.0', shard: 'home/model/0', result: 'cancelled'}]);
	});
});
