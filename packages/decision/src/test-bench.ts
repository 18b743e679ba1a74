/** Daemons in virtual time around one table service, for the tests of this package. No sockets, no clock. */

import type {
	DaemonId, DataCentreId, Millis, RegionId, RowAnswer, VmRecord,
} from '@cicadapost/types';
import {createDaemonState, type DaemonState} from './daemon-state.js';
import {decide} from './decide.js';
import type {DaemonAction, DaemonEvent} from './events.js';

type Row = Readonly<{version: number; value: string}>;
type RowAction = Extract<DaemonAction, {kind: 'read-row' | 'write-row'}>;
type Recorded = Readonly<{daemon: DaemonId; at: Millis; action: DaemonAction}>;

const stepMs = 50;

export class Bench {
	now: Millis = 0;
	readonly daemons = new Map<DaemonId, DaemonState>();
	readonly rows = new Map<string, Row>();
	readonly recorded: Recorded[] = [];
	/** Daemons that run no code until they are removed from the set; their messages wait. */
	readonly paused = new Set<DaemonId>();
	isStoreDown = false;
	/** Number of writes that take effect and whose answer is lost. */
	loseAnswers = 0;
	/** Number of writes that are lost before they take effect. */
	loseWrites = 0;
	/** Whether a message from the first daemon to the second is lost. */
	isCut: (from: DaemonId, to: DaemonId) => boolean = () => false;
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

	/** Tells each daemon of all daemons, as the VM list does. */
	listVms(upstreams: readonly VmRecord[] = []): void {
		const entries = [...this.daemons.values()].map((state): VmRecord => ({
			id: state.self, role: 'entry', dataCentre: state.dataCentre, state: 'live', peerAddress: `${state.self}:1`,
		}));
		for (const daemon of this.daemons.keys()) {
			this.post(daemon, {kind: 'vm-list', vms: [...entries, ...upstreams]});
		}
	}

	post(daemon: string, event: DaemonEvent): void {
		this.queue.push({daemon: daemon as DaemonId, event});
		this.drain();
	}

	/** Lets `ms` pass with a tick for each daemon every 50 ms. */
	run(ms: Millis): void {
		for (const end = this.now + ms; this.now < end;) {
			this.now += stepMs;
			for (const daemon of this.daemons.keys()) {
				this.post(daemon, {kind: 'tick'});
			}
		}
	}

	/** Actions of one kind that were recorded so far, of one daemon or of all. */
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
		if (action.kind === 'send' && !this.isCut(daemon, action.to)) {
			this.queue.push({daemon: action.to, event: {kind: 'message', from: daemon, message: structuredClone(action.message)}});
		}

		if (action.kind === 'read-row' || action.kind === 'write-row') {
			this.queue.push({daemon, event: {kind: 'row-answer', call: action.call, answer: this.answer(action)}});
		}
	}

	private answer(action: RowAction): RowAnswer {
		const key = `${action.table}/${action.key}`;
		const row = this.rows.get(key);
		if (this.isStoreDown) {
			return {kind: 'unavailable'};
		}

		if (action.kind === 'read-row') {
			return row === undefined ? {kind: 'absent'} : {kind: 'row', ...row};
		}

		if (this.loseWrites > 0) {
			this.loseWrites--;
			return {kind: 'unavailable'};
		}

		if ((row?.version ?? 0) !== action.expectedVersion) {
			return {kind: 'conflict', version: row?.version ?? 0, value: row?.value ?? ''};
		}

		const version = action.expectedVersion + 1;
		this.rows.set(key, {version, value: action.value});
		if (this.loseAnswers > 0) {
			this.loseAnswers--;
			return {kind: 'unavailable'};
		}

		return {kind: 'written', version};
	}
}
