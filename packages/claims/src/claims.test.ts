import {ProblemError} from '@cicadapost/errors';
import {sampleRequest} from '@cicadapost/stand-ins';
import type {RequestId, RowResponse} from '@cicadapost/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	sendWindowMs, createClaims, decideClaims, isClaimsIdle, maxOpenClaims, claimTimeoutMs, type ClaimsAction, type ClaimsEvent, type ClaimsState,
} from './claims.js';
import {releaseKey, createKeyGuard, acquireKey} from './key-guard.js';

const requestOf = (requestId: string, key: string, bodyHash = 'h') => sampleRequest(requestId, {idempotent: false, idempotencyKey: key, bodyHash});

type Row = {version: number; value: string};

/** A table with compare-and-set, in memory. */
class Store {
	readonly rows = new Map<string, Row>();

	respond(action: ClaimsAction): RowResponse {
		if (action.kind === 'read-row') {
			const row = this.rows.get(action.key);
			return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
		}

		if (action.kind !== 'write-row') {
			throw new Error(`action "${action.kind}" is not a store call`);
		}

		const row = this.rows.get(action.key) ?? {version: 0, value: ''};
		if (row.version !== action.expectedVersion) {
			return {kind: 'conflict', ...row};
		}

		this.rows.set(action.key, {version: row.version + 1, value: action.value});
		return {kind: 'written', version: row.version + 1};
	}
}

/** The claims of one daemon, with immediate responses from `store`. */
class Daemon {
	readonly state: ClaimsState;
	readonly log: ClaimsAction[] = [];
	now = 0;
	/** Whether the response to an action is lost. The write itself still takes effect. */
	isLost: (action: ClaimsAction) => boolean = () => false;
	isDown = false;

	constructor(private readonly store: Store, private readonly name: string) {
		this.state = createClaims(name);
	}

	claim(requestId: string, key: string, bodyHash?: string): ClaimsAction | undefined {
		this.post({kind: 'claim', request: requestOf(requestId, key, bodyHash), nonce: `${this.name}.${requestId}`});
		return this.log.findLast(action => action.kind === 'claimed' || action.kind === 'refuse' || action.kind === 'replay');
	}

	post(event: ClaimsEvent): void {
		for (const action of decideClaims(this.state, event, this.now).actions) {
			if (action.kind === 'read-row' || action.kind === 'write-row') {
				const response: RowResponse = this.isDown ? {kind: 'unavailable'} : this.store.respond(action);
				this.post({kind: 'answer', call: action.call, answer: this.isLost(action) ? {kind: 'unavailable'} : response});
			} else {
				this.log.push(action);
			}
		}
	}

	finish(requestId: string, text: string): void {
		this.post({kind: 'text', requestId: requestId as RequestId, text});
		this.post({
			kind: 'ended', requestId: requestId as RequestId, end: {
				kind: 'finished', status: 201, contentType: 'text/plain', tokens: 1, versions: [],
			},
		});
	}
}

function problemOf(action: ClaimsAction | undefined): ProblemError {
	expect(action?.kind).toBe('refuse');
	return (action as Extract<ClaimsAction, {kind: 'refuse'}>).problem;
}

describe('decideClaims', () => {
	describe('when a call is repeated through another daemon', () => {
		it('replays the recorded response, so that the request does not run twice', () => {
			const store = new Store();
			const [first, second] = [new Daemon(store, 'a'), new Daemon(store, 'b')];
			expect(first.claim('r1', 'k')?.kind).toBe('claimed');
			first.finish('r1', 'called');
			expect(second.claim('r2', 'k')).toEqual({
				kind: 'replay', requestId: 'r2', answer: {
					status: 201, contentType: 'text/plain', tokens: 1, versions: [], body: 'called',
				},
			});
		});

		it('reports the outcome as unknown while the first call has none', () => {
			const store = new Store();
			new Daemon(store, 'a').claim('r1', 'k');
			const problem = problemOf(new Daemon(store, 'b').claim('r2', 'k'));
			expect([problem.outcome, problem.retryAfterMs !== undefined]).toEqual(['unknown', true]);
		});

		it('refuses a different body as a conflict', () => {
			const store = new Store();
			new Daemon(store, 'a').claim('r1', 'k');
			const problem = problemOf(new Daemon(store, 'b').claim('r2', 'k', 'other'));
			expect([problem.kind, problem.status, problem.field]).toEqual(['idempotency-conflict', 409, 'Idempotency-Key']);
		});

		it('lets the key be claimed again after a call that did not run, so that a retry after Retry-After can succeed', () => {
			const store = new Store();
			const first = new Daemon(store, 'a');
			first.claim('r1', 'k');
			first.post({kind: 'ended', requestId: 'r1' as RequestId, end: {kind: 'failed', problem: new ProblemError({kind: 'overloaded', detail: 'd', remedy: 'r'})}});
			expect(new Daemon(store, 'b').claim('r2', 'k')?.kind).toBe('claimed');
		});

		it('reports that the call ran when its response was too long to record', () => {
			const store = new Store();
			const first = new Daemon(store, 'a');
			first.claim('r1', 'k');
			first.finish('r1', 'x'.repeat(100_000));
			expect(problemOf(new Daemon(store, 'b').claim('r2', 'k')).outcome).toBe('ran');
		});
	});

	describe('when a response of the store is lost', () => {
		it('reads the row back and continues if it has its own nonce', () => {
			const daemon = new Daemon(new Store(), 'a');
			daemon.isLost = action => action.kind === 'write-row';
			expect(daemon.claim('r1', 'k')?.kind).toBe('claimed');
		});

		it('does not mistake the row of another call for its own', () => {
			const store = new Store();
			new Daemon(store, 'a').claim('r1', 'k');
			const second = new Daemon(store, 'b');
			second.isLost = action => action.kind === 'write-row';
			expect(problemOf(second.claim('r2', 'k')).outcome).toBe('unknown');
		});
	});

	describe('when the store is down', () => {
		it('refuses immediately as not-run with Retry-After', () => {
			const daemon = new Daemon(new Store(), 'a');
			daemon.isDown = true;
			const problem = problemOf(daemon.claim('r1', 'k'));
			expect([problem.kind, problem.outcome, problem.retryAfterMs !== undefined]).toEqual(['store-unavailable', 'not-run', true]);
		});

		it('refuses a claim that the store does not respond to, so that the caller does not wait until its deadline', () => {
			const state = createClaims('a');
			decideClaims(state, {kind: 'claim', request: requestOf('r1', 'k'), nonce: 'n'}, 0);
			const {actions} = decideClaims(state, {kind: 'tick'}, claimTimeoutMs);
			expect(problemOf(actions[0]).outcome).toBe('not-run');
		});

		it('replays the response to a repeated call from memory and stores the outcome once the store is back', () => {
			const store = new Store();
			const daemon = new Daemon(store, 'a');
			daemon.claim('r1', 'k');
			daemon.isDown = true;
			daemon.finish('r1', 'called');
			expect(daemon.claim('r2', 'k')?.kind).toBe('replay');
			daemon.isDown = false;
			daemon.now = 10_000;
			daemon.post({kind: 'tick'});
			expect(new Daemon(store, 'b').claim('r3', 'k')?.kind).toBe('replay');
			expect(isClaimsIdle(daemon.state)).toBe(true);
		});

		it('retries outcome writes at a limited rate, so that recovery leaves store capacity for others', () => {
			const store = new Store();
			const daemon = new Daemon(store, 'a');
			for (let index = 0; index < 100; index++) {
				daemon.claim(`r${index}`, `k${index}`);
			}

			daemon.isDown = true;
			for (let index = 0; index < 100; index++) {
				daemon.finish(`r${index}`, 'called');
			}

			daemon.isDown = false;
			const stored = () => [...store.rows.values()].filter(({value}) => value.includes('finished')).length;
			for (daemon.now = 10_000; daemon.now < 11_000; daemon.now += 50) {
				daemon.post({kind: 'tick'});
			}

			expect(stored()).toBe(10);
			for (; daemon.now < 21_000; daemon.now += 50) {
				daemon.post({kind: 'tick'});
			}

			expect(stored()).toBe(100);
		});

		it('refuses further claims at the limit instead of dropping an outcome', () => {
			const daemon = new Daemon(new Store(), 'a');
			for (let index = 0; index < maxOpenClaims; index++) {
				daemon.claim(`r${index}`, `k${index}`);
			}

			expect(problemOf(daemon.claim('more', 'more')).outcome).toBe('not-run');
			expect(daemon.state.claims.size).toBe(maxOpenClaims);
		});
	});

	describe('when a claimant has abandoned its claim', () => {
		it('does not overwrite the row of a later call, which would let a third call run concurrently', () => {
			const store = new Store();
			const first = new Daemon(store, 'a');
			first.isDown = true;
			first.claim('r1', 'k');
			new Daemon(store, 'b').claim('r2', 'k');
			first.isDown = false;
			first.now = 10_000;
			first.post({kind: 'tick'});
			expect(problemOf(new Daemon(store, 'c').claim('r3', 'k')).outcome).toBe('unknown');
			expect(isClaimsIdle(first.state)).toBe(true);
		});
	});

	describe('when the claim is confirmed too late', () => {
		it('measures the send window from the claim request and records not-run', () => {
			const store = new Store();
			const state = createClaims('a');
			const [write] = decideClaims(state, {kind: 'claim', request: requestOf('r1', 'k'), nonce: 'n'}, 0).actions;
			const response = store.respond(write!);
			const {actions} = decideClaims(state, {kind: 'answer', call: (write as Extract<ClaimsAction, {kind: 'write-row'}>).call, answer: response}, sendWindowMs);
			expect(problemOf(actions[0]).outcome).toBe('not-run');
			store.respond(actions[1]!);
			expect(new Daemon(store, 'b').claim('r2', 'k')?.kind).toBe('claimed');
		});
	});

	describe('with random schedules of two daemons and one store', () => {
		const step = fc.record({
			kind: fc.constantFrom('claim', 'claim', 'apply', 'apply', 'apply', 'answer', 'answer', 'answer', 'lose', 'repeat', 'finish', 'decline', 'tick'),
			daemon: fc.nat(1),
			pick: fc.nat(7),
			wait: fc.constantFrom(0, 1, 300, 1000, 9000),
		});

		it('runs a key at most once, reports not-run only for calls that were not granted, and responds to each call at most once', () => {
			fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
				const schedule = new RandomSchedule();
				for (const {kind, daemon, pick, wait} of steps) {
					schedule.now += wait;
					schedule.step(kind, daemon, pick);
				}

				schedule.check();
			}), {numRuns: 3000, seed: 20_261});
		});
	});
});

type Call = {action: ClaimsAction; daemon: number; response: RowResponse | undefined};

/** Two daemons whose store calls take effect and get responses in any order, more than once or never. */
class RandomSchedule {
	now = 0;
	private readonly store = new Store();
	private readonly states = [createClaims('a'), createClaims('b')];
	private readonly calls: Call[] = [];
	private readonly granted: Array<{requestId: string; daemon: number; hasEnded: boolean; isKnownNotRun: boolean}> = [];
	private readonly responses: Array<{requestId: string; outcome: string}> = [];
	private requests = 0;

	step(kind: string, daemon: number, pick: number): void {
		const call = this.calls[pick % Math.max(1, this.calls.length)];
		switch (kind) {
			case 'claim': {
				const requestId = `r${this.requests++}`;
				this.post(daemon, {kind: 'claim', request: requestOf(requestId, 'k', pick === 0 ? 'other' : 'h'), nonce: `${daemon}.${requestId}`});
				break;
			}

			case 'apply': {
				if (call !== undefined) {
					call.response ??= this.store.respond(call.action);
				}

				break;
			}

			case 'answer': {
				if (call !== undefined) {
					call.response ??= this.store.respond(call.action);
					this.settle(call, call.response);
				}

				break;
			}

			// The response is lost, but the write may still take effect later.
			case 'lose': {
				if (call !== undefined) {
					this.settle(call, {kind: 'unavailable'}, call.response === undefined);
				}

				break;
			}

			case 'repeat': {
				if (call?.response !== undefined) {
					this.settle(call, call.response, true);
				}

				break;
			}

			case 'finish':
			case 'decline': {
				this.end(kind === 'finish', pick);
				break;
			}

			default: {
				this.post(daemon, {kind: 'tick'});
			}
		}
	}

	check(): void {
		const ran = this.granted.filter(entry => !entry.isKnownNotRun);
		expect(ran.length).toBeLessThanOrEqual(1);
		const refused = new Set(this.responses.filter(({outcome}) => outcome === 'not-run').map(({requestId}) => requestId));
		expect(this.granted.filter(({requestId}) => refused.has(requestId))).toEqual([]);
		expect(new Set(this.responses.map(({requestId}) => requestId)).size).toBe(this.responses.length);
	}

	private settle(call: Call, response: RowResponse, keep = false): void {
		if (!keep) {
			this.calls.splice(this.calls.indexOf(call), 1);
		}

		this.post(call.daemon, {kind: 'answer', call: (call.action as Extract<ClaimsAction, {kind: 'write-row'}>).call, answer: response});
	}

	private end(hasRun: boolean, pick: number): void {
		const running = this.granted.filter(entry => !entry.hasEnded);
		const entry = running[pick % Math.max(1, running.length)];
		if (entry === undefined) {
			return;
		}

		entry.hasEnded = true;
		entry.isKnownNotRun = !hasRun;
		this.post(entry.daemon, {
			kind: 'ended', requestId: entry.requestId as RequestId, end: hasRun
				? {
					kind: 'finished', status: 200, contentType: 't', tokens: 1, versions: [],
				}
				: {kind: 'failed', problem: new ProblemError({kind: 'overloaded', detail: 'd', remedy: 'r'})},
		});
	}

	private post(daemon: number, event: ClaimsEvent): void {
		for (const action of decideClaims(this.states[daemon]!, event, this.now).actions) {
			if (action.kind === 'claimed') {
				expect(this.now).toBeLessThan(action.sendBy);
				this.granted.push({
					requestId: action.request.requestId, daemon, hasEnded: false, isKnownNotRun: false,
				});
			} else if (action.kind === 'refuse' || action.kind === 'replay') {
				this.responses.push({requestId: action.requestId, outcome: action.kind === 'replay' ? 'replay' : action.problem.outcome});
			} else {
				this.calls.push({action, daemon, response: undefined});
			}
		}
	}
}

describe('acquireKey', () => {
	const request = {...requestOf('r1', 'k'), idempotent: true};
	const repeat = {...request, requestId: 'r2' as RequestId};

	it('refuses a second request with the same key while the first is running', () => {
		const guard = createKeyGuard();
		expect(acquireKey(guard, request, 0)).toBeUndefined();
		const problem = acquireKey(guard, repeat, 1);
		expect([problem?.status, problem?.outcome, problem?.retryAfterMs]).toEqual([409, 'unknown', 1000]);
		releaseKey(guard, 'r1' as RequestId, 2);
		expect(acquireKey(guard, repeat, 3)).toBeUndefined();
	});

	it('refuses a key that was used with another body, and reports the field', () => {
		const guard = createKeyGuard();
		acquireKey(guard, request, 0);
		releaseKey(guard, 'r1' as RequestId, 1);
		const problem = acquireKey(guard, {...repeat, bodyHash: 'other'}, 2);
		expect([problem?.status, problem?.outcome, problem?.field]).toEqual([409, 'not-run', 'Idempotency-Key']);
	});
});
