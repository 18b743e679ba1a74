import type {
	CallId, DaemonId, MemberId, Millis, PoolId, RequestId, Sample, TrainerCall, VersionSpan,
} from '@cicadapost/types';
import type {GroupPhase, GroupRow} from './group-row.js';
import type {StepKey} from './rollout-events.js';

/** One run of a sample. A straggler may have two runs. */
export type Run = {
	readonly requestId: RequestId;
	readonly startedAt: Millis;
	text: string;
	tokens: number;
};

/** One sample of a group, with its runs or its result. */
export type SampleSlot = {
	readonly index: number;
	readonly seed: number;
	runs: Run[];
	result: Sample | undefined;
	/** Duration of the run that produced the result. */
	durationMs: Millis;
	/** Earliest time of the next run, after a failure. */
	retryAt: Millis;
	failures: number;
};

/** The row of a group as last seen in the store. */
export type StoredRow = Readonly<{version: number; value: string; row: GroupRow}>;

export type Group = {
	readonly index: number;
	readonly bodyHash: string;
	readonly model: PoolId;
	readonly maxTokens: number;
	readonly stalenessBound: number;
	readonly seed: number;
	readonly submittedAt: Millis;
	/** Undefined until it is read from the object store. */
	prompt: string | undefined;
	slots: SampleSlot[];
	phase: GroupPhase;
	fetchId: string | undefined;
	/** When this daemon handed the group over, or learned that another daemon did. */
	handedAt: Millis;
	/** All groups that the trainer listed when it acknowledged this one. */
	ackedWith: readonly number[] | undefined;
	/**
	Handed over while the store was down, on the basis of the trainer's `received` list. The row records the hand-over only
	after the trainer has acknowledged or repeated the fetch, since another daemon may have responded to it differently.
	*/
	isHandoverUnrecorded: boolean;
	stored: StoredRow | undefined;
	promptKey: string | undefined;
	/** Key of the stored object with the samples in `slots`. */
	objectKey: string | undefined;
	/** Key of the object to which the samples in `slots` are being written. */
	pendingObject: string | undefined;
	/** Keys of objects that are no longer referenced and have to be deleted. */
	unreferencedObjects: string[];
	/** The store call in flight for this group. */
	storeCall: CallId | undefined;
	/** Object that has to be read before the group can proceed. */
	load: 'prompt' | 'samples' | undefined;
	/** Whether the group has writes left over from a store outage, which are sent at a limited rate. */
	isBacklog: boolean;
};

/** A call that waits for the store before it is answered. */
export type WaitingCall = PendingCall & {
	/** Groups that the call applies to, once they are selected. */
	groups: number[] | undefined;
};

export type Step = {
	readonly key: StepKey;
	readonly member: MemberId;
	readonly step: number;
	isOwned: boolean;
	/** Whether the rows of the step have been read since the set of live daemons last changed. */
	rows: 'unread' | 'reading' | 'read';
	rowsReadAt: Millis;
	groups: Map<number, Group>;
	waitingCalls: WaitingCall[];
	/** Acknowledged fetchIds, with the groups that the trainer received with each. */
	acknowledgedFetches: Map<string, readonly number[]>;
	/** Calls that wait until the rows of the step are read. */
	queuedCalls: PendingCall[];
	lastCallAt: Millis;
	/** Tokens of finished samples. */
	tokens: number;
	/** Tokens reserved for second runs of stragglers. */
	hedgeTokens: number;
	/** Time of the next scan of all groups. Urgent work is done when its event arrives. */
	nextScanAt: Millis;
	/** Time of the next check for stragglers. */
	nextHedgeAt: Millis;
};

export type PendingCall = Readonly<{call: CallId; from: DaemonId | undefined; request: TrainerCall}>;

export type ForwardedCall = {
	readonly call: CallId;
	/** The daemon that forwarded the call to this one, or undefined if the trainer is connected to this daemon. */
	readonly from: DaemonId | undefined;
	readonly member: MemberId;
	readonly request: TrainerCall;
	owner: DaemonId | undefined;
	/** Time of the next attempt, after the receiver replied that it is not the owner. */
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
	/** Time of the next read that checks whether the store is available again. */
	nextProbeAt: Millis;
	/** Whether writes are left over from a store outage. */
	isCatchingUp: boolean;
	/** Tokens of the bucket that limits catch-up writes. */
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
	/** Steps for which calls were forwarded, so that this daemon can notify a new owner when the old one is gone. */
	forwardedSteps: Map<StepKey, ForwardedStep>;
	/** Calls received from other daemons, with the time until which a duplicate is recognised. */
	receivedForwards: Map<CallId, Millis>;
	store: StoreStatus;
};

export type RolloutOptions = Readonly<{
	self: DaemonId;
	/** Increases with each start of the process, which makes ids unique. */
	incarnation: number;
	/** Rate limit while writes are left over from an outage. The default is a quarter of the store's capacity. */
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

/** Returns an id that no other daemon and no earlier process of this daemon has used. */
export function uniqueId(state: RolloutState): string {
	state.counter++;
	return `${state.self}.${state.incarnation}.r${state.counter}`;
}

/** Records a store call that is in flight and returns its id. */
export function registerStoreCall(state: RolloutState, call: StoreCall): CallId {
	const id = uniqueId(state) as CallId;
	state.storeCalls.set(id, call);
	return id;
}

/** Whether the spans assign exactly one version to each token from 0 to `tokens`. */
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
