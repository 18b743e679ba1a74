/**
Weighted fair queue over tokens (start-time fair queueing). Each member has a virtual time that advances by the tokens
charged to it divided by its weight. The member that is furthest behind is served next, where its running tokens count as
well (see `runningTokensWeight`).
*/

import type {
	AttemptId, DaemonId, MemberId, Millis, RequestClass, RequestSummary, UpstreamId,
} from '@cicadapost/types';
import {IndexedHeap, type HeapItem} from './indexed-heap.js';

/** Weight of the newest completion in a flow's moving average of generated tokens per allowed token. */
const completionRatioWeight = 0.1;
const defaultWeight = 1;
/**
Weight of a member's running tokens in the order of members. Tokens are generated long after they are charged, so
ordering by charges alone would give a member that returns from idle less than its share until its first requests have
finished. With this term it gets the next free slots until its running tokens reach its share.
*/
const runningTokensWeight = 2;
/** Maximum number of entries of one flow that one decision examines to find a request that may run. */
const scanLimit = 256;
/** Number of later requests of the flow that are examined for one with a warm prefix. */
const affinityLookahead = 8;
/** Maximum number of later requests that may run before a request, which bounds its additional wait. */
const maxTimesSkipped = 16;

export type QueuedRequest = {
	readonly from: DaemonId;
	readonly attempt: AttemptId;
	readonly request: RequestSummary;
	readonly since: Millis;
	readonly deadlineAt: Millis;
	readonly avoid: readonly UpstreamId[];
	/** Prompt tokens plus expected completion tokens. */
	readonly expectedTokens: number;
	/** How often a later request has been run before this one. */
	timesSkipped: number;
	/** Set on removal; the entry is deleted from its list later. */
	removed: boolean;
};

/** The waiting requests of one member and class, in order of arrival. */
export type Flow = HeapItem & {
	readonly account: Account;
	readonly requestClass: RequestClass;
	fifo: QueuedRequest[];
	/** Index in `fifo` before which all entries have been taken, deferred or removed. */
	head: number;
	/** Requests that could not run when they were examined, grouped by constraint. They arrived before those in `fifo`. */
	deferred: Map<string, QueuedRequest[]>;
	count: number;
	tokens: number;
	/** Generated tokens per allowed token, as a moving average over finished requests. */
	completionRatio: number;
	hasRatio: boolean;
};

export type Account = {
	readonly member: MemberId;
	weight: number;
	/** Virtual time of the member: the tokens charged to it divided by its weight. */
	virtualTime: number;
	/** Tokens charged for requests that are running. */
	running: number;
	readonly live: Flow;
	readonly training: Flow;
};

export type FairQueue = {
	accounts: Map<MemberId, Account>;
	weights: ReadonlyMap<MemberId, number>;
	attempts: Map<AttemptId, QueuedRequest>;
	/** Flows with waiting requests, ordered by virtual time and running tokens. */
	live: IndexedHeap<Flow>;
	training: IndexedHeap<Flow>;
	virtualTime: number;
	liveTokens: number;
	trainingTokens: number;
	/** Sum of the weights of the members that have waiting requests. */
	waitingWeight: number;
};

export function createFairQueue(): FairQueue {
	return {
		accounts: new Map(),
		weights: new Map(),
		attempts: new Map(),
		live: new IndexedHeap(),
		training: new IndexedHeap(),
		virtualTime: 0,
		liveTokens: 0,
		trainingTokens: 0,
		waitingWeight: 0,
	};
}

function createFlow(account: Account, requestClass: RequestClass): Flow {
	return {
		account, requestClass, fifo: [], head: 0, deferred: new Map(), count: 0, tokens: 0, completionRatio: 1, hasRatio: false, heapIndex: -1, key: 0,
	};
}

export function accountOf(queue: FairQueue, member: MemberId): Account {
	const known = queue.accounts.get(member);
	if (known !== undefined) {
		return known;
	}

	const account = {
		member, weight: queue.weights.get(member) ?? defaultWeight, virtualTime: queue.virtualTime, running: 0,
	} as {-readonly [Key in keyof Account]: Account[Key]};
	account.live = createFlow(account, 'live');
	account.training = createFlow(account, 'training');
	queue.accounts.set(member, account);
	return account;
}

export function setWeights(queue: FairQueue, weights: ReadonlyMap<MemberId, number>): void {
	queue.weights = weights;
	queue.waitingWeight = 0;
	for (const account of queue.accounts.values()) {
		account.weight = weights.get(account.member) ?? defaultWeight;
		queue.waitingWeight += isWaiting(account) ? account.weight : 0;
	}
}

export function flowOf(account: Account, requestClass: RequestClass): Flow {
	return requestClass === 'live' ? account.live : account.training;
}

export function isWaiting(account: Account): boolean {
	return account.live.count + account.training.count > 0;
}

/** Returns the prompt tokens plus the completion tokens expected from earlier requests of the flow. */
export function expectedTokens(flow: Flow, request: RequestSummary): number {
	return request.promptTokens + Math.max(1, request.maxTokens * flow.completionRatio);
}

/** Updates the flow's average of generated tokens per allowed token with a finished request. */
export function updateCompletionRatio(flow: Flow, request: RequestSummary, tokens: number): void {
	const ratio = Math.min(1, tokens / Math.max(1, request.maxTokens));
	flow.completionRatio = flow.hasRatio ? flow.completionRatio + (completionRatioWeight * (ratio - flow.completionRatio)) : ratio;
	flow.hasRatio = true;
}

function heapOf(queue: FairQueue, flow: Flow): IndexedHeap<Flow> {
	return flow.requestClass === 'live' ? queue.live : queue.training;
}

function updateHeapPosition(queue: FairQueue, flow: Flow): void {
	if (flow.count > 0) {
		const {virtualTime, running, weight} = flow.account;
		flow.key = virtualTime + (runningTokensWeight * running / weight);
		heapOf(queue, flow).set(flow);
	} else {
		heapOf(queue, flow).delete(flow);
	}
}

function count(queue: FairQueue, flow: Flow, waiting: QueuedRequest, sign: 1 | -1): void {
	const before = isWaiting(flow.account);
	const tokens = sign * waiting.expectedTokens;
	flow.count += sign;
	flow.tokens += tokens;
	if (flow.requestClass === 'live') {
		queue.liveTokens += tokens;
	} else {
		queue.trainingTokens += tokens;
	}

	const after = isWaiting(flow.account);
	if (before !== after) {
		queue.waitingWeight += sign * flow.account.weight;
	}
}

export function enqueue(queue: FairQueue, waiting: QueuedRequest): void {
	const account = accountOf(queue, waiting.request.member);
	const flow = flowOf(account, waiting.request.requestClass);
	if (!isWaiting(account)) {
		// A member gets no credit for time in which it had no waiting requests.
		account.virtualTime = Math.max(account.virtualTime, queue.virtualTime);
	}

	flow.fifo.push(waiting);
	queue.attempts.set(waiting.attempt, waiting);
	count(queue, flow, waiting, 1);
	updateHeapPosition(queue, flow);
}

/** Removes a request from the queue, at any position. */
export function remove(queue: FairQueue, waiting: QueuedRequest): void {
	if (waiting.removed) {
		return;
	}

	const flow = flowOf(accountOf(queue, waiting.request.member), waiting.request.requestClass);
	waiting.removed = true;
	queue.attempts.delete(waiting.attempt);
	count(queue, flow, waiting, -1);
	// Requests that are refused on arrival are at the end of the list and must not accumulate there.
	while (flow.fifo.length > flow.head && flow.fifo.at(-1)!.removed) {
		flow.fifo.pop();
	}

	if (flow.count === 0) {
		flow.fifo = [];
		flow.head = 0;
		flow.deferred.clear();
	}

	updateHeapPosition(queue, flow);
}

function charge(queue: FairQueue, account: Account, tokens: number): void {
	account.virtualTime += tokens / account.weight;
	updateHeapPosition(queue, account.live);
	updateHeapPosition(queue, account.training);
}

/**
Records that a request of the account starts at the account's current virtual time, and charges its expected tokens. The
queue's virtual time advances to the smallest virtual time among the served member and the waiting ones, because members
may be served out of order. The charge puts the member at most `maxLead` ahead of the queue's virtual time.
*/
export function startService(queue: FairQueue, account: Account, tokens: number, maxLead: number): void {
	const minVirtualTime = Math.min(account.virtualTime, queue.live.top?.account.virtualTime ?? account.virtualTime, queue.training.top?.account.virtualTime ?? account.virtualTime);
	queue.virtualTime = Math.max(queue.virtualTime, minVirtualTime);
	account.running += tokens;
	const limit = Math.max(account.virtualTime, queue.virtualTime + maxLead);
	account.virtualTime = Math.min(limit, account.virtualTime + (tokens / account.weight));
	charge(queue, account, 0);
}

/** Records the end of a request that was charged `tokens` at its start. */
export function endService(queue: FairQueue, account: Account, tokens: number): void {
	account.running = Math.max(0, account.running - tokens);
	charge(queue, account, 0);
}

/**
Corrects an earlier charge by `tokens`, which may be negative. A refund leaves the member at most `maxCredit` behind the
queue's virtual time: an estimate that was far too high has also advanced the queue's virtual time, and members that
started to wait at that time must not be disadvantaged by it.
*/
export function correctCharge(queue: FairQueue, account: Account, tokens: number, maxCredit: number): void {
	charge(queue, account, tokens);
	const floor = Math.min(account.virtualTime - (tokens / account.weight), queue.virtualTime - maxCredit);
	if (account.virtualTime < floor) {
		charge(queue, account, (floor - account.virtualTime) * account.weight);
	}
}

/** The result of evaluating a waiting request: it may run at `place`, or a constraint keeps it from running now. */
export type Verdict<Place> =
	| Readonly<{kind: 'run'; place: Place; isPreferred: boolean}>
	| Readonly<{kind: 'defer'; constraint: string}>;

export type RequestEvaluator<Place> = Readonly<{
	evaluate: (waiting: QueuedRequest) => Verdict<Place>;
	/** Cheap check whether a request could be preferred at all. */
	mayPrefer: (waiting: QueuedRequest) => boolean;
}>;

export type Selection<Place> = Readonly<{waiting: QueuedRequest; place: Place; isPreferred: boolean}>;

function findDeferred<Place>(flow: Flow, evaluator: RequestEvaluator<Place>): Selection<Place> | undefined {
	let examined = 0;
	for (const [constraint, list] of flow.deferred) {
		while (list.length > 0 && list[0]!.removed) {
			list.shift();
		}

		const [waiting] = list;
		if (waiting === undefined) {
			flow.deferred.delete(constraint);
			continue;
		}

		const verdict = evaluator.evaluate(waiting);
		if (verdict.kind === 'run') {
			return {...verdict, waiting};
		}

		examined++;
		if (examined >= scanLimit) {
			return undefined;
		}
	}

	return undefined;
}

/** Returns the first request behind `first` that is preferred for its place, or `first` if it has been skipped too often or no request qualifies. */
function findPreferredBehind<Place>(flow: Flow, first: Selection<Place>, evaluator: RequestEvaluator<Place>): Selection<Place> {
	if (first.isPreferred || first.waiting.request.prefixKey === '' || first.waiting.timesSkipped >= maxTimesSkipped) {
		return first;
	}

	for (let i = flow.head + 1, examined = 0; i < flow.fifo.length && examined < affinityLookahead; i++) {
		const waiting = flow.fifo[i]!;
		if (waiting.removed) {
			continue;
		}

		examined++;
		const verdict = evaluator.mayPrefer(waiting) ? evaluator.evaluate(waiting) : undefined;
		if (verdict?.kind === 'run' && verdict.isPreferred) {
			first.waiting.timesSkipped++;
			return {...verdict, waiting};
		}
	}

	return first;
}

function defer(flow: Flow, waiting: QueuedRequest, constraint: string): void {
	const list = flow.deferred.get(constraint);
	if (list === undefined) {
		flow.deferred.set(constraint, [waiting]);
	} else {
		list.push(waiting);
	}
}

function compactFifo(flow: Flow): void {
	if (flow.head > 64 && flow.head * 2 > flow.fifo.length) {
		flow.fifo = flow.fifo.slice(flow.head);
		flow.head = 0;
	}
}

/**
Returns the first request of the flow that may run. Requests that may not run are deferred under their constraint, so
that they do not block those behind them and each is moved only once.
*/
export function findInFlow<Place>(flow: Flow, evaluator: RequestEvaluator<Place>): Selection<Place> | undefined {
	const deferred = findDeferred(flow, evaluator);
	if (deferred !== undefined) {
		return deferred;
	}

	for (let examined = 0; flow.head < flow.fifo.length && examined < scanLimit; flow.head++) {
		const waiting = flow.fifo[flow.head]!;
		if (waiting.removed) {
			continue;
		}

		const verdict = evaluator.evaluate(waiting);
		if (verdict.kind === 'run') {
			return findPreferredBehind(flow, {...verdict, waiting}, evaluator);
		}

		defer(flow, waiting, verdict.constraint);
		examined++;
	}

	compactFifo(flow);
	return undefined;
}

/** Visits the waiting requests of a flow, deferred ones first. The visitor may remove the request. */
export function forEachWaiting(flow: Flow, visit: (waiting: QueuedRequest) => void): void {
	for (const list of flow.deferred.values()) {
		for (const waiting of list) {
			if (!waiting.removed) {
				visit(waiting);
			}
		}
	}

	const {fifo} = flow;
	for (let i = flow.head; i < fifo.length; i++) {
		const waiting = fifo[i]!;
		if (!waiting.removed) {
			visit(waiting);
		}
	}
}

