/** Simulates daemons that share one table service, in virtual time and without sockets, for the tests of this package. */

import type {
	DaemonId, DataCentreId, Millis, PeerMessage, RegionId, RowResponse, UpstreamStatus, VmRecord,
} from '@cicadapost/types';
import {createDaemonState, type DaemonState} from './daemon-state.js';
import {decide} from './decide.js';
import type {DaemonAction, DaemonEvent} from './events.js';

type Row = Readonly<{version: number; value: string}>;
type RowAction = Extract<DaemonAction, {kind: 'read-row' | 'write-row'}>;
type Recorded = Readonly<{daemon: DaemonId; at: Millis; action: DaemonAction}>;

const defaultStepMs = 50;

export class SimulatedCluster {
	now: Millis = 0;
	readonly daemons = new Map<DaemonId, DaemonState>();
	readonly rows = new Map<string, Row>();
	readonly recorded: Recorded[] = [];
	/** Daemons that run no code until they are removed from the set. Their messages are held, their ticks are dropped. */
	readonly paused = new Set<DaemonId>();
	isStoreDown = false;
	/** Number of next writes that take effect but whose answer is lost. */
	lostWriteAnswers = 0;
	/** Number of next writes that are lost before they take effect. */
	lostWrites = 0;
	/** Whether a message from the first daemon to the second is lost. */
	isMessageLost: (from: DaemonId, to: DaemonId) => boolean = () => false;
	vms: readonly VmRecord[] = [];
	/** Responses of upstreams to `read-state`. Upstreams without an entry are live. */
	readonly upstreamStatuses = new Map<string, UpstreamStatus>();
	/** Whether upstreams answer `read-state`. */
	answersStateReads = true;
	private readonly connections = new Set<string>();
	private incarnations = 0;
	private queue: Array<Readonly<{daemon: DaemonId; event: DaemonEvent}>> = [];

	start(daemon: string, dataCentre: string): DaemonId {
		const self = daemon as DaemonId;
		this.daemons.set(self, createDaemonState({
			self, dataCentre: dataCentre as DataCentreId, region: dataCentre as RegionId, incarnation: ++this.incarnations,
		}));
		return self;
	}

	state(daemon: string): DaemonState {
		return this.daemons.get(daemon as DaemonId)!;
	}

	/** Sends each daemon a VM list of all daemons and the given upstreams. */
	publishVmList(upstreams: readonly VmRecord[] = []): void {
		const entries = [...this.daemons.values()].map((state): VmRecord => ({
			id: state.self, role: 'entry', dataCentre: state.dataCentre, state: 'live', peerAddress: `${state.self}:1`,
		}));
		this.vms = [...entries, ...upstreams];
		for (const daemon of this.daemons.keys()) {
			this.post(daemon, {kind: 'vm-list', vms: this.vms});
		}
	}

	post(daemon: string, event: DaemonEvent): void {
		this.queue.push({daemon: daemon as DaemonId, event});
		this.drain();
	}

	/** Advances time by `ms`, with a tick for each daemon every `stepMs`. */
	run(ms: Millis, stepMs = defaultStepMs): void {
		for (const end = this.now + ms; this.now < end;) {
			this.now += stepMs;
			for (const daemon of this.daemons.keys()) {
				this.post(daemon, {kind: 'tick'});
			}
		}
	}

	/** Returns the recorded actions of one kind, of one daemon or of all. */
	actions<Kind extends DaemonAction['kind']>(kind: Kind, daemon?: string): Array<Extract<DaemonAction, {kind: Kind}>> {
		return this.recorded
			.filter(({action, daemon: by}) => action.kind === kind && (daemon === undefined || by === daemon))
			.map(({action}) => action as Extract<DaemonAction, {kind: Kind}>);
	}

	private drain(): void {
		const held = [];
		for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
			const {daemon, event} = next;
			const state = this.daemons.get(daemon);
			if (state === undefined) {
				continue;
			}

			if (this.paused.has(daemon)) {
				if (event.kind !== 'tick') {
					held.push(next);
				}

				continue;
			}

			const outcome = decide(state, event, this.now);
			this.daemons.set(daemon, outcome.state);
			for (const action of outcome.actions) {
				this.carryOut(daemon, action);
			}
		}

		this.queue = held;
	}

	private carryOut(daemon: DaemonId, action: DaemonAction): void {
		this.recorded.push({daemon, at: this.now, action});
		switch (action.kind) {
			case 'send': {
				this.send(daemon, action.to, action.message);
				break;
			}

			case 'connect': {
				this.connections.add(`${daemon}>${action.daemon}`);
				this.queue.push({daemon, event: {kind: 'peer-connected', daemon: action.daemon}}, {daemon: action.daemon, event: {kind: 'peer-connected', daemon}});
				break;
			}

			case 'disconnect': {
				this.connections.delete(`${daemon}>${action.daemon}`);
				break;
			}

			case 'read-vm-list': {
				this.queue.push({daemon, event: {kind: 'vm-list', vms: this.vms}});
				break;
			}

			case 'read-state': {
				const live = {
					leaving: false, version: 1, swapping: false, fence: 0,
				};
				const status = this.answersStateReads ? this.upstreamStatuses.get(action.upstream) ?? live : undefined;
				this.queue.push({daemon, event: {kind: 'upstream-state', upstream: action.upstream, status}});
				break;
			}

			default: {
				break;
			}
		}

		if (action.kind === 'read-row' || action.kind === 'write-row') {
			this.queue.push({daemon, event: {kind: 'row-answer', call: action.call, answer: this.answer(action)}});
		}
	}

	/** Whether a connection between two daemons is open, in either direction. */
	isLinked(one: DaemonId, other: DaemonId): boolean {
		return this.connections.has(`${one}>${other}`) || this.connections.has(`${other}>${one}`);
	}

	private send(from: DaemonId, to: DaemonId, message: PeerMessage): void {
		if (!this.isLinked(from, to) || !this.daemons.has(to)) {
			this.queue.push({daemon: from, event: {kind: 'message-unsent', to, message}});
		} else if (!this.isMessageLost(from, to)) {
			this.queue.push({daemon: to, event: {kind: 'message', from, message: structuredClone(message)}});
		}
	}

	private answer(action: RowAction): RowResponse {
		const key = `${action.table}/${action.key}`;
		const row = this.rows.get(key);
		if (this.isStoreDown) {
			return {kind: 'unavailable'};
		}

		if (action.kind === 'read-row') {
			return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
		}

		if (this.lostWrites > 0) {
			this.lostWrites--;
			return {kind: 'unavailable'};
		}

		if ((row?.version ?? 0) !== action.expectedVersion) {
			return {kind: 'conflict', version: row?.version ?? 0, value: row?.value ?? ''};
		}

		const version = action.expectedVersion + 1;
		this.rows.set(key, {version, value: action.value});
		if (this.lostWriteAnswers > 0) {
			this.lostWriteAnswers--;
			return {kind: 'unavailable'};
		}

		return {kind: 'written', version};
	}
}
