import {EventEmitter} from 'node:events';
import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {TableFollower, type RowStore} from '@cicadapost/store';
import {
	type DaemonIncarnation, type DataCentreId, type ModelId, type ServiceId, type SoftwareVersion, SystemClock, type UpstreamId,
} from '@cicadapost/types';
import {BatchCache} from './batch-cache.js';
import {BatchService} from './batch-service.js';
import {ClaimWorker} from './claim-work.js';
import {CommitQueue} from './commit-queue.js';
import type {EngineClient} from './engine-client.js';
import {batchTable} from './encode-rows.js';
import {ClaimReleaser} from './release-claims.js';
import {SampleRunner} from './run-samples.js';

const ignore = () => undefined;

export type BatchDaemonOptions = Readonly<{
	store: RowStore;
	client: EngineClient;
	directory: UpstreamDirectory;
	incarnation?: DaemonIncarnation;
	maxAttempts?: number;
	/** Defaults to all engines of the directory. */
	ownedEngines?: () => UpstreamRecord[];
	/** The pace of an engine that another daemon announces. Defaults to unknown. */
	remoteEventMs?: (engine: UpstreamId) => number | undefined;
	/** Whether claims that took effect without a response are released. */
	releasesClaims?: boolean;
}>;

export function engineRecord(id: string, fields: Partial<UpstreamRecord> = {}): UpstreamRecord {
	return {
		id: id as UpstreamId, service: 'lm' as ServiceId, address: '127.0.0.1:1', dataCentre: 'dc' as DataCentreId, slots: 2, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
		warmUpMs: 0, models: new Map([['draft' as ModelId, 1]]), bornAt: 1, ...fields,
	};
}

/** The part of a daemon that works on batches, on a store that it may share with others. */
export class BatchDaemon {
	readonly clock = new SystemClock();
	readonly follower: TableFollower;
	readonly batchCache = new BatchCache();
	readonly service: BatchService;
	/** Numbers of the items whose claims were released. */
	readonly released: number[] = [];
	private readonly runner: SampleRunner;
	private readonly worker: ClaimWorker;
	private readonly releaser: ClaimReleaser;

	constructor(options: BatchDaemonOptions) {
		const {
			store, client, directory, incarnation = 'd1#1' as DaemonIncarnation, maxAttempts = 3, ownedEngines = () => [...directory.all()], releasesClaims = true,
			remoteEventMs = () => undefined,
		} = options;
		const {clock, batchCache} = this;
		const follower = new TableFollower({
			store, clock, table: batchTable, waitMs: 50,
		});
		this.follower = follower;
		const commits = new CommitQueue({
			clock, store, follower, batchCache, incarnation, onCommitFailure: ignore,
		});
		const freed = new EventEmitter();
		this.runner = new SampleRunner({
			clock, store, batchCache, directory, client, limits: new UnlimitedRequests(), commits,
			rulesOf: () => ({maxAttempts, isSingleVersion: false, runMs: 60_000}), isLoading: () => false, onVersion: ignore,
			onSlotFreed() {
				freed.emit('slot');
			},
			onTextComplete: ignore,
			onUnreadableRow: ignore,
			onRunReport: ignore,
		});
		this.worker = new ClaimWorker({
			clock, store, follower, batchCache, directory, runner: this.runner, limits: new UnlimitedRequests(), commits, incarnation, ownedEngines,
			isAlive: () => true,
			versionsOf: engine => engine.models,
			remoteEventMs,
			dueAt: view => view.plan.submittedAt + 7500,
			storeTime: () => follower.storeTime(clock.now()),
			onPlanned: ignore,
			onClaimed: ignore,
			onUnanswered: ignore,
		});
		this.releaser = new ClaimReleaser({
			batchCache, commits, incarnation,
			isWorkedOn: itemKey => this.worker.isClaiming(itemKey) || this.runner.hasItem(itemKey) || commits.hasFinalOutcome(itemKey),
			onReleased: ({items}) => {
				this.released.push(...items);
			},
		});
		if (!releasesClaims) {
			this.releaser.stop();
		}

		freed.on('slot', () => {
			this.worker.wake();
		});
		follower.on('changed', changes => {
			batchCache.apply(changes);
			this.worker.wake();
		});
		follower.start();
		this.service = new BatchService({
			clock, store, follower, batchCache, storeTime: () => follower.storeTime(clock.now()),
		});
	}

	stop(): void {
		this.follower.stop();
		this.worker.stop();
		this.releaser.stop();
		this.runner.stop();
	}
}
