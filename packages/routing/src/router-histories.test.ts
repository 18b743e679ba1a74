import {sampleRequest} from '@cicadapost/stand-ins';
import type {
	AttemptId, Chunk, DataCentreId, PoolId, Request, ShardId, UpstreamId,
} from '@cicadapost/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRouter, type PoolDestinations} from './router-state.js';
import {decideRouting, type RouterAction, type RouterEvent} from './router.js';

const upstreams = ['u1', 'u2', 'u3'] as UpstreamId[];
const destinations: PoolDestinations = {
	shards: [{shard: 'home/model/0' as ShardId, upstreams}],
	dataCentres: [{dataCentre: 'away' as DataCentreId, costMs: 10}],
};
const totalTokens = 6;
const deadlineMs = 60_000;

type Choice = Readonly<{kind: string; pick: number; flaw: number; wait: number}>;

/** One request as observed from outside the router. The checks use no router state. */
type ObservedRequest = {
	readonly request: Request;
	/** Attempts that were dispatched and not reported as unsent. */
	readonly dispatched: Set<string>;
	/** Attempts of which a byte reached an upstream. */
	readonly ran: Set<string>;
	finals: string[];
	texts: Chunk[];
};

const textOf = (index: number, version: number): string => `${index}v${version},`;

/** A router whose events are delayed, duplicated, reordered or lost. */
class History {
	private now = 0;
	private readonly state = createRouter();
	private readonly observed = new Map<string, ObservedRequest>();
	private readonly waiting: RouterEvent[] = [];
	private readonly pendingActions: Array<Extract<RouterAction, {kind: 'acquire' | 'open' | 'relay'}>> = [];

	constructor() {
		// Enables hedging from the first request on, so that two attempts often run concurrently.
		this.state.hedges.available = 1000;
		this.state.firstTokens.set('model' as PoolId, {samples: [], next: 0, lateAfterMs: 10});
	}

	step({kind, pick, flaw, wait}: Choice): void {
		this.now += wait;
		switch (kind) {
			case 'request': {
				this.request(flaw);
				break;
			}

			case 'serve': {
				const [pending] = this.pendingActions.splice(pick % Math.max(1, this.pendingActions.length), 1);
				if (pending !== undefined) {
					this.serve(pending, flaw, pick);
				}

				break;
			}

			case 'lose': {
				this.waiting.splice(pick % Math.max(1, this.waiting.length), 1);
				break;
			}

			case 'repeat': {
				const event = this.waiting[pick % Math.max(1, this.waiting.length)];
				if (event !== undefined) {
					this.post(event);
				}

				break;
			}

			case 'deliver': {
				// Half of the events are delivered in order.
				const [event] = this.waiting.splice(flaw % 2 === 0 ? 0 : pick % Math.max(1, this.waiting.length), 1);
				if (event !== undefined) {
					this.post(event);
				}

				break;
			}

			default: {
				this.post({kind: 'tick'});
			}
		}
	}

	finish(): void {
		this.now += deadlineMs;
		this.post({kind: 'tick'});
		this.post({kind: 'tick'});
		expect(this.state.requests.size).toBe(0);
		expect(this.state.attempts.size).toBe(0);
		for (const observed of this.observed.values()) {
			expect(observed.finals).toHaveLength(1);
			this.check(observed);
		}
	}

	private check(observed: ObservedRequest): void {
		const {request, ran, finals, texts} = observed;
		if (!request.idempotent) {
			expect(ran.size).toBeLessThanOrEqual(1);
		}

		if (finals[0] === 'not-run') {
			expect(ran.size).toBe(0);
		}

		const text = texts.map(chunk => chunk.text).join('');
		const tokens = texts.flatMap(chunk => Array.from({length: chunk.tokens}, () => chunk.version));
		expect(text).toBe(tokens.map((version, index) => textOf(index, version)).join(''));
		if (!request.mixedVersions) {
			expect(new Set(tokens).size).toBeLessThanOrEqual(1);
		}

		if (finals[0] === 'complete') {
			expect(tokens).toHaveLength(totalTokens);
		}
	}

	private request(flaw: number): void {
		const name = `r${this.observed.size}`;
		const request = sampleRequest(name, {
			promptTokens: 0, maxTokens: totalTokens, idempotent: flaw % 3 !== 0, deadlineAt: this.now + deadlineMs, mixedVersions: flaw % 2 === 0,
		});
		this.observed.set(name, {
			request, dispatched: new Set(), ran: new Set(), finals: [], texts: [],
		});
		this.post({kind: 'request', request, destinations});
	}

	/** Plays the shard owner, the edge or the other data centre, which handles a router action. */
	private serve(pending: Extract<RouterAction, {kind: 'acquire' | 'open' | 'relay'}>, flaw: number, pick: number): void {
		if (pending.kind === 'acquire') {
			const {attempt, avoid} = pending.acquire;
			const upstream = upstreams.find(candidate => !avoid.includes(candidate));
			this.waiting.push(upstream === undefined || flaw === 0
				? {
					kind: 'refused', attempt, reason: flaw % 2 === 0 ? 'overloaded' : 'not-owner', retryAfterMs: 100,
				}
				: {kind: 'granted', attempt, upstream});
			return;
		}

		const attempt = pending.kind === 'open' ? pending.attempt : pending.relay.attempt;
		const resumeFrom = pending.kind === 'open' ? pending.resumeFrom : pending.relay.resumeFrom;
		const observed = this.observed.get(attempt.split('.')[0]!)!;
		if (flaw === 0) {
			observed.dispatched.delete(attempt);
			this.waiting.push({
				kind: 'failed', attempt, failure: pending.kind === 'open' ? 'unreachable' : 'relay-lost', sent: false,
			});
			return;
		}

		observed.ran.add(attempt);
		this.waiting.push({kind: 'sent', attempt}, ...this.stream(attempt, resumeFrom, flaw, pick));
	}

	/** Returns the events of an engine that may resume at a wrong offset, swap its weights, crash, or omit or repeat tokens. */
	private stream(attempt: AttemptId, resumeFrom: number, flaw: number, pick: number): RouterEvent[] {
		const start = Math.max(0, resumeFrom + (flaw === 1 ? -1 : 0) + (flaw === 2 ? 1 : 0));
		const size = 1 + (pick % 3);
		const events: RouterEvent[] = [];
		for (let offset = start; offset < totalTokens; offset += size) {
			const version = flaw === 3 && offset >= 3 ? 2 : 1 + (pick % 2);
			const tokens = Math.min(size, totalTokens - offset);
			const text = Array.from({length: tokens}, (_, index) => textOf(offset + index, version)).join('');
			events.push({
				kind: 'chunk', attempt, chunk: {
					offset, tokens, text, version,
				},
			});
		}

		if (flaw === 4) {
			return [...events.slice(0, pick % 4), {
				kind: 'failed', attempt, failure: pick % 2 === 0 ? 'upstream-died' : 'silent', sent: true,
			}];
		}

		return [...events, {
			kind: 'finished', attempt, tokens: totalTokens, status: 200, contentType: 'text/event-stream',
		}];
	}

	private post(event: RouterEvent): void {
		for (const action of decideRouting(this.state, event, this.now).actions) {
			this.observe(action);
		}
	}

	private observe(action: RouterAction): void {
		switch (action.kind) {
			case 'acquire': {
				this.pendingActions.push(action);
				break;
			}

			case 'open':
			case 'relay': {
				const attempt = action.kind === 'open' ? action.attempt : action.relay.attempt;
				const observed = this.observed.get(attempt.split('.')[0]!)!;
				expect(observed.dispatched.has(attempt)).toBe(false);
				observed.dispatched.add(attempt);
				if (!observed.request.idempotent) {
					expect(observed.dispatched.size).toBe(1);
				}

				this.pendingActions.push(action);
				break;
			}

			case 'deliver': {
				const observed = this.observed.get(action.requestId)!;
				expect(observed.finals).toEqual([]);
				observed.texts.push(action.chunk);
				break;
			}

			case 'complete': {
				this.observed.get(action.requestId)!.finals.push('complete');
				break;
			}

			case 'fail': {
				const observed = this.observed.get(action.requestId)!;
				observed.finals.push(action.problem.outcome);
				if (action.problem.outcome === 'not-run') {
					expect([...observed.dispatched]).toEqual([]);
				}

				break;
			}

			case 'release':
			case 'cancel':
			case 'cancel-relay':
			case 'relay-ended': {
				break;
			}
		}
	}
}

describe('decideRouting in random histories', () => {
	const choice = fc.record({
		kind: fc.oneof(
			{weight: 1, arbitrary: fc.constantFrom('request', 'repeat', 'lose', 'tick')},
			{weight: 3, arbitrary: fc.constant('serve')},
			{weight: 8, arbitrary: fc.constant('deliver')},
		),
		pick: fc.nat(11),
		// A crash of the upstream is the most common flaw, because a stream is resumed only after one.
		flaw: fc.oneof({weight: 2, arbitrary: fc.nat(7)}, {weight: 1, arbitrary: fc.constantFrom(1, 4, 4)}),
		wait: fc.oneof({weight: 8, arbitrary: fc.constant(0)}, {weight: 1, arbitrary: fc.constantFrom(1, 20, 200, 2100)}),
	});

	it('opens a non-idempotent request at most once, reports not-run only if nothing was dispatched, answers once, and delivers no gap or repetition', () => {
		fc.assert(fc.property(fc.array(choice, {minLength: 20, maxLength: 160}), choices => {
			const history = new History();
			for (const next of choices) {
				history.step(next);
			}

			history.finish();
		}), {numRuns: 3000, seed: 20_262});
	});
});
