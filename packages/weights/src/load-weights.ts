import {setTimeout as sleep} from 'node:timers/promises';
import type {UpstreamRecord} from '@cicadapost/fleet';
import type {RowStore, TableFollower} from '@cicadapost/store';
import type {
	Clock, DaemonId, Millis, ServiceId, UpstreamId,
} from '@cicadapost/types';
import type {EngineVersions} from './engine-versions.js';
import type {OrderClient, OrderOutcome} from './order-client.js';
import {
	decodePermit, encodePermit, isPermitValid, mayAskForPermit, permitKey, type ClockReadings, type OrderPermit,
} from './order-permit.js';
import {planLoads, type NamedVersion, type PlannedLoad} from './plan-loads.js';

/** How often loads are planned again without an event. */
const planMs = 250;
/** Pause after an order that was not accepted. */
const retryMs = 400;

export type EngineService = Readonly<{
	service: ServiceId;
	engines: readonly UpstreamRecord[];
	/** Newest named version of each of its models. */
	named: readonly NamedVersion[];
	models: number;
}>;

export type OrderNote = Readonly<{
	engine: UpstreamId;
	load: PlannedLoad;
	outcome: string;
	fencingToken: number | undefined;
}>;

export type WeightLoaderOptions = Readonly<{
	clock: Clock;
	store: RowStore;
	/** Follows the table that holds the permits. */
	follower: TableFollower;
	client: OrderClient;
	versions: EngineVersions;
	self: DaemonId;
	silenceMs: Millis;
	services: () => readonly EngineService[];
	isOwner: (engine: UpstreamId) => boolean;
	onNote: (note: OrderNote) => void;
	/** Weights of an engine have changed. */
	onLoaded: () => void;
}>;

/** A task that moves engines to named versions, with one holder of orders for each engine. */
export class WeightLoader {
	private readonly busy = new Set<UpstreamId>();
	/** Orders that each engine's present life has accepted. */
	private readonly accepted = new Map<UpstreamId, Readonly<{bornAt: number; orders: number}>>();
	private readonly timer: NodeJS.Timeout;
	private isStopped = false;

	constructor(private readonly options: WeightLoaderOptions) {
		this.timer = setInterval(() => {
			this.wake();
		}, planMs);
	}

	/** Plans loads and starts those of the engines that this daemon looks after. */
	wake(): void {
		if (this.isStopped) {
			return;
		}

		const {services, isOwner, clock} = this.options;
		const now = clock.now();
		for (const service of services()) {
			this.noteForeignLoads(service);
			const loads = planLoads({
				engines: service.engines.map(engine => this.options.versions.weights(engine, now)),
				named: service.named,
				models: service.models,
			});
			for (const load of loads) {
				const engine = service.engines.find(candidate => candidate.id === load.engine);
				if (engine !== undefined && isOwner(load.engine) && !this.busy.has(load.engine)) {
					void this.carryOut(engine, load);
				}
			}
		}
	}

	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
	}

	/** Permits of other daemons show the loads that are on their way elsewhere. */
	private noteForeignLoads(service: EngineService): void {
		const {follower, versions, clock, self} = this.options;
		const now = clock.now();
		for (const engine of service.engines) {
			const row = follower.copy.get(engine.id, permitKey);
			const permit = row === undefined ? undefined : decodePermit(row.value);
			const learnedAt = follower.copy.changedAt(engine.id, permitKey) ?? 0;
			if (permit !== undefined && permit.holder !== self && versions.weights(engine, now).loading === undefined
				&& (versions.weights(engine, now).versions.get(permit.model) ?? 0) < permit.version) {
				versions.loadStarted(engine, permit, learnedAt);
			}
		}
	}

	private async carryOut(engine: UpstreamRecord, load: PlannedLoad): Promise<void> {
		this.busy.add(engine.id);
		try {
			const outcome = await this.order(engine, load);
			if (outcome !== undefined) {
				this.settle(engine, load, outcome);
			}

			if (outcome?.kind !== 'accepted' && outcome?.kind !== 'holds') {
				await sleep(retryMs);
			}
		} finally {
			this.busy.delete(engine.id);
		}
	}

	/** Asks for a permit and sends the order; undefined if there was no permit. */
	private async order(engine: UpstreamRecord, load: PlannedLoad): Promise<OrderOutcome | undefined> {
		const {client, clock, self} = this.options;
		const expectedOrders = await this.expectedOrders(engine);
		if (expectedOrders === undefined) {
			return undefined;
		}

		const asked: ClockReadings = {steady: clock.now(), wall: clock.wallTime()};
		const permit = await this.askForPermit(engine, load, asked.steady);
		if (permit === undefined) {
			return undefined;
		}

		if (!isPermitValid(asked, {steady: clock.now(), wall: clock.wallTime()})) {
			this.note(load, 'the permit came too late', permit);
			return undefined;
		}

		this.options.versions.loadStarted(engine, load, clock.now());
		const outcome = await client.load(engine, {
			model: load.model, version: load.version, mode: 'retain', holder: self, fencingToken: permit.fencingToken, expectedOrders,
		});
		this.note(load, 'status' in outcome ? `${outcome.kind} with status ${outcome.status}` : outcome.kind, permit);
		return outcome;
	}

	private async askForPermit(engine: UpstreamRecord, load: PlannedLoad, now: Millis): Promise<OrderPermit | undefined> {
		const {store, follower, self, silenceMs} = this.options;
		const row = follower.copy.get(engine.id, permitKey);
		const present = row === undefined ? undefined : decodePermit(row.value);
		if (row !== undefined && present === undefined) {
			this.note(load, 'the permit row has an unknown shape; delete it once no daemon of another version runs', undefined);
			return undefined;
		}

		const restedMs = now - (follower.copy.changedAt(engine.id, permitKey) ?? now);
		if (!mayAskForPermit({
			permit: present, restedMs, self, silenceMs,
		})) {
			return undefined;
		}

		const permit: OrderPermit = {
			holder: self, fencingToken: (present?.fencingToken ?? 0) + 1, model: load.model, version: load.version,
		};
		const write = {table: follower.copy.table, key: permitKey, value: encodePermit(permit)};
		const outcome = await store.transact({
			part: engine.id,
			expected: [{table: write.table, key: permitKey, version: row?.version ?? 0}],
			writes: [write],
		});
		switch (outcome.kind) {
			case 'committed': {
				follower.mergeRows([{...write, part: engine.id, version: outcome.version}]);
				return permit;
			}

			case 'conflict': {
				follower.mergeRows(outcome.rows);
				return undefined;
			}

			case 'refused':
			case 'unknown': {
				this.note(load, `the permit was ${outcome.kind === 'refused' ? 'refused' : 'not answered'} by the store`, permit);
				return undefined;
			}
		}
	}

	private async expectedOrders(engine: UpstreamRecord): Promise<number | undefined> {
		const known = this.accepted.get(engine.id);
		if (known?.bornAt === engine.bornAt) {
			return known.orders;
		}

		const report = await this.options.client.report(engine);
		if (report === undefined) {
			return undefined;
		}

		for (const [model, version] of report.versions) {
			this.options.versions.shown(engine, model, version);
		}

		this.accepted.set(engine.id, {bornAt: engine.bornAt, orders: report.acceptedOrders});
		return report.acceptedOrders;
	}

	private settle(engine: UpstreamRecord, load: PlannedLoad, outcome: OrderOutcome): void {
		const {versions, onLoaded} = this.options;
		switch (outcome.kind) {
			case 'accepted': {
				const orders = (this.accepted.get(engine.id)?.orders ?? 0) + 1;
				this.accepted.set(engine.id, {bornAt: engine.bornAt, orders});
				break;
			}

			case 'holds': {
				versions.loadEnded(engine);
				versions.shown(engine, load.model, load.version);
				onLoaded();
				break;
			}

			case 'busy': {
				// The count may be wrong, or an order without an answer is being carried out.
				this.accepted.delete(engine.id);
				break;
			}

			case 'unknown': {
				this.accepted.delete(engine.id);
				break;
			}

			case 'rejected': {
				versions.loadEnded(engine);
				this.accepted.delete(engine.id);
				break;
			}
		}
	}

	private note(load: PlannedLoad, outcome: string, permit: OrderPermit | undefined): void {
		this.options.onNote({
			engine: load.engine, load, outcome, fencingToken: permit?.fencingToken,
		});
	}
}
