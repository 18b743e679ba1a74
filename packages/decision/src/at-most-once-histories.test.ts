import type {
	DaemonId, DataCentreId, PeerMessage, RegionId, RequestId, RowResponse,
} from '@cicadapost/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {documentOf, requestOf} from './daemon-harness.test-helper.js';
import {createDaemonState, type DaemonState} from './daemon-state.js';
import {decide} from './decide.js';
import type {DaemonAction, DaemonEvent} from './events.js';

const deadlineMs = 20_000;
/** Two daemons in the data centre `home`, where the pool has no upstreams, and two in `away`, which has them. */
const dataCentreOf = {
	a: 'home', b: 'home', c: 'away', d: 'away',
} as const;
const names = Object.keys(dataCentreOf) as Array<keyof typeof dataCentreOf>;
type Name = (typeof names)[number];
type StoreCall = Extract<DaemonAction, {kind: 'read-row' | 'write-row'}>;
type Opening = Extract<DaemonAction, {kind: 'open-attempt'}>;
type Choice = Readonly<{kind: string; pick: number; faultCode: number; wait: number}>;

/** Returns the element at `pick`, modulo the length, and removes it unless `keep` is set, so that it can be delivered twice. */
function take<Value>(list: Value[], pick: number, keep = false): Value | undefined {
	const index = pick % Math.max(1, list.length);
	return keep ? list[index] : list.splice(index, 1)[0];
}

/** Simulates daemons, a store and upstreams. Messages and answers arrive late, twice, out of order or not at all. */
class Simulation {
	private now = 1000;
	private readonly states = new Map<Name, DaemonState>();
	private readonly messages: Array<{from: Name; to: Name; message: PeerMessage}> = [];
	private readonly calls: Array<{daemon: Name; call: StoreCall; answer: RowResponse | undefined}> = [];
	private readonly openings: Array<{daemon: Name; opening: Opening}> = [];
	private readonly rows = new Map<string, {version: number; value: string}>();
	/** Idempotency key of each request. */
	private readonly keys = new Map<string, string>();
	/** Requests that reached an upstream, once for each time. */
	private readonly ran: string[] = [];
	private readonly answers = new Map<string, string[]>();
	private readonly callersLeft = new Set<string>();

	constructor() {
		for (const name of names) {
			this.states.set(name, createDaemonState({
				self: name as DaemonId, dataCentre: dataCentreOf[name] as DataCentreId, region: 'r' as RegionId, incarnation: 1,
			}));
			this.post(name, {kind: 'message', from: 'x' as DaemonId, message: {kind: 'configuration', version: 1, document: documentOf({home: [], away: ['v1', 'v2']})}});
		}

		this.heartbeats();
	}

	step({kind, pick, faultCode, wait}: Choice): void {
		this.now += wait;
		// Without heartbeats, the daemons consider each other lost.
		if (wait > 0 && faultCode !== 0) {
			this.heartbeats();
		}

		switch (kind) {
			case 'request': {
				this.request(pick % 2 === 0 ? 'a' : 'b', faultCode === 0 ? 'k2' : 'k1');
				break;
			}

			case 'message': {
				const next = take(this.messages, faultCode < 3 ? pick : 0, faultCode < 3);
				if (next !== undefined) {
					this.post(next.to, {kind: 'message', from: next.from as DaemonId, message: next.message});
				}

				break;
			}

			case 'lose': {
				take(this.messages, pick);
				break;
			}

			case 'store': {
				this.store(pick, faultCode);
				break;
			}

			case 'edge': {
				this.runAttempt(pick, faultCode);
				break;
			}

			case 'leave': {
				this.leave(pick);
				break;
			}

			default: {
				this.post(names[pick % names.length]!, {kind: 'tick'});
			}
		}
	}

	/** Delivers everything that is still in transit after the deadline of the last request, then checks the outcome of each request. */
	finish(): void {
		for (let round = 0; round < 4; round++) {
			this.now += deadlineMs;
			this.heartbeats();
			for (const name of names) {
				this.post(name, {kind: 'tick'});
			}

			for (let step = 0; step < 40; step++) {
				this.step({
					kind: ['message', 'store', 'edge'][step % 3]!, pick: 0, faultCode: 5, wait: 0,
				});
			}
		}

		for (const key of ['k1', 'k2']) {
			expect(this.ran.filter(requestId => this.keys.get(requestId) === key).length).toBeLessThanOrEqual(1);
		}

		for (const requestId of this.keys.keys()) {
			const answers = this.answers.get(requestId) ?? [];
			expect(answers.length).toBeLessThanOrEqual(1);
			expect(answers.length).toBeGreaterThanOrEqual(this.callersLeft.has(requestId) ? 0 : 1);
			if (answers[0] === 'not-run') {
				expect(this.ran).not.toContain(requestId);
			}
		}
	}

	private heartbeats(): void {
		for (const to of names) {
			for (const from of names) {
				if (from !== to) {
					this.post(to, {
						kind: 'message', from: from as DaemonId, message: {
							kind: 'heartbeat', dataCentre: dataCentreOf[from] as DataCentreId, incarnation: 1, configurationVersion: 1, leaving: false, leavingUpstreams: [],
						},
					});
				}
			}
		}
	}

	private request(daemon: Name, key: string): void {
		const requestId = `q${this.keys.size}`;
		this.keys.set(requestId, key);
		const {payload} = requestOf();
		this.post(daemon, {
			kind: 'request', request: requestOf({
				requestId: requestId as RequestId, idempotent: false, idempotencyKey: key, deadlineAt: this.now + deadlineMs, payload: {...payload, body: requestId},
			}),
		});
	}

	private leave(pick: number): void {
		const requestId = [...this.keys.keys()].find((name, index) => index === pick % this.keys.size && !this.answers.has(name));
		if (requestId !== undefined) {
			this.callersLeft.add(requestId);
			for (const name of ['a', 'b'] as const) {
				this.post(name, {kind: 'caller-left', requestId: requestId as RequestId});
			}
		}
	}

	private store(pick: number, faultCode: number): void {
		const entry = take(this.calls, pick, faultCode === 1);
		if (entry === undefined) {
			return;
		}

		// The answer is lost either before (0) or after (2) the write took effect.
		const isLost = faultCode === 0 || faultCode === 2;
		if (faultCode !== 0) {
			entry.answer ??= this.apply(entry.call);
		}

		this.post(entry.daemon, {kind: 'row-answer', call: entry.call.call, answer: isLost || entry.answer === undefined ? {kind: 'unavailable'} : entry.answer});
	}

	private apply(call: StoreCall): RowResponse {
		const row = this.rows.get(call.key);
		if (call.kind === 'read-row') {
			return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
		}

		if ((row?.version ?? 0) !== call.expectedVersion) {
			return {kind: 'conflict', ...row!};
		}

		this.rows.set(call.key, {version: call.expectedVersion + 1, value: call.value});
		return {kind: 'written', version: call.expectedVersion + 1};
	}

	private runAttempt(pick: number, faultCode: number): void {
		const entry = take(this.openings, pick);
		if (entry === undefined) {
			return;
		}

		const {daemon, opening: {attempt, notAfter, payload}} = entry;
		if (this.now >= notAfter || faultCode === 0) {
			this.post(daemon, {
				kind: 'attempt-failed', attempt, failure: faultCode === 0 ? 'unreachable' : 'late', sent: false,
			});
			return;
		}

		this.ran.push(payload.body);
		this.post(daemon, {kind: 'attempt-sent', attempt});
		if (faultCode === 1) {
			this.post(daemon, {
				kind: 'attempt-failed', attempt, failure: 'upstream-died', sent: true,
			});
		} else if (faultCode !== 2) {
			this.post(daemon, {
				kind: 'attempt-chunk', attempt, chunk: {
					offset: 0, tokens: 1, text: 'called', version: 1,
				},
			});
			this.post(daemon, {
				kind: 'attempt-finished', attempt, tokens: 1, status: 200, contentType: 'text/plain',
			});
		}
	}

	private post(daemon: Name, event: DaemonEvent): void {
		const outcome = decide(this.states.get(daemon)!, event, this.now);
		this.states.set(daemon, outcome.state);
		for (const action of outcome.actions) {
			this.carryOut(daemon, action);
		}
	}

	private carryOut(daemon: Name, action: DaemonAction): void {
		switch (action.kind) {
			case 'send': {
				if (action.message.kind !== 'heartbeat' && action.message.kind !== 'configuration' && (names as string[]).includes(action.to)) {
					this.messages.push({from: daemon, to: action.to as never, message: action.message});
				}

				break;
			}

			case 'open-attempt': {
				this.openings.push({daemon, opening: action});
				break;
			}

			case 'cancel-attempt': {
				const index = this.openings.findIndex(({opening}) => opening.attempt === action.attempt);
				if (index !== -1) {
					this.openings.splice(index, 1);
				}

				break;
			}

			case 'read-row':
			case 'write-row': {
				if (action.table === 'claims') {
					this.calls.push({daemon, call: action, answer: undefined});
				}

				break;
			}

			case 'complete':
			case 'fail': {
				const answers = this.answers.get(action.requestId) ?? [];
				this.answers.set(action.requestId, [...answers, action.kind === 'fail' ? action.problem.outcome : 'complete']);
				break;
			}

			default: {
				break;
			}
		}
	}
}

describe('non-idempotent requests in random histories of four daemons, two data centres and a store', () => {
	const choice = fc.record({
		kind: fc.oneof(
			{weight: 1, arbitrary: fc.constantFrom('request', 'request', 'lose', 'leave', 'leave', 'tick')},
			{weight: 3, arbitrary: fc.constantFrom('message', 'message', 'store', 'store', 'edge')},
		),
		pick: fc.nat(5),
		faultCode: fc.nat(7),
		wait: fc.oneof({weight: 12, arbitrary: fc.constant(0)}, {weight: 1, arbitrary: fc.constantFrom(1, 200, 1100, 2500, 10_000)}),
	});

	it('run at most once for each key, are answered once, and are called not-run only if they never ran', () => {
		fc.assert(fc.property(fc.array(choice, {minLength: 40, maxLength: 200}), choices => {
			const simulation = new Simulation();
			for (const next of choices) {
				simulation.step(next);
			}

			simulation.finish();
		}), {numRuns: 3000, seed: 20_263});
	});
});
