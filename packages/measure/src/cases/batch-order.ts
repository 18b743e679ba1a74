import {
	longSampleTokens, planClaims, planContendedClaims, unclaimed, type BatchPlan, type BatchView, type ClaimTarget, type EngineCapacity, type ItemClaim,
} from '@cicadapost/batches';
import {Random} from '@cicadapost/fakes';
import {PaceMeter} from '@cicadapost/sample-order';
import type {
	BatchId, ItemId, Millis, ModelId, SoftwareVersion, UpstreamId,
} from '@cicadapost/types';
import type {Variant} from '../bench.js';
import type {MeasurementCase, RunResult} from '../case.js';
import {quantile} from '../statistics.js';

type Planner = Extract<Variant, {kind: 'planner'}>['planner'];

const engineCount = 6;
const slots = 16;
/** Time between two events of a sample by the number of samples that run on the engine. Fitted to measurements on the users' test bench: 34 ms with 5 samples, 41 ms with 16. */
const eventDurationMs = (concurrency: number): Millis => 30.8 + (0.64 * concurrency);
const tokensPerEvent = 45;
const longestEvents = 176;
const groupSize = 8;
const trainers = [{groups: 9}, {groups: 8}] as const;
const stepIntervalMs = 4000;
const deadlineMs = 7500;
/** A group counts as in time if it is complete at most this long after the deadline. */
const gracePeriodMs = 700;
/** A trainer submits step n + 2 once this share of the groups of step n is complete. */
const requiredGroupShare = 0.9;
const endMs = 60_000;
const model = 'draft' as ModelId;
const softwareVersion = 'v1' as SoftwareVersion;

type Sample = {readonly batch: Batch; readonly group: number; readonly item: number; remainingEvents: number; readonly expected: number; startedAt: Millis};
type Batch = {
	readonly id: BatchId;
	readonly plan: BatchPlan;
	readonly scheduledAt: Millis;
	readonly samples: Sample[][];
	readonly claims: Array<{version: number; items: ItemClaim[]}>;
	readonly groupCompletedAt: Array<Millis | undefined>;
};

type Engine = {readonly id: UpstreamId; running: Sample[]; nextAt: Millis | undefined};

/** Length hints are correct at the median and mostly within a factor of two, but 8% of the samples are five times as long as hinted. */
function createBatch(id: string, groups: number, at: Readonly<{now: Millis; scheduledAt: Millis}>, random: Random): Batch {
	const expected = Array.from({length: groups}, () => Array.from({length: groupSize}, () => Math.exp(6.4 + (1.2 * (random.next() + random.next() + random.next() - 1.5) * 2))));
	const batch: Batch = {
		id: id as BatchId,
		scheduledAt: at.scheduledAt,
		plan: {
			host: 'h', path: '/', step: 0, model, minVersion: 1, targetGroups: groups, submittedAt: at.now,
			groups: expected.map((items, group) => ({items: items.map((expectedTokens, item) => ({id: `${group}.${item}` as ItemId, expectedTokens}))})),
		},
		samples: [],
		claims: expected.map(items => ({version: 1, items: items.map(() => unclaimed)})),
		groupCompletedAt: expected.map(() => undefined),
	};
	batch.samples.push(...expected.map((items, group) => items.map((tokens, item) => {
		const actual = tokens * (random.bernoulli(0.08) ? 5 : 2 ** (random.next() - random.next()));
		return {
			batch, group, item, remainingEvents: Math.max(1, Math.min(longestEvents, Math.round(actual / tokensPerEvent))), expected: tokens, startedAt: 0,
		};
	})));
	return batch;
}

function toBatchView(batch: Batch): BatchView {
	return {
		id: batch.id, plan: batch.plan, planVersion: 1, count: 0, isEnded: false, claims: batch.claims,
	};
}

/** Sort orders of the baselines, which fill all slots of each engine in one global order. */
const orders: Readonly<Record<Exclude<Planner, 'product' | 'slack'>, (a: Sample, b: Sample) => number>> = {
	'submission-order': () => 0,
	'shortest-first': (a, b) => a.expected - b.expected,
	'longest-first': (a, b) => b.expected - a.expected,
};

/** Simulates trainers with two overlapping steps each, and engines, in virtual time. */
class BatchSimulation {
	private readonly batches: Batch[] = [];
	private readonly steps = trainers.map(() => 0);
	private readonly engines: Engine[];
	private readonly pace = new PaceMeter();
	/** Engines and the groups of which they have run an item. */
	private readonly prompts = new Set<string>();
	private now: Millis = 0;
	/** Set when samples have been submitted or a slot has become free. */
	private isPlanningNeeded = false;

	constructor(private readonly planner: Planner, private readonly random: Random) {
		this.engines = Array.from({length: engineCount}, (_, index) => ({id: `e${index}` as UpstreamId, running: [], nextAt: undefined}));
	}

	run(): RunResult {
		while (this.now < endMs) {
			this.submit();
			if (this.isPlanningNeeded) {
				this.isPlanningNeeded = false;
				for (const [rank, engine] of this.engines.entries()) {
					this.fillEngine(engine, rank);
				}
			}

			this.now = Math.min(...this.engines.map(engine => engine.nextAt ?? Number.POSITIVE_INFINITY), this.nextSubmissionAt());
			for (const engine of this.engines.filter(candidate => candidate.nextAt !== undefined && candidate.nextAt <= this.now)) {
				this.advanceEngine(engine);
			}
		}

		const dueBatches = this.batches.filter(batch => batch.scheduledAt + deadlineMs + gracePeriodMs < endMs);
		const expectedGroups = trainers.reduce((sum, {groups}) => sum + (groups * Math.ceil((endMs - deadlineMs - gracePeriodMs) / stepIntervalMs)), 0);
		const inTime = dueBatches.flatMap(batch => batch.groupCompletedAt.filter(at => at !== undefined && at <= batch.scheduledAt + deadlineMs + gracePeriodMs));
		const durations = dueBatches.map(batch => this.requiredGroupsCompletedAt(batch) - batch.plan.submittedAt);
		return {figures: {inTime: 100 * inTime.length / expectedGroups, median: quantile(durations, 0.5) / 1000, p90: quantile(durations, 0.9) / 1000}};
	}

	/** When the required share of the batch's groups was complete. */
	private requiredGroupsCompletedAt(batch: Batch): Millis {
		return quantile(batch.groupCompletedAt.map(at => at ?? Number.POSITIVE_INFINITY), requiredGroupShare);
	}

	private batchesOfTrainer(trainer: number): Batch[] {
		return this.batches.filter(batch => batch.id.startsWith(`${trainer}/`));
	}

	private nextSubmissionAt(): Millis {
		return Math.min(...this.steps.map(step => step * stepIntervalMs).filter(at => at > this.now), endMs);
	}

	private submit(): void {
		for (const [trainer, {groups}] of trainers.entries()) {
			const step = this.steps[trainer]!;
			const before = this.batchesOfTrainer(trainer)[step - 2];
			if (this.now >= step * stepIntervalMs && (before === undefined || this.requiredGroupsCompletedAt(before) <= this.now)) {
				this.batches.push(createBatch(`${trainer}/${step}`, groups, {now: this.now, scheduledAt: step * stepIntervalMs}, this.random));
				this.steps[trainer] = step + 1;
				this.isPlanningNeeded = true;
			}
		}
	}

	private fillEngine(engine: Engine, rank: number): void {
		for (const {batch, group, items} of this.plan(engine, rank)) {
			const claimedBatch = this.batches.find(candidate => candidate.id === batch)!;
			this.prompts.add(`${engine.id}/${batch}/${group}`);
			for (const item of items) {
				claimedBatch.claims[group]!.items[item] = {
					kind: 'running', failures: 0, hasPartialText: false, incarnation: 'd', engine: engine.id,
				};
				const sample = claimedBatch.samples[group]![item]!;
				sample.startedAt = this.now;
				engine.running.push(sample);
			}
		}

		if (engine.nextAt === undefined && engine.running.length > 0) {
			engine.nextAt = this.now + eventDurationMs(engine.running.length);
		}
	}

	private plan(engine: Engine, rank: number): ClaimTarget[] {
		const open = this.batches.filter(batch => batch.groupCompletedAt.includes(undefined));
		if (this.planner !== 'product' && this.planner !== 'slack') {
			const samples = open.flatMap(batch => batch.samples.flat().filter(({group, item}) => batch.claims[group]!.items[item]!.kind === 'open'));
			return samples.sort(orders[this.planner]).slice(0, slots - engine.running.length).map(({batch, group, item}) => ({batch: batch.id, group, items: [item]}));
		}

		const capacity: EngineCapacity = {
			id: engine.id, slots, running: engine.running.length, runningLong: engine.running.filter(sample => sample.expected > longSampleTokens).length, isSlow: false,
			softwareVersion, readyVersions: new Set([softwareVersion]), versions: new Map([[model, 1]]), rank, engines: engineCount,
		};
		const batches = open.map(batch => ({view: toBatchView(batch), dueAt: batch.plan.submittedAt + deadlineMs, share: batch.id.split('/')[0]!}));
		const common = {
			engine: capacity, batches, isClaimLive: () => true, isHeld: () => false, now: this.now,
		};
		if (this.planner === 'slack') {
			return planClaims(common);
		}

		const free = this.engines.filter(({running}) => running.length < slots);
		return planContendedClaims({
			...common,
			msPerToken: this.pace.msPerToken(engine.id),
			slots: engineCount * slots,
			hasPrompt: (batch, group) => this.prompts.has(`${engine.id}/${batch}/${group}`),
			free: {index: Math.max(0, free.indexOf(engine)), count: Math.max(1, free.length)},
		});
	}

	private advanceEngine(engine: Engine): void {
		for (const sample of engine.running) {
			sample.remainingEvents -= 1;
			if (sample.remainingEvents === 0) {
				this.isPlanningNeeded = true;
				const {batch, group, item} = sample;
				this.pace.record(engine.id, {tookMs: this.now - sample.startedAt, expectedTokens: sample.expected});
				batch.claims[group]!.items[item] = {kind: 'listed'};
				if (batch.claims[group]!.items.every(claim => claim.kind === 'listed')) {
					batch.groupCompletedAt[group] = this.now;
				}
			}
		}

		engine.running = engine.running.filter(sample => sample.remainingEvents > 0);
		engine.nextAt = engine.running.length > 0 ? this.now + eventDurationMs(engine.running.length) : undefined;
	}
}

const planner = (name: string, kind: Planner): Variant => ({name, kind: 'planner', planner: kind});

export const batchOrder: MeasurementCase = {
	name: 'batch-order',
	setting: `${engineCount} engines of ${slots} slots, two trainers that submit ${trainers.map(({groups}) => groups).join(' and ')} groups of ${groupSize} samples every ${stepIntervalMs / 1000} s and wait for ${100 * requiredGroupShare}% of the groups of the step before the last; 8% of the samples are five times as long as hinted`,
	figures: [
		{key: 'inTime', title: 'groups in time %', digits: 1},
		{key: 'median', title: 'median s of a step', digits: 2},
		{key: 'p90', title: 'p90 s of a step', digits: 2},
	],
	bounds: [],
	variants: [planner('policy', 'product'), planner('slack, long samples on reserved engines', 'slack'), planner('submission order', 'submission-order'), planner('shortest first', 'shortest-first'), planner('longest first', 'longest-first')],
	run(variant, seed) {
		if (variant.kind !== 'planner') {
			throw new Error(`batch-order runs only variants that are planners, not "${variant.name}"`);
		}

		return new BatchSimulation(variant.planner, new Random(seed)).run();
	},
};
