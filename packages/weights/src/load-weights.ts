import {setTimeout as sleep} from 'node:timers/promises';
import type {UpstreamRecord} from '@cicadapost/fleet';
import {isPermitValid, requestPermit, type ClockReadings} from '@cicadapost/permits';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	Clock, DaemonId, Millis, ServiceId, UpstreamId,
} from '@cicadapost/types';
import type {EngineVersions} from './engine-versions.js';
import type {OrderClient, OrderOutcome} from './order-client.js';
import {
	decodePermit, encodePermit, permitKey, type OrderPermit,
} from './order-permit.js';
import {planLoads, type NamedVersion, type PlannedLoad} from './plan-loads.js';

/** How often loads are planned in the absence of events. */
const planIntervalMs = 400;
/** Delay before the next order to an engine after one that was not accepted. */
const retryMs = 400;

export type EngineService = Readonly<{
	service: ServiceId;
	engines: readonly UpstreamRecord[];
	/** Newest version of each model that its trainer has named. */
	named: readonly NamedVersion[];
	models: number;
}>;

/** The outcome of an attempt to order a load, for logs and metrics. */
export type OrderReport = Readonly<{
	engine: UpstreamId;
	load: PlannedLoad;
	outcome: string;
	fencingToken: number | undefined;
}>;

export type WeightLoaderOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Follower of the table that holds the permits. */
	follower: TableFollower;
	client: OrderClient;
	versions: EngineVersions;
	self: DaemonId;
	silenceMs: Millis;
	services: () => readonly EngineService[];
	isOwner: (engine: UpstreamId) => boolean;
	onOrderReport: (report: OrderReport) => void;
	/** Called when an engine did not respond to an order or a report. */
	onUnreached?: (engine: UpstreamId) => void;
	/** Called when the weights of an engine have changed. */
	onLoaded: () => void;
}>;

/** A background task that loads the named versions on engines. Permits ensure that only one daemon at a time sends orders to an engine. */
export class WeightLoader {
	private readonly busy = new Set<UpstreamId>();
	/** Number of orders that each engine has accepted since it started. */
	private readonly accepted = new Map<UpstreamId, Readonly<{bornAt: number; orders: number}>>();
	private readonly timer: NodeJS.Timeout;
	private isStopped = false;

	constructor(private readonly options: WeightLoaderOptions) {
		this.timer = setInterval(() => {
			this.wake();
		}, planIntervalMs);
	}

	/** Plans loads and starts those of the engines that this daemon owns. */
	wake(): void {
		if (this.isStopped) {
			return;
		}

		const {services, isOwner, clock} = this.options;
		const now = clock.now();
		for (const service of services()) {
			if (!service.engines.some(engine => isOwner(engine.id))) {
				continue;
			}

			this.recordRemoteLoads(service);
			const loads = planLoads({
				engines: service.engines.map(engine => this.options.versions.weights(engine, now)),
				named: service.named,
				models: service.models,
			});
			for (const load of loads) {
				const engine = service.engines.find(candidate => candidate.id === load.engine);
				if (engine !== undefined && isOwner(load.engine) && !this.busy.has(load.engine)) {
					void this.executeLoad(engine, load);
				}
			}
		}
	}

	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
	}

	/** Records the loads of other daemons, which their permits reveal. */
	private recordRemoteLoads(service: EngineService): void {
		const {follower, versions, clock, self} = this.options;
		const now = clock.now();
		for (const engine of service.engines) {
			const row = follower.copy.get(engine.id, permitKey);
			const permit = row === undefined ? undefined : decodePermit(row.value);
			const learnedAt = follower.copy.changedAt(engine.id, permitKey) ?? 0;
			if (permit !== undefined && permit.holder !== self && versions.weights(engine, now).loading === undefined
				&& (versions.weights(engine, now).versions.get(permit.model) ?? 0) < permit.version) {
				versions.recordLoadStart(engine, permit, learnedAt);
			}
		}
	}

	private async executeLoad(engine: UpstreamRecord, load: PlannedLoad): Promise<void> {
		this.busy.add(engine.id);
		try {
			const outcome = await this.order(engine, load);
			if (outcome !== undefined) {
				this.applyOutcome(engine, load, outcome);
			}

			if (outcome?.kind !== 'accepted' && outcome?.kind !== 'holds') {
				await sleep(retryMs);
			}
		} finally {
			this.busy.delete(engine.id);
		}
	}

	/** Requests a permit and sends the order. Returns undefined if no order was sent. */
	private async order(engine: UpstreamRecord, load: PlannedLoad): Promise<OrderOutcome | undefined> {
		const {client, clock, self} = this.options;
		const expectedOrders = await this.countAcceptedOrders(engine);
		if (expectedOrders === undefined) {
			return undefined;
		}

		const requestedAt: ClockReadings = {steady: clock.now(), wall: clock.wallTime()};
		const permit = await this.requestPermit(engine, load, requestedAt.steady);
		if (permit === undefined) {
			return undefined;
		}

		if (!isPermitValid(requestedAt, {steady: clock.now(), wall: clock.wallTime()})) {
			this.reportOutcome(load, 'the permit came too late', permit);
			return undefined;
		}

		if (!this.isReady(engine)) {
			this.reportOutcome(load, 'the engine leaves', permit);
			return undefined;
		}

		this.options.versions.recordLoadStart(engine, load, clock.now());
		const outcome = await client.load(engine, {
			model: load.model, version: load.version, mode: 'retain', holder: self, fencingToken: permit.fencingToken, expectedOrders,
		});
		this.reportOutcome(load, 'status' in outcome ? `${outcome.kind} with status ${outcome.status}` : outcome.kind, permit);
		return outcome;
	}

	/** Whether the engine still accepts work. It may have stated that it leaves while the permit was requested. */
	private isReady({id, bornAt}: UpstreamRecord): boolean {
		return this.options.services().some(({engines}) => engines.some(engine => engine.id === id && engine.bornAt === bornAt));
	}

	private async requestPermit(engine: UpstreamRecord, load: PlannedLoad, now: Millis): Promise<OrderPermit | undefined> {
		const {store, follower, self, silenceMs} = this.options;
		const outcome = await requestPermit<OrderPermit>({
			store,
			follower,
			part: engine.id,
			key: permitKey,
			self,
			silenceMs,
			now,
			decode: decodePermit,
			encode: encodePermit,
			next: current => ({
				holder: self, fencingToken: (current?.fencingToken ?? 0) + 1, model: load.model, version: load.version,
			}),
		});
		switch (outcome.kind) {
			case 'granted': {
				return outcome.permit;
			}

			case 'held':
			case 'conflict': {
				return undefined;
			}

			case 'unreadable': {
				this.reportOutcome(load, 'the permit row has an unknown shape; delete it once no daemon of another version runs', undefined);
				return undefined;
			}

			case 'refused':
			case 'unknown': {
				this.reportOutcome(load, `the permit was ${outcome.kind === 'refused' ? 'refused' : 'not answered'} by the store`, outcome.permit);
				return undefined;
			}
		}
	}

	private async countAcceptedOrders(engine: UpstreamRecord): Promise<number | undefined> {
		const cached = this.accepted.get(engine.id);
		if (cached?.bornAt === engine.bornAt) {
			return cached.orders;
		}

		const report = await this.options.client.report(engine);
		if (report === undefined) {
			this.options.onUnreached?.(engine.id);
			return undefined;
		}

		for (const [model, version] of report.versions) {
			this.options.versions.recordVersion(engine, model, version);
		}

		this.accepted.set(engine.id, {bornAt: engine.bornAt, orders: report.acceptedOrders});
		return report.acceptedOrders;
	}

	private applyOutcome(engine: UpstreamRecord, load: PlannedLoad, outcome: OrderOutcome): void {
		const {versions, onLoaded} = this.options;
		switch (outcome.kind) {
			case 'accepted': {
				const orders = (this.accepted.get(engine.id)?.orders ?? 0) + 1;
				this.accepted.set(engine.id, {bornAt: engine.bornAt, orders});
				break;
			}

			case 'holds': {
				versions.recordLoadEnd(engine);
				versions.recordVersion(engine, load.model, load.version);
				onLoaded();
				break;
			}

			case 'busy': {
				// The count may be wrong, or an earlier order whose response was lost is still being executed.
				this.accepted.delete(engine.id);
				break;
			}

			case 'unknown': {
				this.options.onUnreached?.(engine.id);
				this.accepted.delete(engine.id);
				break;
			}

			case 'rejected': {
				versions.recordLoadEnd(engine);
				this.accepted.delete(engine.id);
				break;
			}
		}
	}

	private reportOutcome(load: PlannedLoad, outcome: string, permit: OrderPermit | undefined): void {
		this.options.onOrderReport({
			engine: load.engine, load, outcome, fencingToken: permit?.fencingToken,
		});
	}
}
