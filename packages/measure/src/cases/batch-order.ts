import {
	longSampleTokens, planClaims, unclaimed, type BatchPlan, type BatchView, type ClaimTarget, type ItemClaim,
} from '@cicadapost/batches';
import {Random} from '@cicadapost/fakes';
import type {
	BatchId, ItemId, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';
import type {Variant} from '../bench.js';
import type {MeasurementCase, Run} from '../case.js';
import {quantile} from '../statistics.js';

type Planner = Extract<Variant, {kind: 'planner'}>['planner'];

const engineCount = 6;
const slots = 16;
/** Time of one event of all samples at an engine, measured on the users' bench: 34 ms with 5 samples, 41 ms with 16. */
const eventMs = (width: number): Millis => 30.8 + (0.64 * width);
const tokensPerEvent = 45;
const longestEvents = 176;
const groupSize = 8;
const trainers = [{groups: 9}, {groups: 8}] as const;
const stepEveryMs = 4000;
const deadlineMs = 7500;
/** A group counts if it is whole this long after the deadline at the latest. */
const lateMs = 700;
/** A trainer goes on with the step after the next once this share of a step's groups is whole. */
const wantedShare = 0.9;
const endMs = 60_000;
const model = 'draft' as ModelId;

type Sample = {readonly batch: Batch; readonly group: number; readonly item: number; left: number; readonly expected: number};
type Batch = {
	readonly id: BatchId;
	readonly plan: BatchPlan;
	readonly nominalAt: Millis;
	readonly samples: Sample[][];
	readonly claims: Array<{version: number; items: ItemClaim[]}>;
	readonly wholeAt: Array<Millis | undefined>;
};

type Engine = {readonly id: UpstreamId; running: Sample[]; nextAt: Millis | undefined};

/** Lengths are right at the median and mostly within a factor of two; 8% of the samples are five times as long as hinted. */
function createBatch(id: string, groups: number, at: Readonly<{now: Millis; nominalAt: Millis}>, random: Random): Batch {
	const expected = Array.from({length: groups}, () => Array.from({length: groupSize}, () => Math.exp(6.4 + (1.2 * (random.next() + random.next() + random.next() - 1.5) * 2))));
	const batch: Batch = {
		id: id as BatchId,
		nominalAt: at.nominalAt,
		plan: {
			host: 'h', path: '/', step: 0, model, minVersion: 1, targetGroups: groups, submittedAt: at.now,
			groups: expected.map((items, group) => ({items: items.map((expectedTokens, item) => ({id: `${group}.${item}` as ItemId, expectedTokens}))})),
		},
		samples: [],
		claims: expected.map(items => ({version: 1, items: items.map(() => unclaimed)})),
		wholeAt: expected.map(() => undefined),
	};
	batch.samples.push(...expected.map((items, group) => items.map((tokens, item) => {
		const actual = tokens * (random.isChance(0.08) ? 5 : 2 ** (random.next() - random.next()));
		return {
			batch, group, item, left: Math.max(1, Math.min(longestEvents, Math.round(actual / tokensPerEvent))), expected: tokens,
		};
	})));
	return batch;
}

function viewOf(batch: Batch): BatchView {
	return {
		id: batch.id, plan: batch.plan, planVersion: 1, count: 0, headVersion: 0, isEnded: false, claims: batch.claims,
	};
}

/** Baselines fill each engine to its full width in one order for all. */
const orders: Readonly<Record<Exclude<Planner, 'product'>, (a: Sample, b: Sample) => number>> = {
	'submission-order': () => 0,
	'shortest-first': (a, b) => a.expected - b.expected,
	'longest-first': (a, b) => b.expected - a.expected,
};

/** Trainers whose steps overlap by one, before engines in virtual time. */
class BatchWorld {
	private readonly batches: Batch[] = [];
	private readonly steps = trainers.map(() => 0);
	private readonly engines: Engine[];
	private now: Millis = 0;
	/** Samples have come or a slot is free. */
	private hasNews = false;

	constructor(private readonly planner: Planner, private readonly random: Random) {
		this.engines = Array.from({length: engineCount}, (_, index) => ({id: `e${index}` as UpstreamId, running: [], nextAt: undefined}));
	}

	run(): Run {
		while (this.now < endMs) {
			this.submit();
			if (this.hasNews) {
				this.hasNews = false;
				for (const [rank, engine] of this.engines.entries()) {
					this.fill(engine, rank);
				}
			}

			this.now = Math.min(...this.engines.map(engine => engine.nextAt ?? Number.POSITIVE_INFINITY), this.nextSubmission());
			for (const engine of this.engines.filter(candidate => candidate.nextAt !== undefined && candidate.nextAt <= this.now)) {
				this.makeEvents(engine);
			}
		}

		const due = this.batches.filter(batch => batch.nominalAt + deadlineMs + lateMs < endMs);
		const owed = trainers.reduce((sum, {groups}) => sum + (groups * Math.ceil((endMs - deadlineMs - lateMs) / stepEveryMs)), 0);
		const inTime = due.flatMap(batch => batch.wholeAt.filter(at => at !== undefined && at <= batch.nominalAt + deadlineMs + lateMs));
		const durations = due.map(batch => this.wantedAt(batch) - batch.plan.submittedAt);
		return {figures: {inTime: 100 * inTime.length / owed, median: quantile(durations, 0.5) / 1000, p90: quantile(durations, 0.9) / 1000}};
	}

	/** When the wanted share of a batch's groups was whole. */
	private wantedAt(batch: Batch): Millis {
		return quantile(batch.wholeAt.map(at => at ?? Number.POSITIVE_INFINITY), wantedShare);
	}

	private ofTrainer(trainer: number): Batch[] {
		return this.batches.filter(batch => batch.id.startsWith(`${trainer}/`));
	}

	private nextSubmission(): Millis {
		return Math.min(...this.steps.map(step => step * stepEveryMs).filter(at => at > this.now), endMs);
	}

	private submit(): void {
		for (const [trainer, {groups}] of trainers.entries()) {
			const step = this.steps[trainer]!;
			const before = this.ofTrainer(trainer)[step - 2];
			if (this.now >= step * stepEveryMs && (before === undefined || this.wantedAt(before) <= this.now)) {
				this.batches.push(createBatch(`${trainer}/${step}`, groups, {now: this.now, nominalAt: step * stepEveryMs}, this.random));
				this.steps[trainer] = step + 1;
				this.hasNews = true;
			}
		}
	}

	private fill(engine: Engine, rank: number): void {
		for (const {batch, group, items} of this.plan(engine, rank)) {
			const found = this.batches.find(candidate => candidate.id === batch)!;
			for (const item of items) {
				found.claims[group]!.items[item] = {
					kind: 'running', failures: 0, hasPartialText: false, incarnation: 'd', engine: engine.id,
				};
				engine.running.push(found.samples[group]![item]!);
			}
		}

		if (engine.nextAt === undefined && engine.running.length > 0) {
			engine.nextAt = this.now + eventMs(engine.running.length);
		}
	}

	private plan(engine: Engine, rank: number): ClaimTarget[] {
		const open = this.batches.filter(batch => batch.wholeAt.includes(undefined));
		if (this.planner !== 'product') {
			const samples = open.flatMap(batch => batch.samples.flat().filter(({group, item}) => batch.claims[group]!.items[item]!.kind === 'open'));
			return samples.sort(orders[this.planner]).slice(0, slots - engine.running.length).map(({batch, group, item}) => ({batch: batch.id, group, items: [item]}));
		}

		return planClaims({
			engine: {
				id: engine.id, slots, running: engine.running.length, runningLong: engine.running.filter(sample => sample.expected > longSampleTokens).length, isSlow: false,
				versions: new Map([[model, 1]]), rank, engines: engineCount,
			},
			batches: open.map(batch => ({view: viewOf(batch), dueAt: batch.plan.submittedAt + deadlineMs})),
			isClaimLive: () => true,
			now: this.now,
		});
	}

	private makeEvents(engine: Engine): void {
		for (const sample of engine.running) {
			sample.left -= 1;
			if (sample.left === 0) {
				this.hasNews = true;
				const {batch, group, item} = sample;
				batch.claims[group]!.items[item] = {kind: 'listed'};
				if (batch.claims[group]!.items.every(claim => claim.kind === 'listed')) {
					batch.wholeAt[group] = this.now;
				}
			}
		}

		engine.running = engine.running.filter(sample => sample.left > 0);
		engine.nextAt = engine.running.length > 0 ? this.now + eventMs(engine.running.length) : undefined;
	}
}

const planner = (name: string, kind: Planner): Variant => ({name, kind: 'planner', planner: kind});

export const batchOrder: MeasurementCase = {
	name: 'batch-order',
	setting: `${engineCount} engines of ${slots} slots, two trainers that submit ${trainers.map(({groups}) => groups).join(' and ')} groups of ${groupSize} samples every ${stepEveryMs / 1000} s and wait for ${100 * wantedShare}% of the groups of the step before the last; 8% of the samples are five times as long as hinted`,
	figures: [
		{key: 'inTime', title: 'groups in time %', digits: 1},
		{key: 'median', title: 'median s of a step', digits: 2},
		{key: 'p90', title: 'p90 s of a step', digits: 2},
	],
	bounds: [],
	variants: [planner('policy', 'product'), planner('submission order', 'submission-order'), planner('shortest first', 'shortest-first'), planner('longest first', 'longest-first')],
	run(variant, seed) {
		if (variant.kind !== 'planner') {
			throw new Error(`batch-order compares planners; ${variant.name} is none`);
		}

		return new BatchWorld(variant.planner, new Random(seed)).run();
	},
};
