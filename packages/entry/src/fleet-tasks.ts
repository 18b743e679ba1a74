import {
	type UpstreamDirectory, type UpstreamStart, VersionHistory, type MemberRecord,
} from '@cicadapost/fleet';
import {ownerOf} from '@cicadapost/membership';
import type {Logger} from '@cicadapost/observability';
import {RateLimiter} from '@cicadapost/rate-limits';
import type {RowStore} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonIncarnation, DataCentreId, Millis, RegionId, UpstreamId,
} from '@cicadapost/types';
import {CrashReports} from './crash-reports.js';
import type {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {FleetView} from './fleet-view.js';
import type {LoadReporter} from './load-reporter.js';
import {MembershipTask} from './membership-task.js';
import type {PlatformTables} from './platform-tables.js';
import {StreamRecords} from './stream-records.js';
import type {TableFollowers} from './table-followers.js';
import {readListedVersions} from './upstream-list.js';

export type FleetTasksOptions = Readonly<{
	settings: EntrySettings;
	clock: Clock;
	logger: Logger;
	store: RowStore;
	tables: PlatformTables;
	followers: TableFollowers;
	incarnation: DaemonIncarnation;
	directory: UpstreamDirectory;
	metrics: EntryMetrics;
	loadReporter: LoadReporter;
	/** Returns the measured paces of this daemon's engines. */
	paces: () => ReadonlyMap<UpstreamId, Millis>;
	/** Engines that this daemon can't reach. */
	unreachable: () => ReadonlySet<UpstreamId>;
	/** Whether this daemon takes engines. */
	isCandidate: () => boolean;
	/** Returns the members that reach upstreams. */
	linkedMembers: (members: readonly MemberRecord[]) => readonly MemberRecord[];
	/** Whether an upstream other than `except` can be reached. */
	reachesAnother: (except: UpstreamId) => Promise<boolean>;
}>;

/** The state that all daemons share through the fleet's tables: members, owners of engines, crashes, limits of upstreams and origins of streams. */
export class FleetTasks {
	readonly self;
	readonly versions = new VersionHistory();
	readonly membership: MembershipTask;
	readonly fleetView: FleetView;
	readonly crashReports: CrashReports;
	readonly rateLimiter: RateLimiter;
	readonly streamRecords: StreamRecords;

	constructor(private readonly options: FleetTasksOptions) {
		const {settings} = options;
		this.self = {
			daemon: settings.vm as DaemonId,
			incarnation: options.incarnation,
			dataCentre: settings.dataCentre as DataCentreId,
			region: settings.region as RegionId,
			cores: settings.processor.share * settings.processor.speed,
		};
		this.membership = this.createMembership();
		this.fleetView = this.createFleetView();
		this.crashReports = this.createCrashReports();
		this.rateLimiter = this.createRateLimiter();
		for (const event of ['regained', 'gap'] as const) {
			options.followers.upstreams.on(event, () => {
				this.versions.restart(options.clock.now());
			});
		}

		this.streamRecords = this.createStreamRecords();
	}

	/** Whether this daemon is responsible for cleaning up a part of a table. */
	isPartOwner(part: string): boolean {
		return ownerOf(part, this.daemons()) === this.self.daemon;
	}

	stop(): void {
		this.membership.stop();
		this.crashReports.stop();
		this.rateLimiter.stop();
		this.streamRecords.stop();
	}

	private daemons(): DaemonId[] {
		return this.membership.members(this.options.clock.now()).map(member => member.daemon);
	}

	private createMembership(): MembershipTask {
		const {followers, logger, isCandidate} = this.options;
		return new MembershipTask({
			...this.options,
			follower: followers.fleet,
			self: this.self,
			isCandidate,
			onRoleChanged(role, candidates) {
				logger.info({event: 'role', role, candidates}, role === 'candidate' ? 'takes engines from now on' : 'takes no engines unless candidates die');
			},
		});
	}

	private createFleetView(): FleetView {
		const {settings, linkedMembers} = this.options;
		return new FleetView({
			...this.options,
			self: this.self.daemon,
			members: now => linkedMembers(this.membership.members(now)),
			regionOf: dataCentre => settings.dataCentres[dataCentre] as RegionId | undefined,
		});
	}

	private createCrashReports(): CrashReports {
		const {followers, logger, reachesAnother} = this.options;
		return new CrashReports({
			...this.options,
			follower: followers.fleet,
			isOwner: part => this.isPartOwner(part),
			reachesAnother: async upstream => reachesAnother(upstream),
			onCrash(fingerprint, incarnation) {
				logger.warn({event: 'crash', fingerprint, ...incarnation}, 'a request has crashed an upstream');
			},
			onExplained(fingerprint) {
				logger.info({event: 'crash-explained', fingerprint}, 'a request that was in flight at crashes has had a response');
			},
			onProbe(fingerprint, probe) {
				logger.warn({event: 'crash-probe', fingerprint, probe}, 'a blocked request is sent to one upstream');
			},
			daemonCount: () => this.daemons().length,
		});
	}

	private createRateLimiter(): RateLimiter {
		const {followers, directory, logger, metrics, loadReporter} = this.options;
		return new RateLimiter({
			...this.options,
			follower: followers.fleet,
			self: this.self.daemon,
			daemons: () => this.daemons(),
			isListed: (upstream: UpstreamStart) => directory.get(upstream.id)?.bornAt === upstream.bornAt,
			isOwner: upstream => this.isPartOwner(upstream),
			onLimitReport(report) {
				logger.info({event: 'upstream-limit', ...report}, report.requestsPerSecond === undefined ? 'limit of an upstream lifted' : 'upstream has a limit');
			},
			onLimitedSend(upstream, reason) {
				metrics.recordLimitedRequest(reason);
				loadReporter.recordLimitedRequest(upstream, reason);
			},
		});
	}

	private createStreamRecords(): StreamRecords {
		const {settings, clock, store, tables, followers, logger} = this.options;
		return new StreamRecords({
			clock,
			store,
			storeTime: (): Millis => followers.fleet.storeTime(clock.now()),
			dataCentre: this.self.dataCentre,
			dataCentres: Object.keys(settings.dataCentres) as DataCentreId[],
			daemons: () => this.daemons().length,
			versions: this.versions,
			isListContinuous: () => followers.upstreams.isContinuous,
			readVersions: async service => readListedVersions(store, tables, service),
			isOwner: part => this.isPartOwner(part),
			onDropped(count) {
				logger.warn({event: 'stream-records-dropped', count}, 'the store takes no records of streams');
			},
		});
	}
}
