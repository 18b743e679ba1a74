import {retryAfterSeconds} from '@cicadapost/errors';
import type {PeerMessage, RequestId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {DaemonHarness, nonIdempotent, requestOf} from './daemon-harness.test-helper.js';

describe('a non-idempotent request', () => {
	describe('with its claim', () => {
		it('is opened only after the claim is stored, and carries the time until which it may be sent', () => {
			const harness = new DaemonHarness();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			expect(harness.opened).toEqual([]);
			harness.now = 1500;
			harness.store({kind: 'written', version: 1});
			expect(harness.opened.map(({notAfter}) => notAfter)).toEqual([2500]);
		});

		it('is refused as not-run at once when the store can not be reached', () => {
			const harness = new DaemonHarness();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'unavailable'});
			harness.store({kind: 'unavailable'});
			expect([harness.failure.outcome, harness.opened.length]).toEqual(['not-run', 0]);
			expect(retryAfterSeconds(harness.failure.retryAfterMs!)).toBeGreaterThan(0);
		});

		it('is not sent by a daemon that was paused until after sendBy, and is reported as not-run', () => {
			const harness = new DaemonHarness({home: ['u1']});
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.now = 12_000;
			harness.store({kind: 'written', version: 1});
			expect([harness.failure.outcome, harness.opened.length]).toEqual(['not-run', 0]);
		});

		it('records its response, and runs on without its caller', () => {
			const harness = new DaemonHarness();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'written', version: 1});
			harness.post({kind: 'attempt-sent', attempt: harness.attempt});
			harness.post({kind: 'caller-left', requestId: 'r' as RequestId});
			expect(harness.of('cancel-attempt')).toEqual([]);
			harness.post({
				kind: 'attempt-chunk', attempt: harness.attempt, chunk: {
					offset: 0, tokens: 1, text: 'done', version: 0,
				},
			});
			harness.finishAttempt(1, 201, 'text/plain');
			const row = harness.of('write-row').at(-1)!;
			expect([row.expectedVersion, JSON.parse(row.value)]).toMatchObject([1, {state: 'finished', status: 201, body: 'done'}]);
		});
	});

	describe('whose caller leaves before it was sent', () => {
		it('frees its key, since a repeat would otherwise always get "unknown" and the daemon could not shut down', () => {
			const harness = new DaemonHarness();
			harness.moveShardsToPeer();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'written', version: 1});
			harness.post({kind: 'caller-left', requestId: 'r' as RequestId});
			const row = harness.of('write-row').at(-1)!;
			expect([row.expectedVersion, JSON.parse(row.value)]).toMatchObject([1, {state: 'not-run'}]);
			harness.store({kind: 'written', version: 2});
			harness.post({kind: 'shut-down'});
			expect(harness.of('stopped')).toHaveLength(1);
		});
	});

	describe('with a failed attempt', () => {
		const failures = ['silent', 'upstream-died', 'server-error'] as const;

		it.each(failures)('is not sent a second time after "%s", and ends as unknown without Retry-After', failure => {
			const harness = new DaemonHarness();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'written', version: 1});
			harness.post({kind: 'attempt-sent', attempt: harness.attempt});
			harness.failAttempt(failure, true);
			expect([harness.opened.length, harness.failure.outcome, harness.failure.retryAfterMs]).toEqual([1, 'unknown', undefined]);
		});

		it('is sent to another upstream when the first refused the connection, since no byte left', () => {
			const harness = new DaemonHarness();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'written', version: 1});
			harness.failAttempt('unreachable', false);
			expect(new Set(harness.opened.map(({upstream}) => upstream)).size).toBe(2);
		});
	});

	describe('with a repeated grant', () => {
		it('is opened once, since the second grant would run it again', () => {
			const harness = new DaemonHarness();
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'written', version: 1});
			const {attempt, upstream} = harness.opened[0]!;
			harness.message({kind: 'grant', attempt, upstream});
			expect(harness.opened).toHaveLength(1);
		});
	});

	describe('relayed to this daemon', () => {
		const relay: PeerMessage = {
			kind: 'relay', attempt: 'a.0' as never, request: requestOf(nonIdempotent), payload: requestOf().payload, remainingMs: 5000, sendWithinMs: 2000, resumeFrom: 0, mixedVersions: false,
		};

		it('runs once when the frame arrives twice, also after it has ended', () => {
			const harness = new DaemonHarness();
			harness.message(relay);
			harness.message(relay);
			harness.failAttempt('upstream-died', true);
			harness.message(relay);
			expect(harness.opened.map(({notAfter}) => notAfter)).toEqual([2000]);
			expect(harness.sent('relay-failed').map(({sent}) => sent)).toEqual([true]);
		});

		it('does not run when its cancellation arrived first', () => {
			const harness = new DaemonHarness();
			harness.message({kind: 'cancel-relay', attempt: 'a.0' as never});
			harness.message(relay);
			expect(harness.opened).toEqual([]);
		});
	});
});

describe('the outcome that is reported to a caller', () => {
	const cases = ['open', 'sent'] as const;

	it.each(cases)('is unknown at the deadline when the attempt was in state "%s", since a byte may have left', state => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf()});
		if (state === 'sent') {
			harness.post({kind: 'attempt-sent', attempt: harness.attempt});
		}

		harness.now = 30_000;
		harness.post({kind: 'tick'});
		expect([harness.failure.kind, harness.failure.outcome]).toEqual(['deadline-passed', 'unknown']);
		expect(harness.of('cancel-attempt')).toHaveLength(1);
	});

	it('is not-run when each upstream refused the connection', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf()});
		for (let index = 0; index < 2; index++) {
			harness.failAttempt('unreachable', false);
		}

		expect([harness.failure.outcome, harness.failure.retryAfterMs !== undefined]).toEqual(['not-run', true]);
	});

	it('stays unknown when a later attempt was not sent', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf()});
		harness.failAttempt('upstream-died', true);
		harness.failAttempt('unreachable', false);
		expect(harness.failure.outcome).toBe('unknown');
	});

	describe('of a relay', () => {
		const upstreams = {home: [], away: ['v1']};

		it('is not-run when the relay was never handed to a connection', () => {
			const harness = new DaemonHarness(upstreams);
			harness.post({kind: 'request', request: requestOf()});
			harness.post({kind: 'message-unsent', to: 'away-1' as never, message: harness.sent('relay')[0]!});
			expect(harness.failure.outcome).toBe('not-run');
		});

		it('is unknown when its daemon is lost', () => {
			const harness = new DaemonHarness(upstreams);
			harness.post({kind: 'request', request: requestOf()});
			harness.now += 3100;
			harness.post({kind: 'tick'});
			expect(harness.failure.outcome).toBe('unknown');
		});

		it('is unknown at once for a non-idempotent request whose relay is silent', () => {
			const harness = new DaemonHarness(upstreams);
			harness.post({kind: 'request', request: requestOf(nonIdempotent)});
			harness.store({kind: 'written', version: 1});
			harness.now += 2000;
			harness.heartbeat();
			harness.post({kind: 'tick'});
			expect(harness.failure.outcome).toBe('unknown');
			expect([harness.sent('relay').length, harness.sent('cancel-relay').length]).toEqual([1, 1]);
		});

		it('is what the other daemon reports', () => {
			const harness = new DaemonHarness(upstreams);
			harness.post({kind: 'request', request: requestOf()});
			harness.message({
				kind: 'relay-failed', attempt: harness.sent('relay')[0]!.attempt, failure: 'overloaded', sent: false, retryAfterMs: 3000,
			});
			expect([harness.failure.outcome, harness.failure.retryAfterMs]).toEqual(['not-run', 3000]);
		});
	});
});

describe('a request with an Idempotency-Key', () => {
	it('is not run concurrently with another one with the same key', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf({idempotencyKey: 'k'})});
		harness.post({kind: 'request', request: requestOf({idempotencyKey: 'k', requestId: 'r2' as RequestId})});
		expect([harness.opened.length, harness.failure.status]).toEqual([1, 409]);
	});
});

describe('invalid input that only the configuration or earlier requests reveal', () => {
	it.each(['nothing', 'constructor'])('names the field of the unknown pool "%s" and starts nothing', pool => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf({pool: pool as never, idempotencyKey: 'k'})});
		expect([harness.failure.status, harness.failure.field, harness.failure.outcome, harness.opened.length]).toEqual([404, 'model', 'not-run', 0]);
		// The idempotency key was not consumed by the refused request.
		harness.post({kind: 'request', request: requestOf({bodyHash: 'other', idempotencyKey: 'k'})});
		expect(harness.opened).toHaveLength(1);
	});

	it('refuses a non-idempotent request without a key, since all of those would share one row', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf({idempotent: false})});
		expect([harness.failure.status, harness.failure.field, harness.of('write-row').length]).toEqual([400, 'Idempotency-Key', 0]);
	});

	it('names the key that was used with another body and starts nothing', () => {
		const harness = new DaemonHarness();
		harness.post({kind: 'request', request: requestOf({idempotencyKey: 'k'})});
		harness.post({kind: 'request', request: requestOf({idempotencyKey: 'k', bodyHash: 'other', requestId: 'r2' as RequestId})});
		expect([harness.failure.status, harness.failure.field, harness.failure.outcome, harness.opened.length]).toEqual([409, 'Idempotency-Key', 'not-run', 1]);
	});
});

describe('a grant for an attempt that has ended', () => {
	it('is released at its owner, since the slot would otherwise stay occupied', () => {
		const harness = new DaemonHarness();
		harness.message({kind: 'grant', attempt: 'old.0' as never, upstream: 'u1' as never});
		expect(harness.sent('release')).toMatchObject([{attempt: 'old.0', shard: 'home/model/0', result: 'cancelled'}]);
	});
});
