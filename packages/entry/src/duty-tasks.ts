import {setTimeout as sleep} from 'node:timers/promises';
import {
	DutyRunner, minCallIntervalMs, type DutyClient, type DutyKind, type DutyReport, type DutyWork,
} from '@cicadapost/duties';
import type {BatchCache} from '@cicadapost/batches';
import type {MemberRecord, UpstreamDirectory} from '@cicadapost/fleet';
import type {RequestRun, RoutingConfiguration, UpstreamHealthTracker} from '@cicadapost/forwarding';
import type {Logger} from '@cicadapost/observability';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	Clock, DaemonId, DaemonIncarnation, DataCentreId, Millis,
} from '@cicadapost/types';
import {
	CountWriter, FleetClock, settleMs, sweepUsage, UsageWork,
} from '@cicadapost/usage';
import {DutyMembers} from './duty-members.js';
import type {DutyMetrics} from './duty-metrics.js';
import type {DutySettings} from './entry-settings.js';
import {scalingSubject, ScalingTasks} from './scaling-tasks.js';

/** How often due calls are looked for. */
const tickMs = 150;
const sweepMs = 30_000;
/** The last write of counts must not delay the exit of the process past the grace period of the platform. */
const maxFinalWriteMs = 300;

export type DutyTasksOptions = Readonly<{
	settings: DutySettings;
	clock: Clock;
	logger: Logger;
	store: RowStore;
	/** Follows the fleet's table. */
	follower: TableFollower;
	client: DutyClient;
	self: Readonly<{daemon: DaemonId; incarnation: DaemonIncarnation}>;
	/** Daemons that are alive. */
	members: (now: Millis) => readonly MemberRecord[];
	/** Data centres of the platform. */
	dataCentres: readonly DataCentreId[];
	directory: UpstreamDirectory;
	health: UpstreamHealthTracker;
	batchCache: BatchCache;
	configuration: () => RoutingConfiguration | undefined;
	metrics: DutyMetrics;
	random: () => number;
}>;

/** The duties of the fleet that this daemon takes part in, and the counts that they need. */
export class DutyTasks {
	private readonly dutyMembers: DutyMembers;
	private readonly fleetClock: FleetClock;
	private readonly countWriter: CountWriter;
	private readonly usage: DutyRunner | undefined;
	private readonly scaling: ScalingTasks | undefined;
	private readonly kinds: ReadonlySet<DutyKind>;
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(private readonly options: DutyTasksOptions) {
		const {settings, clock, follower, self, logger} = options;
		this.kinds = new Set(settings.names.flatMap(name => options.client.dutyOf(name) ?? []));
		this.dutyMembers = new DutyMembers(options);
		const members = (now: Millis) => this.dutyMembers.list(now);
		this.fleetClock = new FleetClock({
			...options,
			self: self.daemon,
			members,
			onOffset(offsetMs, previousMs) {
				const changeMs = previousMs === undefined ? undefined : Math.round(offsetMs - previousMs);
				const ownMs = Math.round(clock.wallTime() - follower.storeTime(clock.now()) - offsetMs);
				logger.info({event: 'true-time', changeMs, ownMs}, 'offset of true time changed');
			},
		});
		this.countWriter = new CountWriter({
			...options,
			fleetClock: this.fleetClock,
			incarnation: self.incarnation,
			windowMs: settings.usageWindowSeconds * 1000,
			daemons: () => members(clock.now()).length,
		});
		this.usage = this.kinds.has('usage') ? this.createRunner('usage', '', this.createUsageWork(), () => 1) : undefined;
		this.scaling = this.kinds.has('scaling') ? this.createScaling() : undefined;
	}

	start(): void {
		const {clock, logger, settings, client} = this.options;
		for (const name of settings.names.filter(candidate => client.dutyOf(candidate) === undefined)) {
			logger.warn({event: 'unknown-duty', name}, 'this build does not know the duty; it is not carried out');
		}

		if (this.usage !== undefined) {
			this.fleetClock.start();
			this.countWriter.start();
		}

		this.timers.push(setInterval(() => {
			void this.dutyMembers.announce(clock.now());
			void this.usage?.run();
			this.scaling?.run();
			this.options.metrics.recordHeld('usage', this.usage?.isHolder === true ? 1 : 0);
			this.options.metrics.recordHeld('scaling', this.scaling?.held ?? 0);
		}, tickMs), setInterval(() => {
			void this.sweep();
		}, sweepMs));
	}

	/** Counts a request of a caller of this daemon. Requests without a team are not counted. */
	recordRun({team, ...times}: RequestRun): void {
		if (team !== undefined && this.usage !== undefined) {
			this.countWriter.record(team, times);
		}
	}

	/** Stops, after the last counts have been written. */
	async finish(): Promise<void> {
		this.stopTimers();
		await Promise.race([this.countWriter.flush(), sleep(maxFinalWriteMs)]);
		this.countWriter.stop();
	}

	stop(): void {
		this.stopTimers();
		this.countWriter.stop();
	}

	private stopTimers(): void {
		this.fleetClock.stop();
		for (const timer of this.timers.splice(0)) {
			clearInterval(timer);
		}
	}

	private createScaling(): ScalingTasks {
		const {logger, metrics} = this.options;
		return new ScalingTasks({
			...this.options,
			// One daemon normally holds all data centres of a service, so that it sees its own orders when it plans the next.
			createRunner: (subject, work) => this.createRunner('scaling', scalingSubject(subject), work, () => this.scaling?.subjects ?? 1, `duty-scaling-${subject.service}`),
			onScaleReport(report) {
				metrics.recordScaleOrder(report.kind, report.outcome);
				logger.info({event: 'scale-order', ...report}, report.reason);
			},
		});
	}

	private createRunner(duty: DutyKind, subject: string, work: DutyWork, subjects: () => number, rankKey?: string): DutyRunner {
		const {settings, self} = this.options;
		return new DutyRunner({
			...this.options,
			duty,
			subject,
			...(rankKey === undefined ? {} : {rankKey}),
			work,
			self: self.daemon,
			leaseMs: settings.leaseMs,
			members: now => this.dutyMembers.list(now),
			minIntervalMs: () => minCallIntervalMs({callsPerSecond: settings.callsPerSecond, duties: this.kinds.size, subjects: subjects()}),
			onDutyReport: report => {
				this.onDutyReport(report);
			},
		});
	}

	private createUsageWork(): UsageWork {
		const {settings, logger, metrics, follower} = this.options;
		const times = {windowMs: settings.usageWindowSeconds * 1000, lateMs: settings.usageLateSeconds * 1000, leaseMs: settings.leaseMs};
		return new UsageWork({
			...this.options,
			...times,
			fleetClock: this.fleetClock,
			connectedFor: now => follower.connectedFor(now),
			onWindowReport(report) {
				metrics.recordWindow(report.outcome);
				if (report.outcome === 'sent') {
					logger.info({
						event: 'usage-window', ...report, isLate: report.lateMs > times.lateMs, settleMs: settleMs(times),
					}, report.outcome);
				} else {
					logger.warn({event: 'usage-window', ...report}, report.outcome);
				}
			},
			onUnreadable(part, key) {
				logger.warn({event: 'unreadable-row', part, key}, 'counts of a daemon can\'t be read and are missing in a report');
			},
		});
	}

	private onDutyReport(report: DutyReport): void {
		const {logger, metrics, self} = this.options;
		metrics.recordDuty(report.duty, report.outcome);
		const isExpected = report.outcome === 'done' || report.tookOverFrom !== undefined;
		logger[isExpected ? 'info' : 'warn']({event: 'duty', holder: self.daemon, ...report}, report.outcome);
	}

	/** Deletes old rows. Done by the holder of the duty only. */
	private async sweep(): Promise<void> {
		const {store, clock} = this.options;
		const next = this.usage?.record?.note;
		if (this.usage?.isHolder === true && typeof next === 'number') {
			const now = clock.now();
			await sweepUsage(store, next, this.dutyMembers.list(now));
			await this.dutyMembers.sweep(now);
		}
	}
}
