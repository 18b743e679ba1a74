import {
	createDaemonState, decide, hasWaitingFrames, type DaemonAction, type DaemonEvent, type DaemonState,
} from '@cicadapost/decision';
import type {
	AttemptId, DaemonId, DataCentreId, ListedRow, Millis, ObjectResponse, PeerMessage, PoolId, RegionId, Request, RequestId, RowResponse, UpstreamId,
} from '@cicadapost/types';
import {Packr} from 'msgpackr';
import type {FakeEngine} from './engine.js';
import {parseJob} from './job.js';
import type {ProcessLocation} from './network.js';
import type {ActionOf} from './recorder.js';
import type {Simulation} from './simulation.js';

export type DaemonProbe = Readonly<{
	/** Called after each decision. `kind` is the kind of the event; for a message it includes the kind of the message. */
	decided: (kind: string, micros: number) => void;
	sent: (message: PeerMessage, bytes: number, isAcrossRegions: boolean) => void;
}>;

export type FakeDaemonOptions = Readonly<{
	daemon: DaemonId;
	dataCentre: DataCentreId;
	region: RegionId;
	/** Reading of the monotonic clock at virtual time 0. It differs between daemons, since they do not share a clock. */
	clockOffsetMs?: Millis;
	tickMs?: Millis;
	silenceMs?: Millis;
	/** Receives the duration of each decision and the size of each message, to measure the cost of control work. */
	probe?: DaemonProbe;
	/** Handlers for actions that this class does not implement, by kind. They may post events. */
	handlers?: Readonly<Record<string, (daemon: FakeDaemon, action: Readonly<{kind: string}>) => void>>;
}>;

/** A request as a caller sends it. The deadline is a duration, since clocks differ between processes. */
export type CallerRequest = Omit<Request, 'deadlineAt'> & Readonly<{remainingMs: Millis}>;

type OpenAttempt = {
	readonly engine: FakeEngine;
	progressAt: Millis;
};

/** Interval at which relayed frames are flushed, as in the edge of the real daemon. */
const relayFlushMs = 20;
/** Time to open a connection between daemons, in round trips. */
const handshakeRoundTrips = 1.5;
const stateReadTimeoutMs = 1000;

const packr = new Packr({useRecords: false});

/** Returns the encoded size of a message between daemons. */
export function messageBytes(message: PeerMessage): number {
	return packr.pack(message).length;
}

/** Runs the decision code of one daemon and executes its actions against the fakes. */
export class FakeDaemon {
	state: DaemonState;
	incarnation = 0;
	status: 'running' | 'paused' | 'dead' = 'dead';
	decisions = 0;
	readonly daemon: DaemonId;
	readonly dataCentre: DataCentreId;
	private readonly location: ProcessLocation;
	private attempts = new Map<AttemptId, OpenAttempt>();
	private callers = new Set<RequestId>();
	/** Daemons to which this one has opened a connection. */
	private readonly dialledPeers = new Set<DaemonId>();
	/** Events that have not been processed yet, because another event is being processed or the daemon is paused. */
	private pendingEvents: DaemonEvent[] = [];
	/** Actions of the event during which the daemon was paused; executed on resume. */
	private deferredActions: readonly DaemonAction[] = [];
	private defersNextActions = false;
	private isProcessing = false;

	constructor(private readonly simulation: Simulation, private readonly options: FakeDaemonOptions) {
		this.daemon = options.daemon;
		this.dataCentre = options.dataCentre;
		this.location = simulation.locationOf(options.daemon, options.dataCentre);
		this.state = this.createState();
		this.start();
	}

	/** Reading of this daemon's monotonic clock, which keeps running during a pause. */
	get now(): Millis {
		return this.simulation.queue.now + (this.options.clockOffsetMs ?? 0);
	}

	/** Ends the process abruptly, like SIGKILL. */
	kill(): void {
		if (this.status === 'dead') {
			return;
		}

		this.status = 'dead';
		this.simulation.recorder.record({kind: 'daemon-killed', daemon: this.daemon});
		this.closeAllConnections();
	}

	/** Restarts the process with an empty state. */
	restart(): void {
		this.kill();
		this.state = this.createState();
		this.start();
	}

	/**
	Suspends the process, like SIGSTOP. With `defersActions` it is suspended while it processes the next event that leads to actions,
	after the decision and before the first action is executed.
	*/
	pause(options: Readonly<{defersActions?: boolean}> = {}): void {
		if (this.status !== 'running') {
			return;
		}

		if (options.defersActions === true) {
			this.defersNextActions = true;
			return;
		}

		this.status = 'paused';
		this.simulation.recorder.record({kind: 'daemon-paused', daemon: this.daemon});
	}

	resume(): void {
		this.defersNextActions = false;
		if (this.status !== 'paused') {
			return;
		}

		this.status = 'running';
		this.simulation.recorder.record({kind: 'daemon-resumed', daemon: this.daemon});
		const {deferredActions: actions} = this;
		this.deferredActions = [];
		this.applyAll(actions);
		this.drain();
	}

	/** Sends a request as a caller. If the daemon is dead, the connection breaks without a response. */
	call(request: CallerRequest): void {
		const {requestId} = request;
		this.simulation.recorder.record({
			kind: 'caller-sent', daemon: this.daemon, requestId, job: parseJob(request.payload).key,
		});
		if (this.status === 'dead') {
			this.simulation.recorder.record({kind: 'caller-cut', requestId});
			return;
		}

		this.callers.add(requestId);
		const {remainingMs, ...rest} = request;
		this.post({kind: 'request', request: {...rest, deadlineAt: this.now + remainingMs}});
	}

	/** The caller closes its connection. */
	disconnectCaller(requestId: RequestId): void {
		if (this.callers.delete(requestId)) {
			this.post({kind: 'caller-left', requestId});
		}
	}

	/** Passes an event to the decision code, at once or after a pause. A dead daemon ignores it. */
	post(event: DaemonEvent): void {
		if (this.status === 'dead') {
			return;
		}

		this.pendingEvents.push(event);
		this.drain();
	}

	private createState(): DaemonState {
		this.incarnation++;
		return createDaemonState({
			self: this.options.daemon, dataCentre: this.options.dataCentre, region: this.options.region, incarnation: this.incarnation,
		});
	}

	private start(): void {
		this.status = 'running';
		this.simulation.recorder.record({kind: 'daemon-started', daemon: this.daemon});
		const {incarnation} = this;
		this.repeat(incarnation, this.options.tickMs ?? 50, () => {
			this.cancelSilentAttempts();
			this.post({kind: 'tick'});
		});
		this.repeat(incarnation, relayFlushMs, () => {
			if (hasWaitingFrames(this.state.relays)) {
				this.post({kind: 'flush-relays'});
			}
		});
	}

	/** Calls `run` at the current time and then periodically until this incarnation ends. Skips calls while the daemon is paused. */
	private repeat(incarnation: number, periodMs: Millis, run: () => void): void {
		const runAndReschedule = (): void => {
			if (this.incarnation !== incarnation || this.status === 'dead') {
				return;
			}

			if (this.status === 'running') {
				run();
			}

			this.simulation.queue.schedule(periodMs, runAndReschedule);
		};

		this.simulation.queue.schedule(0, runAndReschedule);
	}

	private closeAllConnections(): void {
		for (const [attempt, {engine}] of this.attempts) {
			this.afterLocalLatency(() => {
				engine.cancel(attempt);
			});
		}

		for (const requestId of this.callers) {
			this.simulation.recorder.record({kind: 'caller-cut', requestId});
		}

		this.attempts = new Map();
		this.callers = new Set();
		this.dialledPeers.clear();
		this.pendingEvents = [];
		this.deferredActions = [];
		this.defersNextActions = false;
	}

	private drain(): void {
		if (this.isProcessing) {
			return;
		}

		this.isProcessing = true;
		while (this.status === 'running' && this.pendingEvents.length > 0) {
			this.processEvent(this.pendingEvents.shift()!);
		}

		this.isProcessing = false;
	}

	private processEvent(event: DaemonEvent): void {
		this.decisions++;
		const {probe} = this.options;
		const startedAt = probe === undefined ? 0 : performance.now();
		const outcome = decide(this.state, event, this.now);
		probe?.decided(event.kind === 'message' ? `message ${event.message.kind}` : event.kind, 1000 * (performance.now() - startedAt));
		this.state = outcome.state;
		if (this.defersNextActions && outcome.actions.length > 0) {
			this.defersNextActions = false;
			this.deferredActions = outcome.actions;
			this.pause();
			return;
		}

		this.applyAll(outcome.actions);
	}

	private applyAll(actions: readonly DaemonAction[]): void {
		for (const action of actions) {
			this.apply(action);
		}
	}

	private apply(action: DaemonAction): void {
		switch (action.kind) {
			case 'send': {
				this.send(action);
				break;
			}

			case 'connect': {
				this.connect(action.daemon);
				break;
			}

			case 'disconnect': {
				this.dialledPeers.delete(action.daemon);
				break;
			}

			case 'log': {
				this.simulation.recorder.record({kind: 'note', text: `${this.daemon}: ${action.event}: ${action.detail}`});
				break;
			}

			case 'open-attempt': {
				this.openAttempt(action);
				break;
			}

			case 'cancel-attempt': {
				this.cancelAttempt(action.attempt);
				break;
			}

			case 'deliver': {
				if (this.callers.has(action.requestId)) {
					this.simulation.recorder.record({kind: 'caller-chunk', requestId: action.requestId, chunk: action.chunk});
				}

				break;
			}

			case 'complete': {
				if (this.callers.delete(action.requestId)) {
					const {requestId, tokens, status, versions} = action;
					this.simulation.recorder.record({
						kind: 'caller-completed', requestId, tokens, status, versions,
					});
				}

				break;
			}

			case 'fail': {
				this.failCaller(action);
				break;
			}

			case 'configuration-in-effect': {
				this.simulation.recorder.record({kind: 'configuration-in-effect', daemon: this.daemon, version: action.version});
				break;
			}

			case 'apply-accepted': {
				this.simulation.recorder.record({
					kind: 'apply-accepted', daemon: this.daemon, call: action.call, version: action.version,
				});
				break;
			}

			case 'apply-refused': {
				this.simulation.recorder.record({
					kind: 'apply-refused', daemon: this.daemon, call: action.call, currentVersion: action.currentVersion,
				});
				break;
			}

			case 'stopped': {
				this.simulation.recorder.record({kind: 'daemon-stopped', daemon: this.daemon});
				this.status = 'dead';
				this.closeAllConnections();
				break;
			}

			default: {
				this.applyExternalCall(action);
			}
		}
	}

	/** Executes calls to the platform and calls to engines that do not belong to a request. */
	private applyExternalCall(action: DaemonAction): void {
		switch (action.kind) {
			case 'read-vm-list': {
				this.readVmList();
				break;
			}

			case 'read-state': {
				this.readState(action.upstream);
				break;
			}

			case 'read-weights': {
				this.readWeights(action.pool);
				break;
			}

			case 'send-order': {
				this.sendOrder(action);
				break;
			}

			case 'list-rows': {
				this.listRows(action);
				break;
			}

			case 'get-object':
			case 'put-object':
			case 'delete-object': {
				this.callObjectStore(action);
				break;
			}

			case 'read-row': {
				this.readRow(action);
				break;
			}

			case 'write-row': {
				this.writeRow(action);
				break;
			}

			default: {
				this.applyWithHandler(action);
			}
		}
	}

	private applyWithHandler(action: Readonly<{kind: string}>): void {
		const handler = this.options.handlers?.[action.kind];
		if (handler === undefined) {
			this.simulation.recorder.record({kind: 'unhandled-action', daemon: this.daemon, action});
			return;
		}

		handler(this, action);
	}

	/** Whether a connection between this daemon and `other` is open, regardless of which one opened it. */
	private isConnectedTo(other: FakeDaemon): boolean {
		return other.status !== 'dead' && (this.dialledPeers.has(other.daemon) || other.dialledPeers.has(this.daemon));
	}

	private connect(daemon: DaemonId): void {
		const target = this.simulation.daemons.get(daemon);
		if (target === undefined) {
			return;
		}

		const {incarnation} = this;
		const {incarnation: targetIncarnation} = target;
		this.simulation.queue.schedule(handshakeRoundTrips * 2 * this.simulation.network.latencyMs(this.location, target.location), () => {
			if (this.incarnation !== incarnation || this.status === 'dead' || target.incarnation !== targetIncarnation || target.status === 'dead') {
				return;
			}

			this.dialledPeers.add(daemon);
			this.post({kind: 'peer-connected', daemon});
			target.post({kind: 'peer-connected', daemon: this.daemon});
		});
	}

	/** Sends a message to a peer. It is dropped if the peer has restarted before the message arrives. */
	private send(action: ActionOf<'send'>): void {
		const target = this.simulation.daemons.get(action.to);
		if (target === undefined || !this.isConnectedTo(target)) {
			this.post({kind: 'message-unsent', to: action.to, message: action.message});
			return;
		}

		const {incarnation} = target;
		this.simulation.network.send(this.location, target.location, () => messageBytes(action.message), () => {
			if (target.incarnation === incarnation) {
				target.post({kind: 'message', from: this.daemon, message: action.message});
			}
		});
	}

	private openAttempt(action: ActionOf<'open-attempt'>): void {
		const {attempt} = action;
		const engine = this.simulation.engines.get(action.upstream);
		if (engine === undefined) {
			this.post({
				kind: 'attempt-failed', attempt, failure: 'unreachable', sent: false,
			});
			return;
		}

		// As in the real edge, the time is checked again right before the write, since the process may have been paused after the decision.
		if (this.now > action.notAfter) {
			this.post({
				kind: 'attempt-failed', attempt, failure: 'late', sent: false,
			});
			return;
		}

		this.attempts.set(attempt, {engine, progressAt: this.now});
		if (!engine.isAlive) {
			this.report(attempt, {
				kind: 'attempt-failed', attempt, failure: 'unreachable', sent: false,
			});
			return;
		}

		// As in the real edge, this event is posted right before the first byte is written.
		this.post({kind: 'attempt-sent', attempt});
		this.afterLocalLatency(() => {
			this.startOnEngine(action, engine);
		});
	}

	private startOnEngine(action: ActionOf<'open-attempt'>, engine: FakeEngine): void {
		const {attempt} = action;
		const isOpen = engine.open(attempt, parseJob(action.payload), action.resumeFrom, {
			chunk: chunk => {
				this.report(attempt, {kind: 'attempt-chunk', attempt, chunk});
			},
			finished: tokens => {
				this.report(attempt, {
					kind: 'attempt-finished', attempt, tokens, status: 200, contentType: 'text/event-stream',
				});
			},
			failed: failure => {
				this.report(attempt, {
					kind: 'attempt-failed', attempt, failure, sent: true,
				});
			},
		});
		if (!isOpen) {
			this.report(attempt, {
				kind: 'attempt-failed', attempt, failure: 'upstream-died', sent: true,
			});
		}
	}

	/** Posts an event of an engine after the network latency, unless the attempt has ended or has been cancelled in the meantime. */
	private report(attempt: AttemptId, event: DaemonEvent): void {
		const open = this.attempts.get(attempt);
		this.afterLocalLatency(() => {
			if (open === undefined || this.attempts.get(attempt) !== open) {
				return;
			}

			open.progressAt = this.now;
			if (event.kind === 'attempt-finished' || event.kind === 'attempt-failed') {
				this.attempts.delete(attempt);
			}

			this.post(event);
		});
	}

	private cancelAttempt(attempt: AttemptId): void {
		const open = this.attempts.get(attempt);
		this.attempts.delete(attempt);
		if (open !== undefined) {
			this.afterLocalLatency(() => {
				open.engine.cancel(attempt);
			});
		}
	}

	/** Cancels attempts without progress for longer than `silenceMs`, as the real edge does. */
	private cancelSilentAttempts(): void {
		for (const [attempt, open] of this.attempts) {
			if (this.now - open.progressAt > (this.options.silenceMs ?? 5000)) {
				this.cancelAttempt(attempt);
				this.post({
					kind: 'attempt-failed', attempt, failure: 'silent', sent: true,
				});
			}
		}
	}

	private failCaller(action: ActionOf<'fail'>): void {
		if (this.callers.delete(action.requestId)) {
			const {requestId, cause, problem} = action;
			this.simulation.recorder.record({
				kind: 'caller-failed', requestId, cause, outcome: problem.outcome, retryAfterMs: problem.retryAfterMs,
			});
		}
	}

	private readRow(action: ActionOf<'read-row'>): void {
		this.callStore<RowResponse>(answer => {
			this.simulation.tables.read(action.table, action.key, answer);
		}, answer => {
			this.post({kind: 'row-answer', call: action.call, answer});
		});
	}

	private writeRow(action: ActionOf<'write-row'>): void {
		this.callStore<RowResponse>(answer => {
			this.simulation.tables.compareAndSet(this.daemon, action, answer);
		}, answer => {
			this.post({kind: 'row-answer', call: action.call, answer});
		});
	}

	/** Calls a store of the platform. If the path to the store is blocked, the call has no effect; if the path back is blocked, the call takes effect and the response is lost. */
	callStore<Answer extends Readonly<{kind: string}>>(call: (answer: (answer: Answer) => void) => void, answered: (answer: Answer | Readonly<{kind: 'unavailable'}>) => void): void {
		const {network, queue, storeLocation} = this.simulation;
		const {incarnation} = this;
		const finish = (answer: Answer | Readonly<{kind: 'unavailable'}>): void => {
			if (this.incarnation === incarnation) {
				answered(answer);
			}
		};

		const scheduleTimeout = (): void => {
			queue.schedule(2000, () => {
				finish({kind: 'unavailable'});
			});
		};

		if (network.isBlocked(this.location, storeLocation)) {
			scheduleTimeout();
			return;
		}

		queue.schedule(network.latencyMs(this.location, storeLocation), () => {
			call(answer => {
				if (network.isBlocked(storeLocation, this.location)) {
					scheduleTimeout();
					return;
				}

				queue.schedule(network.latencyMs(storeLocation, this.location), () => {
					finish(answer);
				});
			});
		});
	}

	private readVmList(): void {
		if (!this.simulation.network.isBlocked(this.location, this.simulation.storeLocation)) {
			this.afterLocalLatency(() => {
				this.post({kind: 'vm-list', vms: this.simulation.vmList});
			});
		}
	}

	private readState(upstream: UpstreamId): void {
		const engine = this.simulation.engines.get(upstream);
		this.simulation.queue.schedule(engine?.isAlive === true ? 1 : stateReadTimeoutMs, () => {
			const status = engine?.isAlive === true
				? {
					leaving: engine.isLeaving, version: engine.version, swapping: engine.isSwapping, fence: engine.highestFence,
				}
				: undefined;
			this.post({kind: 'upstream-state', upstream, status});
		});
	}

	private readWeights(pool: PoolId): void {
		this.afterLocalLatency(() => {
			const isBlocked = this.simulation.network.isBlocked(this.location, this.simulation.storeLocation);
			this.post({kind: 'weights', pool, version: isBlocked ? undefined : this.simulation.weights.get(pool)});
		});
	}

	/** Sends an order to an engine. The time is checked right before, as for attempts. */
	private sendOrder(action: ActionOf<'send-order'>): void {
		const engine = this.simulation.engines.get(action.upstream);
		if (engine === undefined || this.now >= action.notAfter) {
			this.post({kind: 'order-answer', upstream: action.upstream, isAccepted: false});
			return;
		}

		this.afterLocalLatency(() => {
			const isAccepted = engine.loadVersion(action.version, action.fence) === 'accepted';
			this.post({kind: 'order-answer', upstream: action.upstream, isAccepted});
		});
	}

	private listRows(action: ActionOf<'list-rows'>): void {
		this.callStore<Readonly<{kind: 'rows'; rows: readonly ListedRow[] | undefined}>>(answer => {
			this.simulation.tables.list(action.table, action.prefix, rows => {
				answer({kind: 'rows', rows});
			});
		}, answer => {
			this.post({kind: 'list-answer', call: action.call, rows: answer.kind === 'rows' ? answer.rows : undefined});
		});
	}

	private callObjectStore(action: ActionOf<'get-object' | 'put-object' | 'delete-object'>): void {
		const {objects} = this.simulation;
		this.callStore<ObjectResponse>(answer => {
			switch (action.kind) {
				case 'get-object': {
					objects.get(action.key, answer);
					break;
				}

				case 'put-object': {
					objects.put(this.daemon, action.key, action.value, answer);
					break;
				}

				case 'delete-object': {
					objects.delete(this.daemon, action.key, answer);
					break;
				}
			}
		}, answer => {
			this.post({kind: 'object-answer', call: action.call, answer});
		});
	}

	private afterLocalLatency(run: () => void): void {
		this.simulation.queue.schedule(this.simulation.network.latencyMs(this.location, this.location), run);
	}
}
