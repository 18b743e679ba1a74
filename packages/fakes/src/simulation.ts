import {encodeStoredConfiguration} from '@cicadapost/configuration';
import type {
	DaemonId, PoolId, RegionId, UpstreamId, VmRecord,
} from '@cicadapost/types';
import {FakeDaemon, type FakeDaemonOptions} from './daemon.js';
import {FakeEngine, type FakeEngineOptions} from './engine.js';
import {EventQueue} from './event-queue.js';
import {FakeNetwork, type NetworkOptions, type ProcessLocation} from './network.js';
import {Random} from './random.js';
import {Recorder} from './recorder.js';
import {FakeObjectStore, FakeTableService} from './store.js';

export type SimulationOptions = Readonly<{
	seed: number;
	/** Maps each data centre to its region. */
	dataCentres: Readonly<Record<string, string>>;
	/** Data centre of the table service and the object store; the first one by default. */
	storeDataCentre?: string;
	network?: NetworkOptions;
	/** Delay before a published change appears in the VM list. */
	vmListLagMs?: number;
	/** Whether the recorder stores observations (default: true). Set it to false for long runs that only use `recorder.listen`. */
	recordsEvents?: boolean;
}>;

/** Holds the fakes of one simulated deployment. Daemons and engines are added one by one; all decisions are made by the daemons. */
export class Simulation {
	readonly queue = new EventQueue();
	readonly random: Random;
	readonly recorder: Recorder;
	readonly network: FakeNetwork;
	readonly tables: FakeTableService;
	readonly objects: FakeObjectStore;
	readonly engines = new Map<UpstreamId, FakeEngine>();
	readonly daemons = new Map<DaemonId, FakeDaemon>();
	/** Latest weight version of each pool in the weight store. */
	readonly weights = new Map<PoolId, number>();
	private vms: readonly VmRecord[] = [];

	constructor(readonly options: SimulationOptions) {
		this.random = new Random(options.seed);
		this.recorder = new Recorder(() => this.queue.now, options.recordsEvents ?? true);
		this.network = new FakeNetwork(this.queue, this.random.fork(), options.network);
		this.tables = new FakeTableService({queue: this.queue, random: this.random.fork(), recorder: this.recorder});
		this.objects = new FakeObjectStore({queue: this.queue, random: this.random.fork(), recorder: this.recorder});
	}

	get storeLocation(): ProcessLocation {
		return this.locationOf('store', this.options.storeDataCentre ?? Object.keys(this.options.dataCentres)[0]!);
	}

	/** The VM list that is currently published. */
	get vmList(): readonly VmRecord[] {
		return this.vms;
	}

	locationOf(node: string, dataCentre: string): ProcessLocation {
		return {node, dataCentre, region: this.options.dataCentres[dataCentre] ?? ''};
	}

	addEngine(options: FakeEngineOptions): FakeEngine {
		const engine = new FakeEngine({queue: this.queue, random: this.random.fork(), recorder: this.recorder}, options);
		this.engines.set(options.upstream, engine);
		return engine;
	}

	addDaemon(options: Omit<FakeDaemonOptions, 'region'>): FakeDaemon {
		const daemon = new FakeDaemon(this, {...options, region: this.locationOf('', options.dataCentre).region as RegionId});
		this.daemons.set(options.daemon, daemon);
		return daemon;
	}

	/** Publishes the current daemons and engines once `vmListLagMs` has passed. */
	publishVms(leavingDaemons: readonly DaemonId[] = []): void {
		const vms: VmRecord[] = [
			...[...this.daemons.values()].map((daemon): VmRecord => ({
				id: daemon.daemon, role: 'entry', dataCentre: daemon.dataCentre, state: leavingDaemons.includes(daemon.daemon) ? 'leaving' : 'live', peerAddress: `${daemon.daemon}:1`,
			})),
			...[...this.engines.values()].map((engine): VmRecord => ({
				id: engine.upstream, role: 'upstream', dataCentre: engine.dataCentre, state: engine.isLeaving ? 'leaving' : 'live',
			})),
		];
		this.queue.schedule(this.options.vmListLagMs ?? 0, () => {
			this.vms = vms;
		});
	}

	/** Returns the value of the row `configuration/current` at version 1, to seed the table service with. */
	encodeConfigurationRow(options: ConfigurationOptions): string {
		return encodeStoredConfiguration({version: 1, document: this.configuration(options), nonces: []});
	}

	/** Returns a configuration document for the engines of this simulation, as JSON. */
	configuration(options: ConfigurationOptions): string {
		const engines = [...this.engines.values()];
		const pools = [...new Set(engines.map(engine => engine.pool))];
		const overlays = Object.fromEntries(Object.keys(this.options.dataCentres).map(dataCentre => [dataCentre, {
			upstreams: Object.fromEntries(engines.filter(engine => engine.dataCentre === dataCentre).map(engine => [engine.upstream, {
				pool: engine.pool, url: `http://${engine.upstream}.invalid`, checksFencing: engine.checksFencing,
			}])),
			pools: {},
			policy: {},
		}]));
		return JSON.stringify({
			base: {
				members: Object.fromEntries(Object.entries(options.members).map(([name, member]) => [name, {
					weight: 1, keys: [], maxGroupSamples: 64, ...member,
				}])),
				pools: Object.fromEntries(pools.map(pool => [pool, {
					kind: 'engine', idempotent: true, initialWindow: 8, maxWindow: 64, trainingFloor: 0.2, silenceMs: 5000, ...options.pool,
				}])),
				dataCentres: Object.fromEntries(Object.entries(this.options.dataCentres).map(([name, region]) => [name, {region}])),
				policy: {retryBudget: 0.1, hedgeBudget: 0.05, ...options.policy},
			},
			overlays,
		});
	}
}

export type ConfigurationOptions = Readonly<{
	members: Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	pool?: Readonly<Record<string, unknown>>;
	policy?: Readonly<Record<string, unknown>>;
}>;

