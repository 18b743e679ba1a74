import {
	unclaimed, type BatchPlan, type BatchView, type ClaimTarget, type ContendedBatch, type ItemClaim,
} from '@cicadapost/batches';
import {Random} from '@cicadapost/fakes';
import {PaceMeter} from '@cicadapost/sample-order';
import type {
	BatchId, ItemId, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';

export const model = 'draft' as ModelId;
const tickMs: Millis = 20;
/** Engines with free slots look for work this often although nothing has changed. */
const pollMs: Millis = 400;
const stepIntervalMs: Millis = 4000;
export const deadlineMs: Millis = 7500;
/** When the route gives up on a batch. */
const maxQueueMs: Millis = 40_000;
const trainingMs: Millis = 750;
const requiredGroupShare = 0.9;
/** One trainer has short texts, three have long ones. `length` is relative to the mean of all. */
const trainers = [
	{groups: 9, size: 8, length: 0.5}, {groups: 6, size: 16, length: 1.2}, {groups: 14, size: 8, length: 1}, {groups: 8, size: 16, length: 1.1},
] as const;
/** Mean expected tokens of a sample of length 1. */
const meanTokens = 800;
/** One sample in twelve is five times as long. The trainer's estimate shows it for half of them. */
const longShare = 1 / 12;
const longFactor = 5;
/** Time of an engine step with one run, and for each further run, in ms. */
const stepMs = [0.57, 0.62, 0.66, 0.73] as const;
const furtherRunMs = 0.03;
/** A group shares a prompt of this length, which delays all runs of an engine that reads it. */
const promptTokens = 1000;
const prefillTokensPerMs = 650;
const slotsOfEngines = [6, 8] as const;

type Sample = {readonly batch: Batch; readonly group: number; readonly item: number; left: number; readonly expected: number; startedAt: Millis; engine: string | undefined; isWhole: boolean};
type Batch = {
	readonly id: BatchId;
	readonly trainer: number;
	readonly plan: BatchPlan;
	readonly samples: Sample[][];
	readonly claims: Array<{version: number; items: ItemClaim[]}>;
	readonly completedAt: Array<Millis | undefined>;
	doneAt: Millis | undefined;
};

export type LoadEngine = {readonly id: UpstreamId; readonly rank: number; readonly slots: number; readonly stepMs: number; running: Sample[]; stallMs: Millis};

/** What a planner knows when an engine has free slots. */
export type PlanningState = Readonly<{
	engine: LoadEngine;
	engines: readonly LoadEngine[];
	batches: readonly ContendedBatch[];
	msPerToken: (engine: UpstreamId) => number | undefined;
	/** Whether the engine has read the prompt of a group. */
	hasPrompt: (batch: BatchId, group: number) => boolean;
	now: Millis;
}>;

export type ContendedLoadOptions = Readonly<{
	plan: (state: PlanningState) => readonly ClaimTarget[];
	/** Work of all trainers relative to what the engines can do. */
	load: number;
	seed: number;
	/** When nothing runs, and for how long. */
	pause?: Readonly<{from: Millis; ms: Millis}>;
	/** Factor by which the first engine is slower. */
	slowFactor?: number;
	endMs?: Millis;
}>;

export type ContendedLoadFigures = Readonly<{
	/** Groups that were complete when they were due, in percent of all that were scheduled. */
	inTime: number;
	/** The same for the trainer that had the least. */
	leastInTime: number;
	/** Steps that were scheduled, due before the end and not done when they were due, over all trainers. */
	stepsLate: number;
	/** Steps that trainers were behind their schedule at the end, over all trainers. */
	stepsBehind: number;
	/** Prompts that an engine read although another one had read them for the same group, for each group. */
	repeatedPrompts: number;
}>;

/** Plays trainers with two overlapping steps each against engines whose pace depends on the number of their runs, in virtual time. */
export class ContendedLoad {
	private readonly random: Random;
	private readonly engines: LoadEngine[];
	private readonly batches: Batch[] = [];
	private readonly steps = trainers.map(() => 0);
	private pace = new PaceMeter();
	/** Engines and the groups whose prompt they have read. */
	private readonly prompts = new Set<string>();

	private readonly tokensPerLength: number;
	private readonly endMs: Millis;
	private now: Millis = 0;
	/** Set when samples were submitted or a slot has become free. */
	private isChanged = false;

	constructor(private readonly options: ContendedLoadOptions) {
		this.random = new Random(options.seed);
		this.endMs = options.endMs ?? 60_000;
		const samples = trainers.reduce((sum, {groups, size, length}) => sum + (groups * size * length), 0);
		const work = samples * meanTokens * (1 + (longShare * (longFactor - 1)));
		const perEngine = 7 / (0.645 + (furtherRunMs * 6));
		const count = Math.max(2, Math.round(work / options.load / stepIntervalMs / perEngine));
		this.engines = Array.from({length: count}, (_, rank) => ({
			id: `e${rank}` as UpstreamId, rank, slots: slotsOfEngines[rank % 2]!, stepMs: stepMs[rank % 4]! * (rank === 0 ? options.slowFactor ?? 1 : 1), running: [], stallMs: 0,
		}));
		const capacity = this.engines.reduce((sum, engine) => sum + (engine.slots / tokenMsOf(engine, engine.slots)), 0);
		this.tokensPerLength = meanTokens * options.load * capacity * stepIntervalMs / work;
	}

	run(): ContendedLoadFigures {
		for (; this.now < this.endMs; this.now += tickMs) {
			if (this.isPaused()) {
				this.releaseAll();
				continue;
			}

			this.advance();
			this.finishSteps();
			this.submit();
			if (!this.isChanged && this.now % pollMs !== 0) {
				continue;
			}

			this.isChanged = false;
			const first = this.random.int(0, this.engines.length - 1);
			for (const index of this.engines.keys()) {
				this.fill(this.engines[(first + index) % this.engines.length]!);
			}
		}

		return this.figures();
	}

	private isPaused(): boolean {
		const {pause} = this.options;
		return pause !== undefined && this.now >= pause.from && this.now < pause.from + pause.ms;
	}

	/** All daemons are gone: items are open again, with the text that was saved. */
	private releaseAll(): void {
		this.pace = new PaceMeter();
		for (const sample of this.engines.flatMap(engine => engine.running.splice(0))) {
			sample.isWhole = false;
			sample.batch.claims[sample.group]!.items[sample.item] = {kind: 'open', failures: 0, hasPartialText: true};
		}
	}

	private submit(): void {
		for (const [trainer, step] of this.steps.entries()) {
			const before = this.batches.find(({id}) => id === `${trainer}/${step - 2}`);
			const readyAt = Math.max(step * stepIntervalMs, step < 2 ? 0 : (before?.doneAt ?? Number.POSITIVE_INFINITY) + trainingMs);
			if (this.now >= readyAt) {
				this.batches.push(this.createBatch(trainer, step));
				this.steps[trainer] = step + 1;
				this.isChanged = true;
			}
		}
	}

	private createBatch(trainer: number, step: number): Batch {
		const {groups, size, length} = trainers[trainer]!;
		const batch: Batch = {
			id: `${trainer}/${step}` as BatchId, trainer, samples: [], claims: [], completedAt: [], doneAt: undefined,
			plan: {
				host: 'h', path: `/${trainer}`, step, model, minVersion: 1, targetGroups: Math.ceil(groups * requiredGroupShare), submittedAt: this.now, groups: [],
			},
		};
		for (let group = 0; group < groups; group++) {
			batch.samples.push(Array.from({length: size}, (_, item) => {
				const base = length * this.tokensPerLength * (0.4 + (1.2 * this.random.next()));
				const isLong = this.random.bernoulli(longShare);
				const isKnown = isLong && this.random.bernoulli(0.5);
				const expected = Math.round(base * (isKnown ? longFactor : 1) * (2 ** (2 * (this.random.next() - 0.5))));
				return {
					batch, group, item, left: base * (isLong ? longFactor : 1), expected, startedAt: 0, engine: undefined, isWhole: true,
				};
			}));
			batch.claims.push({version: 1, items: batch.samples[group]!.map(() => unclaimed)});
			batch.completedAt.push(undefined);
		}

		const planned = batch.samples.map(samples => ({items: samples.map(({expected, item}) => ({id: String(item) as ItemId, expectedTokens: expected}))}));
		return Object.assign(batch, {plan: {...batch.plan, groups: planned}});
	}

	private advance(): void {
		for (const engine of this.engines) {
			const tokens = Math.max(0, tickMs - engine.stallMs) / tokenMsOf(engine, engine.running.length);
			engine.stallMs = Math.max(0, engine.stallMs - tickMs);
			for (const sample of engine.running) {
				sample.left -= tokens;
				if (sample.left <= 0) {
					this.complete(engine, sample);
				}
			}

			engine.running = engine.running.filter(({left}) => left > 0);
		}
	}

	private complete(engine: LoadEngine, sample: Sample): void {
		this.isChanged = true;
		const {batch, group, item} = sample;
		batch.claims[group]!.items[item] = {kind: 'listed'};
		if (sample.isWhole) {
			this.pace.record(engine.id, {tookMs: this.now - sample.startedAt, expectedTokens: sample.expected});
		}

		if (batch.claims[group]!.items.every(({kind}) => kind === 'listed')) {
			batch.completedAt[group] = this.now;
		}
	}

	private finishSteps(): void {
		for (const batch of this.batches.filter(({doneAt}) => doneAt === undefined)) {
			const complete = batch.completedAt.filter(at => at !== undefined).length;
			if (complete >= batch.plan.targetGroups) {
				batch.doneAt = this.now;
			}
		}
	}

	private isOpen(batch: Batch): boolean {
		return this.now < batch.plan.submittedAt + maxQueueMs && batch.completedAt.includes(undefined);
	}

	private fill(engine: LoadEngine): void {
		engine.running = engine.running.filter(({batch}) => this.isOpen(batch));
		if (engine.running.length >= engine.slots) {
			return;
		}

		const targets = this.options.plan({
			engine,
			engines: this.engines,
			batches: this.batches.filter(batch => this.isOpen(batch)).map(batch => ({
				view: toView(batch), dueAt: batch.plan.submittedAt + deadlineMs, share: String(batch.trainer),
			})),
			hasPrompt: (id, group) => this.prompts.has(`${engine.id}/${id}/${group}`),
			msPerToken: id => this.pace.msPerToken(id),
			now: this.now,
		});
		for (const {batch: id, group, items} of targets) {
			const batch = this.batches.find(candidate => candidate.id === id)!;
			const prompt = `${engine.id}/${id}/${group}`;
			engine.stallMs += this.prompts.has(prompt) ? 0 : promptTokens / prefillTokensPerMs;
			this.prompts.add(prompt);
			for (const item of items) {
				batch.claims[group]!.items[item] = {
					kind: 'running', failures: 0, hasPartialText: false, incarnation: 'd', engine: engine.id,
				};
				const sample = batch.samples[group]![item]!;
				sample.startedAt = this.now;
				engine.running.push(sample);
			}
		}
	}

	private figures(): ContendedLoadFigures {
		const lastStep = Math.floor((this.endMs - deadlineMs) / stepIntervalMs);
		const shares = trainers.map(({groups}, trainer) => {
			const due = this.batches.filter(batch => batch.trainer === trainer && batch.plan.step <= lastStep);
			const inTime = due.flatMap(batch => batch.completedAt.filter(at => at !== undefined && at <= batch.plan.submittedAt + deadlineMs));
			return {inTime: inTime.length, all: groups * (lastStep + 1)};
		});
		const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
		const done = this.batches.filter(batch => batch.plan.step <= lastStep && (batch.doneAt ?? Number.POSITIVE_INFINITY) <= batch.plan.submittedAt + deadlineMs);
		return {
			inTime: 100 * sum(shares.map(({inTime}) => inTime)) / sum(shares.map(({all}) => all)),
			leastInTime: Math.min(...shares.map(({inTime, all}) => 100 * inTime / all)),
			stepsLate: (trainers.length * (lastStep + 1)) - done.length,
			stepsBehind: sum(this.steps.map(step => Math.ceil(this.endMs / stepIntervalMs) - step)),
			repeatedPrompts: this.prompts.size / sum(this.batches.map(({plan}) => plan.groups.length)),
		};
	}
}

/** Time for one token of each run, in ms. */
function tokenMsOf(engine: Readonly<{stepMs: number}>, runs: number): number {
	return engine.stepMs + (furtherRunMs * Math.max(0, runs - 1));
}

function toView({id, plan, claims}: Batch): BatchView {
	return {
		id, plan, planVersion: 1, count: 0, isEnded: false, claims,
	};
}
