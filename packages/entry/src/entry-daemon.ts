import {randomUUID} from 'node:crypto';
import {
	batchFeedPause, BatchCache, BatchService, type EngineClient,
} from '@cicadapost/batches';
import type {DutyClient} from '@cicadapost/duties';
import {UpstreamDirectory} from '@cicadapost/fleet';
import {
	ConnectionPool, Forwarder, UpstreamHealthTracker, type RequestReport, type UpstreamProtocol,
} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import {
	ObservedRowStore, type RowStore,
} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonIncarnation, DataCentreId, Millis,
} from '@cicadapost/types';
import {
	EngineVersions, WeightLoader, type OrderClient,
} from '@cicadapost/weights';
import {AccessMonitor} from './access-monitor.js';
import {BatchTasks} from './batch-tasks.js';
import type {CallerProtocol} from './caller-protocol.js';
import {createClientLimits} from './client-limits.js';
import {DutyTasks} from './duty-tasks.js';
import {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {FleetTasks} from './fleet-tasks.js';
import {FrontServer} from './front-server.js';
import {HealthServer} from './health-server.js';
import {LoadReporter} from './load-reporter.js';
import {observePool} from './observe-pool.js';
import {openListener} from './open-listener.js';
import {OperatorState} from './operator-state.js';
import type {PlatformTables} from './platform-tables.js';
import {RelayTask} from './relay-task.js';
import {answersEndAt, drain, flush} from './shutdown/drain.js';
import {ServiceTimes} from './shutdown/service-times.js';
import {createFollowers, type TableFollowers} from './table-followers.js';
import {UpstreamList} from './upstream-list.js';

/** The interfaces that a platform adapter implements for the daemon. */
export type PlatformAdapter = Readonly<{
	store: RowStore;
	tables: PlatformTables;
	callers: CallerProtocol;
	upstreams: UpstreamProtocol;
	engines: EngineClient;
	orders: OrderClient;
	/** Absent if the settings name no receiver of duties. */
	duties?: DutyClient;
}>;

export type EntryDaemonOptions = Readonly<{
	settings: EntrySettings;
	clock: Clock;
	logger: Logger;
	platform: PlatformAdapter;
	/** Connections to upstreams, shared with the adapter's clients. */
	pool: ConnectionPool;
	random?: () => number;
}>;

/** A daemon to which the store owes a response for this long reports itself as not ready. Allows for a long poll of one second and a slow response. */
export const maxStoreSilenceMs = 2500;
const loadReportIntervalMs = 10_000;

/** The entry daemon: creates its components, connects their events, and starts and stops them. */
export class EntryDaemon {
	private readonly incarnation: DaemonIncarnation;
	private readonly directory = new UpstreamDirectory();
	private readonly health = new UpstreamHealthTracker();
	private readonly pool: ConnectionPool;
	private readonly batchCache = new BatchCache();
	private readonly versions = new EngineVersions();
	private readonly metrics = new EntryMetrics();
	private readonly followers: TableFollowers;
	private readonly fleet: FleetTasks;
	private readonly relays: RelayTask;
	private readonly batchService: BatchService;
	private readonly batchTasks: BatchTasks;
	private readonly weightLoader: WeightLoader;
	private readonly accessMonitor: AccessMonitor;
	private readonly callerForwarder: Forwarder;
	private readonly relayForwarder: Forwarder;
	private readonly serviceTimes = new ServiceTimes();
	private readonly frontServer: FrontServer;
	private readonly healthServer: HealthServer;
	private readonly operatorState: OperatorState;
	private readonly upstreamList: UpstreamList;
	private readonly loadReporter: LoadReporter;
	private readonly duties: DutyTasks | undefined;
	private readonly loadReportTimer: NodeJS.Timeout;
	private isStopping = false;

	constructor(private readonly options: EntryDaemonOptions) {
		const {settings, clock, platform, logger} = options;
		this.loadReporter = new LoadReporter({
			processorTime() {
				const {user, system} = process.cpuUsage();
				return (user + system) / 1000;
			},
			onLoadReport(report) {
				logger.info({event: 'load', ...report}, 'work of this daemon');
			},
		}, clock.now());
		const store = new ObservedRowStore(platform.store, report => {
			this.loadReporter.recordStoreCall(report);
			this.metrics.recordStoreCall(report);
		});
		this.pool = options.pool;
		observePool(this.pool, {metrics: this.metrics, logger});
		this.incarnation = `${settings.vm}#${randomUUID().slice(0, 8)}` as DaemonIncarnation;
		const revocationMs = settings.revocation.isStrict ? settings.revocation.maxMs : undefined;
		this.followers = createFollowers({
			revocationMs,
			store,
			clock,
			tables: platform.tables,
			ownsEngines: () => this.fleet.fleetView.ownedEngines().length > 0,
			isStandby: () => this.fleet.membership.isStandby,
			batchPause: () => batchFeedPause({
				ownsEngines: this.fleet.fleetView.ownedEngines().length > 0,
				isStandby: this.fleet.membership.isStandby,
				running: this.batchTasks.running + this.batchTasks.rewarding,
				waiting: this.batchService.waiting,
			}),
		});
		this.fleet = new FleetTasks({
			...options,
			store,
			tables: platform.tables,
			followers: this.followers,
			incarnation: this.incarnation,
			directory: this.directory,
			metrics: this.metrics,
			loadReporter: this.loadReporter,
			paces: () => this.batchTasks.paces,
			unreachable: () => this.batchTasks.unreachable,
			isCandidate: () => this.isCandidate,
			linkedMembers: members => this.relays.linkedMembers(members),
			reachesAnother: async upstream => this.relays.reachesAnother(upstream),
		});
		const {membership, fleetView, versions} = this.fleet;
		const clients = createClientLimits({
			clock,
			logger,
			limits: settings.limits,
			random: options.random ?? Math.random,
			onReport: ({reason}) => {
				this.metrics.recordClientLimit(reason);
			},
		});
		this.batchService = new BatchService({
			clock, store, follower: this.followers.batches, batchCache: this.batchCache, storeTime: () => this.followers.batches.storeTime(clock.now()),
		});
		this.weightLoader = new WeightLoader({
			clock,
			store,
			follower: this.followers.fleet,
			client: platform.orders,
			versions: this.versions,
			self: settings.vm as DaemonId,
			silenceMs: settings.orderSilenceMs,
			services: () => this.fleet.fleetView.engineServices(this.operatorState.namedVersions),
			isOwner: engine => this.fleet.fleetView.isOwner(engine),
			onUnreached: engine => {
				this.batchTasks.recordUnreached(engine);
			},
			onOrderReport: report => {
				this.metrics.recordOrder(report.outcome);
				logger.info({event: 'order', ...report}, report.outcome);
			},
			onLoaded: () => {
				this.batchTasks.wake();
			},
		});
		const forwarding = {
			clock,
			directory: this.directory,
			pool: this.pool,
			health: this.health,
			protocol: platform.upstreams,
			crashes: this.fleet.crashReports,
			limits: this.fleet.rateLimiter,
			streams: this.fleet.streamRecords,
			responseBytes: clients.responses,
			dataCentre: settings.dataCentre as DataCentreId,
			random: options.random ?? Math.random,
		};
		this.relayForwarder = new Forwarder({
			...forwarding,
			onRequestReport: report => {
				this.recordRequest({...report, inputs: {...report.inputs, ofOtherDaemon: true}});
			},
		});
		this.relays = new RelayTask({
			...forwarding,
			clients,
			logger,
			store,
			follower: this.followers.fleet,
			self: this.fleet.self,
			address: settings.listen.relay,
			protocol: platform.callers,
			upstreamPool: this.pool,
			daemonPool: new ConnectionPool(),
			forwarder: this.relayForwarder,
			upstreams: () => this.directory.all(),
			members: now => this.fleet.membership.members(now),
			configuration: () => this.operatorState.configuration,
			onChanged: () => {
				this.fleet.fleetView.invalidate();
				this.batchTasks.wake();
			},
			onAccepted: () => {
				this.metrics.recordRequestOfOtherDaemon();
			},
			onResponse: (upstream, head) => {
				this.upstreamList.recordResponse(upstream, head);
			},
		});
		this.batchTasks = new BatchTasks({
			clock,
			logger,
			store,
			follower: this.followers.batches,
			batchCache: this.batchCache,
			directory: this.directory,
			engines: platform.engines,
			limits: this.fleet.rateLimiter,
			versions: this.versions,
			membership,
			fleetView,
			metrics: this.metrics,
			loadReporter: this.loadReporter,
			textBytes: clients.texts,
			forwarding: {...forwarding, relays: this.relays.path},
			configuration: () => this.operatorState.configuration,
			incarnation: this.incarnation,
			retentionMs: settings.resultRetentionSeconds * 1000,
			isBatchOwner: batch => this.fleet.isPartOwner(batch),
			onRequestReport: report => {
				this.recordRequest(report);
			},
		});
		this.accessMonitor = new AccessMonitor({
			clock,
			logger,
			follower: this.followers.operator,
			configuration: () => this.operatorState.configuration,
			revocationMs,
		});
		this.callerForwarder = new Forwarder({
			...forwarding,
			relays: this.relays.path,
			onRequestReport: report => {
				this.recordRequest(report);
			},
			onRequestEnd: ({route, outcome, tookMs}) => {
				if (outcome === 'answered' || outcome === 'streamed') {
					this.serviceTimes.record(route, tookMs);
				}
			},
			onRequestRun: run => {
				this.duties?.recordRun(run);
			},
		});
		this.frontServer = new FrontServer({
			clock,
			clients,
			serviceTimes: this.serviceTimes,
			protocol: platform.callers,
			forwarder: this.callerForwarder,
			batches: this.batchService,
			configuration: () => this.operatorState.configuration,
			freshness: () => this.accessMonitor.freshness(),
			random: options.random ?? Math.random,
			onCallReport: report => {
				this.metrics.recordCall(report.outcome);
				logger.info({event: 'call', ...report}, report.outcome);
			},
		});
		this.healthServer = new HealthServer({readyPath: platform.callers.readyPath, isReady: () => this.isReady});
		this.operatorState = new OperatorState({
			logger,
			tables: platform.tables,
			follower: this.followers.operator,
			onConfiguration: configuration => {
				this.frontServer.applyLimits(configuration.limits);
				this.serviceTimes.retain(new Set(configuration.routes.map(({name}) => name)));
			},
			onChanged: () => {
				this.weightLoader.wake();
				this.batchTasks.wake();
			},
		});
		this.upstreamList = new UpstreamList({
			clock,
			logger,
			tables: platform.tables,
			follower: this.followers.upstreams,
			directory: this.directory,
			pool: this.pool,
			protocol: platform.upstreams,
			health: this.health,
			onChanged: () => {
				versions.update(this.directory.all(), clock.now());
				this.fleet.fleetView.invalidate();
				this.updateRole();
				this.weightLoader.wake();
				this.batchTasks.wake();
			},
			onExpired: () => {
				versions.update(this.directory.all(), clock.now());
				this.fleet.fleetView.invalidate();
			},
		});
		this.duties = platform.duties === undefined || settings.duties === undefined
			? undefined
			: new DutyTasks({
				settings: settings.duties,
				clock,
				logger,
				store,
				follower: this.followers.fleet,
				client: platform.duties,
				self: this.fleet.self,
				members: now => membership.members(now),
				dataCentres: Object.keys(settings.dataCentres) as DataCentreId[],
				directory: this.directory,
				health: this.health,
				batchCache: this.batchCache,
				configuration: () => this.operatorState.configuration,
				metrics: this.metrics.duties,
				random: options.random ?? Math.random,
			});
		this.loadReportTimer = setInterval(() => {
			this.loadReporter.report(clock.now());
		}, loadReportIntervalMs);
	}

	/** Resolves once the listeners are open. The daemon becomes ready later, when the tables have been loaded. Closes the daemon if it can't listen. */
	async start(): Promise<void> {
		const {logger} = this.options;
		await this.listen();

		this.subscribe();
		for (const follower of Object.values(this.followers)) {
			follower.on('lost', () => {
				this.metrics.recordStoreLoss(follower.copy.table);
				logger.warn({event: 'store-lost', table: follower.copy.table}, 'the store stopped answering');
			});
			follower.on('regained', awayMs => {
				logger.info({event: 'store-regained', table: follower.copy.table, awayMs: Math.round(awayMs)}, 'the store answers again');
			});
			follower.on('gap', ms => {
				logger.info({event: 'store-gap', table: follower.copy.table, ms: Math.round(ms)}, 'rows may have come and gone between two polls');
			});
			follower.start();
		}

		// Other daemons count on what an announced daemon does, so it is announced only once it can be reached.
		this.fleet.membership.start();
		this.relays.start();
		this.duties?.start();
		logger.info({event: 'start', life: this.incarnation}, 'daemon started');
	}

	private async listen(): Promise<void> {
		const {settings: {listen}, logger} = this.options;
		const servers = {
			callers: this.frontServer, health: this.healthServer, relay: this.relays, metrics: this.metrics,
		};
		const outcomes = await Promise.allSettled((['callers', 'health', 'relay', 'metrics'] as const).map(async name => openListener({
			name, address: listen[name], server: servers[name], logger,
		})));
		const failure = outcomes.find(({status}) => status === 'rejected');
		if (failure?.status === 'rejected') {
			this.close();
			throw failure.reason as Error;
		}
	}

	/** Applies settings that can change at run time, and logs whether other changes require a restart. */
	reload(settings: EntrySettings): void {
		const {logger} = this.options;
		logger.level(settings.log.level);
		const {log: ignoredBefore, ...before} = this.options.settings;
		const {log: ignoredAfter, ...after} = settings;
		const needsRestart = JSON.stringify(before) !== JSON.stringify(after);
		logger.info({event: 'reload', needsRestart}, needsRestart ? 'settings reloaded; some changes take effect only after a restart' : 'settings reloaded');
	}

	/** Waits for running work, releases runs that do not finish in time, and closes. */
	async shutDown(): Promise<void> {
		const {settings, clock, logger} = this.options;
		const startedAt = clock.now();
		const graceMs = settings.shutdownSeconds * 1000;
		this.isStopping = true;
		logger.info({event: 'stop', running: this.batchTasks.running, rewarding: this.batchTasks.rewarding}, 'daemon is shutting down');
		this.fleet.membership.leave();
		this.batchTasks.startDraining();
		this.weightLoader.stop();
		this.frontServer.startDraining({startedAt, answersEndAt: answersEndAt(startedAt, graceMs)});
		this.relays.startDraining();
		await drain({
			clock,
			graceMs,
			isIdle: () => this.frontServer.isIdle && this.relays.isIdle && this.batchTasks.isIdle,
			closeIdleConnections: () => {
				this.frontServer.closeIdleConnections();
			},
			releaseWork: () => {
				this.batchTasks.releaseAll('shutdown');
			},
			answerPending: () => {
				this.answerPending();
			},
		});
		// Nothing more is taken while the duties are handed over.
		this.frontServer.startDraining({startedAt, answersEndAt: clock.now()});
		await this.duties?.finish();
		this.answerPending();
		await flush({clock, isIdle: () => this.frontServer.isIdle && this.relays.isIdle});
		this.close();
		logger.info({event: 'stopped', tookMs: Math.round(clock.now() - startedAt)}, 'daemon stopped');
	}

	private answerPending(): void {
		this.callerForwarder.giveUpAll('the daemon shuts down');
		this.relayForwarder.giveUpAll('the daemon shuts down');
		this.frontServer.answerPending();
	}

	private close(): void {
		this.upstreamList.stop();
		this.weightLoader.stop();
		clearInterval(this.loadReportTimer);
		for (const follower of Object.values(this.followers)) {
			follower.stop();
		}

		this.duties?.stop();
		this.fleet.stop();
		this.batchTasks.stop();
		this.relays.stop();
		this.frontServer.close();
		this.healthServer.close();
		this.metrics.close();
		this.pool.close();
	}

	private recordRequest(report: RequestReport): void {
		if (report.tookMs !== undefined) {
			this.metrics.recordRequest(String(report.inputs.route), report.outcome, report.tookMs);
		}

		this.options.logger.info({event: 'request', ...report}, report.outcome);
	}

	private subscribe(): void {
		this.followers.batches.on('changed', changes => {
			for (const err of this.batchCache.apply(changes)) {
				this.options.logger.warn({event: 'unreadable-row'}, err.message);
			}

			this.batchTasks.wake();
		});
		this.followers.fleet.on('changed', () => {
			this.fleet.fleetView.invalidate();
			this.updateRole();
		});
	}

	/**
	Whether this daemon takes engines. So it does before it has read how many others there are, and while it has work, so that
	its claims are freed soon if it dies.
	*/
	private get isCandidate(): boolean {
		const {fleet, upstreams} = this.followers;
		return !fleet.isLoaded || !upstreams.isLoaded || this.fleet.fleetView.isCandidate || this.batchTasks.running + this.batchTasks.rewarding > 0;
	}

	private updateRole(): void {
		if (this.fleet.membership.updateRole()) {
			this.followers.batches.hurry();
			this.followers.fleet.hurry();
		}
	}

	/** Whether the load balancer may send new connections to this daemon. */
	get isReady(): boolean {
		const now = this.options.clock.now();
		const hasStore = Object.values(this.followers).every(follower => follower.isLoaded && follower.silentFor(now) < maxStoreSilenceMs);
		return !this.isStopping && this.operatorState.configuration !== undefined && this.accessMonitor.servesKeys && hasStore;
	}
}
