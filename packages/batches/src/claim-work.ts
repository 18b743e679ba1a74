import {setTimeout as sleep} from 'node:timers/promises';
import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import type {RowStore, TableFollower, Transaction} from '@cicadapost/store';
import type {
	Clock, DaemonIncarnation, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';
import {type BatchBook, type BatchView} from './batch-book.js';
import {writtenRows, type CommitQueue} from './commit-queue.js';
import {
	batchTable, claimKey, encodeClaims, endKey, planKey,
} from './encode-rows.js';
import {
	planClaims, runningElsewhere, withClaimed, type ClaimTarget, type EligibleBatch, type EngineRoom, type IsHeld,
} from './plan-claims.js';
import type {SampleRunner} from './run-samples.js';
import {keyOf} from './sample-run.js';

/** An older copy of the batches may miss the end of one, so nothing is started from it. */
const maxCopyAgeMs = 2000;
/** Looks for work again this often even if nothing happened, since time alone frees the claims of dead daemons. */
const idleCheckMs = 400;
/**
Rest after a look for work, as a multiple of the time that it took. Each claim and each result of the whole fleet changes the
batches; looking at all of them each time would take most of a core at a hundred daemons. Here it takes a tenth at most.
*/
const restFactor = 9;
/** Longest rest, so that free slots do not wait. */
const maxRestMs = 100;
/** Pause after the store refused or did not answer. */
const retryMs = 150;

export type ClaimWorkerOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	book: BatchBook;
	directory: UpstreamDirectory;
	runner: SampleRunner;
	commits: CommitQueue;
	life: DaemonIncarnation;
	/** Engines that this daemon looks after now. */
	ownedEngines: () => UpstreamRecord[];
	/** Whether a daemon's life goes on, which had claimed something by this version of the store. */
	isAlive: (life: string, claimedVersion: number) => boolean;
	/** Weight versions that new samples would run with; a model that is being loaded is left out. */
	versionsOf: (engine: UpstreamRecord) => ReadonlyMap<ModelId, number>;
	/** When the batch is due, on the store's clock; undefined if the engine's service may not run it, or no longer. */
	dueAt: (batch: BatchView, engine: UpstreamRecord) => Millis | undefined;
	/** The present time on the store's clock. */
	storeTime: () => Millis;
	onClaimed: (engine: UpstreamId, target: ClaimTarget, copyAgeMs: Millis) => void;
}>;

/** A task that claims samples for the free slots of the engines that this daemon looks after. */
export class ClaimWorker {
	private readonly busy = new Set<UpstreamId>();
	/** Items in transactions that have not been answered yet. */
	private readonly claiming = new Set<string>();
	private readonly timer: NodeJS.Timeout;
	private isStopped = false;
	/** Until then changes of batches only set a timer. */
	private restUntil = 0;
	private restTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ClaimWorkerOptions) {
		this.timer = setInterval(() => {
			this.wake();
		}, idleCheckMs);
	}

	/** Looks for work for each engine that has room. */
	wake(): void {
		const restMs = this.restUntil - this.options.clock.now();
		if (restMs > 0) {
			this.restTimer ??= setTimeout(() => {
				this.restTimer = undefined;
				this.wake();
			}, restMs);
			return;
		}

		if (this.isStopped || this.options.follower.age(this.options.clock.now()) > maxCopyAgeMs) {
			return;
		}

		const {ownedEngines, runner} = this.options;
		for (const engine of ownedEngines()) {
			if (!this.busy.has(engine.id) && !runner.isSuspended(engine.id)) {
				void this.fill(engine);
			}
		}
	}

	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
		clearTimeout(this.restTimer);
	}

	private async fill(engine: UpstreamRecord): Promise<void> {
		this.busy.add(engine.id);
		try {
			let isMore = true;
			while (isMore && !this.isStopped && !this.options.runner.isSuspended(engine.id)) {
				isMore = await this.claimOnce(engine);
			}
		} finally {
			this.busy.delete(engine.id);
		}
	}

	/** Returns whether another look is worth while. */
	private async claimOnce(engine: UpstreamRecord): Promise<boolean> {
		const {store, follower, book, runner, clock, life, onClaimed} = this.options;
		if (runner.countAt(engine.id) >= engine.slots) {
			return false;
		}

		const plannedAt = clock.now();
		const targets = this.plan(engine);
		const now = clock.now();
		this.restUntil = now + Math.min(maxRestMs, (now - plannedAt) * restFactor);
		const [first] = targets;
		if (first === undefined) {
			return false;
		}

		// One transaction covers one batch, since it is bound to a part.
		const view = book.get(first.batch);
		if (view === undefined) {
			return false;
		}

		const ofBatch = targets.filter(target => target.batch === first.batch);
		const transaction = claimTransaction(view, ofBatch, {life, engine: engine.id});
		const places = ofBatch.flatMap(({batch, group, items}) => items.map(item => keyOf({batch, group, item})));
		for (const place of places) {
			this.claiming.add(place);
		}

		const outcome = await store.transact(transaction);
		if (outcome.kind === 'committed') {
			// The runner holds the items before the book shows the claim, which wakes the other engines of this daemon.
			for (const target of ofBatch) {
				onClaimed(engine.id, target, follower.age(clock.now()));
				void runner.start(engine, target);
			}
		}

		for (const place of places) {
			this.claiming.delete(place);
		}

		switch (outcome.kind) {
			case 'committed': {
				follower.mergeRows(writtenRows(transaction, outcome.version));
				return true;
			}

			case 'conflict': {
				follower.mergeRows(outcome.rows);
				return true;
			}

			case 'refused':
			case 'unknown': {
				// A claim that was applied without an answer names this life, which does not hold it, so it is claimed again.
				await sleep(retryMs);
				return false;
			}
		}
	}

	private plan(engine: UpstreamRecord): ClaimTarget[] {
		const {book, runner, directory, life, versionsOf, dueAt, storeTime} = this.options;
		const isHeld: IsHeld = (claim, place, rowVersion) => this.isHeld(claim.life, keyOf(place), rowVersion);
		const open = book.open();
		const peers = directory.ready(engine.service);
		const elsewhere = runningElsewhere(engine.id, open, {life, isHeld});
		const room: EngineRoom = {
			id: engine.id,
			slots: engine.slots,
			running: runner.countAt(engine.id) + elsewhere.running,
			runningLong: runner.countLongAt(engine.id) + elsewhere.long,
			isSlow: runner.isSlow(engine.id),
			versions: versionsOf(engine),
			rank: Math.max(0, peers.findIndex(peer => peer.id === engine.id)),
			engines: peers.length,
		};
		const batches = open.flatMap((view): EligibleBatch[] => {
			const due = dueAt(view, engine);
			return due === undefined ? [] : [{view, dueAt: due}];
		});
		return planClaims({
			engine: room, batches, isHeld, now: storeTime(),
		});
	}

	private isHeld(life: string, place: string, rowVersion: number): boolean {
		const {runner, commits} = this.options;
		return life === this.options.life
			? this.claiming.has(place) || runner.holds(place) || commits.holds(place)
			: this.options.isAlive(life, rowVersion);
	}
}

function claimTransaction(view: BatchView, targets: readonly ClaimTarget[], by: Readonly<{life: DaemonIncarnation; engine: UpstreamId}>): Transaction {
	return {
		part: view.id,
		expected: [
			{table: batchTable, key: planKey, version: view.planVersion},
			{table: batchTable, key: endKey, version: 0},
			...targets.map(({group}) => ({table: batchTable, key: claimKey(group), version: view.claims[group]?.version ?? 0})),
		],
		writes: targets.map(({group, items}) => ({
			table: batchTable,
			key: claimKey(group),
			value: encodeClaims(withClaimed(view.claims[group]?.items ?? [], items, by)),
		})),
	};
}
