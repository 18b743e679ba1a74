/** Test bench that runs the rollout logic of several daemons with an in-memory store and a simulated network in virtual time. */

import type {
	CallId, DaemonId, MemberId, Millis, PoolId, RequestId, RowResponse, TrainerAnswer, TrainerCall, VersionSpan,
} from '@cicadapost/types';
import {decideRollouts, trackedSteps} from './decide-rollouts.js';
import type {RolloutAction, RolloutEvent} from './rollout-events.js';
import {createRollouts, type RolloutState} from './rollout-state.js';

type StoreAction = Extract<RolloutAction, {kind: 'read-row' | 'write-row' | 'list-rows' | 'get-object' | 'put-object' | 'delete-object'}>;
type StartSample = Extract<RolloutAction, {kind: 'start-sample'}>;

type StartedSample = StartSample & {daemon: DaemonId};

/** Fault injected into one store call. A `late` write takes effect after its caller was told that the store is unavailable. */
export type StoreFault = 'none' | 'down' | 'lost-answer' | 'late';

export class InMemoryStore {
	readonly rows = new Map<string, {version: number; value: string}>();
	readonly objects = new Map<string, string>();
	writes = 0;

	/** Executes a call and returns the answer of a healthy store. */
	apply(action: StoreAction): RolloutEvent {
		const {call} = action;
		switch (action.kind) {
			case 'read-row': {
				const row = this.rows.get(action.key);
				return {kind: 'row-answer', call, answer: row === undefined ? {kind: 'absent'} : {kind: 'row', ...row}};
			}

			case 'write-row': {
				return {kind: 'row-answer', call, answer: this.write(action)};
			}

			case 'list-rows': {
				const rows = [...this.rows].filter(([key]) => key.startsWith(action.prefix)).map(([key, row]) => ({key, ...row}));
				return {kind: 'list-answer', call, rows};
			}

			case 'get-object': {
				const value = this.objects.get(action.key);
				return {kind: 'object-answer', call, answer: value === undefined ? {kind: 'absent'} : {kind: 'object', value}};
			}

			case 'put-object': {
				this.writes++;
				this.objects.set(action.key, action.value);
				return {kind: 'object-answer', call, answer: {kind: 'done'}};
			}

			case 'delete-object': {
				this.writes++;
				this.objects.delete(action.key);
				return {kind: 'object-answer', call, answer: {kind: 'done'}};
			}
		}
	}

	private write(action: Extract<StoreAction, {kind: 'write-row'}>): RowResponse {
		const row = this.rows.get(action.key);
		if ((row?.version ?? 0) !== action.expectedVersion) {
			return {kind: 'conflict', version: row?.version ?? 0, value: row?.value ?? ''};
		}

		this.writes++;
		const version = action.expectedVersion + 1;
		this.rows.set(action.key, {version, value: action.value});
		return {kind: 'written', version};
	}
}

function unavailable(action: StoreAction): RolloutEvent {
	const {call} = action;
	switch (action.kind) {
		case 'list-rows': {
			return {kind: 'list-answer', call, rows: undefined};
		}

		case 'read-row':
		case 'write-row': {
			return {kind: 'row-answer', call, answer: {kind: 'unavailable'}};
		}

		default: {
			return {kind: 'object-answer', call, answer: {kind: 'unavailable'}};
		}
	}
}

/** A message between daemons or a store call that has not been delivered yet. */
type InFlightItem =
	| Readonly<{kind: 'message'; from: DaemonId; to: DaemonId; event: (owner: DaemonId | undefined) => RolloutEvent; member: MemberId; step: number}>
	| Readonly<{kind: 'store'; daemon: DaemonId; incarnation: number; action: StoreAction}>;

export const member = 'sfax' as MemberId;

export class RolloutBench {
	now: Millis = 0;
	readonly store = new InMemoryStore();
	readonly daemons = new Map<DaemonId, RolloutState>();
	/** Running samples. */
	readonly runs = new Map<RequestId, StartedSample>();
	readonly cancelled: StartedSample[] = [];
	readonly answers = new Map<CallId, TrainerAnswer>();
	inFlight: InFlightItem[] = [];
	/** Selects the fault for each store call. */
	fault: (action: StoreAction, daemon: DaemonId) => StoreFault = () => 'none';
	/** The step owner from a daemon's point of view. By default the live daemon with the lowest name. */
	ownerSeenBy: (daemon: DaemonId) => DaemonId | undefined = () => this.liveDaemons()[0];
	private calls = 0;
	private incarnation = 0;

	constructor(names: readonly string[] = ['a', 'b', 'c']) {
		for (const name of names) {
			this.start(name as DaemonId);
		}
	}

	liveDaemons(): DaemonId[] {
		return [...this.daemons.keys()].sort((a, b) => (a < b ? -1 : 1));
	}

	start(daemon: DaemonId): void {
		this.incarnation++;
		this.daemons.set(daemon, createRollouts({self: daemon, incarnation: this.incarnation}));
		this.refreshOwners();
	}

	/** Ends the process of a daemon. Its memory, its runs and the answers to its calls are lost. */
	kill(daemon: DaemonId): void {
		this.daemons.delete(daemon);
		for (const [requestId, run] of this.runs) {
			if (run.daemon === daemon) {
				this.runs.delete(requestId);
			}
		}

		this.refreshOwners();
	}

	refreshOwners(): void {
		for (const [daemon, state] of this.daemons) {
			const owner = this.ownerSeenBy(daemon);
			this.dispatch(daemon, {kind: 'owners', owners: new Map(trackedSteps(state).map(({key}) => [key, owner]))});
		}
	}

	/** Sends a trainer's call to a daemon and returns its id. */
	send(daemon: DaemonId, request: TrainerCall, from: MemberId = member): CallId {
		this.calls++;
		const call = `call-${this.calls}` as CallId;
		this.dispatch(daemon, {
			kind: 'call', call, from: undefined, member: from, request, owner: this.ownerSeenBy(daemon), mayForward: true,
		});
		return call;
	}

	/** Sends a call, delivers everything in flight, and returns the answer. */
	ask(daemon: DaemonId, request: TrainerCall, from: MemberId = member): TrainerAnswer | undefined {
		const call = this.send(daemon, request, from);
		this.deliverAll();
		return this.answers.get(call);
	}

	dispatch(daemon: DaemonId, event: RolloutEvent): void {
		const state = this.daemons.get(daemon);
		if (state === undefined) {
			return;
		}

		for (const action of decideRollouts(state, event, this.now).actions) {
			this.apply(daemon, state, action);
		}
	}

	/** Delivers the item in flight at `index`. */
	deliver(index: number): void {
		const [parcel] = this.inFlight.splice(index, 1);
		if (parcel === undefined) {
			return;
		}

		if (parcel.kind === 'message') {
			this.dispatch(parcel.to, parcel.event(this.ownerSeenBy(parcel.to)));
			return;
		}

		this.callStore(parcel);
	}

	/** Delivers everything in flight, in order, until nothing is left. */
	deliverAll(): void {
		while (this.inFlight.length > 0) {
			this.deliver(0);
		}
	}

	advance(ms: Millis): void {
		this.now += ms;
		for (const daemon of this.daemons.keys()) {
			this.dispatch(daemon, {kind: 'tick'});
		}
	}

	/** Advances the clock in ticks of 100 ms and delivers everything in flight after each tick. */
	run(ms: Millis): void {
		for (let passed = 0; passed < ms; passed += 100) {
			this.advance(100);
			this.deliverAll();
		}
	}

	finish(requestId: RequestId, versions: readonly VersionSpan[] = [{from: 0, to: 4, version: 1}]): void {
		const run = this.runs.get(requestId);
		if (run === undefined) {
			return;
		}

		this.runs.delete(requestId);
		for (const span of versions) {
			this.dispatch(run.daemon, {
				kind: 'sample-chunk', requestId, chunk: {
					offset: span.from, tokens: span.to - span.from, version: span.version, text: `${requestId}@${span.version};`,
				},
			});
		}

		this.dispatch(run.daemon, {
			kind: 'sample-finished', requestId, tokens: versions.at(-1)?.to ?? 0, versions,
		});
	}

	fail(requestId: RequestId): void {
		const run = this.runs.get(requestId);
		this.runs.delete(requestId);
		if (run !== undefined) {
			this.dispatch(run.daemon, {kind: 'sample-failed', requestId, retryAfterMs: 0});
		}
	}

	/** Finishes all running samples and delivers the store calls that follow. */
	finishAll(version = 1): void {
		for (const requestId of this.runs.keys()) {
			this.finish(requestId, [{from: 0, to: 4, version}]);
		}

		this.deliverAll();
	}

	private callStore(parcel: Extract<InFlightItem, {kind: 'store'}>): void {
		const {action, daemon} = parcel;
		const fault = this.fault(action, daemon);
		const isSameProcess = this.daemons.get(daemon)?.incarnation === parcel.incarnation;
		const answer = fault === 'down' || fault === 'late' ? unavailable(action) : this.store.apply(action);
		if (fault === 'late') {
			this.inFlight.push({...parcel, incarnation: -1});
		}

		if (isSameProcess) {
			this.dispatch(daemon, fault === 'lost-answer' ? unavailable(action) : answer);
		}
	}

	private apply(daemon: DaemonId, state: RolloutState, action: RolloutAction): void {
		switch (action.kind) {
			case 'answer': {
				const {call, to, answer} = action;
				if (to === undefined) {
					this.answers.set(call, answer);
					break;
				}

				this.inFlight.push({
					kind: 'message', from: daemon, to, member, step: 0, event: () => ({kind: 'forward-answer', call, answer}),
				});
				break;
			}

			case 'forward': {
				const {call, to, request} = action;
				this.inFlight.push({
					kind: 'message', from: daemon, to, member: action.member, step: request.step, event: owner => ({
						kind: 'call', call, from: daemon, member: action.member, request, owner, mayForward: false,
					}),
				});
				break;
			}

			case 'start-sample': {
				this.runs.set(action.requestId, {...action, daemon});
				break;
			}

			case 'cancel-sample': {
				const run = this.runs.get(action.requestId);
				this.cancelled.push(...(run === undefined ? [] : [run]));
				this.runs.delete(action.requestId);
				break;
			}

			default: {
				this.inFlight.push({
					kind: 'store', daemon, incarnation: state.incarnation, action,
				});
			}
		}
	}
}

export function submission(group: number, change: Partial<Extract<TrainerCall, {kind: 'submit'}>> = {}): Extract<TrainerCall, {kind: 'submit'}> {
	return {
		kind: 'submit', step: 1, group, model: 'rota-lm' as PoolId, prompt: `rota ${group}`, samples: 2, maxTokens: 4, stalenessBound: 1, ...change,
	};
}

export function fetch(fetchId: string, change: Partial<Extract<TrainerCall, {kind: 'fetch'}>> = {}): Extract<TrainerCall, {kind: 'fetch'}> {
	return {
		kind: 'fetch', step: 1, fetchId, max: 10, currentVersion: 1, ...change,
	};
}

export function ack(fetchId: string, groups?: readonly number[]): TrainerCall {
	return {
		kind: 'ack', step: 1, fetchId, ...(groups === undefined ? {} : {groups}),
	};
}

/** Returns the indices of the groups in an answer to a fetch, or undefined for any other answer. */
export function groupsOf(answer: TrainerAnswer | undefined): number[] | undefined {
	return answer?.kind === 'fetched' ? answer.groups.map(group => group.group) : undefined;
}
