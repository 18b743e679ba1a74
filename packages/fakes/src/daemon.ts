import {
	createDaemonState, decide, hasWaitingFrames, type DaemonAction, type DaemonEvent, type DaemonState,
} from '@cicadapost/decision';
import type {
	AttemptId, DaemonId, DataCentreId, ListedRow, Millis, ObjectResponse, PeerMessage, PoolId, RegionId, Request, RequestId, RowResponse, UpstreamId,
} from '@cicadapost/types';
import {Packr} from 'msgpackr';
import type {FakeEngine} from './engine.js';
import {jobOf} from './job.js';
import type {Place} from './network.js';
import type {ActionOf} from './recorder.js';
import type {World} from './world.js';

export type DaemonProbe = Readonly<{
	/** `kind` is the kind of the event, and of the message in it. */
	decided: (kind: string, micros: number) => void;
	sent: (message: PeerMessage, bytes: number, isAcrossRegions: boolean) => void;
}>;

export type FakeDaemonOptions = Readonly<{
	daemon: DaemonId;
	dataCentre: DataCentreId;
	region: RegionId;
	/** Reading of the monotonic clock at virtual time 0; daemons share no clock. */
	clockOffsetMs?: Millis;
	tickMs?: Millis;
	silenceMs?: Millis;
	/** Sees the time of each decision and the size of each message, to measure control work. */
	probe?: DaemonProbe;
	/** Handlers for actions that this class doesn't know, by kind. They may post events. */
	handlers?: Readonly<Record<string, (daemon: FakeDaemon, action: Readonly<{kind: string}>) => void>>;
}>;

/** A request as a caller sends it; the deadline is a duration. */
export type CallerRequest = Omit<Request, 'deadlineAt'> & Readonly<{remainingMs: Millis}>;

type OpenAttempt = {
	readonly engine: FakeEngine;
	progressAt: Millis;
};

/** The edge flushes relayed frames this often. */
const relayFlushMs = 20;
/** Time to open a connection, in round trips. */
const handshakeRoundTrips = 1.5;
const noAnswerMs = 1000;

const packr = new Packr({useRecords: false});

/** Size of a message between daemons on the wire. */
export function messageBytes(message: PeerMessage): number {
	return packr.pack(message).length;
}

/** Drives the decision code of one daemon and carries out its actions through the fakes. */
export class FakeDaemon {
	state: DaemonState;
	incarnation = 0;
	status: 'running' | 'paused' | 'dead' = 'dead';
	decisions = 0;
	readonly daemon: DaemonId;
	readonly dataCentre: DataCentreId;
	private readonly place: Place;
	private attempts = new Map<AttemptId, OpenAttempt>();
	private callers = new Set<RequestId>();
	/** Daemons that this one has dialled. */
	private readonly dialled = new Set<DaemonId>();
	/** Events that wait for their turn or for the end of a pause. */
	private inbox: DaemonEvent[] = [];
	private held: readonly DaemonAction[] = [];
	private isHoldingNextActions = false;
	private isDeciding = false;

	constructor(private readonly world: World, private readonly options: FakeDaemonOptions) {
		this.daemon = options.daemon;
		this.dataCentre = options.dataCentre;
		this.place = world.place(options.daemon, options.dataCentre);
		this.state = this.createState();
		this.start();
	}

	/** Reading of this daemon's monotonic clock, which goes on during a pause. */
	get now(): Millis {
		return this.world.queue.now + (this.options.clockOffsetMs ?? 0);
	}

	/** Ends the process without warning. */
	kill(): void {
		if (this.status === 'dead') {
			return;
		}

		this.status = 'dead';
		this.world.recorder.record({kind: 'daemon-killed', daemon: this.daemon});
		this.dropEverything();
	}

	/** Starts the process again with nothing in memory. */
	restart(): void {
		this.kill();
		this.state = this.createState();
		this.start();
	}

	/**
	Stops the process as a signal would. With `isHoldingActions` it stops in the middle of its next turn,
	after the decision and before the first action is carried out.
	*/
	pause(options: Readonly<{isHoldingActions?: boolean}> = {}): void {
		if (this.status !== 'running') {
			return;
		}

		if (options.isHoldingActions === true) {
			this.isHoldingNextActions = true;
			return;
		}

		this.status = 'paused';
		this.world.recorder.record({kind: 'daemon-paused', daemon: this.daemon});
	}

	resume(): void {
		this.isHoldingNextActions = false;
		if (this.status !== 'paused') {
			return;
		}

		this.status = 'running';
		this.world.recorder.record({kind: 'daemon-resumed', daemon: this.daemon});
		const {held} = this;
		this.held = [];
		this.applyAll(held);
		this.drain();
	}

	/** A caller sends a request. It learns nothing if the daemon is dead. */
	call(request: CallerRequest): void {
		const {requestId} = request;
		this.world.recorder.record({
			kind: 'caller-sent', daemon: this.daemon, requestId, job: jobOf(request.payload).key,
		});
		if (this.status === 'dead') {
			this.world.recorder.record({kind: 'caller-cut', requestId});
			return;
		}

		this.callers.add(requestId);
		const {remainingMs, ...rest} = request;
		this.post({kind: 'request', request: {...rest, deadlineAt: this.now + remainingMs}});
	}

	/** The caller closes its connection. */
	abandon(requestId: RequestId): void {
		if (this.callers.delete(requestId)) {
			this.post({kind: 'caller-left', requestId});
		}
	}

	/** Hands an event to the decision code, now or when the daemon is no longer paused. */
	post(event: DaemonEvent): void {
		if (this.status === 'dead') {
			return;
		}

		this.inbox.push(event);
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
		this.world.recorder.record({kind: 'daemon-started', daemon: this.daemon});
		const {incarnation} = this;
		this.repeat(incarnation, this.options.tickMs ?? 50, () => {
			this.checkSilence();
			this.post({kind: 'tick'});
		});
		this.repeat(incarnation, relayFlushMs, () => {
			if (hasWaitingFrames(this.state.relays)) {
				this.post({kind: 'flush-relays'});
			}
		});
	}

	/** Calls `run` at once and then periodically, for as long as this incarnation lives. */
	private repeat(incarnation: number, periodMs: Millis, run: () => void): void {
		const again = (): void => {
			if (this.incarnation !== incarnation || this.status === 'dead') {
				return;
			}

			if (this.status === 'running') {
				run();
			}

			this.world.queue.schedule(periodMs, again);
		};

		this.world.queue.schedule(0, again);
	}

	private dropEverything(): void {
		for (const [attempt, {engine}] of this.attempts) {
			this.afterLatency(() => {
				engine.cancel(attempt);
			});
		}

		for (const requestId of this.callers) {
			this.world.recorder.record({kind: 'caller-cut', requestId});
		}

		this.attempts = new Map();
		this.callers = new Set();
		this.dialled.clear();
		this.inbox = [];
		this.held = [];
		this.isHoldingNextActions = false;
	}

	private drain(): void {
		if (this.isDeciding) {
			return;
		}

		this.isDeciding = true;
		while (this.status === 'running' && this.inbox.length > 0) {
			this.turn(this.inbox.shift()!);
		}

		this.isDeciding = false;
	}

	private turn(event: DaemonEvent): void {
		this.decisions++;
		const {probe} = this.options;
		const startedAt = probe === undefined ? 0 : performance.now();
		const outcome = decide(this.state, event, this.now);
		probe?.decided(event.kind === 'message' ? `message ${event.message.kind}` : event.kind, 1000 * (performance.now() - startedAt));
		this.state = outcome.state;
		if (this.isHoldingNextActions && outcome.actions.length > 0) {
			this.isHoldingNextActions = false;
			this.held = outcome.actions;
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
				this.dialled.delete(action.daemon);
				break;
			}

			case 'log': {
				this.world.recorder.record({kind: 'note', text: `${this.daemon}: ${action.event}: ${action.detail}`});
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
					this.world.recorder.record({kind: 'caller-chunk', requestId: action.requestId, chunk: action.chunk});
				}

				break;
			}

			case 'complete': {
				if (this.callers.delete(action.requestId)) {
					const {requestId, tokens, status, versions} = action;
					this.world.recorder.record({
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
				this.world.recorder.record({kind: 'configuration-in-effect', daemon: this.daemon, version: action.version});
				break;
			}

			case 'apply-accepted': {
				this.world.recorder.record({
					kind: 'apply-accepted', daemon: this.daemon, call: action.call, version: action.version,
				});
				break;
			}

			case 'apply-refused': {
				this.world.recorder.record({
					kind: 'apply-refused', daemon: this.daemon, call: action.call, currentVersion: action.currentVersion,
				});
				break;
			}

			case 'stopped': {
				this.world.recorder.record({kind: 'daemon-stopped', daemon: this.daemon});
				this.status = 'dead';
				this.dropEverything();
				break;
			}

			default: {
				this.applyOutside(action);
			}
		}
	}

	/** Calls of the platform and of engines that no request waits for. */
	private applyOutside(action: DaemonAction): void {
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
				this.callObjects(action);
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
				this.applyUnknown(action);
			}
		}
	}

	private applyUnknown(action: Readonly<{kind: string}>): void {
		const handler = this.options.handlers?.[action.kind];
		if (handler === undefined) {
			this.world.recorder.record({kind: 'unhandled-action', daemon: this.daemon, action});
			return;
		}

		handler(this, action);
	}

	/** Whether a connection between this daemon and `other` is open, whichever of them has dialled. */
	private isLinked(other: FakeDaemon): boolean {
		return other.status !== 'dead' && (this.dialled.has(other.daemon) || other.dialled.has(this.daemon));
	}

	private connect(daemon: DaemonId): void {
		const target = this.world.daemons.get(daemon);
		if (target === undefined) {
			return;
		}

		const {incarnation} = this;
		const {incarnation: targetIncarnation} = target;
		this.world.queue.schedule(handshakeRoundTrips * 2 * this.world.network.latencyMs(this.place, target.place), () => {
			if (this.incarnation !== incarnation || this.status === 'dead' || target.incarnation !== targetIncarnation || target.status === 'dead') {
				return;
			}

			this.dialled.add(daemon);
			this.post({kind: 'peer-connected', daemon});
			target.post({kind: 'peer-connected', daemon: this.daemon});
		});
	}

	/** A message reaches the process that it was sent to, not one that has been started since. */
	private send(action: ActionOf<'send'>): void {
		const target = this.world.daemons.get(action.to);
		if (target === undefined || !this.isLinked(target)) {
			this.post({kind: 'message-unsent', to: action.to, message: action.message});
			return;
		}

		const {incarnation} = target;
		this.world.network.send(this.place, target.place, () => messageBytes(action.message), () => {
			if (target.incarnation === incarnation) {
				target.post({kind: 'message', from: this.daemon, message: action.message});
			}
		});
	}

	private openAttempt(action: ActionOf<'open-attempt'>): void {
		const {attempt} = action;
		const engine = this.world.engines.get(action.upstream);
		if (engine === undefined) {
			this.post({
				kind: 'attempt-failed', attempt, failure: 'unreachable', sent: false,
			});
			return;
		}

		// The edge checks the time again right before it writes; the process may have been paused since the decision.
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

		// As in the real edge, this is reported right before the first byte is written.
		this.post({kind: 'attempt-sent', attempt});
		this.afterLatency(() => {
			this.startOnEngine(action, engine);
		});
	}

	private startOnEngine(action: ActionOf<'open-attempt'>, engine: FakeEngine): void {
		const {attempt} = action;
		const isOpen = engine.open(attempt, jobOf(action.payload), action.resumeFrom, {
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

	/** Brings a report of an engine to this daemon, unless the attempt is no longer wanted when it arrives. */
	private report(attempt: AttemptId, event: DaemonEvent): void {
		const open = this.attempts.get(attempt);
		this.afterLatency(() => {
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
			this.afterLatency(() => {
				open.engine.cancel(attempt);
			});
		}
	}

	/** A stream without progress for the silence limit is closed, as the edge does. */
	private checkSilence(): void {
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
			this.world.recorder.record({
				kind: 'caller-failed', requestId, cause, outcome: problem.outcome, retryAfterMs: problem.retryAfterMs,
			});
		}
	}

	private readRow(action: ActionOf<'read-row'>): void {
		this.callStore<RowResponse>(answer => {
			this.world.tables.read(action.table, action.key, answer);
		}, answer => {
			this.post({kind: 'row-answer', call: action.call, answer});
		});
	}

	private writeRow(action: ActionOf<'write-row'>): void {
		this.callStore<RowResponse>(answer => {
			this.world.tables.compareAndSet(this.daemon, action, answer);
		}, answer => {
			this.post({kind: 'row-answer', call: action.call, answer});
		});
	}

	/** Calls the platform. A cut on the way there means no effect, one on the way back a lost answer. */
	callStore<Answer extends Readonly<{kind: string}>>(call: (answer: (answer: Answer) => void) => void, answered: (answer: Answer | Readonly<{kind: 'unavailable'}>) => void): void {
		const {network, queue, storePlace} = this.world;
		const {incarnation} = this;
		const finish = (answer: Answer | Readonly<{kind: 'unavailable'}>): void => {
			if (this.incarnation === incarnation) {
				answered(answer);
			}
		};

		const timeOut = (): void => {
			queue.schedule(2000, () => {
				finish({kind: 'unavailable'});
			});
		};

		if (network.isCut(this.place, storePlace)) {
			timeOut();
			return;
		}

		queue.schedule(network.latencyMs(this.place, storePlace), () => {
			call(answer => {
				if (network.isCut(storePlace, this.place)) {
					timeOut();
					return;
				}

				queue.schedule(network.latencyMs(storePlace, this.place), () => {
					finish(answer);
				});
			});
		});
	}

	private readVmList(): void {
		if (!this.world.network.isCut(this.place, this.world.storePlace)) {
			this.afterLatency(() => {
				this.post({kind: 'vm-list', vms: this.world.vmList});
			});
		}
	}

	private readState(upstream: UpstreamId): void {
		const engine = this.world.engines.get(upstream);
		this.world.queue.schedule(engine?.isAlive === true ? 1 : noAnswerMs, () => {
			const status = engine?.isAlive === true
				? {
					leaving: engine.isLeaving, version: engine.version, swapping: engine.isSwapping, fence: engine.highestFence,
				}
				: undefined;
			this.post({kind: 'upstream-state', upstream, status});
		});
	}

	private readWeights(pool: PoolId): void {
		this.afterLatency(() => {
			const isCut = this.world.network.isCut(this.place, this.world.storePlace);
			this.post({kind: 'weights', pool, version: isCut ? undefined : this.world.weights.get(pool)});
		});
	}

	/** The edge checks the time right before it sends, as for attempts. */
	private sendOrder(action: ActionOf<'send-order'>): void {
		const engine = this.world.engines.get(action.upstream);
		if (engine === undefined || this.now >= action.notAfter) {
			this.post({kind: 'order-answer', upstream: action.upstream, isAccepted: false});
			return;
		}

		this.afterLatency(() => {
			const isAccepted = engine.loadVersion(action.version, action.fence) === 'accepted';
			this.post({kind: 'order-answer', upstream: action.upstream, isAccepted});
		});
	}

	private listRows(action: ActionOf<'list-rows'>): void {
		this.callStore<Readonly<{kind: 'rows'; rows: readonly ListedRow[] | undefined}>>(answer => {
			this.world.tables.list(action.table, action.prefix, rows => {
				answer({kind: 'rows', rows});
			});
		}, answer => {
			this.post({kind: 'list-answer', call: action.call, rows: answer.kind === 'rows' ? answer.rows : undefined});
		});
	}

	private callObjects(action: ActionOf<'get-object' | 'put-object' | 'delete-object'>): void {
		const {objects} = this.world;
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

	private afterLatency(run: () => void): void {
		this.world.queue.schedule(this.world.network.latencyMs(this.place, this.place), run);
	}
}
