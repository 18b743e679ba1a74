import {UpstreamDirectory} from '@cicadapost/fleet';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {
	Clock, type DaemonId, type DataCentreId, type Millis, type RequestId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {AttemptEnd, AttemptHandlers} from './attempt-target.js';
import type {
	ConnectionPool, Exchange, ExchangeHandlers, ExchangeRequest,
} from './connection-pool.js';
import {CrashGuard} from './crash-registry.js';
import {Forwarder} from './forwarder.js';
import {NoStreamOrigins} from './no-stream-origins.js';
import {ResponseReceiver, type ForwardFailure, type PlainRequest} from './plain-request.js';
import {RelayPath, type RelayOptions} from './relay-path.js';
import type {RequestKind, Route} from './route.js';
import {UpstreamHealthTracker} from './upstream-health.js';
import {UpstreamProtocol, type ResponseMetadata} from './upstream-protocol.js';

const service = 'desk' as ServiceId;

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

class NoCrashes extends CrashGuard {
	override isBlocked(): boolean {
		return false;
	}

	override reportPossibleCrash(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}

class TestProtocol extends UpstreamProtocol {
	override signatureOf(): undefined {
		return undefined;
	}

	override requestHeaders(): string[] {
		return [];
	}

	override readMetadata(): ResponseMetadata {
		return {isSigned: true, didNotRun: false};
	}

	override responseHeaders(): string[] {
		return [];
	}
}

class OutcomeReceiver extends ResponseReceiver {
	constructor(private readonly onOutcome: (outcome: 'answered' | ForwardFailure['kind']) => void) {
		super();
	}

	override head(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override data(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	override end(): void {
		this.onOutcome('answered');
	}

	override truncate(): void {
		this.onOutcome('failed');
	}

	override fail(failure: ForwardFailure): void {
		this.onOutcome(failure.kind);
	}
}

/** How one attempt ends, and after which time. */
type Behaviour = Readonly<{end: 'answers' | 'runs and breaks' | 'never connects' | 'declines' | 'hangs' | 'streams half an event'; afterMs: Millis}>;

type Send = Readonly<{through: 'upstream' | 'relay'; maxAttempts: number}> & {runs: boolean; wasNotSent: boolean; isOver: boolean};

/** A link to upstreams and to other daemons that behaves as a script says. */
class ScriptedLinks extends RelayPath {
	readonly sends: Send[] = [];
	lastReceivedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly script: readonly Behaviour[], override isPartitioned: boolean, private readonly relays: number) {
		super();
	}

	override choose(tried: ReadonlySet<DaemonId>): DaemonId | undefined {
		return Array.from({length: this.relays}, (_, index) => `d${index}` as DaemonId).find(daemon => !tried.has(daemon));
	}

	override send(relay: DaemonId, req: PlainRequest, {maxAttempts}: RelayOptions, handlers: AttemptHandlers): Exchange {
		return this.play({through: 'relay', maxAttempts}, handlers);
	}

	hasIdle(): boolean {
		return false;
	}

	exchange(upstream: unknown, req: ExchangeRequest, handlers: ExchangeHandlers): Exchange {
		return this.play({through: 'upstream', maxAttempts: 1}, handlers as AttemptHandlers);
	}

	private play(fields: Readonly<{through: 'upstream' | 'relay'; maxAttempts: number}>, handlers: AttemptHandlers): Exchange {
		const {end, afterMs} = this.script[this.sends.length % this.script.length]!;
		const send: Send = {
			...fields, runs: end === 'answers' || end === 'runs and breaks' || end === 'hangs', wasNotSent: false, isOver: false,
		};
		this.sends.push(send);
		const finish = (how: AttemptEnd) => {
			if (!send.isOver) {
				send.isOver = true;
				send.wasNotSent = how.kind === 'not-sent';
				handlers.onEnd(how);
			}
		};

		const timer = setTimeout(() => {
			switch (end) {
				case 'answers': {
					handlers.onHead({status: 200, headers: {}});
					finish({kind: 'complete'});
					break;
				}

				case 'runs and breaks': {
					finish({kind: 'broken', cause: 'ECONNRESET'});
					break;
				}

				case 'never connects': {
					finish({kind: 'not-sent', cause: 'no connection'});
					break;
				}

				case 'declines': {
					finish(fields.through === 'relay' ? {kind: 'refused', retryAfterMs: 80, cause: 'full'} : {kind: 'not-sent', cause: 'refused'});
					break;
				}

				case 'hangs': {
					break;
				}

				case 'streams half an event': {
					handlers.onHead({status: 200, headers: {}});
					handlers.onData(Buffer.from('id: 0\ndata: first\n\nid: 1\nda'));
					finish({kind: 'complete'});
					break;
				}
			}
		}, afterMs);
		return {
			abort() {
				clearTimeout(timer);
				finish({kind: 'aborted'});
			},
			connection: () => 'new',
		};
	}
}

const behaviour: fc.Arbitrary<Behaviour> = fc.record({
	end: fc.constantFrom('answers', 'runs and breaks', 'never connects', 'declines', 'hangs'), afterMs: fc.integer({min: 0, max: 400}),
});

type History = Readonly<{kind: RequestKind; maxAttempts: number; isPartitioned: boolean; relays: number; upstreams: number; script: Behaviour[]}>;

const history: fc.Arbitrary<History> = fc.record({
	kind: fc.constantFrom<RequestKind>('idempotent', 'once'),
	maxAttempts: fc.integer({min: 1, max: 4}),
	isPartitioned: fc.boolean(),
	relays: fc.integer({min: 0, max: 6}),
	upstreams: fc.integer({min: 0, max: 6}),
	script: fc.array(behaviour, {minLength: 1, maxLength: 8}),
});

describe('requests that may be passed on to other daemons', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const play = ({kind, maxAttempts, isPartitioned, relays, upstreams, script}: History, partitionAfterMs = 0) => {
		const directory = new UpstreamDirectory();
		for (let index = 0; index < upstreams; index++) {
			directory.upsert({
				id: `u${index}` as UpstreamId, service, address: '', dataCentre: 'dc' as DataCentreId, slots: 6, state: 'ready', softwareVersion: 'v1' as SoftwareVersion, warmUpMs: 0,
				models: new Map(), bornAt: 1,
			});
		}

		const links = new ScriptedLinks(script, isPartitioned, relays);
		const forwarder = new Forwarder({
			clock: new TestClock(), directory, pool: links as unknown as ConnectionPool, health: new UpstreamHealthTracker(), protocol: new TestProtocol(), crashes: new NoCrashes(),
			limits: new UnlimitedRequests(), streams: new NoStreamOrigins(), dataCentre: 'dc' as DataCentreId, random: () => 0, relays: links,
			onRequestReport() {
				// These tests do not check reports.
			},
		});
		const route: Route = {
			name: 'r', host: 'h', prefix: '/', kind, services: [{service, weight: 1}], timeoutMs: 2000, targetLatencyMs: 200,
			maxAttempts, priority: 0, isResumable: false, batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false,
		};
		const outcomes: string[] = [];
		forwarder.forward({
			requestId: 'r1' as RequestId, method: 'POST', path: '/', host: 'h', headers: [], body: new Uint8Array(), route, deadlineAt: Date.now() + 2000,
		}, new OutcomeReceiver(outcome => {
			outcomes.push(outcome);
		}));
		vi.advanceTimersByTime(partitionAfterMs);
		links.isPartitioned ||= partitionAfterMs > 0;
		vi.advanceTimersByTime(10_000);
		return {outcomes, sends: links.sends};
	};

	it('keep to the limits of sends and attempts, run at most once unless idempotent, and never run when refused', () => {
		fc.assert(fc.property(history, one => {
			const {outcomes, sends} = play(one);
			const delivered = sends.filter(send => !send.wasNotSent);
			const ran = sends.filter(send => send.runs && !send.wasNotSent);
			expect(outcomes).toHaveLength(1);
			expect(sends.filter(({through}) => through === 'relay').length).toBeLessThanOrEqual(3);
			expect(delivered.reduce((sum, send) => sum + send.maxAttempts, 0)).toBeLessThanOrEqual(one.maxAttempts);
			expect(one.kind === 'once' ? ran.length : 0).toBeLessThanOrEqual(1);
			expect(outcomes[0] === 'refused' ? ran : []).toEqual([]);
			expect(sends.every(({isOver}) => isOver)).toBe(true);
		}), {seed: 20_261_204, numRuns: 2000});
	});

	it('go to other daemons only, and at once, while no upstream can be reached', () => {
		const {outcomes, sends} = play({
			kind: 'once', maxAttempts: 2, isPartitioned: true, relays: 6, upstreams: 3, script: [{end: 'never connects', afterMs: 5}, {end: 'answers', afterMs: 5}],
		});
		expect(outcomes).toEqual(['answered']);
		expect(sends.map(({through}) => through)).toEqual(['relay', 'relay']);
	});

	it.each([0, 6])('are refused after one further attempt while no upstream can be reached and none of %i other daemons takes them', relays => {
		const {outcomes, sends} = play({
			kind: 'idempotent', maxAttempts: 3, isPartitioned: true, relays, upstreams: 6, script: [{end: 'never connects', afterMs: 5}],
		});
		expect(outcomes).toEqual(['refused']);
		expect(sends.filter(({through}) => through === 'upstream').length).toBe(relays === 0 ? 1 : 0);
	});

	it('do not end a stream as complete that another daemon, such as one of an earlier build, ends within an event', () => {
		const {outcomes, sends} = play({
			kind: 'stream', maxAttempts: 2, isPartitioned: true, relays: 2, upstreams: 0, script: [{end: 'streams half an event', afterMs: 5}],
		});
		expect(outcomes).toEqual(['failed']);
		expect(sends.map(({through}) => through)).toEqual(['relay']);
	});

	it('are not hedged once a partition has been found and there is no other daemon', () => {
		const {sends} = play({
			kind: 'idempotent', maxAttempts: 3, isPartitioned: false, relays: 0, upstreams: 6, script: [{end: 'hangs', afterMs: 0}],
		}, 50);
		expect(sends).toHaveLength(1);
	});

	it('go to another daemon after two upstreams that could not be reached, before a partition is known', () => {
		const {outcomes, sends} = play({
			kind: 'once', maxAttempts: 2, isPartitioned: false, relays: 6, upstreams: 6,
			script: [{end: 'never connects', afterMs: 300}, {end: 'never connects', afterMs: 300}, {end: 'answers', afterMs: 5}],
		});
		expect(outcomes).toEqual(['answered']);
		expect(sends.map(({through}) => through)).toEqual(['upstream', 'upstream', 'relay']);
	});

	it('go to another daemon if the first request on a link that has fallen silent hangs', () => {
		const {outcomes, sends} = play({
			kind: 'idempotent', maxAttempts: 2, isPartitioned: false, relays: 6, upstreams: 6,
			script: [{end: 'hangs', afterMs: 0}, {end: 'never connects', afterMs: 300}, {end: 'answers', afterMs: 5}],
		});
		expect(outcomes).toEqual(['answered']);
		expect(sends.map(({through}) => through)).toEqual(['upstream', 'upstream', 'relay']);
	});
});
