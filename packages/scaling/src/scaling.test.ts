import {DutyClient, type DutyOutcome, type ScaleOrder} from '@cicadapost/duties';
import type {ScalingRules} from '@cicadapost/forwarding';
import type {DataCentreId, Millis, ServiceId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {neededForRequests, neededForSamples} from './needed-upstreams.js';
import {PaceTracker} from './pace-tracker.js';
import type {UpstreamKind} from './plan-upstream-counts.js';
import {parseNote, type ScalingNote} from './scaling-note.js';
import {ScalingWork} from './scaling-work.js';
import {ServiceScaling} from './service-scaling.js';

const [cheap, dear] = ['a', 'b'] as DataCentreId[] as [DataCentreId, DataCentreId];
const rules: ScalingRules = {
	min: 1, max: 10, bootMs: 4000, spotPrice: 0.22, prices: new Map([[cheap, 1], [dear, 1.3]]),
};
const serviceName = 's' as ServiceId;

class Client extends DutyClient {
	override dutyOf(): undefined {
		return undefined;
	}

	override encodeUsage(): Uint8Array {
		return new Uint8Array();
	}

	override encodeScale(order: ScaleOrder): Uint8Array {
		return Buffer.from(JSON.stringify(order));
	}

	override async send(): Promise<DutyOutcome> {
		throw new Error('the platform of the test answers itself');
	}
}

type Site = {regular: number; spot: number; booting: Array<Readonly<{kind: UpstreamKind; at: Millis}>>; leavingSpotUntil: Millis};

/** A platform that boots and removes upstreams as ordered, and the duty of one service in two data centres, in steps of 500 ms. */
class Platform {
	now = 0;
	readonly sites = new Map<DataCentreId, Site>([cheap, dear].map(dataCentre => [dataCentre, {
		regular: 2, spot: 0, booting: [], leavingSpotUntil: 0,
	}]));

	readonly orders: Array<Readonly<{at: Millis; dataCentre: DataCentreId; kind: UpstreamKind; count: number}>> = [];
	readonly notes = new Map<DataCentreId, unknown>();
	answer: (order: ScaleOrder) => DutyOutcome = () => ({kind: 'done'});
	scaling = new ServiceScaling();

	async run(ms: Millis, needed: (at: Millis) => number | undefined): Promise<number[]> {
		const serving: number[] = [];
		for (const end = this.now + ms; this.now < end;) {
			this.now += 500;
			this.boot();
			this.scaling.observe({rules, needed: needed(this.now), listed: this.listed()}, this.now);
			for (const dataCentre of this.sites.keys()) {
				await this.order(dataCentre);
			}

			serving.push(this.serving);
		}

		return serving;
	}

	get serving(): number {
		return [...this.sites.values()].reduce((sum, {regular, spot}) => sum + regular + spot, 0);
	}

	reclaim(dataCentre: DataCentreId): void {
		Object.assign(this.sites.get(dataCentre)!, {spot: 0, leavingSpotUntil: this.now + 10_000});
	}

	private boot(): void {
		for (const site of this.sites.values()) {
			for (const {kind} of site.booting.filter(({at}) => at <= this.now)) {
				site[kind] += 1;
			}

			site.booting = site.booting.filter(({at}) => at > this.now);
		}
	}

	private listed() {
		return [...this.sites].map(([dataCentre, {regular, spot, leavingSpotUntil}]) => ({
			dataCentre, ready: {regular, spot}, leaving: {regular: 0, spot: leavingSpotUntil > this.now ? 1 : 0},
		}));
	}

	private parsed(): Map<DataCentreId, ScalingNote> {
		return new Map([...this.notes].flatMap(([dataCentre, stored]) => {
			const note = parseNote(stored);
			return note === undefined ? [] : [[dataCentre, note] as const];
		}));
	}

	private async order(dataCentre: DataCentreId): Promise<void> {
		const work = new ScalingWork({
			service: serviceName, dataCentre, scaling: this.scaling, client: new Client(), notes: () => this.parsed(), storeTime: now => now, onScaleReport: () => undefined,
		});
		const note = this.notes.get(dataCentre);
		if (work.dueSince(note, this.now) === undefined) {
			return;
		}

		const call = await work.prepare(note, this.now);
		const order = JSON.parse(Buffer.from(call!.body!).toString()) as ScaleOrder;
		const kind = order.isSpot ? 'spot' : 'regular';
		this.orders.push({
			at: this.now, dataCentre, kind, count: order.upstreams,
		});
		this.notes.set(dataCentre, call!.note);
		const outcome = this.answer(order);
		if (outcome.kind === 'done' || outcome.kind === 'unknown') {
			this.carryOut(order, kind);
		}

		this.notes.set(dataCentre, call!.noteAfter(outcome) ?? call!.note);
	}

	private carryOut({dataCentre, upstreams}: ScaleOrder, kind: UpstreamKind): void {
		const site = this.sites.get(dataCentre)!;
		const others = site.booting.filter(booting => booting.kind !== kind);
		const booting = site.booting.filter(candidate => candidate.kind === kind).slice(0, Math.max(0, upstreams - site[kind]));
		site[kind] = Math.min(site[kind], upstreams);
		const added = Array.from({length: Math.max(0, upstreams - site[kind] - booting.length)}, () => ({kind, at: this.now + rules.bootMs}));
		site.booting = [...others, ...booting, ...added];
	}
}

describe('the number of upstreams', () => {
	it('follows growing load within the boot time, and falling load only after a long calm, without going back and forth', async () => {
		const platform = new Platform();
		const load = (at: Millis) => (at < 200_000 ? Math.min(12, 4 + Math.floor(at / 15_000)) : 4);
		const serving = await platform.run(900_000, load);
		for (const [index, count] of serving.entries()) {
			expect(count).toBeGreaterThanOrEqual(load((index * 500) - rules.bootMs - 1000));
		}

		const rising = platform.orders.filter(({at}) => at < 200_000);
		const firstBack = platform.orders.find(({at}) => at >= 200_000)!;
		expect(firstBack.at).toBeGreaterThan(200_000 + 170_000);
		expect(platform.orders).toHaveLength(new Set(platform.orders.map(({dataCentre, kind, count, at}) => `${dataCentre}${kind}${count}${at < 200_000}`)).size);
		expect(rising.length).toBeLessThanOrEqual(10);
		expect(platform.serving).toBeLessThanOrEqual(6);
		expect(platform.serving).toBeGreaterThanOrEqual(4);
	});

	it('stays at what bursts need, instead of following each of them', async () => {
		const platform = new Platform();
		await platform.run(600_000, at => (at % 40_000 < 3000 ? 9 : 3));
		expect(platform.orders.filter(({at}) => at > 45_000)).toEqual([]);
		expect(platform.serving).toBe(9);
	});

	it('does not change while the need can\'t be told', async () => {
		const platform = new Platform();
		await platform.run(400_000, () => undefined);
		expect(platform.orders).toEqual([]);
	});

	it('rises elsewhere if a data centre has none, and asks there rarely', async () => {
		const platform = new Platform();
		platform.answer = ({dataCentre}) => (dataCentre === cheap ? {kind: 'unavailable'} : {kind: 'done'});
		await platform.run(60_000, () => 8);
		expect(platform.serving).toBe(8);
		expect(platform.orders.filter(({dataCentre}) => dataCentre === cheap).length).toBeLessThan(10);
	});

	it('replaces upstreams that are reclaimed, and does not order them there again at once', async () => {
		const platform = new Platform();
		await platform.run(30_000, () => 9);
		const [lost] = [...platform.sites].find(([, {spot}]) => spot > 0)!;
		platform.reclaim(lost);
		const reclaimedAt = platform.now;
		await platform.run(rules.bootMs + 2000, () => 9);
		expect(platform.serving).toBeGreaterThanOrEqual(9);
		await platform.run(40_000, () => 9);
		expect(platform.orders.filter(({at, dataCentre, kind, count}) => at > reclaimedAt && dataCentre === lost && kind === 'spot' && count > 0)).toEqual([]);
	});

	it('is not ordered twice after lost responses, also by another holder', async () => {
		const platform = new Platform();
		platform.answer = () => ({kind: 'unknown', cause: 'lost'});
		await platform.run(3000, () => 9);
		platform.scaling = new ServiceScaling();
		platform.answer = () => ({kind: 'done'});
		await platform.run(20_000, () => 9);
		expect(platform.serving).toBe(9);
		expect(new Set(platform.orders.map(({dataCentre, kind, count}) => `${dataCentre} ${kind} ${count}`)).size).toBe(2);
	});

	it('never exceeds the maximum, nor falls below the minimum', async () => {
		const platform = new Platform();
		await platform.run(30_000, () => 100);
		expect(platform.serving).toBe(20);
		await platform.run(2_000_000, () => 0);
		expect(platform.serving).toBe(2);
	});

	it('makes up for ordered upstreams that never come', async () => {
		const platform = new Platform();
		await platform.run(10_000, () => 6);
		platform.sites.get(dear)!.regular -= 1;
		await platform.run(30_000, () => 6);
		expect(platform.serving).toBeGreaterThanOrEqual(6);
	});
});

describe('the need', () => {
	const demand = {
		submittedTokens: 0, submittedMs: 20_000, msPerToken: 10, slots: 8, bootMs: 4000, serving: 4,
	};

	it('of samples is what completes each of them by its due time', () => {
		// 1.4 x 10 ms for each token on 8 slots: 1.75 ms of an upstream.
		expect(neededForSamples({...demand, work: [{dueInMs: 10_000, tokens: 20_000}]})).toBe(4);
		expect(neededForSamples({...demand, work: [{dueInMs: 20_000, tokens: 20_000}, {dueInMs: 10_000, tokens: 40_000}]})).toBe(7);
	});

	it('of samples that are late already is no larger than what new upstreams can still do', () => {
		expect(neededForSamples({...demand, work: [{dueInMs: -5000, tokens: 6000}]})).toBe(2);
	});

	it('of samples keeps up with the rate of submissions', () => {
		expect(neededForSamples({...demand, submittedTokens: 80_000, work: []})).toBe(7);
	});

	it('is not guessed while nothing has been measured, unless nothing serves', () => {
		expect(neededForSamples({...demand, msPerToken: undefined, work: [{dueInMs: 100, tokens: 1000}]})).toBeUndefined();
		expect(neededForSamples({
			...demand, msPerToken: undefined, serving: 0, work: [{dueInMs: 100, tokens: 1000}],
		})).toBe(2);
		expect(neededForRequests({reported: [], serving: 3})).toBeUndefined();
	});

	it('of plain requests leaves slots free', () => {
		expect(neededForRequests({reported: [{running: 6, waiting: 3, slots: 6}, {running: 6, waiting: 0, slots: 6}], serving: 2})).toBe(5);
	});

	it('uses the pace at which slots complete tokens', () => {
		const pace = new PaceTracker();
		for (let now = 0; now <= 10_000; now += 1000) {
			pace.observe(16, 800, now);
		}

		expect(pace.msPerToken).toBeCloseTo(20, -1);
	});
});
