import {EventEmitter} from 'node:events';
import {UpstreamDirectory, type UpstreamRecord} from '@cicadapost/fleet';
import {RateLimiter, type RequestLimits} from '@cicadapost/rate-limits';
import {UnlimitedRequests} from '@cicadapost/rate-limits/testing';
import {
	RowStore, TableCopy, type ChangesOutcome, type ReadOutcome, type RowChange, type RowRange, type StoredRow, type Transaction, type TransactionOutcome,
} from '@cicadapost/store';
import {MemoryRowStore} from '@cicadapost/store/testing';
import {
	Clock, type DaemonId, type DataCentreId, type Millis, type RequestId, type ServiceId, type SoftwareVersion, type UpstreamId,
} from '@cicadapost/types';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {
	ConnectionPool, Exchange, ExchangeHandlers, ResponseHead,
} from './connection-pool.js';
import {CrashGuard} from './crash-registry.js';
import {Forwarder} from './forwarder.js';
import {NoStreamOrigins} from './no-stream-origins.js';
import {ResponseReceiver, type ForwardFailure} from './plain-request.js';
import type {Route} from './route.js';
import {UpstreamHealthTracker} from './upstream-health.js';
import {UpstreamProtocol, type ResponseMetadata} from './upstream-protocol.js';

const table = 'fleet';
const workMs = 20;
/** What the platform's store takes from all daemons. */
const storeWritesPerSecond = 800;
const service = 'desk' as ServiceId;
const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'idempotent', services: [{service, weight: 1}], timeoutMs: 3000, targetLatencyMs: 200,
	maxAttempts: 3, priority: 0, isResumable: false, batchDeadlineMs: 0, maxQueueMs: 0, isSingleVersion: false,
};

class TestClock extends Clock {
	override now(): Millis {
		return Date.now();
	}

	override wallTime(): Millis {
		return Date.now();
	}
}

class NoCrashes extends CrashGuard {
	override isBlocked(): boolean {
		return false;
	}

	override reportPossibleCrash(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}

class TestProtocol extends UpstreamProtocol {
	override signatureOf(): undefined {
		return undefined;
	}

	override requestHeaders(): string[] {
		return [];
	}

	override readMetadata({headers}: ResponseHead): ResponseMetadata {
		const limit = headers.limit as string | undefined;
		return {isSigned: true, didNotRun: false, ...(limit === undefined ? {} : {requestsPerSecond: Number(limit)})};
	}

	override responseHeaders(): string[] {
		return [];
	}
}

/** One daemon's path to the shared store: a delay each way, and an outage for this daemon alone. */
class StorePath extends RowStore {
	isCut = false;
	transactions = 0;

	constructor(private readonly store: MemoryRowStore, private readonly delayMs: Millis) {
		super();
	}

	override async transact(transaction: Transaction): Promise<TransactionOutcome> {
		this.transactions += 1;
		await this.delay();
		if (this.isCut) {
			return {kind: 'refused'};
		}

		const outcome = await this.store.transact(transaction);
		await this.delay();
		return outcome;
	}

	override async read(range: RowRange): Promise<ReadOutcome> {
		return this.store.read(range);
	}

	override async parts(name: string): Promise<readonly string[] | undefined> {
		return this.store.parts(name);
	}

	override async changes(options: Readonly<{table: string; after: number; waitMs: Millis}>): Promise<ChangesOutcome> {
		return this.isCut ? {kind: 'unavailable'} : this.store.changes(options);
	}

	private async delay(): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, this.delayMs);
		});
	}
}

/** Follows the table by polls on the simulated clock. */
class PolledTable extends EventEmitter<{changed: [changes: readonly RowChange[]]}> {
	readonly copy = new TableCopy(table);
	private version = 0;

	constructor(private readonly store: RowStore) {
		super();
		setInterval(() => {
			void this.poll();
		}, 500);
	}

	mergeRows(rows: readonly StoredRow[]): void {
		this.emit('changed', this.copy.apply(rows.map(row => ({kind: 'written', row})), Date.now()));
	}

	storeTime(now: Millis): Millis {
		return now;
	}

	connectedFor(): Millis {
		return 60_000;
	}

	private async poll(): Promise<void> {
		const outcome = await this.store.changes({table, after: this.version, waitMs: 0});
		if (outcome.kind === 'changes') {
			this.version = outcome.version;
			this.emit('changed', this.copy.apply(outcome.changes, Date.now()));
		}
	}
}

type Arrival = Readonly<{at: Millis; daemon: number}>;

class LimitedUpstream {
	requestsPerSecond: number | undefined;
	namedAt: Millis | undefined;
	readonly arrivals: Arrival[] = [];
	/** Time at which each daemon got the first response that names the limit. */
	readonly toldAt = new Map<number, Millis>();

	constructor(readonly id: string) {}

	get record(): UpstreamRecord {
		return {
			id: this.id as UpstreamId, service, address: '10.0.0.1:1', dataCentre: 'dc' as DataCentreId, slots: 6, state: 'ready', softwareVersion: 'v1' as SoftwareVersion,
			warmUpMs: 0, models: new Map(), bornAt: 1,
		};
	}

	exchange(daemon: number, handlers: ExchangeHandlers): Exchange {
		this.arrivals.push({at: Date.now(), daemon});
		const timer = setTimeout(() => {
			const {requestsPerSecond} = this;
			if (requestsPerSecond !== undefined) {
				this.namedAt ??= Date.now();
				this.toldAt.set(daemon, Math.min(Date.now(), this.toldAt.get(daemon) ?? Number.POSITIVE_INFINITY));
			}

			handlers.onHead({status: 200, headers: requestsPerSecond === undefined ? {} : {limit: String(requestsPerSecond)}});
			handlers.onEnd({kind: 'complete'});
		}, workMs);
		return {
			abort() {
				clearTimeout(timer);
				handlers.onEnd({kind: 'aborted'});
			},
			connection: () => 'new',
		};
	}

	/** The most requests in 4 s, as a multiple of what the limit allows, from daemons that had known the limit for half a second. */
	worstExcess(): number {
		const {namedAt, requestsPerSecond} = this;
		if (namedAt === undefined || requestsPerSecond === undefined) {
			return 0;
		}

		const counted = this.arrivals.filter(({at, daemon}) => at >= (this.toldAt.get(daemon) ?? Number.POSITIVE_INFINITY) + 500);
		const windows = counted.filter(({at}) => at >= namedAt + 4000).map(({at: end}) => counted.filter(({at}) => at > end - 4000 && at <= end).length);
		return Math.max(0, ...windows) / ((requestsPerSecond * 4 * 1.5) + 5);
	}

	/** Requests per second from all daemons between two times. */
	rate(from: Millis, to: Millis): number {
		return this.arrivals.filter(({at}) => at >= from && at < to).length / ((to - from) / 1000);
	}
}

type Outcome = Readonly<{kind: 'answered' | ForwardFailure['kind']; tookMs: Millis}>;

class OutcomeReceiver extends ResponseReceiver {
	private readonly startedAt = Date.now();

	constructor(private readonly onOutcome: (outcome: Outcome) => void) {
		super();
	}

	override head(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override data(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override truncate(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	override end(): void {
		this.onOutcome({kind: 'answered', tookMs: Date.now() - this.startedAt});
	}

	override fail({kind}: ForwardFailure): void {
		this.onOutcome({kind, tookMs: Date.now() - this.startedAt});
	}
}

type FleetOptions = Readonly<{daemons: number; requestsPerSecond: number; createLimits?: () => RequestLimits}>;

/** Daemons in front of three upstreams that all name the same limit from the third second on, at four times the load that they take. */
class SimulatedFleet {
	readonly upstreams = ['u1', 'u2', 'u3'].map(id => new LimitedUpstream(id));
	readonly outcomes: Outcome[] = [];
	readonly paths: StorePath[] = [];
	private readonly store = new MemoryRowStore({now: () => Date.now()});
	private readonly forwarders: Forwarder[] = [];
	private readonly names: readonly DaemonId[];
	private sentCount = 0;

	constructor(private readonly options: FleetOptions) {
		this.names = Array.from({length: options.daemons}, (_, index) => `daemon-${index}` as DaemonId);
		for (const index of this.names.keys()) {
			this.start(index);
		}
	}

	/** Starts a daemon, or starts it again without what it knew. */
	start(index: number): void {
		const clock = new TestClock();
		const path = new StorePath(this.store, index % 3 === 0 ? 14 : 3);
		this.paths[index] = path;
		const directory = new UpstreamDirectory();
		for (const {record} of this.upstreams) {
			directory.upsert(record);
		}

		const limits = this.options.createLimits?.() ?? new RateLimiter({
			clock,
			store: path,
			follower: new PolledTable(path),
			self: this.names[index]!,
			daemons: () => this.names,
			isListed: () => true,
			isOwner: () => false,
			onLimitReport: vi.fn(),
			onLimitedSend: vi.fn(),
		});
		this.forwarders[index] = new Forwarder({
			clock,
			directory,
			pool: {
				hasIdle: () => true,
				exchange: (upstream: UpstreamRecord, _req: unknown, handlers: ExchangeHandlers) => this.upstreams.find(({id}) => id === upstream.id)!.exchange(index, handlers),
			} as unknown as ConnectionPool,
			health: new UpstreamHealthTracker(),
			protocol: new TestProtocol(),
			crashes: new NoCrashes(),
			limits,
			streams: new NoStreamOrigins(),
			dataCentre: 'dc' as DataCentreId,
			random: () => (this.sentCount * 0.618) % 1,
			onRequestReport: vi.fn(),
		});
	}

	/** Sends requests through the daemons in turn for some time. Each has the last 1.5 s of its timeout as deadline. */
	async run(durationMs: Millis): Promise<void> {
		const intervalMs = 1000 / (this.options.requestsPerSecond * this.upstreams.length * 4);
		const timer = setInterval(() => {
			// A stride that is coprime to the number of daemons keeps neighbours in time apart.
			const index = (this.sentCount * 5) % this.forwarders.length;
			this.sentCount += 1;
			this.forwarders[index]!.forward({
				requestId: `r${this.sentCount}` as RequestId, method: 'GET', path: '/', host: 'h', headers: [], body: new Uint8Array(), route, deadlineAt: Date.now() + 1500,
			}, new OutcomeReceiver(outcome => {
				this.outcomes.push(outcome);
			}));
		}, intervalMs);
		await vi.advanceTimersByTimeAsync(durationMs);
		clearInterval(timer);
	}

	nameLimits(): void {
		for (const upstream of this.upstreams) {
			upstream.requestsPerSecond = this.options.requestsPerSecond;
		}
	}

	worstExcess(): number {
		return Math.max(...this.upstreams.map(upstream => upstream.worstExcess()));
	}

	rate(from: Millis, to: Millis): number {
		return this.upstreams.reduce((sum, upstream) => sum + upstream.rate(from, to), 0);
	}
}

describe('an upstream that limits its rate', () => {
	beforeEach(() => {
		vi.useFakeTimers({now: 1_000_000});
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const startFleet = async (options: FleetOptions) => {
		const fleet = new SimulatedFleet(options);
		await fleet.run(3000);
		fleet.nameLimits();
		await fleet.run(3000);
		return fleet;
	};

	const sizes = [
		{daemons: 9, requestsPerSecond: 1}, {daemons: 9, requestsPerSecond: 8}, {daemons: 82, requestsPerSecond: 1},
	];

	describe.each(sizes)('$requestsPerSecond requests per second, $daemons daemons', size => {
		it('gets more than that if daemons ignore the limit, so that the other cases can fail', async () => {
			const fleet = await startFleet({...size, createLimits: () => new UnlimitedRequests()});
			await fleet.run(40_000);
			expect(fleet.worstExcess()).toBeGreaterThan(1);
		});

		it('never gets more than its limit from all daemons together, and most of it is used', async () => {
			const fleet = await startFleet(size);
			const from = Date.now();
			await fleet.run(20_000);
			expect(fleet.worstExcess()).toBeLessThan(1);
			const allowed = size.requestsPerSecond * 3;
			expect(fleet.rate(from, Date.now())).toBeLessThanOrEqual(allowed * 1.05);
			expect(fleet.rate(from, Date.now())).toBeGreaterThan(allowed * 0.8);
		});

		it('is not the reason for a timeout: a request without a turn in time is refused at once', async () => {
			const fleet = await startFleet(size);
			fleet.outcomes.length = 0;
			await fleet.run(10_000);
			expect(fleet.outcomes.filter(({kind}) => kind === 'timed-out' || kind === 'failed')).toEqual([]);
			const refusals = fleet.outcomes.filter(({kind}) => kind === 'refused');
			expect(refusals.length).toBeGreaterThan(0);
			expect(Math.max(...refusals.map(({tookMs}) => tookMs))).toBeLessThan(route.targetLatencyMs * 2);
		});

		it('never gets more than its limit while the store is away from all daemons, and after its return', async () => {
			const fleet = await startFleet(size);
			for (const path of fleet.paths) {
				path.isCut = true;
			}

			await fleet.run(8000);
			for (const path of fleet.paths) {
				path.isCut = false;
			}

			await fleet.run(8000);
			expect(fleet.worstExcess()).toBeLessThan(1);
		});

		it('never gets more than its limit while the store is away from most daemons', async () => {
			const fleet = await startFleet(size);
			for (const path of fleet.paths.slice(1)) {
				path.isCut = true;
			}

			await fleet.run(10_000);
			expect(fleet.worstExcess()).toBeLessThan(1);
		});

		it('never gets more than its limit while daemons start', async () => {
			const fleet = await startFleet(size);
			for (let index = 0; index < size.daemons; index += 3) {
				fleet.start(index);
				await fleet.run(300);
			}

			await fleet.run(6000);
			expect(fleet.worstExcess()).toBeLessThan(1);
		});
	});

	it.each([9, 82])('leaves the store three quarters of its writes with %i daemons, whatever the load', async daemons => {
		const fleet = await startFleet({daemons, requestsPerSecond: 10});
		for (const path of fleet.paths) {
			path.transactions = 0;
		}

		await fleet.run(10_000);
		const perSecond = fleet.paths.reduce((sum, path) => sum + path.transactions, 0) / 10;
		expect(perSecond).toBeLessThan(storeWritesPerSecond / 4);
	});

	it('does not delay requests while another upstream has no limit', async () => {
		const fleet = new SimulatedFleet({daemons: 9, requestsPerSecond: 1});
		await fleet.run(3000);
		for (const upstream of fleet.upstreams.slice(1)) {
			upstream.requestsPerSecond = 1;
		}

		await fleet.run(3000);
		fleet.outcomes.length = 0;
		await fleet.run(10_000);
		expect(fleet.outcomes.filter(({kind}) => kind !== 'answered')).toEqual([]);
		expect(Math.max(...fleet.outcomes.map(({tookMs}) => tookMs))).toBeLessThan(route.targetLatencyMs);
	});

	it('gets all requests again after it has lifted the limit', async () => {
		const fleet = await startFleet({daemons: 9, requestsPerSecond: 2});
		for (const upstream of fleet.upstreams) {
			upstream.requestsPerSecond = undefined;
		}

		await fleet.run(4000);
		fleet.outcomes.length = 0;
		await fleet.run(4000);
		expect(fleet.outcomes.filter(({kind}) => kind !== 'answered')).toEqual([]);
	});
});
