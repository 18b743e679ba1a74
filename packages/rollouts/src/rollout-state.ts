import type {
	CallId, DaemonId, MemberId, Millis, PoolId, RequestId, Sample, TrainerCall, VersionSpan,
} from '@cicadapost/types';
import type {GroupPhase, GroupRow} from './group-row.js';
import type {StepKey} from './rollout-events.js';

/** One run of a sample. A straggler may have two. */
export type Run = {
	readonly requestId: RequestId;
	readonly startedAt: Millis;
	text: string;
	tokens: number;
};

export type SampleSlot = {
	readonly index: number;
	readonly seed: number;
	runs: Run[];
	result: Sample | undefined;
	/** From the start of the run that finished to its end. */
	durationMs: Millis;
	/** Earliest time of the next run, after a failure. */
	retryAt: Millis;
	failures: number;
};

/** What is known to be stored for a group. */
export type StoredRow = Readonly<{version: number; value: string; row: GroupRow}>;

export type Group = {
	readonly index: number;
	readonly bodyHash: string;
	readonly model: PoolId;
	readonly maxTokens: number;
	readonly stalenessBound: number;
	readonly seed: number;
	readonly submittedAt: Millis;
	/** Undefined until it has been read from the object store. */
	prompt: string | undefined;
	slots: SampleSlot[];
	phase: GroupPhase;
	fetchId: string | undefined;
	/** When this daemon handed the group over or learned that it is. */
	handedAt: Millis;
	/** All groups that the trainer named when it acknowledged this one. */
	ackedWith: readonly number[] | undefined;
	/**
	Handed over against the trainer's `received` list while the store was down. The row says so only once the trainer has
	acknowledged or repeated the fetch, since it may have got another answer to it from another daemon.
	*/
	isHandoverUnrecorded: boolean;
	stored: StoredRow | undefined;
	promptKey: string | undefined;
	/** Stored object with the samples in `slots`. */
	objectKey: string | undefined;
	/** Key under which the samples in `slots` are being stored. */
	pendingObject: string | undefined;
	/** Objects that nothing refers to any more. */
	unreferencedObjects: string[];
	/** The store call in flight for this group. */
	storeCall: CallId | undefined;
	/** Object that has to be read before the group can go on. */
	load: 'prompt' | 'samples' | undefined;
	/** Its writes are left over from an outage and sent at the limited rate. */
	isBacklog: boolean;
};

/** A call that waits for the store. */
export type WaitingCall = PendingCall & {
	/** Groups that the call is about, once they are chosen. */
	groups: number[] | undefined;
};

export type Step = {
	readonly key: StepKey;
	readonly member: MemberId;
	readonly step: number;
	isOwned: boolean;
	/** Whether the rows of the step have been read since the live daemons changed. */
	rows: 'unread' | 'reading' | 'read';
	rowsReadAt: Millis;
	groups: Map<number, Group>;
	waitingCalls: WaitingCall[];
	/** Acknowledged fetchIds, with the groups that the trainer got with each. */
	acknowledgedFetches: Map<string, readonly number[]>;
	/** Calls that wait until the rows have been read. */
	queuedCalls: PendingCall[];
	lastCallAt: Millis;
	/** Tokens of finished samples, and of second runs of stragglers. */
	tokens: number;
	hedgeTokens: number;
	/** Time of the next look at all groups; what can't wait is done on the event itself. */
	nextScanAt: Millis;
	/** Time of the next search for stragglers. */
	nextHedgeAt: Millis;
};

export type PendingCall = Readonly<{call: CallId; from: DaemonId | undefined; request: TrainerCall}>;

export type ForwardedCall = {
	readonly call: CallId;
	/** The daemon that forwarded it to this one, or undefined if the trainer is connected to this one. */
	readonly from: DaemonId | undefined;
	readonly member: MemberId;
	readonly request: TrainerCall;
	owner: DaemonId | undefined;
	/** Time of the next try, after the receiver said that it is not the owner. */
	retryAt: Millis | undefined;
	readonly expiresAt: Millis;
};

export type ForwardedStep = {
	readonly member: MemberId;
	readonly step: number;
	owner: DaemonId | undefined;
	expiresAt: Millis;
};

export type StoreCall =
	| Readonly<{kind: 'probe'}>
	| Readonly<{kind: 'list'; step: StepKey}>
	| Readonly<{kind: 'put-prompt' | 'put-samples' | 'delete'; step: StepKey; group: number; key: string}>
	| Readonly<{kind: 'write-row' | 'read-back'; step: StepKey; group: number; value: string}>
	| Readonly<{kind: 'get-prompt' | 'get-samples'; step: StepKey; group: number; key: string}>;

export type StoreStatus = {
	isUp: boolean;
	/** Time of the next read that finds out whether the store is back. */
	nextProbeAt: Millis;
	/** The store was down and writes are left over from that time. */
	isCatchingUp: boolean;
	/** Writes that catching up may send now. */
	tokens: number;
	refilledAt: Millis;
};

export type RolloutState = {
	readonly self: DaemonId;
	readonly incarnation: number;
	readonly catchUpWritesPerSecond: number;
	counter: number;
	steps: Map<StepKey, Step>;
	runs: Map<RequestId, Readonly<{step: StepKey; group: number; slot: number}>>;
	storeCalls: Map<CallId, StoreCall>;
	forwardedCalls: Map<CallId, ForwardedCall>;
	/** Steps that calls were forwarded for, so that a new owner hears of them when the old one is gone. */
	forwardedSteps: Map<StepKey, ForwardedStep>;
	/** Calls of other daemons that were taken up, with the time until which a duplicate is recognised. */
	receivedForwards: Map<CallId, Millis>;
	store: StoreStatus;
};

export type RolloutOptions = Readonly<{
	self: DaemonId;
	/** Grows with each start of the process; makes ids unique. */
	incarnation: number;
	/** Limit while writes are left over from an outage: a quarter of what the store takes. */
	catchUpWritesPerSecond?: number;
}>;

const defaultCatchUpWritesPerSecond = 75;

export function createRollouts(options: RolloutOptions): RolloutState {
	return {
		self: options.self,
		incarnation: options.incarnation,
		catchUpWritesPerSecond: options.catchUpWritesPerSecond ?? defaultCatchUpWritesPerSecond,
		counter: 0,
		steps: new Map(),
		runs: new Map(),
		storeCalls: new Map(),
		forwardedCalls: new Map(),
		forwardedSteps: new Map(),
		receivedForwards: new Map(),
		store: {
			isUp: true, nextProbeAt: 0, isCatchingUp: false, tokens: 0, refilledAt: 0,
		},
	};
}

/** A name that no other daemon and no earlier process of this one has used. */
export function uniqueId(state: RolloutState): string {
	state.counter++;
	return `${state.self}.${state.incarnation}.r${state.counter}`;
}

export function registerStoreCall(state: RolloutState, call: StoreCall): CallId {
	const id = uniqueId(state) as CallId;
	state.storeCalls.set(id, call);
	return id;
}

/** Whether each token range from 0 to `tokens` names exactly one version. */
export function coversAllTokens(versions: readonly VersionSpan[], tokens: number): boolean {
	let next = 0;
	for (const span of versions) {
		if (span.from !== next || span.to <= span.from) {
			return false;
		}

		next = span.to;
	}

	return next === tokens && tokens > 0;
}
