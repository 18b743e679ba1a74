import {
	id, type CallId, type DaemonId, type DataCentreId, type Fingerprint, type MemberId, type RequestId, type RowResponse,
} from '@cicadapost/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createBucket, fill, waitFor} from './bucket.js';
import {
	createMeter, decideMeter, ownRate, type MeterAction, type MeterEvent, type MeterState,
} from './meter.js';
import type {CapRow} from './parts.js';

const cap = 1000;
const tickMs = 50;
const dataCentres = ['dc-1', 'dc-2', 'dc-3'].map(name => id<DataCentreId>(name));
const settings = {cap, dataCentres, configurationVersion: 1};

type DelayedCall = Readonly<{at: number; run: () => void}>;

/** Simulates the meters of one member in three data centres and a table service. Messages and calls take 10 ms. */
class Bench {
	now = 0;
	readonly meters = new Map<DataCentreId, MeterState>();
	readonly demand = new Map<DataCentreId, number>();
	readonly cutOff = new Set<DataCentreId>();
	readonly used: Array<{at: number; dataCentre: DataCentreId; tokens: number}> = [];
	readonly denied: Array<{at: number; name: string; retryAfterMs: number; dataCentre: DataCentreId}> = [];
	row: {version: number; value: string} | undefined;
	/** How the next writes fail: the answer is lost after the write has taken effect, or the answer is lost and the write is delayed. */
	fault: 'none' | 'lost-answer' | 'late-write' = 'none';
	hasLateWrite = false;
	private late: DelayedCall[] = [];
	private count = 0;
	private readonly pendingTokens = new Map<DataCentreId, number>();

	constructor() {
		for (const dataCentre of dataCentres) {
			this.startMeter(dataCentre);
		}
	}

	startMeter(dataCentre: DataCentreId): void {
		this.meters.set(dataCentre, createMeter({member: id<MemberId>('m'), dataCentre, settings}, this.now));
	}

	send(dataCentre: DataCentreId, event: MeterEvent): void {
		for (const action of decideMeter(this.meters.get(dataCentre)!, event, this.now).actions) {
			this.apply(dataCentre, action);
		}
	}

	ask(dataCentre: DataCentreId, tokens: number, name = `r${this.count++}`): void {
		this.send(dataCentre, {
			kind: 'ask', from: id<DaemonId>('entry'), requestId: id<RequestId>(name), fingerprint: id<Fingerprint>(name.replace('-again', '')), tokens,
		});
	}

	run(ms: number, each: () => void = () => undefined): void {
		for (const until = this.now + ms; this.now < until;) {
			this.now++;
			const due = this.late.filter(({at}) => at <= this.now);
			this.late = this.late.filter(({at}) => at > this.now);
			for (const {run} of due) {
				run();
			}

			for (const dataCentre of dataCentres) {
				this.generateLoad(dataCentre);
				if (this.now % tickMs === 0) {
					this.send(dataCentre, {kind: 'tick', call: id<CallId>(`${dataCentre}.${this.now}`)});
				}
			}

			each();
		}
	}

	totalRate(): number {
		return [...this.meters.values()].reduce((sum, meter) => sum + ownRate(meter), 0);
	}

	/** Runs for `ms` and returns the highest sum of the parts in use. */
	peakRate(ms: number): number {
		let peak = 0;
		this.run(ms, () => {
			peak = Math.max(peak, this.totalRate());
		});
		return peak;
	}

	/** Returns the maximum number of tokens used in any period of `periodMs`. */
	peakUse(periodMs: number): number {
		let sum = 0;
		let peak = 0;
		let first = 0;
		for (const {at, tokens} of this.used) {
			sum += tokens;
			while (this.used[first]!.at <= at - periodMs) {
				sum -= this.used[first++]!.tokens;
			}

			peak = Math.max(peak, sum);
		}

		return peak;
	}

	private generateLoad(dataCentre: DataCentreId): void {
		const pendingTokens = (this.pendingTokens.get(dataCentre) ?? 0) + ((this.demand.get(dataCentre) ?? 0) / 1000);
		this.pendingTokens.set(dataCentre, pendingTokens % 20);
		for (let i = 0; i < Math.floor(pendingTokens / 20); i++) {
			this.ask(dataCentre, 20);
		}
	}

	private schedule(run: () => void, delayMs = 10): void {
		this.late.push({at: this.now + delayMs, run});
	}

	private apply(from: DataCentreId, action: MeterAction): void {
		switch (action.kind) {
			case 'allow': {
				this.used.push({at: this.now, dataCentre: from, tokens: action.tokens});
				break;
			}

			case 'deny': {
				this.denied.push({
					at: this.now, name: action.requestId, retryAfterMs: action.retryAfterMs, dataCentre: from,
				});
				break;
			}

			case 'send-demand': {
				this.broadcast(from, {
					kind: 'demand', dataCentre: from, tokensPerSecond: action.tokensPerSecond, version: action.version,
				});
				break;
			}

			case 'share-parts': {
				this.broadcast(from, {kind: 'parts', version: action.version, row: action.row});
				break;
			}

			case 'read-row': {
				this.schedule(() => {
					this.answer(from, action.call, this.row === undefined ? {kind: 'absent'} : {kind: 'row', ...this.row});
				});
				break;
			}

			case 'write-row': {
				this.write(from, action);
				break;
			}
		}
	}

	private write(from: DataCentreId, action: Extract<MeterAction, {kind: 'write-row'}>): void {
		if (this.cutOff.has(from)) {
			this.answer(from, action.call, {kind: 'unavailable'});
			return;
		}

		const {fault} = this;
		this.schedule(() => {
			const isCurrent = (this.row?.version ?? 0) === action.expectedVersion;
			if (isCurrent) {
				this.row = {version: action.expectedVersion + 1, value: action.value};
			}

			const answer: RowResponse = isCurrent ? {kind: 'written', version: this.row!.version} : {kind: 'conflict', ...this.row!};
			this.answer(from, action.call, fault === 'none' ? answer : {kind: 'unavailable'});
		}, fault === 'late-write' ? 5000 : 10);
		if (fault === 'late-write') {
			this.hasLateWrite = true;
			this.answer(from, action.call, {kind: 'unavailable'});
		}
	}

	private answer(to: DataCentreId, call: CallId, answer: RowResponse): void {
		this.schedule(() => {
			this.send(to, {kind: 'row-answer', call, answer: this.cutOff.has(to) ? {kind: 'unavailable'} : answer});
		});
	}

	private broadcast(from: DataCentreId, event: MeterEvent): void {
		for (const to of dataCentres) {
			if (to !== from && !this.cutOff.has(from) && !this.cutOff.has(to)) {
				this.schedule(() => {
					this.send(to, event);
				});
			}
		}
	}
}

const [first, second, third] = dataCentres as [DataCentreId, DataCentreId, DataCentreId];

describe('a bucket', () => {
	it('is empty when it is new and full after 2 s, so that replacing a meter gives no second burst', () => {
		const bucket = createBucket(0);
		expect(waitFor(bucket, 100, 1000)).toBe(100);
		fill(bucket, 1000, 60_000);
		expect(bucket.tokens).toBe(2000);
	});
});

describe('meters of one member', () => {
	describe('with demand in one data centre', () => {
		it('transfer the parts there, and follow within 10 s when the demand moves to another one', () => {
			const bench = new Bench();
			bench.demand.set(first, 2000);
			bench.run(10_000);
			expect(ownRate(bench.meters.get(first)!)).toBeGreaterThan(0.9 * cap);
			bench.demand.set(first, 0);
			bench.demand.set(second, 2000);
			bench.run(10_000);
			expect(ownRate(bench.meters.get(second)!)).toBeGreaterThan(0.9 * cap);
			const row = JSON.parse(bench.row!.value) as CapRow;
			expect(Object.values(row.parts).reduce((sum, part) => sum + part, 0)).toBeCloseTo(cap, 6);
		});
	});

	describe('with a data centre that is cut off from the others and from the store', () => {
		it('keep its part, and converge within 10 s after the partition heals', () => {
			const bench = new Bench();
			bench.demand.set(first, 2000);
			bench.demand.set(second, 2000);
			bench.run(10_000);
			bench.cutOff.add(first);
			const before = ownRate(bench.meters.get(first)!);
			bench.run(20_000, () => {
				expect(bench.totalRate()).toBeLessThanOrEqual(cap + 1e-6);
			});
			expect(ownRate(bench.meters.get(first)!)).toBeCloseTo(before, 6);
			bench.demand.set(first, 0);
			bench.cutOff.clear();
			bench.run(10_000);
			expect(ownRate(bench.meters.get(second)!)).toBeGreaterThan(0.9 * cap);
		});
	});

	describe('with lost answers, late writes, pauses, partitions and new meters in any order', () => {
		it('never allow more tokens than the cap and its burst, and never have parts that add up to more than the cap', () => {
			const step = fc.record({
				fault: fc.constantFrom('none', 'lost-answer', 'late-write'),
				cutOff: fc.constantFrom(undefined, ...dataCentres),
				restart: fc.constantFrom(undefined, undefined, ...dataCentres),
				demands: fc.tuple(fc.nat(2000), fc.nat(2000), fc.nat(2000)),
				ms: fc.integer({min: 100, max: 5000}),
			});
			fc.assert(fc.property(fc.array(step, {minLength: 3, maxLength: 8}), steps => {
				const bench = new Bench();
				for (const {fault, cutOff, restart, demands, ms} of steps) {
					bench.fault = fault;
					bench.cutOff.clear();
					if (cutOff !== undefined) {
						bench.cutOff.add(cutOff);
					}

					if (restart !== undefined) {
						bench.startMeter(restart);
					}

					for (const [index, demand] of demands.entries()) {
						bench.demand.set(dataCentres[index]!, demand);
					}

					expect(bench.peakRate(ms)).toBeLessThanOrEqual(cap + 1e-6);
				}

				for (const periodMs of [100, 1000, 5000]) {
					expect(bench.peakUse(periodMs)).toBeLessThanOrEqual((cap * ((periodMs / 1000) + 2)) + 1e-6);
				}
			}), {numRuns: 40, seed: 7});
		});
	});

	describe('with a write that is accepted 5 s after its answer was lost', () => {
		const startLateTransfer = () => {
			const bench = new Bench();
			for (const dataCentre of dataCentres) {
				bench.demand.set(dataCentre, 2000);
			}

			bench.run(5000);
			bench.demand.set(first, 0);
			bench.fault = 'late-write';
			while (!bench.hasLateWrite) {
				bench.run(50);
			}

			bench.fault = 'none';
			// The demand returns before the next transfer, so that no second write replaces the late one.
			bench.demand.set(first, 100_000);
			return bench;
		};

		const peakRate = (bench: Bench) => {
			// The data centre is disconnected before the write is accepted, so it can't learn of it.
			bench.run(2500);
			bench.cutOff.add(first);
			return bench.peakRate(12_000);
		};

		it('never reclaims a part that the write gives up', () => {
			expect(peakRate(startLateTransfer())).toBeLessThanOrEqual(cap + 1e-6);
		});

		it('never uses, in a new meter, a part that the write of its predecessor gives up', () => {
			const bench = startLateTransfer();
			bench.startMeter(first);
			expect(peakRate(bench)).toBeLessThanOrEqual(cap + 1e-6);
		});
	});

	describe('over the cap', () => {
		it('refuse with a retry time at which 90% succeed, while other requests continue', () => {
			const bench = new Bench();
			for (const dataCentre of dataCentres) {
				bench.demand.set(dataCentre, 700);
			}

			let seen = 0;
			const returns: Array<{at: number; name: string; dataCentre: DataCentreId}> = [];
			bench.run(30_000, () => {
				while (seen < bench.denied.length) {
					const {at, name, retryAfterMs, dataCentre} = bench.denied[seen++]!;
					if (!name.endsWith('-again') && at > 5000) {
						returns.push({at: at + retryAfterMs, name, dataCentre});
					}
				}

				for (const {name, dataCentre} of returns.filter(({at}) => at === bench.now)) {
					bench.ask(dataCentre, 20, `${name}-again`);
				}
			});
			const again = returns.filter(({at}) => at <= bench.now).length;
			expect(again).toBeGreaterThan(100);
			expect(bench.denied.filter(({name}) => name.endsWith('-again')).length / again).toBeLessThan(0.1);
		});

		it('allow nothing after a start until the row has been read', () => {
			const bench = new Bench();
			bench.run(5000);
			bench.startMeter(third);
			bench.ask(third, 20);
			expect(bench.denied.length).toBe(1);
		});
	});

	describe('after a pause', () => {
		it('allow nothing until the row has been read again, since another meter may have lowered the part', () => {
			const bench = new Bench();
			bench.run(5000);
			const paused = bench.meters.get(first)!;
			const {now} = bench;
			decideMeter(paused, {
				kind: 'ask', from: id<DaemonId>('entry'), requestId: id<RequestId>('late'), fingerprint: id<Fingerprint>('late'), tokens: 1,
			}, now + 5000);
			expect(ownRate(paused)).toBe(0);
		});
	});
});
