import {randomUUID} from 'node:crypto';
import {ApiServer, type ApplyResult} from '@cicadapost/api';
import {
	createDaemonState, decide, hasWaitingFrames, type DaemonAction, type DaemonEvent, type DaemonState,
} from '@cicadapost/decision';
import {readEngineState, sendLoadVersion, type UpstreamConnections} from '@cicadapost/engines';
import {type Logger, type Metrics} from '@cicadapost/observability';
import {type PeerConnections} from '@cicadapost/peers';
import {type TableService} from '@cicadapost/platform';
import type {DaemonSettings, DataCentreConfiguration} from '@cicadapost/settings';
import type {
	AttemptId, CallId, Clock, DaemonId, DataCentreId, MemberId, Millis, RegionId, RequestId, TrainerAnswer, TrainerCall, UpstreamId,
} from '@cicadapost/types';
import {inject, injectable} from 'tsyringe';
import {readHistory, recordHistory} from './configuration-history.js';
import {isPlatformAction, PlatformActionExecutor} from './platform-action-executor.js';
import {RequestObserver} from './request-observer.js';
import {daemonStatus} from './status.js';
import {tokens} from './tokens.js';
import {TraceStore} from './trace-store.js';

const tickIntervalMs = 50;
/** Maximum time that tokens of relayed streams are buffered before they are sent in a frame. */
const relayFlushDelayMs = 20;

/** One daemon. Passes events to the decision code and executes the actions it returns. */
@injectable()
export class Daemon {
	private state: DaemonState;
	private site: DataCentreConfiguration | undefined;
	private readonly api: ApiServer;
	private readonly attemptControllers = new Map<AttemptId, AbortController>();
	private readonly pendingApplies = new Map<CallId, (answer: ApplyResult) => void>();
	private readonly pendingTrainerCalls = new Map<CallId, (answer: TrainerAnswer) => void>();
	private readonly eventQueue: DaemonEvent[] = [];
	private isProcessingEvents = false;
	private readonly timers: NodeJS.Timeout[] = [];
	private readonly traceStore = new TraceStore();
	private readonly observer: RequestObserver;
	private relayFlushTimer: NodeJS.Timeout | undefined;
	private resolveStopped: () => void = () => undefined;
	private readonly stopped = new Promise<void>(resolve => {
		this.resolveStopped = resolve;
	});

	// eslint-disable-next-line max-params -- each dependency is injected separately.
	constructor(
		@inject(tokens.settings) private readonly settings: DaemonSettings,
		@inject(tokens.clock) private readonly clock: Clock,
		@inject(tokens.logger) private readonly logger: Logger,
		@inject(tokens.tableService) private readonly tableService: TableService,
		@inject(PlatformActionExecutor) private readonly platform: PlatformActionExecutor,
		@inject(tokens.peers) private readonly peers: PeerConnections,
		@inject(tokens.upstreams) private readonly upstreams: UpstreamConnections,
		@inject(tokens.metrics) private readonly metrics: Metrics,
	) {
		this.observer = new RequestObserver({logger, metrics});
		this.state = createDaemonState({
			self: settings.daemon as DaemonId,
			dataCentre: settings.dataCentre as DataCentreId,
			region: settings.region as RegionId,
			incarnation: clock.wallTime(),
			catchUpWritesPerSecond: settings.limits.catchUpWritesPerSecond,
		});
		this.api = new ApiServer({
			host: settings.listen.api.host,
			port: settings.listen.api.port,
			bodyBytes: settings.limits.bodyBytes,
			operatorKeyHashes: settings.operatorKeyHashes,
			daemon: settings.daemon,
			now: () => clock.now(),
			handlers: {
				startRequest: request => {
					this.post({kind: 'request', request});
				},
				cancelRequest: requestId => {
					this.post({kind: 'caller-left', requestId});
				},
				handleTrainerCall: async (member, request, signal) => this.handleTrainerCall(member, request, signal),
				applyConfiguration: async (expectedVersion, document) => this.applyConfiguration(expectedVersion, document),
				currentConfiguration: () => ({version: this.state.configuration.version, document: this.state.configuration.document}),
				configurationHistory: async () => readHistory(this.tableService),
				status: () => daemonStatus(this.state, this.metrics),
				trace: requestId => this.traceStore.get(requestId as RequestId),
			},
		});
	}

	/** Starts the daemon. Resolves with the ports once both listeners are open. */
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
		}, tickIntervalMs));
		this.logger.info({event: 'started', apiPort, peerPort}, 'daemon started');
		return {apiPort, peerPort};
	}

	/** Stops accepting work, waits until no request is in flight, and closes all connections. */
	async shutDown(): Promise<void> {
		this.logger.info({event: 'shutting-down'}, 'daemon is shutting down');
		this.api.stopAccepting();
		this.post({kind: 'shut-down'});
		// `whenIdle` also covers requests whose body is still being read, which the decision code does not know yet.
		await Promise.all([this.api.whenIdle(), this.stopped]);
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		clearTimeout(this.relayFlushTimer);

		this.api.close();
		await this.peers.close();
		await this.upstreams.close();
		this.metrics.close();
		this.logger.info({event: 'stopped'}, 'daemon stopped');
	}

	/** Processes one event. Events that are posted during its processing are queued and follow in order. */
	private post(event: DaemonEvent): void {
		this.eventQueue.push(event);
		if (this.isProcessingEvents) {
			return;
		}

		this.isProcessingEvents = true;
		try {
			for (let next = this.eventQueue.shift(); next !== undefined; next = this.eventQueue.shift()) {
				this.processEvent(next, this.clock.now());
			}
		} finally {
			this.isProcessingEvents = false;
		}
	}

	private processEvent(event: DaemonEvent, now: Millis): void {
		this.traceStore.recordEvent(event, now);
		this.observer.observeEvent(event, now);
		const outcome = decide(this.state, event, now);
		this.state = outcome.state;
		for (const action of outcome.actions) {
			this.traceStore.recordAction(action, now);
			this.observer.observeAction(action, now);
			this.executeAction(action);
		}

		this.scheduleRelayFlush();
	}

	/** Schedules a flush only while frames are waiting. A permanent interval took a fifth of the CPU time of an idle daemon. */
	private scheduleRelayFlush(): void {
		if (this.relayFlushTimer === undefined && hasWaitingFrames(this.state.relays)) {
			this.relayFlushTimer = setTimeout(() => {
				this.relayFlushTimer = undefined;
				this.post({kind: 'flush-relays'});
			}, relayFlushDelayMs);
		}
	}

	private executeAction(action: DaemonAction): void {
		if (isPlatformAction(action)) {
			void this.platform.execute(action, event => {
				this.post(event);
			});
			return;
		}

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

			case 'send-order': {
				void this.sendOrder(action);
				break;
			}

			case 'read-state': {
				void this.readUpstreamState(action.upstream);
				break;
			}

			case 'open-attempt': {
				this.openAttempt(action);
				break;
			}

			case 'cancel-attempt': {
				this.attemptControllers.get(action.attempt)?.abort();
				this.attemptControllers.delete(action.attempt);
				break;
			}

			case 'deliver': {
				this.api.writeChunk(action.requestId, action.chunk);
				break;
			}

			case 'complete': {
				this.api.finish(action.requestId, action);
				break;
			}

			case 'fail': {
				this.api.fail(action.requestId, action.problem);
				break;
			}

			case 'trainer-answer': {
				this.pendingTrainerCalls.get(action.call)?.(action.answer);
				this.pendingTrainerCalls.delete(action.call);
				break;
			}

			case 'configuration-in-effect': {
				this.activateConfiguration(action.version);
				break;
			}

			case 'apply-accepted': {
				this.resolveApply(action.call, {kind: 'accepted', version: action.version});
				break;
			}

			case 'apply-refused': {
				this.resolveApply(action.call, {
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
		const {attempt, payload, resumeFrom, notAfter} = action;
		const upstream = this.site?.upstreams[action.upstream];
		if (upstream === undefined) {
			this.post({
				kind: 'attempt-failed', attempt, failure: 'unreachable', sent: false,
			});
			return;
		}

		const controller = new AbortController();
		this.attemptControllers.set(attempt, controller);
		const pool = this.site?.pools[upstream.pool];
		void this.upstreams.run({
			...payload,
			url: upstream.url,
			kind: pool?.kind ?? 'engine',
			idempotent: action.idempotent,
			remainingMs: action.deadlineAt - this.clock.now(),
			resumeFrom,
			silenceMs: pool?.silenceMs ?? 5000,
			maySend: () => this.clock.now() < notAfter,
			signal: controller.signal,
		}, report => {
			if (report.kind === 'finished' || report.kind === 'failed') {
				this.attemptControllers.delete(attempt);
			}

			this.post(attemptEvent(attempt, report));
		});
	}

	private async handleTrainerCall(member: MemberId, request: TrainerCall, signal: AbortSignal): Promise<TrainerAnswer> {
		const call = randomUUID() as CallId;
		signal.addEventListener('abort', () => {
			if (this.pendingTrainerCalls.delete(call)) {
				this.post({kind: 'trainer-left', call});
			}
		}, {once: true});
		return new Promise(resolve => {
			this.pendingTrainerCalls.set(call, resolve);
			this.post({
				kind: 'trainer-call', call, member, request,
			});
		});
	}

	private async sendOrder(action: Extract<DaemonAction, {kind: 'send-order'}>): Promise<void> {
		const {upstream, version, fence, notAfter} = action;
		const url = this.site?.upstreams[upstream]?.url;
		const isAccepted = url !== undefined && await sendLoadVersion({
			url, version, fence, notAfter, now: () => this.clock.now(),
		});
		this.logger.info({
			event: 'order', upstream, version, fence, isAccepted,
		}, 'result of a load-version order');
		this.post({kind: 'order-answer', upstream, isAccepted});
	}

	private async readUpstreamState(upstream: UpstreamId): Promise<void> {
		const url = this.site?.upstreams[upstream]?.url;
		const status = url === undefined ? undefined : await readEngineState(url);
		this.post({kind: 'upstream-state', upstream, status});
	}

	private activateConfiguration(version: number): void {
		this.site = this.state.site;
		if (this.site !== undefined) {
			this.api.updateConfiguration(this.site);
		}

		this.logger.info({event: 'configuration-in-effect', version}, 'configuration in effect');
	}

	private async applyConfiguration(expectedVersion: number, document: string): Promise<ApplyResult> {
		const call = randomUUID() as CallId;
		return new Promise(resolve => {
			this.pendingApplies.set(call, resolve);
			this.post({
				kind: 'apply-configuration', call, expectedVersion, document,
			});
		});
	}

	private resolveApply(call: CallId, result: ApplyResult): void {
		if (result.kind === 'accepted') {
			void recordHistory(this.tableService, {
				version: result.version, acceptedAt: new Date(this.clock.wallTime()).toISOString(), daemon: this.settings.daemon,
			});
		}

		this.pendingApplies.get(call)?.(result);
		this.pendingApplies.delete(call);
	}
}

type AttemptReport = Parameters<Parameters<UpstreamConnections['run']>[1]>[0];

function attemptEvent(attempt: AttemptId, report: AttemptReport): DaemonEvent {
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

