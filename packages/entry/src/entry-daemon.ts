import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	BatchBook, BatchService, BatchSweeper, batchTable, ClaimWorker, CommitQueue, givenUpAt, isOutdated, SampleRunner, type BatchRules, type BatchView, type EngineClient,
} from '@cicadapost/batches';
import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {
	type ConnectionPool, Forwarder, UpstreamHealthTracker, matchRoute, type Route, type RoutingConfiguration, type UpstreamProtocol,
} from '@cicadapost/forwarding';
import {ownerOf} from '@cicadapost/membership';
import type {Logger} from '@cicadapost/observability';
import {TableFollower, type RowChange, type RowStore} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonLife, DataCentreId, Millis, ModelId, RegionId, UpstreamId,
} from '@cicadapost/types';
import {
	EngineVersions, WeightLoader, type OrderClient,
} from '@cicadapost/weights';
import type {CallerProtocol} from './caller-protocol.js';
import {CrashReports} from './crash-reports.js';
import {EntryMetrics} from './entry-metrics.js';
import {splitAddress, type EntrySettings} from './entry-settings.js';
import {FleetView} from './fleet-view.js';
import {FrontServer} from './front-server.js';
import {HealthServer} from './health-server.js';
import {fleetTable} from './member-rows.js';
import {MembershipTask} from './membership-task.js';
import type {PlatformTables} from './platform-tables.js';

/** What the daemon needs from an adapter to a platform. */
export type PlatformParts = Readonly<{
	store: RowStore;
	tables: PlatformTables;
	callers: CallerProtocol;
	upstreams: UpstreamProtocol;
	engines: EngineClient;
	orders: OrderClient;
}>;

export type EntryDaemonOptions = Readonly<{
	settings: EntrySettings;
	clock: Clock;
	logger: Logger;
	platform: PlatformParts;
	/** The connections to upstreams, which the adapter's clients share. */
	pool: ConnectionPool;
	random?: () => number;
}>;

/** A daemon that has not heard from the store for this long leaves callers to others: one long poll of a second and a slow answer. */
const cutOffMs = 2500;
/** The balancer stops sending new connections after two questions a second apart. */
const balancerDelayMs = 3200;
/** Runs that are not over this long before the end of the grace period are given back with their text. */
const releaseMarginMs = 2500;
/** Each upstream writes a heartbeat about once a second; one that leaves may be used for seconds more. */
const upstreamGatherMs = 150;
/** Each daemon writes a heartbeat more than once a second; silence counts only after several. */
const fleetGatherMs = 350;
/** The process ends this long before it would be killed. */
const exitMarginMs = 500;
const stopPollMs = 50;

/** One entry daemon: builds the tasks, connects their messages, starts and stops them. */
export class EntryDaemon {
	private readonly life: DaemonLife;
	private readonly directory = new UpstreamDirectory();
	private readonly health = new UpstreamHealthTracker();
	private readonly pool: ConnectionPool;
	private readonly book = new BatchBook();
	private readonly versions = new EngineVersions();
	private readonly metrics = new EntryMetrics();
	private readonly named = new Map<ModelId, number>();
	private readonly operator: TableFollower;
	private readonly upstreams: TableFollower;
	private readonly batchRows: TableFollower;
	private readonly fleet: TableFollower;
	private readonly membership: MembershipTask;
	private readonly view: FleetView;
	private readonly crashes: CrashReports;
	private readonly commits: CommitQueue;
	private readonly runner: SampleRunner;
	private readonly claims: ClaimWorker;
	private readonly loader: WeightLoader;
	private readonly sweeper: BatchSweeper;
	private readonly front: FrontServer;
	private readonly healthServer: HealthServer;
	private readonly timer: NodeJS.Timeout;
	private configuration: RoutingConfiguration | undefined;
	private isStopping = false;

	constructor(private readonly options: EntryDaemonOptions) {
		const {settings, clock, platform, logger} = options;
		const {store} = platform;
		this.pool = options.pool;
		this.life = `${settings.vm}#${randomUUID().slice(0, 8)}` as DaemonLife;
		this.operator = new TableFollower({
			store, clock, table: platform.tables.operatorTable, hasOnePart: true,
		});
		this.upstreams = new TableFollower({
			store, clock, table: platform.tables.upstreamTable, hasOnePart: true, gatherMs: upstreamGatherMs,
		});
		this.batchRows = new TableFollower({store, clock, table: batchTable});
		this.fleet = new TableFollower({
			store, clock, table: fleetTable, gatherMs: fleetGatherMs,
		});
		this.membership = new MembershipTask({
			clock,
			store,
			follower: this.fleet,
			self: {
				daemon: settings.vm as DaemonId,
				life: this.life,
				dataCentre: settings.dataCentre as DataCentreId,
				region: settings.region as RegionId,
			},
		});
		this.view = new FleetView({
			clock,
			self: settings.vm as DaemonId,
			directory: this.directory,
			members: now => this.membership.members(now),
			regionOf: dataCentre => settings.dataCentres[dataCentre] as RegionId | undefined,
		});
		this.crashes = new CrashReports({
			clock,
			store,
			follower: this.fleet,
			isOwner: part => this.isOwnerOf(part),
			onCrash(fingerprint, life) {
				logger.warn({event: 'crash', fingerprint, ...life}, 'a request has ended an upstream');
			},
		});
		this.commits = new CommitQueue({
			store,
			follower: this.batchRows,
			book: this.book,
			life: this.life,
			onTrouble(batch, what) {
				logger.warn({event: 'commit-trouble', batch}, what);
			},
		});
		this.runner = new SampleRunner({
			clock,
			store,
			book: this.book,
			directory: this.directory,
			client: platform.engines,
			commits: this.commits,
			rulesOf: batch => this.rulesOf(batch),
			isLoading: engine => {
				const record = this.directory.get(engine);
				return record !== undefined && this.versions.isLoading(record, clock.now());
			},
			onVersion: (engine, batch, version) => {
				const record = this.directory.get(engine);
				if (record !== undefined) {
					this.versions.shown(record, batch.plan.model, version);
				}
			},
			onFreed: () => {
				this.claims.wake();
			},
			onNote: note => {
				this.metrics.sample(note.outcome, note.tookMs);
				logger.info({event: 'sample', ...note}, note.outcome);
			},
		});
		this.claims = new ClaimWorker({
			clock,
			store,
			follower: this.batchRows,
			book: this.book,
			directory: this.directory,
			runner: this.runner,
			commits: this.commits,
			life: this.life,
			ownedEngines: () => this.view.ownedEngines(),
			isAlive: (life, claimedVersion) => this.membership.isAlive(life, claimedVersion, clock.now()),
			versionsOf: engine => this.versions.usable(engine, clock.now()),
			dueAt: (batch, engine) => this.dueAt(batch, engine),
			storeTime: () => this.batchRows.storeTime(clock.now()),
			onClaimed(engine, target, copyAgeMs) {
				logger.info({
					event: 'claim', batch: target.batch, engine, group: target.group, items: target.items, copyAgeMs: Math.round(copyAgeMs),
				}, 'claimed samples');
			},
		});
		this.loader = new WeightLoader({
			clock,
			store,
			follower: this.fleet,
			client: platform.orders,
			versions: this.versions,
			self: settings.vm as DaemonId,
			silenceMs: settings.orderSilenceMs,
			services: () => this.view.engineServices(this.named),
			isOwner: engine => this.view.isOwner(engine),
			onNote: note => {
				this.metrics.order(note.outcome);
				logger.info({event: 'order', ...note}, note.outcome);
			},
			onLoaded: () => {
				this.claims.wake();
			},
		});
		this.sweeper = new BatchSweeper({
			store,
			book: this.book,
			isOwner: batch => this.isOwnerOf(batch),
			isOutdated: view => isOutdated(view, {
				storeTime: this.batchRows.storeTime(clock.now()),
				retentionMs: settings.resultRetentionSeconds * 1000,
				givenUpAt: givenUpAt(view, this.routeOf(view)?.maxQueueMs ?? 0),
			}),
			onDeleted(batch) {
				logger.info({event: 'batch-deleted', batch}, 'rows of an old batch deleted');
			},
		});
		this.front = new FrontServer({
			clock,
			protocol: platform.callers,
			forwarder: new Forwarder({
				clock,
				directory: this.directory,
				pool: this.pool,
				health: this.health,
				protocol: platform.upstreams,
				crashes: this.crashes,
				dataCentre: settings.dataCentre as DataCentreId,
				random: options.random ?? Math.random,
				onLogEntry: note => {
					if (note.tookMs !== undefined) {
						this.metrics.request(String(note.inputs.route), note.outcome, note.tookMs);
					}

					logger.info({event: 'request', ...note}, note.outcome);
				},
			}),
			batches: new BatchService({
				clock, store, follower: this.batchRows, book: this.book, storeTime: () => this.batchRows.storeTime(clock.now()),
			}),
			configuration: () => this.configuration,
			onNote: note => {
				this.metrics.call(note.outcome);
				logger.info({event: 'call', ...note}, note.outcome);
			},
		});
		this.healthServer = new HealthServer({readyPath: platform.callers.readyPath, isReady: () => this.isReady()});
		this.timer = setInterval(() => {
			this.expireUpstreams();
		}, 200);
	}

	/** Starts to serve. Resolves once the listeners are open; readiness follows when the tables have been read. */
	async start(): Promise<void> {
		const {settings, logger} = this.options;
		this.connect();
		for (const follower of this.followers()) {
			follower.on('lost', () => {
				this.metrics.storeLost(follower.copy.table);
				logger.warn({event: 'store-lost', table: follower.copy.table}, 'the store stopped answering');
			});
			follower.on('regained', awayMs => {
				logger.info({event: 'store-regained', table: follower.copy.table, awayMs: Math.round(awayMs)}, 'the store answers');
			});
			follower.start();
		}

		this.membership.start();
		await Promise.all([
			this.front.listen(splitAddress(settings.listen.callers)),
			this.healthServer.listen(splitAddress(settings.listen.health)),
			...(settings.listen.metrics === undefined ? [] : [this.metrics.listen(splitAddress(settings.listen.metrics))]),
		]);
		logger.info({event: 'start', life: this.life}, 'daemon started');
	}

	/** Takes over settings that may change while the daemon runs; reports whether others need a restart. */
	reload(settings: EntrySettings): void {
		const {logger} = this.options;
		logger.level(settings.log.level);
		const {log: ignoredBefore, ...before} = this.options.settings;
		const {log: ignoredAfter, ...after} = settings;
		const needsRestart = JSON.stringify(before) !== JSON.stringify(after);
		logger.info({event: 'reload', needsRestart}, needsRestart ? 'settings have changed that take effect at the next start' : 'settings read again');
	}

	/** Finishes what runs, gives back what does not end in time, and closes. */
	async shutDown(): Promise<void> {
		const {settings, clock, logger} = this.options;
		const startedAt = clock.now();
		const graceMs = settings.shutdownSeconds * 1000;
		this.isStopping = true;
		logger.info({event: 'stop', running: this.runner.count}, 'daemon is shutting down');
		this.membership.leave();
		this.claims.stop();
		this.loader.stop();
		this.front.startStopping();
		let isReleased = false;
		for (;;) {
			const elapsed = clock.now() - startedAt;
			if (!isReleased && elapsed > graceMs - releaseMarginMs) {
				isReleased = true;
				this.runner.releaseAll('shutdown');
			}

			const isQuiet = this.front.isIdle && this.runner.count === 0 && this.commits.isIdle;
			if ((isQuiet && elapsed > Math.min(balancerDelayMs, graceMs)) || elapsed > graceMs - exitMarginMs) {
				break;
			}

			await sleep(stopPollMs);
		}

		this.close();
		logger.info({event: 'stopped', tookMs: Math.round(clock.now() - startedAt)}, 'daemon stopped');
	}

	private close(): void {
		clearInterval(this.timer);
		for (const follower of this.followers()) {
			follower.stop();
		}

		this.membership.stop();
		this.runner.stop();
		this.sweeper.stop();
		this.crashes.stop();
		this.front.close();
		this.healthServer.close();
		this.metrics.close();
		this.pool.close();
	}

	private followers(): TableFollower[] {
		return [this.operator, this.upstreams, this.batchRows, this.fleet];
	}

	private connect(): void {
		this.operator.on('changed', changes => {
			this.onOperatorRows(changes);
		});
		this.upstreams.on('changed', changes => {
			this.onUpstreamRows(changes);
		});
		this.batchRows.on('changed', changes => {
			for (const err of this.book.apply(changes)) {
				this.options.logger.warn({event: 'unreadable-row'}, err.message);
			}

			this.claims.wake();
		});
		this.fleet.on('changed', () => {
			this.view.invalidate();
		});
	}

	/** Whether this daemon cleans up what belongs to a part of a table. */
	private isOwnerOf(part: string): boolean {
		const {clock, settings} = this.options;
		return ownerOf(part, this.membership.members(clock.now()).map(member => member.daemon)) === settings.vm;
	}

	private isReady(): boolean {
		const now = this.options.clock.now();
		return !this.isStopping && this.configuration !== undefined && this.followers().every(follower => follower.isLoaded && follower.age(now) < cutOffMs);
	}

	private onOperatorRows(changes: readonly RowChange[]): void {
		const {platform, logger} = this.options;
		for (const change of changes) {
			if (change.kind === 'deleted') {
				continue;
			}

			const record = platform.tables.readOperatorRow(change.row);
			switch (record.kind) {
				case 'configuration': {
					this.applyConfiguration(record.configuration);
					break;
				}

				case 'named-version': {
					const {model, version} = record.named;
					if (version > (this.named.get(model) ?? 0)) {
						this.named.set(model, version);
						logger.info({event: 'version-named', model, version}, 'a trainer named a version');
					}

					break;
				}

				case 'other': {
					break;
				}

				case 'unreadable': {
					logger.warn({event: 'unreadable-row', key: change.row.key}, record.detail);
					break;
				}
			}
		}

		this.loader.wake();
		this.claims.wake();
	}

	/** A version once in force is never replaced by an older one. */
	private applyConfiguration(configuration: RoutingConfiguration): void {
		if (this.configuration !== undefined && configuration.version <= this.configuration.version) {
			return;
		}

		const before = this.configuration?.version;
		this.configuration = configuration;
		this.front.applyLimits(configuration.limits);
		this.options.logger.info({
			event: 'configuration', version: configuration.version, before, routes: configuration.routes.length,
		}, 'configuration in force');
	}

	private onUpstreamRows(changes: readonly RowChange[]): void {
		const {platform, clock, logger} = this.options;
		const now = clock.now();
		let isNews = false;
		for (const change of changes) {
			const id = (change.kind === 'written' ? change.row.key : change.key.key) as UpstreamId;
			const before = this.directory.get(id);
			if (change.kind === 'deleted') {
				this.directory.remove(id, {connectedForMs: this.upstreams.connectedFor(now)}, now);
			} else {
				const record = platform.tables.readUpstreamRow(change.row);
				if (record === undefined) {
					this.directory.discard(id);
				} else if (!this.directory.upsert(record)) {
					continue;
				}
			}

			isNews = true;

			const after = this.directory.get(id);
			if (before?.state !== after?.state || before?.bornAt !== after?.bornAt) {
				logger.info({
					event: 'upstream', upstream: id, before: before?.state, after: after?.state, storeConnectedMs: Math.round(this.upstreams.connectedFor(now)),
				}, 'upstream changed');
			}

			if (after?.state !== 'ready') {
				this.pool.closeIdle(id);
			}
		}

		if (isNews) {
			this.view.invalidate();
			this.loader.wake();
			this.claims.wake();
		}
	}

	private expireUpstreams(): void {
		const expired = this.directory.expire(this.options.clock.now());
		for (const record of expired) {
			this.options.logger.info({
				event: 'upstream', upstream: record.id, before: record.state, after: undefined,
			}, 'upstream did not return');
			this.pool.closeIdle(record.id);
			this.health.forget(record.id);
		}

		if (expired.length > 0) {
			this.view.invalidate();
		}
	}

	private routeOf(batch: BatchView): Route | undefined {
		const route = this.configuration === undefined ? undefined : matchRoute(this.configuration, batch.plan.host, batch.plan.path);
		return route?.kind === 'batch' ? route : undefined;
	}

	private rulesOf(batch: BatchView): BatchRules | undefined {
		const route = this.routeOf(batch);
		return route === undefined ? undefined : {maxAttempts: route.maxAttempts, isSingleVersion: route.isSingleVersion, runMs: route.maxQueueMs};
	}

	/** When a batch is due, or undefined if the engine's service may not run it or its time is over. */
	private dueAt(batch: BatchView, engine: UpstreamRecord): Millis | undefined {
		const route = this.routeOf(batch);
		const isServed = route?.services.some(({service, weight}) => service === engine.service && weight > 0) ?? false;
		return route !== undefined && isServed && this.batchRows.storeTime(this.options.clock.now()) < givenUpAt(batch, route.maxQueueMs)
			? batch.plan.submittedAt + route.batchDeadlineMs
			: undefined;
	}
}
