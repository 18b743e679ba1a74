/** Schedules the requests of one shard: admits or refuses them and grants them slots on upstreams. */

import {
	canBeSuspect, type AttemptId, type DaemonId, type Fingerprint, type Millis, type DecisionResult, type RefusalReason, type Release, type RequestClass,
} from '@cicadapost/types';
import {
	maxAcceptableWait, advanceAdmission, expireRetrySlots, reserveRetrySlot, maxWaitingRequests, recordEnd, claimRetrySlot, waitEstimate, type Capacity,
} from './admission.js';
import {recordPrefix} from './affinity.js';
import type {SchedulerAction, SchedulerEvent, ShardUpstream} from './events.js';
import {
	markSlowUpstreams, updateHealth, takeOutOfService,
} from './health.js';
import type {IndexedHeap} from './indexed-heap.js';
import {
	acceptsClass, hasWarmCandidate, findCandidates, placeRequest, type Candidate,
} from './placement.js';
import {
	accountOf, correctCharge, endService, enqueue, expectedTokens, findInFlow, flowOf, forEachWaiting, remove, setWeights, startService,
	updateCompletionRatio, type Flow, type QueuedRequest, type RequestEvaluator,
} from './queue.js';
import {
	capacityOf, expectedMs, updateNormalTimes, typicalMs, waitingCount, type SchedulerState,
} from './scheduler-state.js';
import {endProgress, startProgress} from './slowness.js';
import {
	blockedForMs, deathCountOf, expireSuspects, recordDeath, recordFinish,
} from './suspects.js';
import {
	updateRunningIntegral, adjustRunning, createUpstream, type RunningState, type UpstreamState,
} from './upstream-state.js';
import {updateWindow} from './windows.js';

/** A member's live requests go before training requests of others while the member is at most this far ahead of its fair share. */
const liveLeadMs = 250;
/** Limits how far a refund puts a member behind the queue's virtual time, when its requests have used less than they were charged. */
const maxCreditMs = 1000;
/** Limits how far requests that run because of the training floor put their member ahead of the queue's virtual time. */
const maxTrainingFloorLeadMs = 1000;
/** Interval of the review of all waiting requests. */
const reviewMs = 50;
/** Interval of the review of all running requests and of the upstreams. */
const healthReviewMs = 100;
/** A waiting request is refused if its expected wait exceeds its slack by this factor. Estimates vary by less than that. */
const waitTolerance = 1.25;
/** Longest time that a request waits for an upstream to recover when none is in service. */
const maxOutageWaitMs = 2000;
const maxOutageWaiting = 64;
const retryAfterNoUpstreamMs = 2000;
/** A slot without a release is reclaimed this long after the deadline of its request. */
const lostReleaseGraceMs = 3000;

function refusal(waiting: Readonly<{from: DaemonId; attempt: AttemptId}>, reason: RefusalReason, retryAfterMs: Millis): SchedulerAction {
	return {
		kind: 'refuse', to: waiting.from, attempt: waiting.attempt, reason, retryAfterMs: Math.ceil(retryAfterMs),
	};
}

/** Removes a request from the queue and tells its caller when to retry. */
function refuseWaiting(state: SchedulerState, waiting: QueuedRequest, refused: Readonly<{reason: RefusalReason; waitMs: Millis}>, capacity: Capacity, now: Millis): SchedulerAction {
	remove(state.queue, waiting);
	const {request} = waiting;
	const retryAfterMs = reserveRetrySlot(state.admission, state.queue, {
		account: accountOf(state.queue, request.member), fingerprint: request.fingerprint, tokens: waiting.expectedTokens, waitMs: refused.waitMs,
	}, capacity, now);
	return refusal(waiting, refused.reason, retryAfterMs);
}

type Choice = Readonly<{
	waiting: QueuedRequest;
	candidate: Candidate;
	/** Whether the request runs before its turn because training is below its floor. */
	usesTrainingFloor: boolean;
}>;

function selectFromClass(state: SchedulerState, heap: IndexedHeap<Flow>, candidates: readonly Candidate[], now: Millis): Choice | undefined {
	const skipped: Flow[] = [];
	const evaluator: RequestEvaluator<Candidate> = {
		evaluate: waiting => placeRequest(state, waiting, candidates, now),
		mayPrefer: waiting => hasWarmCandidate(state, waiting, candidates, now),
	};
	let choice: Choice | undefined;
	for (let flow = heap.top; flow !== undefined && choice === undefined; flow = heap.top) {
		const found = findInFlow(flow, evaluator);
		if (found === undefined) {
			heap.delete(flow);
			skipped.push(flow);
		} else {
			choice = {waiting: found.waiting, candidate: found.place, usesTrainingFloor: false};
		}
	}

	for (const flow of skipped) {
		heap.set(flow);
	}

	return choice;
}

/** Live requests go first, unless training is below its floor or the live member is too far ahead of its fair share. */
function preferredClass(state: SchedulerState): RequestClass {
	const live = state.queue.live.top;
	const training = state.queue.training.top;
	if (live === undefined || training === undefined) {
		return live === undefined ? 'training' : 'live';
	}

	if (state.trainingDeficit > 0) {
		return 'training';
	}

	const {rate} = capacityOf(state);
	return rate === undefined || live.key <= training.key + (liveLeadMs * rate / live.account.weight) ? 'live' : 'training';
}

function chooseNext(state: SchedulerState, candidates: readonly Candidate[], now: Millis): Choice | undefined {
	const preferred = preferredClass(state);
	const isFloorDue = preferred === 'training' && state.trainingDeficit > 0;
	const order: RequestClass[] = preferred === 'live' ? ['live', 'training'] : ['training', 'live'];
	for (const requestClass of order) {
		const usable = candidates.filter(candidate => acceptsClass(candidate, requestClass));
		const heap = requestClass === 'live' ? state.queue.live : state.queue.training;
		const choice = usable.length === 0 ? undefined : selectFromClass(state, heap, usable, now);
		if (choice !== undefined) {
			return {...choice, usesTrainingFloor: isFloorDue && requestClass === 'training'};
		}
	}

	return undefined;
}

/** Returns the virtual time that passes in `ms` with the members that are waiting now. */
function virtualTimeIn(state: SchedulerState, ms: Millis): number {
	return (capacityOf(state).rate ?? 0) * ms / Math.max(1, state.queue.waitingWeight);
}

/** Updates the training deficit, which is tracked only while both classes wait. */
function updateTrainingDeficit(state: SchedulerState, waiting: QueuedRequest): void {
	if (state.queue.live.size === 0 || state.queue.training.size === 0) {
		state.trainingDeficit = Math.min(0, state.trainingDeficit);
		return;
	}

	const tokens = waiting.expectedTokens;
	const isTraining = waiting.request.requestClass === 'training';
	state.trainingDeficit += (state.trainingFloor * tokens) - (isTraining ? tokens : 0);
	state.trainingDeficit = Math.max(state.trainingDeficit, -tokens);
}

function addRunning(state: SchedulerState, running: RunningState, now: Millis): void {
	const {upstream, request: {fingerprint}} = running;
	state.running.set(running.attempt, running);
	const runs = state.runs.get(fingerprint);
	if (runs === undefined) {
		state.runs.set(fingerprint, [running]);
	} else {
		runs.push(running);
	}

	if (deathCountOf(state.suspects, fingerprint, now) > 0) {
		upstream.suspects.set(fingerprint, (upstream.suspects.get(fingerprint) ?? 0) + 1);
	}

	adjustRunning(upstream, 1, now);
	startProgress(upstream.progress, running.expectedMs, now);
}

function grant(state: SchedulerState, choice: Choice, now: Millis): SchedulerAction {
	const {waiting, candidate: {upstream, isProbe}} = choice;
	const {request, attempt, from} = waiting;
	const account = accountOf(state.queue, request.member);
	// The estimate may have improved since the request was queued.
	const chargedTokens = expectedTokens(flowOf(account, request.requestClass), request);
	updateTrainingDeficit(state, waiting);
	remove(state.queue, waiting);
	startService(state.queue, account, chargedTokens, choice.usesTrainingFloor ? virtualTimeIn(state, maxTrainingFloorLeadMs) : Number.POSITIVE_INFINITY);
	updateRunningIntegral(upstream, now);
	addRunning(state, {
		from,
		attempt,
		request,
		upstream,
		account,
		grantedAt: now,
		deadlineAt: waiting.deadlineAt,
		chargedTokens,
		expectedMs: expectedMs(state, request, chargedTokens),
		longestMs: typicalMs(state, request.maxTokens),
		runningIntegralAtGrant: upstream.runningIntegral,
		isProbe,
		isDeathCounted: false,
	}, now);
	if (isProbe) {
		upstream.health.probe = attempt;
	}

	recordPrefix(state.prefixes, request.prefixKey, upstream.settings.upstream, now);
	return {
		kind: 'grant', to: from, attempt, upstream: upstream.settings.upstream,
	};
}

function grantWaiting(state: SchedulerState, now: Millis): SchedulerAction[] {
	const actions: SchedulerAction[] = [];
	while (waitingCount(state) > 0) {
		const candidates = findCandidates(state, now);
		const choice = candidates.length === 0 ? undefined : chooseNext(state, candidates, now);
		if (choice === undefined) {
			break;
		}

		actions.push(grant(state, choice, now));
	}

	return actions;
}

/** Returns the tokens of the same member that are served before a new request of the flow. */
function tokensAhead(flow: Flow): number {
	const {live, training} = flow.account;
	return flow.requestClass === 'live' ? live.tokens : live.tokens + training.tokens;
}

/** Returns the time until the next upstream is probed, or undefined if all upstreams are leaving. */
function nextProbeMs(state: SchedulerState, now: Millis): Millis | undefined {
	let next: Millis | undefined;
	for (const {settings, health} of state.upstreams.values()) {
		if (!settings.leaving) {
			const wait = health.probe === undefined ? Math.max(0, health.nextProbeAt - now) : health.backoffMs;
			next = Math.min(next ?? wait, wait);
		}
	}

	return next;
}

/** Refuses a request while no upstream is in service, unless one may recover soon. */
function refuseDuringOutage(state: SchedulerState, waiting: QueuedRequest, capacity: Capacity, now: Millis): SchedulerAction[] {
	const probeMs = nextProbeMs(state, now) ?? retryAfterNoUpstreamMs;
	const isShort = now - waiting.since + probeMs <= maxOutageWaitMs && waitingCount(state) <= maxOutageWaiting;
	return isShort && now + probeMs < waiting.deadlineAt ? [] : [refuseWaiting(state, waiting, {reason: 'no-upstream', waitMs: probeMs}, capacity, now)];
}

/** Refuses a newly queued request if it is not expected to start in time. */
function admit(state: SchedulerState, waiting: QueuedRequest, now: Millis): SchedulerAction[] {
	const capacity = capacityOf(state);
	if (capacity.slots === 0) {
		return refuseDuringOutage(state, waiting, capacity, now);
	}

	const {request} = waiting;
	const flow = flowOf(accountOf(state.queue, request.member), request.requestClass);
	const waitMs = waitEstimate(state.queue, flow, capacity)(tokensAhead(flow) - waiting.expectedTokens);
	const slackMs = waiting.deadlineAt - now - expectedMs(state, request, waiting.expectedTokens);
	const isReturning = claimRetrySlot(state.admission, request.fingerprint, now);
	const limitMs = maxAcceptableWait(slackMs, isReturning);
	return waitMs <= limitMs ? [] : [refuseWaiting(state, waiting, {reason: 'overloaded', waitMs: waitMs - Math.max(0, limitMs)}, capacity, now)];
}

function acquire(state: SchedulerState, event: Extract<SchedulerEvent, {kind: 'acquire'}>, now: Millis): SchedulerAction[] {
	const {acquire: {attempt, request, remainingMs, avoid}, from} = event;
	const running = state.running.get(attempt);
	if (running !== undefined) {
		return [{
			kind: 'grant', to: from, attempt, upstream: running.upstream.settings.upstream,
		}];
	}

	if (state.queue.attempts.has(attempt)) {
		return [];
	}

	const blockedMs = blockedForMs(state.suspects, request.fingerprint, now);
	if (blockedMs > 0) {
		return [refusal({from, attempt}, 'blocked', blockedMs)];
	}

	if ([...state.upstreams.values()].every(upstream => upstream.settings.leaving)) {
		return [refusal({from, attempt}, 'no-upstream', retryAfterNoUpstreamMs)];
	}

	const flow = flowOf(accountOf(state.queue, request.member), request.requestClass);
	const waiting: QueuedRequest = {
		from, attempt, request, since: now, deadlineAt: now + remainingMs, avoid, expectedTokens: expectedTokens(flow, request), timesSkipped: 0, removed: false,
	};
	enqueue(state.queue, waiting);
	state.lastLiveAt = request.requestClass === 'live' ? now : state.lastLiveAt;
	if (remainingMs <= 0 || waitingCount(state) > maxWaitingRequests) {
		const capacity = capacityOf(state);
		const waitMs = waitEstimate(state.queue, flow, capacity)(tokensAhead(flow));
		return [refuseWaiting(state, waiting, {reason: 'overloaded', waitMs}, capacity, now)];
	}

	const actions = grantWaiting(state, now);
	return waiting.removed ? actions : [...actions, ...admit(state, waiting, now)];
}

function refreshSuspects(state: SchedulerState, now: Millis): SchedulerAction[] {
	for (const upstream of state.upstreams.values()) {
		upstream.suspects.clear();
	}

	for (const {upstream, request: {fingerprint}} of state.running.values()) {
		if (deathCountOf(state.suspects, fingerprint, now) > 0) {
			upstream.suspects.set(fingerprint, (upstream.suspects.get(fingerprint) ?? 0) + 1);
		}
	}

	const actions: SchedulerAction[] = [];
	for (const waiting of state.queue.attempts.values()) {
		const blockedMs = blockedForMs(state.suspects, waiting.request.fingerprint, now);
		if (blockedMs > 0) {
			remove(state.queue, waiting);
			actions.push(refusal(waiting, 'blocked', blockedMs));
		}
	}

	return actions;
}

/** Takes a crashed upstream out of service. Each live request that was running on it becomes a suspect. */
function recordUpstreamDeath(state: SchedulerState, upstream: UpstreamState, reportedBy: AttemptId, now: Millis): SchedulerAction[] {
	const fingerprints = new Set<Fingerprint>();
	for (const running of state.running.values()) {
		if (running.upstream === upstream && !running.isDeathCounted) {
			running.isDeathCounted = true;
			if (canBeSuspect(running.request)) {
				fingerprints.add(running.request.fingerprint);
			}
		}
	}

	takeOutOfService(upstream, now);
	upstream.reservedFor = undefined;
	const entries = recordDeath(state.suspects, fingerprints, `${upstream.settings.upstream}/${reportedBy}`, now);
	return [{kind: 'share-suspects', entries}, ...refreshSuspects(state, now)];
}

/** Records a crash during an attempt that a previous owner granted, or whose first report was lost. A repeated report counts once. */
function recordUnknownDeath(state: SchedulerState, death: NonNullable<Release['death']>, reportedBy: AttemptId, now: Millis): SchedulerAction[] {
	const upstream = state.upstreams.get(death.upstream);
	if (upstream !== undefined) {
		takeOutOfService(upstream, now);
	}

	if (death.fingerprint === undefined) {
		return [];
	}

	const entries = recordDeath(state.suspects, [death.fingerprint], `${death.upstream}/${reportedBy}`, now);
	return [{kind: 'share-suspects', entries}, ...refreshSuspects(state, now)];
}

function removeRunning(state: SchedulerState, running: RunningState, now: Millis): void {
	const {upstream, attempt, request: {fingerprint}} = running;
	state.running.delete(attempt);
	const runs = (state.runs.get(fingerprint) ?? []).filter(run => run !== running);
	if (runs.length === 0) {
		state.runs.delete(fingerprint);
	} else {
		state.runs.set(fingerprint, runs);
	}

	const suspectRuns = (upstream.suspects.get(fingerprint) ?? 0) - 1;
	if (suspectRuns > 0) {
		upstream.suspects.set(fingerprint, suspectRuns);
	} else {
		upstream.suspects.delete(fingerprint);
	}

	if (upstream.reservedFor === fingerprint && runs.length === 0) {
		upstream.reservedFor = undefined;
	}

	endService(state.queue, running.account, running.chargedTokens);
	adjustRunning(upstream, -1, now);
}

/** Returns the prompt and completion tokens that an attempt has used. */
function usedTokens(running: RunningState, release: Release): number {
	const hasRun = release.result === 'finished' || release.firstTokenMs !== undefined;
	return hasRun ? running.request.promptTokens + release.tokens : 0;
}

function updateEstimates(state: SchedulerState, running: RunningState, release: Release, now: Millis): void {
	const {upstream, account, request, grantedAt} = running;
	const elapsedMs = Math.max(1, now - grantedAt);
	const isFinished = release.result === 'finished';
	const used = usedTokens(running, release);
	correctCharge(state.queue, account, used - running.chargedTokens, virtualTimeIn(state, maxCreditMs));
	recordEnd(state.admission, waitingCount(state) > 0, used, elapsedMs);
	endProgress(upstream.progress, {expectedMs: running.expectedMs, elapsedMs, isFinished}, now);
	if (!isFinished) {
		return;
	}

	updateCompletionRatio(flowOf(account, request.requestClass), request, release.tokens);
	if (release.firstTokenMs !== undefined && upstream.health.status === 'up' && grantedAt >= upstream.health.since) {
		const concurrency = (upstream.runningIntegral - running.runningIntegralAtGrant) / elapsedMs;
		updateWindow(upstream.window, {
			concurrency, tokens: release.tokens, firstTokenMs: release.firstTokenMs, generationMs: release.generationMs,
		}, upstream.settings);
		if (state.normal.tokenMs === undefined) {
			updateNormalTimes(state);
		}
	}
}

function release(state: SchedulerState, ended: Release, now: Millis): SchedulerAction[] {
	const running = state.running.get(ended.attempt);
	if (running === undefined) {
		const waiting = state.queue.attempts.get(ended.attempt);
		if (waiting !== undefined) {
			remove(state.queue, waiting);
		}

		return ended.death === undefined ? [] : recordUnknownDeath(state, ended.death, ended.attempt, now);
	}

	const {upstream, request: {fingerprint}} = running;
	const actions = ended.result === 'upstream-died' && !running.isDeathCounted ? recordUpstreamDeath(state, upstream, ended.attempt, now) : [];
	updateRunningIntegral(upstream, now);
	updateEstimates(state, running, ended, now);
	updateHealth(state, {
		running, result: ended.result, tokens: ended.tokens, firstTokenMs: ended.firstTokenMs, generationMs: ended.generationMs,
	}, now);
	removeRunning(state, running, now);
	const cleared = ended.result === 'finished' ? recordFinish(state.suspects, fingerprint, now) : [];
	if (cleared.length > 0) {
		actions.push({kind: 'share-suspects', entries: cleared}, ...refreshSuspects(state, now));
	}

	return actions;
}

function changeUpstreams(state: SchedulerState, upstreams: readonly ShardUpstream[], now: Millis): void {
	const known = state.upstreams;
	state.upstreams = new Map(upstreams.map(settings => {
		const upstream = known.get(settings.upstream) ?? createUpstream(settings, now);
		upstream.settings = settings;
		upstream.window.window = Math.min(settings.maxWindow, Math.max(upstream.window.window, Math.min(settings.initialWindow, settings.maxWindow)));
		return [settings.upstream, upstream];
	}));
}

/** Frees a slot without a release. */
function reclaimSlot(state: SchedulerState, running: RunningState, now: Millis): void {
	const {upstream} = running;
	endProgress(upstream.progress, {expectedMs: running.expectedMs, elapsedMs: 0, isFinished: false}, now);
	if (upstream.health.probe === running.attempt) {
		upstream.health.probe = undefined;
	}

	removeRunning(state, running, now);
}

/** Removes the waiting requests of a crashed entry daemon and reclaims its slots. */
function dropDaemon(state: SchedulerState, daemon: DaemonId, now: Millis): void {
	for (const waiting of state.queue.attempts.values()) {
		if (waiting.from === daemon) {
			remove(state.queue, waiting);
		}
	}

	for (const running of state.running.values()) {
		if (running.from === daemon) {
			reclaimSlot(state, running, now);
		}
	}
}

/** Reclaims slots held past the deadline. Entry daemons end each attempt at its deadline, so the release must have been lost. */
function reclaimOverdueSlots(state: SchedulerState, now: Millis): void {
	for (const running of state.running.values()) {
		if (now > running.deadlineAt + lostReleaseGraceMs) {
			reclaimSlot(state, running, now);
		}
	}
}

/** Takes over the attempts that an entry daemon is already running, so that a new owner does not grant their slots again. */
function adoptRunning(state: SchedulerState, event: Extract<SchedulerEvent, {kind: 'running'}>, now: Millis): void {
	for (const {attempt, upstream: name, request, elapsedMs, remainingMs} of event.attempts) {
		const upstream = state.upstreams.get(name);
		if (upstream === undefined || state.running.has(attempt)) {
			continue;
		}

		const waiting = state.queue.attempts.get(attempt);
		if (waiting !== undefined) {
			remove(state.queue, waiting);
		}

		const account = accountOf(state.queue, request.member);
		const chargedTokens = expectedTokens(flowOf(account, request.requestClass), request);
		account.running += chargedTokens;
		updateRunningIntegral(upstream, now);
		addRunning(state, {
			from: event.from,
			attempt,
			request,
			upstream,
			account,
			grantedAt: now - elapsedMs,
			deadlineAt: now + remainingMs,
			chargedTokens,
			expectedMs: expectedMs(state, request, chargedTokens),
			longestMs: typicalMs(state, request.maxTokens),
			runningIntegralAtGrant: upstream.runningIntegral - (upstream.running * elapsedMs),
			isProbe: false,
			isDeathCounted: false,
		}, now);
	}
}

/** Refuses the requests of a flow that can no longer finish before their deadlines. */
function refuseLateRequests(state: SchedulerState, flow: Flow, capacity: Capacity, now: Millis): SchedulerAction[] {
	const actions: SchedulerAction[] = [];
	const estimateWait = waitEstimate(state.queue, flow, capacity);
	let ahead = flow.requestClass === 'live' ? 0 : flow.account.live.tokens;
	forEachWaiting(flow, waiting => {
		if (capacity.slots === 0) {
			actions.push(...refuseDuringOutage(state, waiting, capacity, now));
			return;
		}

		const slackMs = waiting.deadlineAt - now - expectedMs(state, waiting.request, waiting.expectedTokens);
		const waitMs = estimateWait(ahead);
		if (slackMs < 0 || (Number.isFinite(waitMs) && waitMs > slackMs * waitTolerance)) {
			actions.push(refuseWaiting(state, waiting, {reason: 'overloaded', waitMs: Number.isFinite(waitMs) ? waitMs : 0}, capacity, now));
		} else {
			ahead += waiting.expectedTokens;
		}
	});
	return actions;
}

/** Cancels reservations whose suspect has no waiting or running requests, and unused ones on upstreams that are not up or are leaving. */
function dropReservations(state: SchedulerState): void {
	for (const upstream of state.upstreams.values()) {
		const {reservedFor} = upstream;
		if (reservedFor === undefined || state.runs.has(reservedFor)) {
			continue;
		}

		const isAwaited = [...state.queue.attempts.values()].some(waiting => waiting.request.fingerprint === reservedFor);
		if (!isAwaited || upstream.health.status !== 'up' || upstream.settings.leaving) {
			upstream.reservedFor = undefined;
		}
	}
}

function reviewHealth(state: SchedulerState, now: Millis): void {
	state.healthReviewedAt = now;
	expireSuspects(state.suspects, now);
	expireRetrySlots(state.admission, now);
	updateNormalTimes(state);
	reclaimOverdueSlots(state, now);
	markSlowUpstreams(state, now);
	dropReservations(state);
}

function reviewState(state: SchedulerState, now: Millis): SchedulerAction[] {
	if (now - state.reviewedAt < reviewMs) {
		return [];
	}

	state.reviewedAt = now;
	if (now - state.healthReviewedAt >= healthReviewMs) {
		reviewHealth(state, now);
	}

	const capacity = capacityOf(state);
	const actions: SchedulerAction[] = [];
	for (const account of state.queue.accounts.values()) {
		for (const flow of [account.live, account.training]) {
			if (flow.count > 0) {
				actions.push(...refuseLateRequests(state, flow, capacity, now));
			}
		}
	}

	return actions;
}

/** Handles one event of a shard. Updates `state` in place and returns it with the resulting actions. */
export function decideScheduling(state: SchedulerState, event: SchedulerEvent, now: Millis): DecisionResult<SchedulerState, SchedulerAction> {
	advanceAdmission(state.admission, waitingCount(state) > 0, now);
	const actions = apply(state, event, now);
	return {state, actions: event.kind === 'acquire' ? actions : [...actions, ...grantWaiting(state, now)]};
}

function apply(state: SchedulerState, event: SchedulerEvent, now: Millis): SchedulerAction[] {
	switch (event.kind) {
		case 'acquire': {
			return acquire(state, event, now);
		}

		case 'release': {
			return release(state, event.release, now);
		}

		case 'upstreams-changed': {
			state.trainingFloor = event.trainingFloor ?? state.trainingFloor;
			if (event.weights !== undefined) {
				setWeights(state.queue, event.weights);
			}

			changeUpstreams(state, event.upstreams, now);
			return [];
		}

		case 'daemon-lost': {
			dropDaemon(state, event.daemon, now);
			return [];
		}

		case 'running': {
			adoptRunning(state, event, now);
			return [];
		}

		case 'suspects-changed': {
			return refreshSuspects(state, now);
		}

		case 'tick': {
			return reviewState(state, now);
		}
	}
}
