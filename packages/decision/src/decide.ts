/** The decisions of a whole daemon behind one function. It holds no socket, clock, timer or randomness. */

import {
	claimsTable, decideClaims, isClaimsIdle, releaseKey, takeKey, type ClaimEnd, type ClaimsAction, type ClaimsEvent,
} from '@cicadapost/claims';
import {
	configurationKey, configurationTable, decideConfiguration, type ConfigurationAction, type ConfigurationEvent,
} from '@cicadapost/configuration';
import {ProblemError} from '@cicadapost/errors';
import {
	decideMembership, firstGatewayPeers, isReachable, isSettled, ownsInDataCentre, relayTarget, type MembershipAction, type MembershipEvent,
} from '@cicadapost/membership';
import {
	decideRollouts, isRolloutsIdle, stepsToOwn, type RolloutAction, type RolloutEvent,
} from '@cicadapost/rollouts';
import {
	decideRouting, mayHaveSent, type PoolPlaces, type RouterAction, type RouterEvent,
} from '@cicadapost/routing';
import {
	allSuspects, createScheduler, decideScheduling, mergeSuspects, waitingCount, type SchedulerAction, type SchedulerEvent,
} from '@cicadapost/scheduling';
import {siteConfiguration} from '@cicadapost/settings';
import type {
	Acquire, CallId, ConfigurationMessage, DaemonId, DataCentreId, Millis, Outcome, PeerMessage, PoolId, Relay, Request, RequestId, ShardId, SuspectEntry, UpstreamId,
} from '@cicadapost/types';
import {
	endUnderCap, isCapMessage, isCapsCall, receiveCapMessage, receiveCapRow, refreshMeters, startUnderCap, tickCaps, type CapsAction, type CapsContext, type CapUse,
} from './caps-part.js';
import type {DaemonState, OpenAcquire, Origin} from './daemon-state.js';
import {dueReports, noteDeath} from './death-reports.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {moveGrants, withdrawal} from './held-grants.js';
import {documentFault, parseDocument} from './parse-document.js';
import {
	answerPoolLeases, holdsLease, receiveOrderAnswer, receiveOrderStatus, receiveWeights, tickPoolLeases,
} from './pool-leases.js';
import {
	addToFrame, closeRelayStream, flushFrames, openRelayStream, takeRelay,
} from './relays.js';
import {
	checkTrainerCall, sampleEvent, sampleRequest, stepOwner,
} from './rollout-steps.js';
import {
	shardOf, shardOwner, shardPolicy, shardsOf,
} from './shards.js';

const notOwnerRetryMs = 200;
/** Round trip of 3 ms between data centres and the 20 ms of a batch. */
const linkCostMs: Millis = 25;
/** Round trip of 24 ms between regions and the 20 ms of a batch, doubled because the volume is billed. */
const regionLinkCostMs: Millis = 90;
/** First wait before an unanswered acquire is repeated. It doubles, since a long wait is mostly a place in a queue. */
const askAgainMs: Millis = 1000;
const maxAskAgainMs: Millis = 8000;
/** The VM list lags, so an upstream is asked itself whether it is leaving. */
const stateReadIntervalMs = 1000;

/** Decides for one daemon. Updates `state` in place and returns it with the actions to carry out, in order. */
export function decide(state: DaemonState, event: DaemonEvent, now: Millis): Outcome<DaemonState, DaemonAction> {
	const turn = new Turn(state, now);
	turn.receive(event);
	return {state, actions: turn.actions};
}

/** One call of `decide`: passes events between the parts of the daemon and collects actions. */
class Turn {
	readonly actions: DaemonAction[] = [];
	/** Many samples of a pool may start in one call. */
	private readonly samplePlaces = new Map<PoolId, PoolPlaces>();

	constructor(private readonly state: DaemonState, private readonly now: Millis) {}

	receive(event: DaemonEvent): void {
		// A process that was paused drops the views that have become old before it decides anything by them.
		this.updateMembership({kind: 'time'});
		switch (event.kind) {
			case 'request': {
				this.startRequest(event.request);
				break;
			}

			case 'caller-left': {
				this.dropCaller(event.requestId);
				break;
			}

			case 'attempt-sent': {
				this.route({kind: 'sent', attempt: event.attempt});
				break;
			}

			case 'attempt-chunk': {
				this.route({kind: 'chunk', attempt: event.attempt, chunk: event.chunk});
				break;
			}

			case 'attempt-finished': {
				this.route({...event, kind: 'finished'});
				break;
			}

			case 'attempt-failed': {
				this.route({...event, kind: 'failed'});
				break;
			}

			case 'message': {
				this.receiveMessage(event.from, event.message);
				break;
			}

			case 'peer-connected': {
				this.updateMembership({kind: 'connected', daemon: event.daemon});
				break;
			}

			case 'message-unsent': {
				this.receiveUnsent(event.to, event.message);
				break;
			}

			case 'weights': {
				receiveWeights(this.state, event.pool, event.version, this.now);
				break;
			}

			case 'order-answer': {
				receiveOrderAnswer(this.state, event.upstream, event.isAccepted, this.now);
				break;
			}

			case 'upstream-state': {
				receiveOrderStatus(this.state, event.upstream, event.status, this.now);
				if (event.status !== undefined && this.state.stateReads.has(event.upstream)) {
					this.updateMembership({kind: 'upstream-state', upstream: event.upstream, leaving: event.status.leaving});
				}

				break;
			}

			case 'vm-list': {
				this.updateMembership({kind: 'vm-list', vms: event.vms});
				break;
			}

			case 'row-answer': {
				this.receiveRow(event);
				break;
			}

			case 'list-answer':
			case 'object-answer':
			case 'trainer-left': {
				this.rollOut(event);
				break;
			}

			case 'trainer-call': {
				this.startTrainerCall(event);
				break;
			}

			case 'apply-configuration': {
				this.configure({...event, kind: 'apply'});
				break;
			}

			case 'shut-down': {
				this.state.leaving = true;
				this.updateMembership({kind: 'leave'});
				this.stopIfIdle();
				break;
			}

			case 'flush-relays': {
				this.sendFrames();
				break;
			}

			case 'tick': {
				this.tick();
				break;
			}
		}
	}

	/** Hands the answer of the table service to the part that waits for it. */
	private receiveRow(event: Extract<DaemonEvent, {kind: 'row-answer'}>): void {
		const {call, answer} = event;
		if (this.state.claims.pending.has(call)) {
			this.claim({kind: 'answer', call, answer});
			return;
		}

		if (this.state.rollouts.calls.has(call)) {
			this.rollOut(event);
			return;
		}

		if (isCapsCall(call)) {
			this.cap((context, caps) => receiveCapRow(caps, call, answer, context));
			return;
		}

		answerPoolLeases(this.state, call, answer, this.now);
		this.configure({kind: 'answer', call, answer});
	}

	private tick(): void {
		const {relays} = this.state;
		const inUse = new Set([...relays.sentTo.values(), ...[...relays.streams.values()].map(stream => stream.to)]);
		this.updateMembership({kind: 'tick', inUse});
		this.configure({kind: 'tick', call: this.nextCall(), isPoller: ownsInDataCentre(this.state.membership, configurationKey)});
		this.claim({kind: 'tick'});
		this.actions.push(...tickPoolLeases(this.state, this.now, () => this.nextCall()));
		this.readStates();
		this.route({kind: 'tick'});
		this.cap((context, caps) => tickCaps(caps, context));
		this.askAgain();
		this.repeatDeathReports();
		this.sendFrames();
		this.rollOut({kind: 'tick'});
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		const {
			leaving, stopped, router, claims, configuration, rollouts, caps, schedulers,
		} = this.state;
		// The last daemons of a data centre keep shards, and other daemons' requests in them, until those have ended.
		const isIdle = router.requests.size === 0 && isClaimsIdle(claims) && configuration.applies.size === 0 && isRolloutsIdle(rollouts) && caps.asked.size === 0
			&& !holdsLease(this.state, this.now)
			&& [...schedulers.values()].every(scheduler => waitingCount(scheduler) === 0 && scheduler.running.size === 0);
		if (leaving && !stopped && isIdle) {
			this.state.stopped = true;
			this.actions.push({kind: 'stopped'});
		}
	}

	private nextCall(): CallId {
		this.state.calls++;
		return `${this.state.self}.${this.state.incarnation}.${this.state.calls}` as CallId;
	}

	private startRequest(request: Request): void {
		const {requestId} = request;
		if (this.state.site === undefined) {
			this.reject(requestId, 'no-upstream', new ProblemError({
				kind: 'configuration-missing',
				detail: 'this daemon has no configuration yet',
				remedy: 'apply one with "cicadapost config apply", or wait for Retry-After',
				retryAfterMs: 2000,
			}));
			return;
		}

		if (!Object.hasOwn(this.state.site.pools, request.pool)) {
			this.reject(requestId, 'no-upstream', new ProblemError({
				kind: 'not-found',
				detail: `the pool "${request.pool}" does not exist`,
				remedy: 'use the name of a configured pool as "model"',
				field: 'model',
			}));
			return;
		}

		this.state.origins.set(requestId, {kind: 'caller'});
		this.cap((context, caps) => startUnderCap(caps, request, context));
	}

	/** Runs a request whose tokens are within the cap of its member. */
	private runRequest(request: Request): void {
		const {requestId} = request;
		if (!request.idempotent) {
			this.claim({kind: 'claim', request, nonce: `${this.state.self}.${this.state.incarnation}.${requestId}`});
			return;
		}

		const refusal = takeKey(this.state.keys, request, this.now);
		if (refusal !== undefined) {
			this.answer({
				kind: 'fail', requestId, cause: 'overloaded', sent: false, problem: refusal,
			});
			return;
		}

		this.route({kind: 'request', request, places: this.placesOf(request.pool)});
	}

	/** Lets the caps decide and carries out their actions. */
	private cap(decideCaps: (context: CapsContext, caps: DaemonState['caps']) => CapsAction[]): void {
		const {site, configuration, membership, incarnation, caps} = this.state;
		if (site === undefined) {
			return;
		}

		const context = {
			site, membership, incarnation, now: this.now, configurationVersion: configuration.version,
		};
		for (const action of decideCaps(context, caps)) {
			this.applyCap(action);
		}
	}

	private applyCap(action: CapsAction): void {
		switch (action.kind) {
			case 'send': {
				this.sendOrReceive(action.to, action.message);
				break;
			}

			case 'start': {
				this.runRequest(action.request);
				break;
			}

			case 'refuse': {
				this.answer({
					kind: 'fail', requestId: action.request.requestId, cause: 'over-cap', sent: false, problem: new ProblemError({
						kind: 'over-cap',
						detail: 'the member has used up its cap',
						remedy: 'wait for Retry-After or ask the operator for a larger cap',
						retryAfterMs: action.retryAfterMs,
					}),
				});
				break;
			}

			case 'read-row':
			case 'write-row': {
				this.actions.push(action);
				break;
			}
		}
	}

	/** A claimed request that may have been sent runs on without its caller, so that its outcome is recorded. */
	private dropCaller(requestId: RequestId): void {
		this.state.origins.delete(requestId);
		this.endCap(requestId, {kind: 'unknown'});
		const claim = this.state.claims.claims.get(requestId);
		const entry = this.state.router.requests.get(requestId);
		if (claim !== undefined && entry !== undefined && mayHaveSent(entry)) {
			return;
		}

		this.route({kind: 'caller-left', requestId});
		releaseKey(this.state.keys, requestId, this.now);
		// Nothing was sent, so the key becomes free again.
		this.claim({kind: 'withdrawn', requestId});
	}

	private claim(event: ClaimsEvent): void {
		const outcome = decideClaims(this.state.claims, event, this.now);
		this.state.claims = outcome.state;
		for (const action of outcome.actions) {
			this.applyClaims(action);
		}
	}

	private applyClaims(action: ClaimsAction): void {
		switch (action.kind) {
			case 'read-row':
			case 'write-row': {
				this.actions.push({...action, table: claimsTable});
				break;
			}

			case 'claimed': {
				const {request, sendBy} = action;
				this.route({
					kind: 'request', request, places: this.placesOf(request.pool), sendBy,
				});
				break;
			}

			case 'replay': {
				const {requestId, answer} = action;
				const {body, ...end} = answer;
				this.answer({
					kind: 'deliver', requestId, chunk: {
						offset: 0, tokens: answer.tokens, text: body, version: answer.versions.at(-1)?.version ?? 0,
					},
				});
				this.answer({...end, kind: 'complete', requestId});
				break;
			}

			case 'refuse': {
				const {requestId, problem} = action;
				this.answer({
					kind: 'fail', requestId, cause: 'overloaded', sent: problem.outcome !== 'not-run', problem,
				});
				break;
			}
		}
	}

	private sendFrames(): void {
		for (const frame of flushFrames(this.state.relays, this.now)) {
			this.actions.push({kind: 'send', ...frame});
		}
	}

	private endCap(requestId: RequestId, use: CapUse): void {
		this.cap((context, caps) => endUnderCap(caps, requestId, use, context));
	}

	private reject(requestId: RequestId, cause: 'no-upstream' | 'overloaded', problem: ProblemError): void {
		this.actions.push({
			kind: 'fail', requestId, cause, sent: false, problem,
		});
	}

	private placesOf(pool: PoolId): PoolPlaces {
		const {site, dataCentre, membership} = this.state;
		if (site === undefined) {
			return {shards: [], dataCentres: []};
		}

		const shards = [...shardsOf(site, dataCentre, membership.leavingUpstreams)]
			.filter(([shard]) => shard.split('/')[1] === pool)
			.map(([shard, upstreams]) => ({shard, upstreams: upstreams.filter(({leaving}) => !leaving).map(({upstream}) => upstream)}));
		const homeRegion = site.dataCentres[dataCentre]?.region;
		const dataCentres = Object.entries(site.poolsByDataCentre)
			.filter(([name, pools]) => name !== dataCentre && pools.includes(pool) && isReachable(membership, name as DataCentreId))
			.map(([name]) => ({dataCentre: name as DataCentreId, costMs: site.dataCentres[name]?.region === homeRegion ? linkCostMs : regionLinkCostMs}))
			.sort((a, b) => a.costMs - b.costMs);
		return {shards, dataCentres};
	}

	private receiveMessage(from: DaemonId, message: PeerMessage): void {
		if (isCapMessage(message)) {
			this.cap((context, caps) => receiveCapMessage(caps, from, message, context));
			return;
		}

		switch (message.kind) {
			case 'heartbeat': {
				this.greet(from);
				this.updateMembership({kind: 'heartbeat', from, heartbeat: message});
				this.configure({kind: 'peer-version', from, version: message.configurationVersion});
				break;
			}

			case 'acquire': {
				this.acquire(from, message);
				break;
			}

			case 'grant': {
				this.receiveGrant(from, message);
				break;
			}

			case 'refuse': {
				this.receiveRefusal(from, message);
				break;
			}

			case 'running': {
				this.schedule(message.shard, {kind: 'running', from, attempts: message.attempts});
				break;
			}

			case 'suspects': {
				this.receiveSuspects(from, message.entries);
				break;
			}

			case 'release': {
				this.receiveRelease(message);
				break;
			}

			case 'relay': {
				this.startRelayed(from, message);
				break;
			}

			case 'relay-chunk': {
				this.route({...message, kind: 'chunk'});
				break;
			}

			case 'relay-finished': {
				this.route({...message, kind: 'finished'});
				break;
			}

			case 'relay-failed': {
				this.route({...message, kind: 'failed'});
				break;
			}

			case 'cancel-relay': {
				this.cancelRelayed(message.attempt);
				break;
			}

			case 'configuration': {
				this.receiveConfiguration(from, message);
				break;
			}

			case 'configuration-pull': {
				this.configure({kind: 'pulled', from, haveVersion: message.haveVersion});
				break;
			}

			case 'rollout-call': {
				this.rollOut({
					...message,
					kind: 'call',
					from,
					owner: stepOwner(this.state, message.member, message.request.step),
					mayForward: this.dataCentreOf(from) !== this.state.dataCentre,
				});
				break;
			}

			case 'rollout-answer': {
				this.rollOut({...message, kind: 'forward-answer'});
				break;
			}
		}
	}

	private startTrainerCall(event: Extract<DaemonEvent, {kind: 'trainer-call'}>): void {
		const {call, member, request} = event;
		const problem = checkTrainerCall(this.state, member, request);
		if (problem !== undefined) {
			this.actions.push({kind: 'trainer-answer', call, answer: {kind: 'problem', problem}});
			return;
		}

		this.rollOut({
			kind: 'call', call, from: undefined, member, request, owner: stepOwner(this.state, member, request.step), mayForward: true,
		});
	}

	private rollOut(event: RolloutEvent): void {
		const outcome = decideRollouts(this.state.rollouts, event, this.now);
		this.state.rollouts = outcome.state;
		for (const action of outcome.actions) {
			this.applyRollout(action);
		}
	}

	private applyRollout(action: RolloutAction): void {
		switch (action.kind) {
			case 'answer': {
				const {call, to, answer} = action;
				this.actions.push(to === undefined ? {kind: 'trainer-answer', call, answer} : {kind: 'send', to, message: {kind: 'rollout-answer', call, answer}});
				break;
			}

			case 'forward': {
				const {to, ...message} = action;
				const dataCentre = this.dataCentreOf(to);
				if (dataCentre !== undefined && dataCentre !== this.state.dataCentre) {
					this.updateMembership({kind: 'relay-to', dataCentre});
				}

				this.actions.push({kind: 'send', to, message: {...message, kind: 'rollout-call'}});
				break;
			}

			case 'start-sample': {
				this.state.origins.set(action.requestId, {kind: 'rollout'});
				const places = this.samplePlaces.get(action.pool) ?? this.placesOf(action.pool);
				this.samplePlaces.set(action.pool, places);
				this.route({kind: 'request', request: sampleRequest(action, this.now), places});
				break;
			}

			case 'cancel-sample': {
				this.state.origins.delete(action.requestId);
				this.endCap(action.requestId, {kind: 'unknown'});
				this.route({kind: 'caller-left', requestId: action.requestId});
				break;
			}

			default: {
				this.actions.push(action);
			}
		}
	}

	private dataCentreOf(daemon: DaemonId): DataCentreId | undefined {
		const {peers, listed} = this.state.membership;
		return peers.get(daemon)?.dataCentre ?? listed.get(daemon)?.dataCentre;
	}

	/** Tells the rollouts which daemon owns each step now. */
	private refreshSteps(): void {
		const owners = new Map(stepsToOwn(this.state.rollouts).map(({key, member, step}) => [key, stepOwner(this.state, member, step)]));
		if (owners.size > 0) {
			this.rollOut({kind: 'owners', owners});
		}
	}

	private cancelRelayed(attempt: Relay['attempt']): void {
		// A cancel may overtake its relay, which must not run then.
		takeRelay(this.state.relays, attempt, this.now);
		const requestId = relayedRequestId(attempt);
		closeRelayStream(this.state.relays, requestId, this.now);
		this.state.origins.delete(requestId);
		this.route({kind: 'caller-left', requestId});
	}

	/** A death that is reported to a former owner goes on to the present one. Other releases only withdraw what that owner knew. */
	private receiveRelease(release: Extract<PeerMessage, {kind: 'release'}>): void {
		const {schedulers, membership, self} = this.state;
		const owner = shardOwner(membership, release.shard);
		if (schedulers.has(release.shard)) {
			this.schedule(release.shard, {kind: 'release', release});
		} else if (release.death !== undefined && owner !== undefined && owner !== self && release.isForwarded !== true) {
			this.actions.push({kind: 'send', to: owner, message: {...release, isForwarded: true}});
		}
	}

	/** A grant for an attempt that has ended goes back to its owner, or the slot would stay taken. */
	private returnGrant(from: DaemonId, grant: Extract<PeerMessage, {kind: 'grant'}>): void {
		const {site, dataCentre, grants} = this.state;
		const shard = site === undefined || grants.has(grant.attempt) ? undefined : shardOf(site, dataCentre, grant.upstream);
		if (shard !== undefined) {
			this.sendOrReceive(from, {
				kind: 'release', attempt: grant.attempt, shard, result: 'cancelled', tokens: 0, generationMs: 0,
			});
		}
	}

	/** Accepts a slot from the daemon that was asked for it. An earlier owner of the shard may answer late. */
	private receiveGrant(from: DaemonId, message: Extract<PeerMessage, {kind: 'grant'}>): void {
		const open = this.state.acquires.get(message.attempt);
		if (open === undefined) {
			this.returnGrant(from, message);
			return;
		}

		if (open.to !== from) {
			this.sendOrReceive(from, withdrawal(open.acquire));
			return;
		}

		this.state.acquires.delete(message.attempt);
		this.state.grants.set(message.attempt, {
			acquire: open.acquire, upstream: message.upstream, owner: from, grantedAt: this.now,
		});
		this.route({...message, kind: 'granted'});
	}

	/** A daemon that has just appeared gets a copy of the suspects. */
	private greet(daemon: DaemonId): void {
		if (this.state.membership.peers.has(daemon)) {
			return;
		}

		const entries = allSuspects(this.state.suspects, this.now);
		if (entries.length > 0) {
			this.actions.push({kind: 'send', to: daemon, message: {kind: 'suspects', entries}});
		}
	}

	/** Takes in what is new, and passes it on between the data centres if this daemon has a connection across. */
	private receiveSuspects(from: DaemonId, entries: readonly SuspectEntry[]): void {
		const news = mergeSuspects(this.state.suspects, entries, this.now);
		if (news.length === 0) {
			return;
		}

		const {dataCentre, membership} = this.state;
		const isFromHome = this.dataCentreOf(from) === dataCentre;
		for (const [to, peer] of membership.peers) {
			if (to !== from && (peer.dataCentre === dataCentre) !== isFromHome) {
				this.actions.push({kind: 'send', to, message: {kind: 'suspects', entries: news}});
			}
		}

		this.tellSchedulers();
	}

	private tellSchedulers(except?: ShardId): void {
		for (const shard of this.state.schedulers.keys()) {
			if (shard !== except) {
				this.schedule(shard, {kind: 'suspects-changed'});
			}
		}
	}

	private startRelayed(from: DaemonId, relay: Relay): void {
		if (this.state.leaving) {
			this.actions.push({
				kind: 'send', to: from, message: {
					kind: 'relay-failed', attempt: relay.attempt, failure: 'leaving', sent: false, retryAfterMs: notOwnerRetryMs,
				},
			});
			return;
		}

		if (!takeRelay(this.state.relays, relay.attempt, this.now)) {
			return;
		}

		const requestId = relayedRequestId(relay.attempt);
		this.state.origins.set(requestId, {kind: 'relay', from, attempt: relay.attempt});
		openRelayStream(this.state.relays, {requestId, to: from, attempt: relay.attempt}, this.now);
		const request: Request = {
			...relay.request,
			requestId,
			payload: relay.payload,
			deadlineAt: this.now + relay.remainingMs,
			bodyHash: '',
			mixedVersions: relay.mixedVersions,
		};
		// A relayed request stays in this data centre, so that it can't be relayed in a circle.
		const places = {...this.placesOf(relay.request.pool), dataCentres: []};
		this.route({
			kind: 'request', request, places, sendBy: this.now + relay.sendWithinMs, resumeFrom: relay.resumeFrom, version: relay.version,
		});
	}

	private acquire(from: DaemonId, acquire: Extract<PeerMessage, {kind: 'acquire'}>): void {
		this.updateMembership({kind: 'contacted', from});
		if (this.state.schedulers.has(acquire.shard)) {
			this.schedule(acquire.shard, {kind: 'acquire', from, acquire});
			return;
		}

		this.sendOrReceive(from, {
			kind: 'refuse', attempt: acquire.attempt, reason: 'not-owner', retryAfterMs: notOwnerRetryMs,
		});
	}

	/** Sends to a peer, or hands a message for this daemon straight to the part concerned. */
	private sendOrReceive(to: DaemonId, message: PeerMessage): void {
		if (to === this.state.self) {
			this.receiveMessage(to, message);
			return;
		}

		this.actions.push({kind: 'send', to, message});
	}

	private schedule(shard: ShardId, event: SchedulerEvent): void {
		const scheduler = this.state.schedulers.get(shard);
		if (scheduler === undefined) {
			return;
		}

		const outcome = decideScheduling(scheduler, event, this.now);
		this.state.schedulers.set(shard, outcome.state);
		for (const action of outcome.actions) {
			this.applyScheduling(shard, action);
		}
	}

	private applyScheduling(shard: ShardId, action: SchedulerAction): void {
		if (action.kind === 'share-suspects') {
			for (const to of this.state.membership.peers.keys()) {
				this.actions.push({kind: 'send', to, message: {kind: 'suspects', entries: action.entries}});
			}

			this.tellSchedulers(shard);
			return;
		}

		const {to, ...message} = action;
		this.sendOrReceive(to, message);
	}

	private route(event: RouterEvent): void {
		const outcome = decideRouting(this.state.router, event, this.now);
		this.state.router = outcome.state;
		for (const action of outcome.actions) {
			this.applyRouting(action);
		}
	}

	private applyRouting(action: RouterAction): void {
		switch (action.kind) {
			case 'acquire': {
				this.sendAcquire(action.acquire);
				break;
			}

			case 'release': {
				const owner = shardOwner(this.state.membership, action.release.shard);
				this.state.acquires.delete(action.release.attempt);
				this.state.grants.delete(action.release.attempt);
				noteDeath(this.state.deathReports, action.release, this.state.suspects, this.now);
				if (owner !== undefined) {
					this.sendOrReceive(owner, action.release);
				}

				break;
			}

			case 'open': {
				this.actions.push({...action, kind: 'open-attempt'});
				break;
			}

			case 'cancel': {
				this.actions.push({kind: 'cancel-attempt', attempt: action.attempt});
				break;
			}

			case 'relay': {
				this.sendRelay(action.dataCentre, action.relay);
				break;
			}

			case 'cancel-relay': {
				const to = this.state.relays.sentTo.get(action.attempt);
				this.state.relays.sentTo.delete(action.attempt);
				if (to !== undefined) {
					this.actions.push({kind: 'send', to, message: {kind: 'cancel-relay', attempt: action.attempt}});
				}

				break;
			}

			case 'relay-ended': {
				this.state.relays.sentTo.delete(action.attempt);
				break;
			}

			case 'deliver':
			case 'complete':
			case 'fail': {
				this.answer(action);
				break;
			}
		}
	}

	private sendAcquire(acquire: Acquire, deadlineAt: Millis = this.now + acquire.remainingMs, waitMs: Millis = askAgainMs): void {
		const {membership, acquires} = this.state;
		const owner = shardOwner(membership, acquire.shard);
		if (owner === undefined && isSettled(membership)) {
			acquires.delete(acquire.attempt);
			this.route({
				kind: 'refused', attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: notOwnerRetryMs,
			});
			return;
		}

		acquires.set(acquire.attempt, {
			acquire, to: owner, deadlineAt, askAgainAt: this.now + (owner === undefined ? notOwnerRetryMs : waitMs), waitMs,
		});
		if (owner !== undefined) {
			this.sendOrReceive(owner, {...acquire, remainingMs: deadlineAt - this.now});
		}
	}

	private receiveRefusal(from: DaemonId, refusal: Extract<PeerMessage, {kind: 'refuse'}>): void {
		const open = this.state.acquires.get(refusal.attempt);
		if (open?.to !== from) {
			// The refusal is late: the acquire has been granted, or has been sent to another daemon since.
			return;
		}

		if (refusal.reason === 'not-owner' && this.retryAcquire(from, open)) {
			return;
		}

		this.state.acquires.delete(refusal.attempt);
		this.route({...refusal, kind: 'refused'});
	}

	/** Asks again after `from` turned out not to be the owner. False if the shard does not exist any more. */
	private retryAcquire(from: DaemonId, open: OpenAcquire): boolean {
		const {acquire, deadlineAt} = open;
		if (!this.placesOf(acquire.request.pool).shards.some(({shard}) => shard === acquire.shard)) {
			return false;
		}

		if (shardOwner(this.state.membership, acquire.shard) === from) {
			// Views differ for a moment while a shard moves.
			this.state.acquires.set(acquire.attempt, {...open, askAgainAt: this.now + notOwnerRetryMs});
		} else {
			this.sendAcquire(acquire, deadlineAt);
		}

		return true;
	}

	private sendRelay(dataCentre: DataCentreId, relay: Relay): void {
		this.updateMembership({kind: 'relay-to', dataCentre});
		const to = relayTarget(this.state.membership, dataCentre);
		if (to === undefined) {
			this.route({
				kind: 'failed', attempt: relay.attempt, failure: 'relay-lost', sent: false,
			});
			return;
		}

		this.state.relays.sentTo.set(relay.attempt, to);
		this.actions.push({kind: 'send', to, message: relay});
	}

	private receiveUnsent(to: DaemonId, message: PeerMessage): void {
		this.updateMembership({kind: 'unreachable', daemon: to});
		if (message.kind === 'relay') {
			this.state.relays.sentTo.delete(message.attempt);
			this.route({
				kind: 'failed', attempt: message.attempt, failure: 'relay-lost', sent: false,
			});
		}
	}

	/** Reads the state of each engine of the owned shards about once a second. */
	private readStates(): void {
		for (const [upstream, readAt] of this.state.stateReads) {
			if (this.now >= readAt) {
				this.state.stateReads.set(upstream, this.now + stateReadIntervalMs);
				this.actions.push({kind: 'read-state', upstream});
			}
		}
	}

	private useOwnedUpstreams(upstreams: ReadonlySet<UpstreamId>): void {
		const {stateReads} = this.state;
		this.updateMembership({kind: 'upstreams-owned', upstreams});
		for (const upstream of stateReads.keys()) {
			if (!upstreams.has(upstream)) {
				stateReads.delete(upstream);
			}
		}

		for (const upstream of upstreams) {
			if (!stateReads.has(upstream)) {
				stateReads.set(upstream, this.now);
			}
		}
	}

	private answer(action: AnswerAction): void {
		const origin = this.state.origins.get(action.requestId);
		if (action.kind !== 'deliver') {
			this.state.origins.delete(action.requestId);
			releaseKey(this.state.keys, action.requestId, this.now);
			this.endCap(action.requestId, capUse(action));
		}

		if (origin?.kind === 'caller') {
			this.actions.push(action);
		}

		if (origin?.kind === 'relay') {
			this.answerRelay(origin, action);
		}

		if (origin?.kind === 'rollout') {
			this.rollOut(sampleEvent(action));
		}

		this.recordOutcome(action);
	}

	private answerRelay(origin: Extract<Origin, {kind: 'relay'}>, action: AnswerAction): void {
		const {relays} = this.state;
		const frames = action.kind === 'deliver'
			? addToFrame(relays, action.requestId, action.chunk, this.now)
			: closeRelayStream(relays, action.requestId, this.now);
		for (const frame of frames) {
			this.actions.push({kind: 'send', ...frame});
		}

		if (action.kind !== 'deliver') {
			this.actions.push({kind: 'send', to: origin.from, message: relayEnd(origin.attempt, action)});
		}
	}

	private recordOutcome(action: AnswerAction): void {
		const {requestId} = action;
		if (this.state.claims.claims.get(requestId)?.phase !== 'running') {
			return;
		}

		if (action.kind === 'deliver') {
			this.claim({kind: 'text', requestId, text: action.chunk.text});
			return;
		}

		const end: ClaimEnd = action.kind === 'complete' ? {...action, kind: 'finished'} : {kind: 'failed', problem: action.problem};
		this.claim({kind: 'ended', requestId, end});
	}

	private updateMembership(event: MembershipEvent): void {
		const outcome = decideMembership(this.state.membership, event, this.now);
		this.state.membership = outcome.state;
		for (const action of outcome.actions) {
			this.applyMembership(action);
		}
	}

	private applyMembership(action: MembershipAction): void {
		switch (action.kind) {
			case 'connect':
			case 'disconnect': {
				this.actions.push(action);
				break;
			}

			case 'send-heartbeat': {
				const {incarnation, configuration} = this.state;
				this.actions.push({
					kind: 'send', to: action.to, message: {...action.heartbeat, incarnation, configurationVersion: configuration.version},
				});
				break;
			}

			case 'read-vm-list': {
				this.actions.push(action);
				break;
			}

			case 'daemon-lost': {
				this.loseDaemon(action.daemon);
				break;
			}

			case 'changed': {
				this.refreshShards();
				this.refreshSteps();
				break;
			}
		}
	}

	/** Relays that ran on a lost daemon have failed; those that ran for it have no reader any more. */
	private loseDaemon(daemon: DaemonId): void {
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'daemon-lost', daemon});
		}

		// Collected first, since a retry may go to the same daemon after its restart.
		const lost = [...this.state.relays.sentTo].filter(([, to]) => to === daemon).map(([attempt]) => attempt);
		for (const attempt of lost) {
			this.state.relays.sentTo.delete(attempt);
			this.route({
				kind: 'failed', attempt, failure: 'relay-lost', sent: true,
			});
		}

		for (const [requestId, stream] of this.state.relays.streams) {
			const entry = this.state.router.requests.get(requestId);
			// A request that must run at most once is not stopped half way.
			if (stream.to === daemon && entry?.request.idempotent === true) {
				this.cancelRelayed(stream.attempt);
			}
		}
	}

	/** Takes over shards that this daemon owns now, gives up the others, and repeats `acquire` at new owners. */
	private refreshShards(): void {
		const {site, dataCentre, membership, schedulers, acquires, self} = this.state;
		if (site === undefined) {
			return;
		}

		const shards = shardsOf(site, dataCentre, membership.leavingUpstreams);
		for (const shard of schedulers.keys()) {
			if (!shards.has(shard) || shardOwner(membership, shard) !== self) {
				schedulers.delete(shard);
			}
		}

		const owned = new Set<UpstreamId>();
		for (const [shard, upstreams] of shards) {
			if (shardOwner(membership, shard) === self) {
				for (const {upstream} of upstreams.filter(({upstream}) => site.pools[site.upstreams[upstream]?.pool ?? '']?.kind === 'engine')) {
					owned.add(upstream);
				}

				schedulers.set(shard, schedulers.get(shard) ?? createScheduler({suspects: this.state.suspects}));
				this.schedule(shard, {kind: 'upstreams-changed', upstreams, ...shardPolicy(site, shard)});
			}
		}

		this.useOwnedUpstreams(owned);
		this.cap((context, caps) => {
			refreshMeters(caps, context);
			return [];
		});
		// New owners hear first what runs already, so that they do not grant the same slots again.
		for (const {to, message} of moveGrants(this.state.grants, shard => shardOwner(membership, shard), this.now)) {
			this.sendOrReceive(to, message);
		}

		for (const open of acquires.values()) {
			if (shardOwner(membership, open.acquire.shard) !== open.to) {
				if (open.to !== undefined) {
					this.sendOrReceive(open.to, withdrawal(open.acquire));
				}

				this.sendAcquire(open.acquire, open.deadlineAt);
			}
		}
	}

	/** An answer may have been lost. The owner knows the attempt, so that asking again changes no place in its queue. */
	private repeatDeathReports(): void {
		for (const release of dueReports(this.state.deathReports, this.state.suspects, this.now)) {
			const owner = shardOwner(this.state.membership, release.shard);
			if (owner !== undefined) {
				this.sendOrReceive(owner, release);
			}
		}
	}

	private askAgain(): void {
		for (const open of this.state.acquires.values()) {
			if (open.askAgainAt <= this.now) {
				this.sendAcquire(open.acquire, open.deadlineAt, Math.min(maxAskAgainMs, 2 * open.waitMs));
			}
		}
	}

	private receiveConfiguration(from: DaemonId, message: ConfigurationMessage): void {
		const {kind, passOn, ...configuration} = message;
		const isLocal = this.state.membership.peers.get(from)?.dataCentre === this.state.dataCentre;
		this.configure({
			kind: 'offered', from, isLocal, passOn: passOn ?? false, configuration,
		});
	}

	private configure(event: ConfigurationEvent): void {
		const outcome = decideConfiguration(this.state.configuration, event, this.now, documentFault);
		this.state.configuration = outcome.state;
		for (const action of outcome.actions) {
			this.applyConfiguration(action);
		}
	}

	private applyConfiguration(action: ConfigurationAction): void {
		switch (action.kind) {
			case 'read-row': {
				this.actions.push({...action, table: configurationTable, key: configurationKey});
				break;
			}

			case 'write-row': {
				this.actions.push({...action, table: configurationTable, key: configurationKey});
				break;
			}

			case 'in-effect': {
				parseDocument(action.document).ifRight(document => {
					this.state.site = siteConfiguration(document, this.state.dataCentre);
					this.route({kind: 'policy', ...this.state.site.policy});
					this.actions.push({kind: 'configuration-in-effect', version: action.version, document: action.document});
					this.refreshShards();
					this.refreshSteps();
				});
				break;
			}

			case 'accepted': {
				this.actions.push({kind: 'apply-accepted', call: action.call, version: action.version});
				break;
			}

			case 'refused': {
				this.actions.push(applyRefused(action));
				break;
			}

			case 'push': {
				this.pushConfiguration(action);
				break;
			}

			case 'send': {
				this.actions.push({kind: 'send', to: action.to, message: {kind: 'configuration', ...action.configuration}});
				break;
			}

			case 'rejected': {
				this.actions.push({kind: 'log', event: 'configuration-rejected', detail: `configuration from ${action.source} was not accepted: ${action.detail}`});
				break;
			}

			case 'pull': {
				this.actions.push({kind: 'send', to: action.from, message: {kind: 'configuration-pull', haveVersion: action.haveVersion}});
				break;
			}
		}
	}

	private pushConfiguration(action: Extract<ConfigurationAction, {kind: 'push'}>): void {
		const {membership, dataCentre} = this.state;
		if (action.scope !== 'other-data-centres') {
			for (const [to, peer] of membership.peers) {
				if (peer.dataCentre === dataCentre) {
					this.actions.push({kind: 'send', to, message: {kind: 'configuration', ...action.configuration, passOn: action.scope === 'everywhere'}});
				}
			}
		}

		if (action.scope !== 'data-centre') {
			for (const to of firstGatewayPeers(membership)) {
				this.actions.push({kind: 'send', to, message: {kind: 'configuration', ...action.configuration}});
			}
		}
	}
}

function capUse(action: Extract<RouterAction, {kind: 'complete' | 'fail'}>): CapUse {
	if (action.kind === 'complete') {
		return {kind: 'completed', tokens: action.tokens};
	}

	return action.sent ? {kind: 'unknown'} : {kind: 'not-sent'};
}

function relayedRequestId(attempt: string): RequestId {
	return `relay:${attempt}` as RequestId;
}

type AnswerAction = Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>;

function relayEnd(attempt: Relay['attempt'], action: Exclude<AnswerAction, {kind: 'deliver'}>): PeerMessage {
	return action.kind === 'complete'
		? {
			kind: 'relay-finished', attempt, tokens: action.tokens, status: action.status, contentType: action.contentType,
		}
		: {
			kind: 'relay-failed', attempt, failure: action.cause, sent: action.sent, retryAfterMs: action.problem.retryAfterMs ?? 0,
		};
}

function applyRefused(action: Extract<ConfigurationAction, {kind: 'refused'}>): DaemonAction {
	if (action.reason === 'conflict') {
		return {
			kind: 'apply-refused',
			call: action.call,
			currentVersion: action.currentVersion,
			currentDocument: action.currentDocument,
			problem: new ProblemError({
				kind: 'configuration-conflict',
				detail: `version ${action.currentVersion} has been accepted in the meantime`,
				remedy: 'compare your change with it ("cicadapost config diff") and apply again',
			}),
		};
	}

	return {
		kind: 'apply-refused', call: action.call, currentVersion: 0, currentDocument: '', problem: applyProblem(action),
	};
}

function applyProblem(action: Exclude<Extract<ConfigurationAction, {kind: 'refused'}>, {reason: 'conflict'}>): ProblemError {
	switch (action.reason) {
		case 'invalid': {
			return new ProblemError({
				kind: 'invalid-request', detail: action.detail, remedy: 'correct the document; "cicadapost config check" shows each fault',
			});
		}

		case 'unreadable': {
			return new ProblemError({
				kind: 'internal',
				detail: `the row ${configurationTable}/${configurationKey} can't be read: ${action.detail}`,
				remedy: 'restore the row in the table service, or use daemons of the release that wrote it',
			});
		}

		case 'store-unavailable': {
			return new ProblemError({
				kind: 'store-unavailable',
				detail: action.outcome === 'unknown' ? 'the table service did not confirm the change' : 'the table service can\'t be reached; nothing was changed',
				remedy: 'check "cicadapost config show" and apply again after Retry-After',
				outcome: action.outcome,
				retryAfterMs: 5000,
			});
		}
	}
}
