import {
	isOpen, queueDeadlineOf, type BatchCache, type BatchView,
} from '@cicadapost/batches';
import {
	decodeDuty, dutyKey, dutyPart, type DutyClient, type DutyRunner, type DutyWork,
} from '@cicadapost/duties';
import type {UpstreamDirectory, UpstreamRecord} from '@cicadapost/fleet';
import {
	matchRoute, type Route, type RoutingConfiguration, type ServiceConfiguration, type UpstreamHealthTracker,
} from '@cicadapost/forwarding';
import {
	neededForRequests, neededForSamples, PaceTracker, parseNote, ScalingWork, ServiceScaling,
	type DueWork, type ListedCounts, type ScaleReport, type ScalingNote,
} from '@cicadapost/scaling';
import type {TableFollower} from '@cicadapost/store';
import type {
	BatchId, Clock, DataCentreId, Millis, ServiceId,
} from '@cicadapost/types';

/** How often demand is looked at. */
const observeMs = 1000;
/** Submissions of this time give the rate that must be kept up with. Several training steps. */
const submittedMs = 20_000;
/** Load reports of upstreams that are older say nothing. */
const maxReportAgeMs = 15_000;
/** Share of a running sample's tokens that is still to come, on average. */
const runningShare = 0.5;
/** Slots of an upstream if none is listed. */
const defaultSlots = 8;

export type ScalingTasksOptions = Readonly<{
	clock: Clock;
	/** Follows the fleet's table. */
	follower: Pick<TableFollower, 'copy' | 'storeTime' | 'isLoaded'>;
	client: DutyClient;
	dataCentres: readonly DataCentreId[];
	directory: UpstreamDirectory;
	health: UpstreamHealthTracker;
	batchCache: BatchCache;
	configuration: () => RoutingConfiguration | undefined;
	createRunner: (subject: Readonly<{service: ServiceId; dataCentre: DataCentreId}>, work: DutyWork) => DutyRunner;
	onScaleReport: (report: ScaleReport) => void;
}>;

type ServiceState = Readonly<{scaling: ServiceScaling; pace: PaceTracker; runners: Map<DataCentreId, DutyRunner>}>;

/** The demand of a batch on a service. */
type BatchDemand = Readonly<{view: BatchView; route: Route; share: number}>;

/** Looks at the demand on each service that may be scaled, and runs the duty for each of its data centres. */
export class ScalingTasks {
	private readonly services = new Map<ServiceId, ServiceState>();
	/** Expected tokens of the listed samples of each batch, as of the last look. */
	private readonly completed = new Map<BatchId, number>();
	private observedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: ScalingTasksOptions) {}

	/** Number of subjects, which share the rate of calls. */
	get subjects(): number {
		return [...this.services.values()].reduce((sum, {runners}) => sum + runners.size, 0);
	}

	get held(): number {
		return [...this.services.values()].reduce((sum, {runners}) => sum + [...runners.values()].filter(({isHolder}) => isHolder).length, 0);
	}

	/** Makes the orders that are due. Called several times a second. */
	run(): void {
		const {clock, follower} = this.options;
		const now = clock.now();
		if (!follower.isLoaded) {
			return;
		}

		if (now - this.observedAt >= observeMs) {
			this.observedAt = now;
			this.observe(now);
		}

		for (const {runners} of this.services.values()) {
			for (const runner of runners.values()) {
				void runner.run();
			}
		}
	}

	private observe(now: Millis): void {
		const configuration = this.options.configuration();
		const scaled = configuration?.services.filter(({scaling}) => scaling !== undefined) ?? [];
		for (const service of this.services.keys()) {
			if (scaled.every(({name}) => name !== service)) {
				this.services.delete(service);
			}
		}

		if (configuration === undefined || scaled.length === 0) {
			return;
		}

		const batches = this.options.batchCache.all();
		const completed = this.countCompleted(batches);
		for (const service of scaled) {
			this.observeService(service, {
				configuration, batches, completed, now,
			});
		}
	}

	private observeService(service: ServiceConfiguration, {configuration, batches, completed, now}: Readonly<{
		configuration: RoutingConfiguration;
		batches: readonly BatchView[];
		completed: ReadonlyMap<BatchId, number>;
		now: Millis;
	}>): void {
		const {directory} = this.options;
		const rules = service.scaling;
		if (rules === undefined) {
			return;
		}

		const state = this.stateOf(service.name);
		const upstreams = directory.all().filter(upstream => upstream.service === service.name);
		const listed = countListed(upstreams);
		const ready = upstreams.filter(upstream => upstream.state === 'ready');
		const runsBatches = configuration.routes.some(route => route.kind === 'batch' && shareOf(route, service.name) > 0);
		const needed = runsBatches
			? this.neededForBatches(demandOn(service.name, configuration, batches), state.pace, {
				completed, ready, bootMs: rules.bootMs, now,
			})
			: neededForRequests({reported: this.recentLoads(ready, now), serving: ready.length});
		state.scaling.observe({rules, listed, needed}, now);
		for (const dataCentre of this.options.dataCentres) {
			// Where upstreams were ordered once, they are still ordered if none is left.
			const isKnown = listed.some(counts => counts.dataCentre === dataCentre) || this.noteOf(service.name, dataCentre) !== undefined;
			if (isKnown && !state.runners.has(dataCentre)) {
				state.runners.set(dataCentre, this.createRunner(service.name, dataCentre, state.scaling));
			}
		}
	}

	private neededForBatches(demands: readonly BatchDemand[], pace: PaceTracker, {completed, ready, bootMs, now}: Readonly<{
		completed: ReadonlyMap<BatchId, number>;
		ready: readonly UpstreamRecord[];
		bootMs: Millis;
		now: Millis;
	}>): number | undefined {
		const storeTime = this.options.follower.storeTime(now);
		const open = demands.filter(({view, route}) => isOpen(view) && storeTime < queueDeadlineOf(view, route.maxQueueMs));
		const work = open.map(({view, route, share}): DueWork => ({
			dueInMs: view.plan.submittedAt + route.batchDeadlineMs - storeTime, tokens: share * tokensOf(view, {open: 1, running: runningShare}),
		}));
		const running = open.reduce((sum, {view, share}) => sum + (share * countRunning(view)), 0);
		pace.observe(running, demands.reduce((sum, {view, share}) => sum + (share * (completed.get(view.id) ?? 0)), 0), now);
		return neededForSamples({
			work,
			submittedTokens: demands.filter(({view}) => storeTime - view.plan.submittedAt < submittedMs)
				.reduce((sum, {view, share}) => sum + (share * tokensOf(view, {
					open: 1, running: 1, rewarding: 1, listed: 1,
				})), 0),
			submittedMs,
			msPerToken: pace.msPerToken,
			serving: ready.length,
			slots: ready.length === 0 ? defaultSlots : ready.reduce((sum, {slots}) => sum + slots, 0) / ready.length,
			bootMs,
		});
	}

	/** Returns the expected tokens of samples that were listed since the last look, by batch. */
	private countCompleted(batches: readonly BatchView[]): ReadonlyMap<BatchId, number> {
		const added = new Map<BatchId, number>();
		for (const view of batches) {
			const tokens = tokensOf(view, {listed: 1});
			added.set(view.id, tokens - (this.completed.get(view.id) ?? tokens));
			this.completed.set(view.id, tokens);
		}

		for (const id of this.completed.keys()) {
			if (!added.has(id)) {
				this.completed.delete(id);
			}
		}

		return added;
	}

	private recentLoads(upstreams: readonly UpstreamRecord[], now: Millis) {
		return upstreams.flatMap(({id}) => {
			const {load} = this.options.health.healthOf(id, false);
			return load === undefined || now - load.at > maxReportAgeMs ? [] : [load.report];
		});
	}

	private stateOf(service: ServiceId): ServiceState {
		const state = this.services.get(service) ?? {scaling: new ServiceScaling(), pace: new PaceTracker(), runners: new Map<DataCentreId, DutyRunner>()};
		this.services.set(service, state);
		return state;
	}

	private createRunner(service: ServiceId, dataCentre: DataCentreId, scaling: ServiceScaling): DutyRunner {
		const {client, follower, onScaleReport, createRunner} = this.options;
		return createRunner({service, dataCentre}, new ScalingWork({
			service,
			dataCentre,
			scaling,
			client,
			notes: () => this.notesOf(service),
			storeTime: now => follower.storeTime(now),
			onScaleReport,
		}));
	}

	private notesOf(service: ServiceId): Map<DataCentreId, ScalingNote> {
		const notes = new Map<DataCentreId, ScalingNote>();
		for (const dataCentre of this.services.get(service)?.runners.keys() ?? []) {
			const note = this.noteOf(service, dataCentre);
			if (note !== undefined) {
				notes.set(dataCentre, note);
			}
		}

		return notes;
	}

	private noteOf(service: ServiceId, dataCentre: DataCentreId): ScalingNote | undefined {
		const row = this.options.follower.copy.get(dutyPart('scaling', scalingSubject({service, dataCentre})), dutyKey);
		return row === undefined ? undefined : parseNote(decodeDuty(row.value)?.note);
	}
}

export function scalingSubject({service, dataCentre}: Readonly<{service: ServiceId; dataCentre: DataCentreId}>): string {
	return `${service}/${dataCentre}`;
}

function shareOf(route: Route, service: ServiceId): number {
	const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
	return total === 0 ? 0 : (route.services.find(candidate => candidate.service === service)?.weight ?? 0) / total;
}

function demandOn(service: ServiceId, configuration: RoutingConfiguration, batches: readonly BatchView[]): BatchDemand[] {
	return batches.flatMap(view => {
		const route = matchRoute(configuration, view.plan.host, view.plan.path);
		const share = route?.kind === 'batch' ? shareOf(route, service) : 0;
		return route === undefined || share === 0 ? [] : [{view, route, share}];
	});
}

/** Sums the expected tokens of samples, weighted by their state. */
function tokensOf({plan, claims}: BatchView, weights: Readonly<Partial<Record<'open' | 'running' | 'rewarding' | 'listed', number>>>): number {
	let tokens = 0;
	for (const [group, {items}] of plan.groups.entries()) {
		for (const [index, {expectedTokens}] of items.entries()) {
			tokens += expectedTokens * (weights[claims[group]?.items[index]?.kind ?? 'open'] ?? 0);
		}
	}

	return tokens;
}

function countRunning({claims}: BatchView): number {
	return claims.reduce((sum, {items}) => sum + items.filter(({kind}) => kind === 'running').length, 0);
}

function countListed(upstreams: readonly UpstreamRecord[]): ListedCounts[] {
	const counts = new Map<DataCentreId, Record<'ready' | 'leaving', Record<'regular' | 'spot', number>>>();
	for (const {dataCentre, state, isSpot} of upstreams) {
		const entry = counts.get(dataCentre) ?? {ready: {regular: 0, spot: 0}, leaving: {regular: 0, spot: 0}};
		entry[state][isSpot === true ? 'spot' : 'regular'] += 1;
		counts.set(dataCentre, entry);
	}

	return [...counts].map(([dataCentre, entry]) => ({dataCentre, ...entry}));
}
