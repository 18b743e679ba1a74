import {setTimeout as sleep} from 'node:timers/promises';
import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import type {RequestLimits} from '@cicadapost/rate-limits';
import {slowerThanFreeEngines, type EngineRoom} from '@cicadapost/sample-order';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	BatchId, Clock, DaemonIncarnation, Millis, ModelId, UpstreamId,
} from '@cicadapost/types';
import {isOpen, type BatchCache, type BatchView} from './batch-cache.js';
import {planClaimTransaction} from './claim-transaction.js';
import {claimableSlots} from './claimable-slots.js';
import {writtenRows, type CommitQueue} from './commit-queue.js';
import {
	countRemoteRuns, type ClaimTarget, type EngineCapacity, type IsClaimLive, type ItemReference,
} from './plan-claims.js';
import {
	countRunsByEngine, planContendedClaims, type ContendedBatch, type LeaveReason,
} from './plan-contended-claims.js';
import {LeftItems, type ItemProgress} from './left-items.js';
import {PromptMemory} from './prompt-memory.js';
import type {SampleRunner} from './run-samples.js';
import {itemKeyOf} from './sample-run.js';
import {TextHolds} from './text-holds.js';

/** A copy of the batches older than this may miss that a batch has ended, so no work is started based on it. */
export const maxCopyAgeMs = 2000;
/** Interval for looking for work in the absence of events, since the claims of dead daemons are freed by the passage of time alone. */
const pollIntervalMs = 400;
/**
Cooldown after planning claims, as a multiple of the time that planning took. Every claim and result in the fleet changes
the batches, and planning for each change would use most of a core with 100 daemons. The factor limits planning to a tenth
of a core.
*/
const cooldownFactor = 9;
/** Upper limit of the cooldown, so that free slots are filled soon. */
const maxCooldownMs = 100;
/** A long poll of the store is answered within this time. */
const maxStoreSilenceMs = 1000;
/**
The runs of all engines are counted and their paces compared anew after this time. They change with each claim and result in the
fleet, and a slow engine matters only if it stays slow for longer.
*/
const runCountMs = 150;
/** Delay after the store has refused a transaction or did not respond. */
const retryMs = 150;
/** Each engine reports an item that it leaves to others once in this time. */
const leftReportMs = 1000;

export type ClaimWorkerOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	follower: TableFollower;
	batchCache: BatchCache;
	directory: UpstreamDirectory;
	runner: SampleRunner;
	limits: RequestLimits;
	commits: CommitQueue;
	incarnation: DaemonIncarnation;
	/** Returns the engines that this daemon currently owns. */
	ownedEngines: () => UpstreamRecord[];
	/** Whether the daemon `incarnation`, which wrote a claim at `claimedVersion` of the store, is still running. */
	isAlive: (incarnation: string, claimedVersion: number) => boolean;
	/** Returns the weight versions that new samples would run with, without a model that is being loaded. */
	versionsOf: (engine: UpstreamRecord) => ReadonlyMap<ModelId, number>;
	/** Returns when the batch is due, on the store's clock, or undefined if the engine's service may not run it (any more). */
	dueAt: (batch: BatchView, engine: UpstreamRecord) => Millis | undefined;
	/** Returns the name of the route or team that capacity is divided by. Defaults to one share for all batches. */
	shareOf?: (batch: BatchView) => string;
	/** Returns the measured time between two events of a run on an engine of another daemon. Defaults to unknown. */
	remoteEventMs?: (engine: UpstreamId) => Millis | undefined;
	/** Whether this daemon holds the complete text of an item. Defaults to none. */
	holdsText?: (itemKey: string) => boolean;
	/** Returns the current time on the store's clock. */
	storeTime: () => Millis;
	/** Called after claims have been planned. */
	onPlanned: (tookMs: Millis) => void;
	onClaimed: (engine: UpstreamId, target: ClaimTarget, copyAgeMs: Millis) => void;
	/** Called when an engine with a free slot leaves an item to other engines, once a second for each engine. */
	onLeft?: (report: LeftItemReport) => void;
	/** Called when the store has rejected a claim for good, which is not repeated unchanged. */
	onRejected?: (engine: UpstreamId, targets: readonly ClaimTarget[], reason: string) => void;
	/** Called when the store did not respond to a claim, which it may have applied or may yet apply. */
	onUnanswered: (engine: UpstreamId, targets: readonly ClaimTarget[]) => void;
}>;

/** Why an item was left to other engines, with what this daemon knows about the engines of the service. */
export type LeftItemReport = Readonly<{
	item: ItemReference;
	engine: UpstreamId;
	reason: LeaveReason;
	/** Measured time between two events of a run, and free slots. */
	engines: readonly EngineRoom[];
}>;

/** A background task that claims samples for free slots on the engines that this daemon owns. */
export class ClaimWorker {
	private readonly busy = new Set<UpstreamId>();
	/** Items in claim transactions that are still in flight. */
	private readonly pendingClaims = new Set<string>();
	private readonly timer: NodeJS.Timeout;
	private readonly textHolds = new TextHolds();
	private readonly prompts = new PromptMemory();
	private readonly leftItems = new LeftItems();
	/** Items whose claim the store has rejected for good, until their batch is over. */
	private readonly unclaimable = new Set<string>();
	/** Number of targets that the next transaction for an engine may have, after the store has rejected one. */
	private readonly maxTargets = new Map<UpstreamId, number>();
	private readonly leftReportedAt = new Map<UpstreamId, Millis>();
	private isStopped = false;
	/** Results of `slowerBy` since `comparedAt`, by engine, model and version. */
	private readonly comparisons = new Map<string, number>();
	private comparedAt = Number.NEGATIVE_INFINITY;
	private countedRuns: Readonly<{at: Millis; runs: ReadonlyMap<UpstreamId, number>}> | undefined;
	/** End of the cooldown. Until then, changes to batches only set a timer. */
	private cooldownUntil = 0;
	private cooldownTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ClaimWorkerOptions) {
		this.timer = setInterval(() => {
			this.wake();
		}, pollIntervalMs);
	}

	/** Claims work for each owned engine with free slots. */
	wake(): void {
		const cooldownMs = this.cooldownUntil - this.options.clock.now();
		if (cooldownMs > 0) {
			this.cooldownTimer ??= setTimeout(() => {
				this.cooldownTimer = undefined;
				this.wake();
			}, cooldownMs);
			return;
		}

		if (this.isStopped || this.options.follower.age(this.options.clock.now()) > maxCopyAgeMs) {
			return;
		}

		const {ownedEngines, runner, clock} = this.options;
		const owned = ownedEngines();
		runner.retainMeasurements(owned);
		for (const engine of owned) {
			if (!this.busy.has(engine.id) && !runner.watch.isSuspended(engine.id, clock.now())) {
				void this.fillSlots(engine);
			}
		}
	}

	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
		clearTimeout(this.cooldownTimer);
	}

	/** Whether a claim of an item is in flight. `itemKey` is a key from `itemKeyOf`. */
	isClaiming(itemKey: string): boolean {
		return this.pendingClaims.has(itemKey);
	}

	/** Whether a run of an item may end here so that another engine goes on with it. */
	mayMove(item: ItemReference): boolean {
		return this.leftItems.mayMove(item, this.options.clock.now());
	}

	private async fillSlots(engine: UpstreamRecord): Promise<void> {
		this.busy.add(engine.id);
		try {
			let mayHaveMore = true;
			while (mayHaveMore && !this.isStopped && !this.options.runner.watch.isSuspended(engine.id, this.options.clock.now())) {
				mayHaveMore = await this.claimOnce(engine);
			}
		} finally {
			this.busy.delete(engine.id);
		}
	}

	/** Plans and commits one claim transaction. Returns whether it is worth trying again immediately. */
	private async claimOnce(engine: UpstreamRecord): Promise<boolean> {
		const {store, follower, batchCache, runner, clock, incarnation, onClaimed, onPlanned} = this.options;
		if (runner.countAt(engine.id) >= engine.slots) {
			return false;
		}

		const plannedAt = clock.now();
		const targets = this.plan(engine);
		const now = clock.now();
		this.cooldownUntil = now + Math.min(maxCooldownMs, (now - plannedAt) * cooldownFactor);
		onPlanned(now - plannedAt);
		const [first] = targets;
		if (first === undefined) {
			return false;
		}

		// A transaction is limited to one part, which is one batch.
		const view = batchCache.get(first.batch);
		if (view === undefined) {
			return false;
		}

		const {transaction, targets: ofBatch} = planClaimTransaction(
			view,
			targets.filter(target => target.batch === first.batch).slice(0, this.maxTargets.get(engine.id)),
			{incarnation, engine: engine.id},
		);
		if (ofBatch.length === 0) {
			return this.onRejected(engine.id, [first], 'the claims of the group do not fit into a row');
		}

		const itemKeys = ofBatch.flatMap(({batch, group, items}) => items.map(item => itemKeyOf({batch, group, item})));
		for (const itemKey of itemKeys) {
			this.pendingClaims.add(itemKey);
		}

		const outcome = await store.transact(transaction);
		if (outcome.kind === 'committed') {
			// Start the items before the cache shows the claim, since that triggers planning for the other engines of this daemon.
			const version = this.options.versionsOf(engine).get(view.plan.model);
			for (const target of ofBatch) {
				this.prompts.record(target, engine.id, version ?? view.plan.minVersion);
				onClaimed(engine.id, target, follower.age(clock.now()));
				void runner.start(engine, target);
			}
		}

		for (const itemKey of itemKeys) {
			this.pendingClaims.delete(itemKey);
		}

		switch (outcome.kind) {
			case 'committed': {
				this.maxTargets.delete(engine.id);
				follower.mergeRows(writtenRows(transaction, outcome.version));
				return true;
			}

			case 'conflict': {
				follower.mergeRows(outcome.rows);
				return true;
			}

			case 'refused': {
				await sleep(retryMs);
				return false;
			}

			case 'rejected': {
				return this.onRejected(engine.id, ofBatch, outcome.reason);
			}

			case 'unknown': {
				// If the claim is applied, its row names this incarnation, which does not run the items: `ClaimReleaser` finds it.
				this.options.onUnanswered(engine.id, ofBatch);
				await sleep(retryMs);
				return false;
			}
		}
	}

	/** Claims less in the next transaction after one that the store never accepts, and no more the items that it never accepts alone. */
	private onRejected(engine: UpstreamId, targets: readonly ClaimTarget[], reason: string): true {
		const [first] = targets;
		if (targets.length === 1 && first !== undefined) {
			for (const item of first.items) {
				this.unclaimable.add(itemKeyOf({...first, item}));
			}
		}

		this.maxTargets.set(engine, Math.max(1, Math.floor(targets.length / 2)));
		this.options.onRejected?.(engine, targets, reason);
		return true;
	}

	private plan(engine: UpstreamRecord): ClaimTarget[] {
		const {clock, batchCache, runner, limits, directory, commits, incarnation, versionsOf, dueAt, shareOf = () => '', storeTime} = this.options;
		const isClaimLive: IsClaimLive = (claim, item, rowVersion) => this.isClaimLive(claim.incarnation, itemKeyOf(item), rowVersion);
		const open = batchCache.open();
		const unrecorded = commits.itemsWithFinalOutcome();
		const peers = directory.ready(engine.service);
		const remoteRuns = countRemoteRuns(engine.id, open, {incarnation, isClaimLive});
		const running = runner.countAt(engine.id) + remoteRuns.running;
		const capacity: EngineCapacity = {
			id: engine.id,
			slots: claimableSlots({
				slots: engine.slots, running, starting: runner.countStartingAt(engine.id), limit: limits.limitOf(engine),
			}),
			running,
			runningLong: runner.countLongAt(engine.id) + remoteRuns.long,
			softwareVersion: engine.softwareVersion,
			readyVersions: new Set(peers.map(peer => peer.softwareVersion)),
			isSlow: runner.watch.isSlow(engine.id, clock.now()),
			versions: versionsOf(engine),
			rank: Math.max(0, peers.findIndex(peer => peer.id === engine.id)),
			engines: peers.length,
		};
		const batches = open.flatMap((view): ContendedBatch[] => {
			const due = dueAt(view, engine);
			return due === undefined ? [] : [{view, dueAt: due, share: shareOf(view)}];
		});
		this.retainBatches(new Set(open.map(({id}) => id)));
		this.leftItems.update(item => this.progressOf(item), clock.now());
		const runs = this.runsByEngine();
		const free = peers.filter(peer => peer.id === engine.id || (runs.get(peer.id) ?? 0) < peer.slots);
		return planContendedClaims({
			engine: capacity,
			batches,
			msPerToken: runner.watch.msPerToken(engine.id),
			hasPrompt: (batch, group) => {
				const version = capacity.versions.get(batchCache.get(batch)?.plan.model ?? '' as ModelId);
				return version !== undefined && this.prompts.has({batch, group}, engine.id, version);
			},
			slowerBy: batch => this.slowerBy(engine.id, batch),
			mayLeave: (item, reason) => {
				const mayLeave = this.leftItems.mayLeave(item, reason, clock.now());
				if (mayLeave) {
					this.reportLeft(engine, item, reason);
				}

				return mayLeave;
			},
			slots: peers.reduce((sum, peer) => sum + peer.slots, 0),
			free: {index: Math.max(0, free.findIndex(peer => peer.id === engine.id)), count: Math.max(1, free.length)},
			isClaimLive,
			isHeld: item => this.textHolds.isHeld(itemKeyOf(item), clock.now()),
			hasOutcome: item => (unrecorded.size > 0 && unrecorded.has(itemKeyOf(item))) || (this.unclaimable.size > 0 && this.unclaimable.has(itemKeyOf(item))),
			now: storeTime(),
		});
	}

	/** Returns how many times as long an engine takes for an event as faster ones that have room and the weights for the batch. */
	slowerBy(engineId: UpstreamId, {plan: {model, minVersion}}: BatchView): number {
		const {clock, follower} = this.options;
		const now = clock.now();
		// While the store is away no other engine can go on with a sample.
		if (follower.connectedFor(now) === 0 || follower.silentFor(now) > maxStoreSilenceMs) {
			return 1;
		}

		if (now - this.comparedAt > runCountMs) {
			this.comparedAt = now;
			this.comparisons.clear();
		}

		const key = `${engineId}/${model}/${minVersion}`;
		const known = this.comparisons.get(key) ?? this.compareEngine(engineId, model, minVersion);
		this.comparisons.set(key, known);
		return known;
	}

	private compareEngine(engineId: UpstreamId, model: ModelId, minVersion: number): number {
		const {directory, versionsOf} = this.options;
		const engine = directory.get(engineId);
		const self = {engine: engineId, eventMs: this.eventMs(engineId)};
		if (engine === undefined || self.eventMs === undefined) {
			return 1;
		}

		const others = directory.ready(engine.service).filter(peer => peer.softwareVersion === engine.softwareVersion && (versionsOf(peer).get(model) ?? -1) >= minVersion);
		return slowerThanFreeEngines(self, this.roomOf(others));
	}

	private roomOf(engines: readonly UpstreamRecord[]): EngineRoom[] {
		const runs = this.runsByEngine();
		return engines.map(({id, slots}) => ({engine: id, eventMs: this.eventMs(id), freeSlots: slots - (runs.get(id) ?? 0)}));
	}

	private reportLeft(engine: UpstreamRecord, item: ItemReference, reason: LeaveReason): void {
		const {clock, directory, onLeft} = this.options;
		const now = clock.now();
		if (onLeft !== undefined && now - (this.leftReportedAt.get(engine.id) ?? Number.NEGATIVE_INFINITY) >= leftReportMs) {
			this.leftReportedAt.set(engine.id, now);
			onLeft({
				item, engine: engine.id, reason, engines: this.roomOf(directory.ready(engine.service)),
			});
		}
	}

	private eventMs(engine: UpstreamId): Millis | undefined {
		const {runner, clock, remoteEventMs} = this.options;
		return runner.watch.eventMs(engine, clock.now()) ?? remoteEventMs?.(engine);
	}

	/** Numbers of runs by engine, counted anew only some times a second. */
	private runsByEngine(): ReadonlyMap<UpstreamId, number> {
		const now = this.options.clock.now();
		if (this.countedRuns === undefined || now - this.countedRuns.at > runCountMs) {
			const isClaimLive: IsClaimLive = (claim, item, rowVersion) => this.isClaimLive(claim.incarnation, itemKeyOf(item), rowVersion);
			this.countedRuns = {at: now, runs: countRunsByEngine(this.options.batchCache.open(), isClaimLive)};
		}

		return this.countedRuns.runs;
	}

	private retainBatches(open: ReadonlySet<BatchId>): void {
		this.prompts.retain(open);
		for (const itemKey of this.unclaimable) {
			if (!open.has(itemKey.slice(0, itemKey.indexOf('/')) as BatchId)) {
				this.unclaimable.delete(itemKey);
			}
		}
	}

	private progressOf(item: ItemReference): ItemProgress {
		const view = this.options.batchCache.get(item.batch);
		const claims = view?.claims[item.group];
		const claim = claims?.items[item.item];
		if (view === undefined || claims === undefined || claim === undefined || !isOpen(view)) {
			return 'over';
		}

		if (claim.kind === 'running') {
			return this.isClaimLive(claim.incarnation, itemKeyOf(item), claims.version) ? 'taken' : 'open';
		}

		return claim.kind === 'open' ? 'open' : 'over';
	}

	private isClaimLive(incarnation: string, itemKey: string, rowVersion: number): boolean {
		const {runner, commits} = this.options;
		return incarnation === this.options.incarnation
			? this.pendingClaims.has(itemKey) || runner.hasItem(itemKey) || commits.hasFinalOutcome(itemKey) || this.options.holdsText?.(itemKey) === true
			: this.options.isAlive(incarnation, rowVersion);
	}
}
