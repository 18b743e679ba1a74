import {
	ClaimReleaser, ClaimWorker, CommitQueue, BatchSweeper, isExpired, queueDeadlineOf, SampleRunner,
	type BatchCache, type EngineClient,
} from '@cicadapost/batches';
import type {ByteMeter} from '@cicadapost/byte-budget';
import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import {
	Forwarder, matchRoute, type ForwarderOptions, type RequestReport, type Route, type RoutingConfiguration,
} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import type {RateLimiter} from '@cicadapost/rate-limits';
import {callShare, ForwardedRewards, RewardTask} from '@cicadapost/rewards';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	BatchId, Clock, DaemonIncarnation, Millis, UpstreamId,
} from '@cicadapost/types';
import type {EngineVersions} from '@cicadapost/weights';
import {BatchRoutes} from './batch-routes.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {FleetView} from './fleet-view.js';
import type {LoadReporter} from './load-reporter.js';
import type {MembershipTask} from './membership-task.js';

export type BatchTasksOptions = Readonly<{
	clock: Clock;
	logger: Logger;
	store: RowStore;
	follower: TableFollower;
	batchCache: BatchCache;
	directory: UpstreamDirectory;
	engines: EngineClient;
	limits: RateLimiter;
	versions: EngineVersions;
	membership: MembershipTask;
	fleetView: FleetView;
	metrics: EntryMetrics;
	loadReporter: LoadReporter;
	/** How reward calls are sent to the upstreams of plain services. */
	forwarding: Omit<ForwarderOptions, 'onRequestReport'>;
	configuration: () => RoutingConfiguration | undefined;
	/** Counts the texts of running samples. */
	textBytes: ByteMeter;
	incarnation: DaemonIncarnation;
	retentionMs: Millis;
	/** Whether this daemon deletes the rows of the batch. */
	isBatchOwner: (batch: BatchId) => boolean;
	onRequestReport: (report: RequestReport) => void;
}>;

/** The background tasks that work on batches: claims, runs, rewards, results and deletion. */
export class BatchTasks {
	private readonly batchRoutes: BatchRoutes;
	private readonly commitQueue: CommitQueue;
	private readonly sampleRunner: SampleRunner;
	private readonly claimWorker: ClaimWorker;
	private readonly rewards: RewardTask;
	private readonly claimReleaser: ClaimReleaser;
	private readonly batchSweeper: BatchSweeper;

	constructor(private readonly options: BatchTasksOptions) {
		const {clock, follower, configuration} = options;
		this.batchRoutes = new BatchRoutes({configuration, storeTime: () => follower.storeTime(clock.now())});
		this.commitQueue = this.createCommitQueue();
		this.rewards = this.createRewards();
		this.sampleRunner = this.createRunner();
		this.claimWorker = this.createClaimWorker();
		this.claimReleaser = this.createClaimReleaser();
		this.batchSweeper = this.createSweeper();
	}

	/** Number of samples that this daemon runs. */
	get running(): number {
		return this.sampleRunner.count;
	}

	/** Measured time between two events of a run, for each engine of this daemon that it reaches and where the time is known. */
	get paces(): ReadonlyMap<UpstreamId, Millis> {
		const {watch} = this.sampleRunner;
		const now = this.options.clock.now();
		return new Map(this.options.fleetView.ownedEngines().flatMap(({id}): Array<[UpstreamId, Millis]> => {
			const eventMs = watch.isSuspended(id, now) ? undefined : watch.eventMs(id, now);
			return eventMs === undefined ? [] : [[id, eventMs]];
		}));
	}

	/** Engines that this daemon can't reach at the moment. */
	get unreachable(): ReadonlySet<UpstreamId> {
		const now = this.options.clock.now();
		return new Set(this.options.directory.all().filter(({id}) => this.sampleRunner.watch.isUnreachable(id, now)).map(({id}) => id));
	}

	/** Records that an engine did not respond to an order or a report. */
	recordUnreached(engine: UpstreamId): void {
		// Events of samples say more about the engine.
		if (this.sampleRunner.countAt(engine) === 0) {
			this.sampleRunner.watch.recordFailure(engine, this.options.clock.now());
		}
	}

	/** Number of texts whose reward this daemon gets. */
	get rewarding(): number {
		return this.rewards.count;
	}

	get isIdle(): boolean {
		return this.running === 0 && this.rewarding === 0 && this.commitQueue.isIdle;
	}

	/** Looks for work. Call this when batches, upstreams or the configuration have changed. */
	wake(): void {
		this.claimWorker.wake();
		this.rewards.wake();
	}

	/** Finishes what this daemon holds and takes on nothing new. */
	startDraining(): void {
		this.claimWorker.stop();
		this.rewards.startDraining();
	}

	/** Leaves unfinished samples and rewards to other daemons. */
	releaseAll(reason: string): void {
		this.sampleRunner.releaseAll(reason);
		this.rewards.releaseAll();
	}

	stop(): void {
		this.claimWorker.stop();
		this.claimReleaser.stop();
		this.sampleRunner.stop();
		this.rewards.stop();
		this.batchSweeper.stop();
	}

	private storeTime(): Millis {
		return this.options.follower.storeTime(this.options.clock.now());
	}

	private createCommitQueue(): CommitQueue {
		const {logger} = this.options;
		return new CommitQueue({
			...this.options,
			onCommitFailure(batch, detail) {
				logger.warn({event: 'commit-trouble', batch}, detail);
			},
		});
	}

	private readonly onUnreadableRow = (err: Error): void => {
		this.options.logger.warn({event: 'unreadable-row'}, err.message);
	};

	private createRunner(): SampleRunner {
		const {clock, directory, versions, metrics, logger, engines} = this.options;
		return new SampleRunner({
			...this.options,
			onUnreadableRow: this.onUnreadableRow,
			client: engines,
			commits: this.commitQueue,
			rulesOf: batch => this.batchRoutes.rulesOf(batch),
			isLoading(engine) {
				const record = directory.get(engine);
				return record !== undefined && versions.isLoading(record, clock.now());
			},
			onVersion(engine, batch, version) {
				const record = directory.get(engine);
				if (record !== undefined) {
					versions.recordVersion(record, batch.plan.model, version);
				}
			},
			slowerBy: (engine, batch) => this.claimWorker.slowerBy(engine, batch),
			mayMove: item => this.claimWorker.mayMove(item),
			onTextComplete: completed => {
				this.rewards.add(completed);
			},
			onSlotFreed: () => {
				this.claimWorker.wake();
			},
			onRunReport(report) {
				metrics.recordSample(report.outcome, report.tookMs);
				logger.info({event: 'sample', ...report}, report.outcome);
			},
		});
	}

	private createClaimWorker(): ClaimWorker {
		const {clock, fleetView, versions, loadReporter, logger} = this.options;
		return new ClaimWorker({
			...this.options,
			runner: this.sampleRunner,
			commits: this.commitQueue,
			ownedEngines: () => fleetView.ownedEngines(),
			isAlive: (incarnation, claimedVersion) => this.isAlive(incarnation, claimedVersion),
			versionsOf: engine => versions.usableVersions(engine, clock.now()),
			dueAt: (batch, engine) => this.batchRoutes.dueAt(batch, engine),
			shareOf: batch => this.batchRoutes.routeOf(batch)?.name ?? '',
			remoteEventMs: engine => this.options.membership.eventMs(engine, clock.now()),
			holdsText: itemKey => this.rewards.hasItem(itemKey),
			storeTime: () => this.storeTime(),
			onPlanned(tookMs) {
				loadReporter.recordClaimPlan(tookMs);
			},
			onClaimed(engine, target, copyAgeMs) {
				logger.info({
					event: 'claim', batch: target.batch, engine, group: target.group, items: target.items, copyAgeMs: Math.round(copyAgeMs),
				}, 'claimed samples');
			},
			onLeft({item, ...report}) {
				logger.info({event: 'item-left', ...item, ...report}, 'left a sample to other engines');
			},
			onRejected(engine, targets, reason) {
				logger.error({
					event: 'claim-rejected', engine, targets, reason,
				}, 'the store never accepts this claim; it is not repeated unchanged');
			},
			onUnanswered(engine, targets) {
				logger.warn({event: 'claim-unanswered', engine, targets}, 'the store did not respond to a claim');
			},
		});
	}

	private createClaimReleaser(): ClaimReleaser {
		const {metrics, logger} = this.options;
		return new ClaimReleaser({
			...this.options,
			commits: this.commitQueue,
			isWorkedOn: itemKey => this.claimWorker.isClaiming(itemKey) || this.sampleRunner.hasItem(itemKey) || this.rewards.hasItem(itemKey) || this.commitQueue.hasFinalOutcome(itemKey),
			onReleased(target) {
				metrics.recordReleasedClaims(target.items.length);
				logger.warn({event: 'claim-released', ...target}, 'released items that this daemon had claimed without a response of the store');
			},
		});
	}

	private createRewards(): RewardTask {
		const {clock, logger, metrics, fleetView, forwarding, configuration, onRequestReport} = this.options;
		return new RewardTask({
			...this.options,
			onUnreadableRow: this.onUnreadableRow,
			commits: this.commitQueue,
			sender: new ForwardedRewards({
				clock,
				protocol: forwarding.protocol,
				forwarder: new Forwarder({
					...forwarding,
					onRequestReport(report) {
						onRequestReport({...report, inputs: {...report.inputs, isReward: true}});
					},
				}),
			}),
			rulesOf: batch => this.batchRoutes.rewardRulesOf(batch),
			routeOf({host, path}) {
				const current = configuration();
				const route = current === undefined ? undefined : matchRoute(current, host, path);
				// A stream has no signature that covers its end, and a batch is no call.
				return route?.kind === 'idempotent' || route?.kind === 'once' ? route : undefined;
			},
			shareOf: route => callShare({slots: this.slotsOf(route), senders: fleetView.engineOwners().length}),
			isAlive: (incarnation, claimedVersion) => this.isAlive(incarnation, claimedVersion),
			isResponsible: (key, waitedMs) => fleetView.isResponsibleFor(key, waitedMs),
			onReport(report) {
				metrics.recordReward(report.outcome, report.tookMs);
				logger.info({event: 'reward', ...report}, report.outcome);
			},
			onTakeover(target) {
				logger.info({event: 'reward-takeover', ...target}, 'took over texts whose daemon is gone');
			},
		});
	}

	private createSweeper(): BatchSweeper {
		const {logger, retentionMs, isBatchOwner} = this.options;
		return new BatchSweeper({
			...this.options,
			isOwner: isBatchOwner,
			isExpired: view => isExpired(view, {
				storeTime: this.storeTime(),
				retentionMs,
				queueDeadline: queueDeadlineOf(view, this.batchRoutes.routeOf(view)?.maxQueueMs ?? 0),
			}),
			onDeleted(batch) {
				logger.info({event: 'batch-deleted', batch}, 'deleted the rows of an expired batch');
			},
		});
	}

	private isAlive(incarnation: string, claimedVersion: number): boolean {
		return this.options.membership.isAlive(incarnation, claimedVersion, this.options.clock.now());
	}

	/** Number of slots of the upstreams that serve a route. */
	private slotsOf(route: Route): number {
		const upstreams: readonly UpstreamRecord[] = route.services
			.filter(({weight}) => weight > 0)
			.flatMap(({service}) => this.options.directory.ready(service));
		return upstreams.reduce((sum, {slots}) => sum + slots, 0);
	}
}
