import {randomUUID} from 'node:crypto';
import {ApiServer, type ApplyAnswer} from '@cicadapost/api';
import {
	createDaemonState, decide, type DaemonAction, type DaemonEvent, type DaemonState,
} from '@cicadapost/decision';
import {readEngineState, sendLoadVersion, type UpstreamConnections} from '@cicadapost/engines';
import {type Logger} from '@cicadapost/observability';
import {type PeerLinks} from '@cicadapost/peers';
import {type TableService, type VmList, type WeightStore} from '@cicadapost/platform';
import type {DaemonSettings, SiteConfiguration} from '@cicadapost/settings';
import type {
	AttemptId, CallId, DaemonId, DataCentreId, PoolId, RegionId, UpstreamId,
} from '@cicadapost/types';
import {inject, injectable} from 'tsyringe';
import {type Clock} from './clock.js';
import {tokens} from './tokens.js';

const tickMs = 50;

/** One daemon: hands events to the decision code and carries out its actions. */
@injectable()
export class Daemon {
	private state: DaemonState;
	private site: SiteConfiguration | undefined;
	private readonly api: ApiServer;
	private readonly attempts = new Map<AttemptId, AbortController>();
	private readonly applies = new Map<CallId, (answer: ApplyAnswer) => void>();
	private readonly queue: DaemonEvent[] = [];
	private isDraining = false;
	private readonly timers: NodeJS.Timeout[] = [];
	private resolveStopped: () => void = () => undefined;
	private readonly stopped = new Promise<void>(resolve => {
		this.resolveStopped = resolve;
	});

	// eslint-disable-next-line max-params -- each part is injected on its own.
	constructor(
		@inject(tokens.settings) private readonly settings: DaemonSettings,
		@inject(tokens.clock) private readonly clock: Clock,
		@inject(tokens.logger) private readonly logger: Logger,
		@inject(tokens.tableService) private readonly tableService: TableService,
		@inject(tokens.vmList) private readonly vmList: VmList,
		@inject(tokens.peers) private readonly peers: PeerLinks,
		@inject(tokens.upstreams) private readonly upstreams: UpstreamConnections,
		@inject(tokens.weightStore) private readonly weightStore: WeightStore,
	) {
		this.state = createDaemonState({
			self: settings.daemon as DaemonId,
			dataCentre: settings.dataCentre as DataCentreId,
			region: settings.region as RegionId,
			incarnation: clock.wallTime(),
		});
		this.api = new ApiServer({
			host: settings.listen.api.host,
			port: settings.listen.api.port,
			bodyBytes: settings.limits.bodyBytes,
			operatorKeyHashes: settings.operatorKeyHashes,
			now: () => clock.now(),
			handlers: {
				startRequest: request => {
					this.post({kind: 'request', request});
				},
				abandonRequest: requestId => {
					this.post({kind: 'caller-left', requestId});
				},
				applyConfiguration: async (expectedVersion, document) => this.applyConfiguration(expectedVersion, document),
				currentConfiguration: () => ({version: this.state.configuration.version, document: this.state.configuration.document}),
				status: () => this.status(),
			},
		});
	}

	/** Starts to serve. The promise resolves once both listeners are open. */
	async start(): Promise<Readonly<{apiPort: number; peerPort: number}>> {
		this.peers.on('message', (from, message) => {
			this.post({kind: 'message', from, message});
		});
		this.peers.on('connected', daemon => {
			this.post({kind: 'peer-connected', daemon});
		});
		this.peers.on('unsent', (to, message) => {
			this.post({kind: 'message-unsent', to, message});
		});
		this.peers.on('rejected', detail => {
			this.logger.warn({event: 'peer-rejected', detail}, 'peer rejected');
		});
		const peerPort = await this.peers.listen();
		const apiPort = await this.api.listen();
		for (const seed of this.settings.seeds) {
			this.peers.connect(seed);
		}

		this.timers.push(setInterval(() => {
			this.post({kind: 'tick'});
		}, tickMs));
		this.logger.info({event: 'started', apiPort, peerPort}, 'daemon started');
		return {apiPort, peerPort};
	}

	/** Stops accepting work, waits until nothing is in flight, and closes. */
	async shutDown(): Promise<void> {
		this.logger.info({event: 'shutting-down'}, 'daemon is shutting down');
		this.api.stopAccepting();
		this.post({kind: 'shut-down'});
		// A request whose body is still being read is in flight, although no decision has been made about it yet.
		await Promise.all([this.api.whenIdle(), this.stopped]);
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		this.api.close();
		await this.peers.close();
		await this.upstreams.close();
		this.logger.info({event: 'stopped'}, 'daemon stopped');
	}

	/** Decides about one event. Events that arise meanwhile wait their turn. */
	private post(event: DaemonEvent): void {
		this.queue.push(event);
		if (this.isDraining) {
			return;
		}

		this.isDraining = true;
		try {
			for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
				const outcome = decide(this.state, next, this.clock.now());
				this.state = outcome.state;
				for (const action of outcome.actions) {
					this.apply(action);
				}
			}
		} finally {
			this.isDraining = false;
		}
	}

	private apply(action: DaemonAction): void {
		switch (action.kind) {
			case 'send': {
				this.peers.send(action.to, action.message);
				break;
			}

			case 'connect': {
				this.peers.connect(action.address, action.daemon);
				break;
			}

			case 'disconnect': {
				this.peers.disconnect(action.daemon);
				break;
			}

			case 'read-vm-list': {
				void this.readVmList();
				break;
			}

			case 'read-weights': {
				void this.readWeights(action.pool);
				break;
			}

			case 'send-order': {
				void this.sendOrder(action);
				break;
			}

			case 'read-state': {
				void this.readState(action.upstream);
				break;
			}

			case 'open-attempt': {
				this.openAttempt(action);
				break;
			}

			case 'cancel-attempt': {
				this.attempts.get(action.attempt)?.abort();
				this.attempts.delete(action.attempt);
				break;
			}

			case 'deliver': {
				this.api.deliver(action.requestId, action.chunk);
				break;
			}

			case 'complete': {
				this.api.finish(action.requestId, action);
				break;
			}

			case 'fail': {
				this.logger.info({
					event: 'refused', requestId: action.requestId, cause: action.cause, outcome: action.problem.outcome,
				}, 'request failed');
				this.api.fail(action.requestId, action.problem);
				break;
			}

			case 'read-row': {
				void this.readRow(action);
				break;
			}

			case 'write-row': {
				void this.writeRow(action);
				break;
			}

			case 'configuration-in-effect': {
				this.useConfiguration(action.version);
				break;
			}

			case 'apply-accepted': {
				this.answerApply(action.call, {kind: 'accepted', version: action.version});
				break;
			}

			case 'apply-refused': {
				this.answerApply(action.call, {
					kind: 'refused', problem: action.problem, currentVersion: action.currentVersion, currentDocument: action.currentDocument,
				});
				break;
			}

			case 'log': {
				this.logger.warn({event: action.event}, action.detail);
				break;
			}

			case 'stopped': {
				this.resolveStopped();
				break;
			}
		}
	}

	private openAttempt(action: Extract<DaemonAction, {kind: 'open-attempt'}>): void {
		const {attempt, payload, resumeFrom} = action;
		const upstream = this.site?.upstreams[action.upstream];
		if (upstream === undefined) {
			this.post({
				kind: 'attempt-failed', attempt, failure: 'unreachable', sent: false,
			});
			return;
		}

		const controller = new AbortController();
		this.attempts.set(attempt, controller);
		void this.upstreams.run({
			...payload,
			url: upstream.url,
			resumeFrom,
			silenceMs: this.site?.pools[upstream.pool]?.silenceMs ?? 5000,
			signal: controller.signal,
		}, report => {
			if (report.kind === 'finished' || report.kind === 'failed') {
				this.attempts.delete(attempt);
			}

			this.post(attemptEvent(attempt, report));
		});
	}

	private async readRow(action: Extract<DaemonAction, {kind: 'read-row'}>): Promise<void> {
		const answer = await this.tableService.read(action.table, action.key);
		this.post({kind: 'row-answer', call: action.call, answer});
	}

	private async writeRow(action: Extract<DaemonAction, {kind: 'write-row'}>): Promise<void> {
		const answer = await this.tableService.compareAndSet(action.table, action.key, action.expectedVersion, action.value);
		this.post({kind: 'row-answer', call: action.call, answer});
	}

	private async readVmList(): Promise<void> {
		const vms = await this.vmList.read();
		if (vms !== undefined) {
			this.post({kind: 'vm-list', vms});
		}
	}

	private async readWeights(pool: PoolId): Promise<void> {
		const version = await this.weightStore.newestVersion(pool);
		this.post({kind: 'weights', pool, version});
	}

	private async sendOrder(action: Extract<DaemonAction, {kind: 'send-order'}>): Promise<void> {
		const {upstream, version, fence, notAfter} = action;
		const url = this.site?.upstreams[upstream]?.url;
		const isAccepted = url !== undefined && await sendLoadVersion({
			url, version, fence, notAfter, now: () => this.clock.now(),
		});
		this.logger.info({
			event: 'order', upstream, version, fence, isAccepted,
		}, 'order to an engine');
		this.post({kind: 'order-answer', upstream, isAccepted});
	}

	private async readState(upstream: UpstreamId): Promise<void> {
		const url = this.site?.upstreams[upstream]?.url;
		const status = url === undefined ? undefined : await readEngineState(url);
		this.post({kind: 'upstream-state', upstream, status});
	}

	private useConfiguration(version: number): void {
		this.site = this.state.site;
		if (this.site !== undefined) {
			this.api.useConfiguration(this.site);
		}

		this.logger.info({event: 'configuration-in-effect', version}, 'configuration in effect');
	}

	private async applyConfiguration(expectedVersion: number, document: string): Promise<ApplyAnswer> {
		const call = randomUUID() as CallId;
		return new Promise(resolve => {
			this.applies.set(call, resolve);
			this.post({
				kind: 'apply-configuration', call, expectedVersion, document,
			});
		});
	}

	private answerApply(call: CallId, answer: ApplyAnswer): void {
		this.applies.get(call)?.(answer);
		this.applies.delete(call);
	}

	private status(): unknown {
		const {state} = this;
		return {
			daemon: state.self,
			dataCentre: state.dataCentre,
			configurationVersion: state.configuration.version,
			requestsInFlight: state.router.requests.size,
			peers: Object.fromEntries([...state.membership.peers].map(([daemon, peer]) => [daemon, {
				dataCentre: peer.dataCentre, leaving: peer.leaving, configurationVersion: peer.configurationVersion,
			}])),
			shards: Object.fromEntries([...state.schedulers].map(([shard, scheduler]) => [shard, {
				waiting: scheduler.waiting.length, running: scheduler.running.size,
			}])),
		};
	}
}

type Report = Parameters<Parameters<UpstreamConnections['run']>[1]>[0];

function attemptEvent(attempt: AttemptId, report: Report): DaemonEvent {
	switch (report.kind) {
		case 'sent': {
			return {kind: 'attempt-sent', attempt};
		}

		case 'chunk': {
			return {kind: 'attempt-chunk', attempt, chunk: report.chunk};
		}

		case 'finished': {
			return {...report, kind: 'attempt-finished', attempt};
		}

		case 'failed': {
			return {...report, kind: 'attempt-failed', attempt};
		}
	}
}

