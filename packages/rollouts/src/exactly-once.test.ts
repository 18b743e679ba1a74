import type {
	CallId, DaemonId, RequestId, TrainerAnswer, TrainerCall, VersionSpan,
} from '@cicadapost/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	ack, fetch, RolloutBench, submission, type StoreFault,
} from './rollout-bench.js';

const groups = 3;
const samples = 4;
const stalenessBound = 1;
const maxVersion = 4;

/** One sample that the trainer received, as input of the checks. */
type Received = Readonly<{group: number; index: number; text: string; versions: readonly VersionSpan[]; currentVersion: number}>;

/** When a trainer sends the list of groups that it has. A trainer with two workers never does and relies on the store alone. */
type Listing = 'always' | 'needed' | 'never';

/** State shared by the workers of a trainer. */
class Trainer {
	readonly received: Received[] = [];
	readonly heldGroups = new Set<number>();
	readonly toSubmit = new Set(Array.from({length: groups}, (_, group) => group));
	currentVersion = 1;
	readonly workers: Worker[];

	constructor(bench: RolloutBench, readonly listing: Listing) {
		this.workers = (listing === 'never' ? ['x', 'y'] : ['x']).map(name => new Worker(bench, this, name));
	}

	get isDone(): boolean {
		return this.heldGroups.size === groups && this.workers.every(worker => worker.isIdle);
	}
}

/** Follows the trainer protocol: one call at a time, the same fetchId until a fetch returns groups, then an acknowledgement. */
class Worker {
	private fetchCount = 1;
	private fetched: number[] | undefined;
	private needsList: boolean;
	private open: {call: CallId; request: TrainerCall} | undefined;

	constructor(private readonly bench: RolloutBench, private readonly trainer: Trainer, private readonly name: string) {
		this.needsList = trainer.listing === 'always';
	}

	get isIdle(): boolean {
		return this.fetched === undefined;
	}

	/** Handles the answer to the open call and sends the next call. Without an answer, does so only if `isImpatient`. */
	act(daemon: DaemonId, isImpatient: boolean): void {
		const answer = this.open === undefined ? undefined : this.bench.answers.get(this.open.call);
		if (this.open !== undefined && answer === undefined && !isImpatient) {
			return;
		}

		if (this.open !== undefined && answer !== undefined) {
			this.handleAnswer(this.open.request, answer);
		}

		const request = this.next();
		this.open = {call: this.bench.send(daemon, request), request};
	}

	private next(): TrainerCall {
		const [group] = this.trainer.toSubmit;
		if (group !== undefined) {
			return submission(group, {samples, stalenessBound});
		}

		const fetchId = `${this.name}${this.fetchCount}`;
		if (this.fetched !== undefined) {
			return ack(fetchId, this.fetched);
		}

		return fetch(fetchId, {
			max: 2, currentVersion: this.trainer.currentVersion, submitted: groups, ...(this.needsList ? {received: [...this.trainer.heldGroups]} : {}),
		});
	}

	private handleAnswer(request: TrainerCall, answer: TrainerAnswer): void {
		switch (answer.kind) {
			case 'submitted': {
				this.trainer.toSubmit.delete(answer.group);
				break;
			}

			case 'fetched': {
				this.needsList ||= !answer.durable && this.trainer.listing !== 'never';
				for (const group of answer.missing) {
					this.trainer.toSubmit.add(group);
				}

				this.receive(request, answer);
				break;
			}

			case 'acked': {
				this.fetched = undefined;
				this.fetchCount++;
				break;
			}

			case 'problem': {
				this.needsList ||= answer.problem.field === 'received' && this.trainer.listing !== 'never';
				expect(answer.problem.kind).not.toBe('idempotency-conflict');
				break;
			}

			case 'not-owner': {
				throw new Error('a trainer never gets this answer');
			}
		}
	}

	private receive(request: TrainerCall, answer: Extract<TrainerAnswer, {kind: 'fetched'}>): void {
		const currentVersion = request.kind === 'fetch' ? request.currentVersion : 0;
		for (const {group, samples: list} of answer.groups) {
			this.trainer.heldGroups.add(group);
			this.trainer.received.push(...list.map(({index, text, versions}) => ({
				group, index, text, versions, currentVersion,
			})));
		}

		if (answer.groups.length > 0) {
			this.fetched = answer.groups.map(group => group.group);
		}
	}
}

class World {
	readonly bench = new RolloutBench();
	readonly trainer: Trainer;
	version = 1;
	isOutage = false;
	/** Version spans that the engines reported for each run. */
	readonly reportedVersions = new Map<RequestId, readonly VersionSpan[]>();
	private readonly faults = new Map<DaemonId, {fault: StoreFault; calls: number}>();
	private readonly ownerViews = new Map<DaemonId, DaemonId>();

	constructor(listing: Listing) {
		this.trainer = new Trainer(this.bench, listing);
		this.bench.fault = (_action, daemon) => {
			if (this.isOutage) {
				return 'down';
			}

			const set = this.faults.get(daemon);
			if (set === undefined || set.calls === 0) {
				return 'none';
			}

			set.calls--;
			return set.fault;
		};

		this.bench.ownerSeenBy = daemon => this.ownerViews.get(daemon) ?? this.bench.liveDaemons()[0];
	}

	act(index: number, isImpatient: boolean): void {
		const {workers} = this.trainer;
		workers[index % workers.length]!.act(this.daemon(Math.floor(index / workers.length)), isImpatient);
	}

	daemon(index: number): DaemonId {
		const live = this.bench.liveDaemons();
		return live[index % live.length]!;
	}

	setFault(index: number, fault: StoreFault, calls: number): void {
		this.faults.set(this.daemon(index), {fault, calls});
	}

	setOwnerView(index: number, owner: number): void {
		this.ownerViews.set(this.daemon(index), this.daemon(owner));
		this.bench.refreshOwners();
	}

	/** Restarts a daemon, which loses its memory. */
	restart(index: number): void {
		const daemon = this.daemon(index);
		this.ownerViews.delete(daemon);
		this.bench.kill(daemon);
		this.bench.start(daemon);
	}

	finish(index: number, hasTwoVersions: boolean): void {
		const requestId = [...this.bench.runs.keys()][index % Math.max(1, this.bench.runs.size)];
		if (requestId === undefined) {
			return;
		}

		const versions = hasTwoVersions && this.version > 1
			? [{from: 0, to: 2, version: this.version - 1}, {from: 2, to: 4, version: this.version}]
			: [{from: 0, to: 4, version: this.version}];
		this.reportedVersions.set(requestId, versions);
		this.bench.finish(requestId, versions);
	}

	finishAll(): void {
		while (this.bench.runs.size > 0) {
			this.finish(0, false);
		}

		this.bench.deliverAll();
	}

	/** Finishes a run at an engine that has not received the cancellation yet. */
	finishLate(index: number): void {
		const run = this.bench.cancelled[index % Math.max(1, this.bench.cancelled.length)];
		if (run !== undefined) {
			this.bench.runs.set(run.requestId, run);
			this.finish(this.bench.runs.size - 1, false);
		}
	}

	advance(ms: number): void {
		this.bench.advance(ms);
		this.bench.deliverAll();
	}

	/** Removes all faults and lets the trainer continue until it has all groups. */
	recover(): void {
		this.isOutage = false;
		this.faults.clear();
		this.ownerViews.clear();
		this.bench.refreshOwners();
		for (let round = 0; round < 400 && !this.trainer.isDone; round++) {
			this.bench.run(500);
			this.finishAll();
			this.act(round, round % 40 >= 38);
			this.bench.deliverAll();
		}
	}
}

class Command implements fc.Command<Record<string, never>, World> {
	constructor(private readonly label: string, private readonly apply: (world: World) => void) {}

	check(): boolean {
		return true;
	}

	run(_model: Record<string, never>, world: World): void {
		this.apply(world);
	}

	toString(): string {
		return this.label;
	}
}

const index = fc.nat({max: 11});
const commands = [
	fc.tuple(index, fc.boolean()).map(([daemon, isImpatient]) => new Command(`act(${daemon}, ${isImpatient})`, world => {
		world.act(daemon, isImpatient);
	})),
	index.map(parcel => new Command(`deliver(${parcel})`, world => {
		world.bench.deliver(parcel % Math.max(1, world.bench.inFlight.length));
	})),
	fc.constant(new Command('settle', world => {
		world.bench.deliverAll();
	})),
	// A command for normal progress, so that most runs reach hand-overs.
	fc.tuple(index, fc.boolean()).map(([daemon, isFinished]) => new Command(`progress(${daemon}, ${isFinished})`, world => {
		for (let round = 0; round < 4; round++) {
			world.act(daemon, false);
			world.bench.deliverAll();
		}

		world.advance(1000);
		if (isFinished) {
			world.finishAll();
		}
	})),
	fc.boolean().map(isDown => new Command(`outage(${isDown})`, world => {
		world.isOutage = isDown;
	})),
	index.map(run => new Command(`late finish(${run})`, world => {
		world.finishLate(run);
	})),
	index.map(parcel => new Command(`duplicate(${parcel})`, world => {
		const copy = world.bench.inFlight[parcel % Math.max(1, world.bench.inFlight.length)];
		if (copy?.kind === 'message') {
			world.bench.inFlight.push(copy);
		}
	})),
	index.map(parcel => new Command(`lose(${parcel})`, world => {
		const at = parcel % Math.max(1, world.bench.inFlight.length);
		if (world.bench.inFlight[at]?.kind === 'message') {
			world.bench.inFlight.splice(at, 1);
		}
	})),
	fc.tuple(index, fc.boolean()).map(([run, hasTwoVersions]) => new Command(`finish(${run}, ${hasTwoVersions})`, world => {
		world.finish(run, hasTwoVersions);
	})),
	index.map(run => new Command(`fail(${run})`, world => {
		const requestId = [...world.bench.runs.keys()][run];
		if (requestId !== undefined) {
			world.bench.fail(requestId);
		}
	})),
	fc.constantFrom(100, 1000, 5000).map(ms => new Command(`advance(${ms})`, world => {
		world.bench.advance(ms);
	})),
	index.map(daemon => new Command(`restart(${daemon})`, world => {
		world.restart(daemon);
	})),
	fc.tuple(index, index).map(([daemon, owner]) => new Command(`view(${daemon}, ${owner})`, world => {
		world.setOwnerView(daemon, owner);
	})),
	fc.tuple(index, fc.constantFrom<StoreFault>('none', 'down', 'lost-answer', 'late'), fc.integer({min: 1, max: 12})).map(([daemon, fault, calls]) => (
		new Command(`store(${daemon}, ${fault}, ${calls})`, world => {
			world.setFault(daemon, fault, calls);
		})
	)),
	fc.constant(new Command('new weights', world => {
		world.version = Math.min(maxVersion, world.version + 1);
		world.trainer.currentVersion = world.version;
	})),
];

/** Checks the guarantees by comparing what the trainer received with what the engines reported. */
function checkReceived(world: World): void {
	const names = world.trainer.received.map(({group, index: sample}) => `${group}/${sample}`);
	expect(names.toSorted()).toEqual(Array.from({length: groups * samples}, (_, number) => `${Math.floor(number / samples)}/${number % samples}`));
	for (const {text, versions, currentVersion} of world.trainer.received) {
		const runs = new Set(text.split(';').filter(Boolean).map(part => part.split('@')[0] as RequestId));
		expect([...runs].map(run => world.reportedVersions.get(run))).toEqual([versions]);
		expect(currentVersion - Math.min(...versions.map(span => span.version))).toBeLessThanOrEqual(stalenessBound);
	}
}

describe('a trainer', () => {
	it('receives each sample exactly once, never stale and with its correct versions, under any faults', () => {
		fc.assert(fc.property(fc.constantFrom<Listing>('always', 'needed', 'never'), fc.commands(commands, {maxCommands: 60, size: 'max'}), (listing, list) => {
			const world = new World(listing);
			fc.modelRun(() => ({model: {}, real: world}), list);
			world.recover();
			checkReceived(world);
		}), {numRuns: 800, seed: 20_261_204});
	});
});
