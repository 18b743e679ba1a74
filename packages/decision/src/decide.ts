/** The decisions of a whole daemon behind one function. It holds no socket, clock, timer or randomness. */

import {
	claimsTable, decideClaims, isClaimsIdle, releaseKey, takeKey, type ClaimEnd, type ClaimsAction, type ClaimsEvent,
} from '@cicadapost/claims';
import {
	configurationKey, configurationTable, decideConfiguration, type ConfigurationAction, type ConfigurationEvent,
} from '@cicadapost/configuration';
import {ProblemError} from '@cicadapost/errors';
import {
	decideMembership, liveDaemons, ownerIn, type MembershipAction, type MembershipEvent,
} from '@cicadapost/membership';
import {
	decideRouting, mayHaveSent, type PoolPlaces, type RouterAction, type RouterEvent,
} from '@cicadapost/routing';
import {
	createScheduler, decideScheduling, type SchedulerAction, type SchedulerEvent,
} from '@cicadapost/scheduling';
import {siteConfiguration, type ConfigurationDocument} from '@cicadapost/settings';
import type {
	CallId, DaemonId, DataCentreId, Millis, Outcome, PeerMessage, PoolId, Relay, Request, RequestId, ShardId,
} from '@cicadapost/types';
import type {DaemonState, Origin} from './daemon-state.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {
	addToFrame, closeRelayStream, flushFrames, openRelayStream, takeRelay,
} from './relays.js';
import {shardOf, shardOwner, shardsOf} from './shards.js';

const notOwnerRetryMs = 200;
/** Round trip of 3 ms between data centres and the 20 ms of a batch. */
const linkCostMs: Millis = 25;
/** Round trip of 24 ms between regions and the 20 ms of a batch, doubled because the volume is billed. */
const regionLinkCostMs: Millis = 90;
/** First wait before an unanswered acquire is repeated. It doubles, since a long wait is mostly a place in a queue. */
const askAgainMs: Millis = 1000;
const maxAskAgainMs: Millis = 8000;

/** Decides for one daemon. Updates `state` in place and returns it with the actions to carry out, in order. */
export function decide(state: DaemonState, event: DaemonEvent, now: Millis): Outcome<DaemonState, DaemonAction> {
	const turn = new Turn(state, now);
	turn.receive(event);
	return {state, actions: turn.actions};
}

/** One call of `decide`: passes events between the parts of the daemon and collects actions. */
class Turn {
	readonly actions: DaemonAction[] = [];

	constructor(private readonly state: DaemonState, private readonly now: Millis) {}

	receive(event: DaemonEvent): void {
		switch (event.kind) {
			case 'request': {
				this.startRequest(event.request);
				break;
			}

			case 'caller-left': {
				this.dropCaller(event.requestId);
				break;
			}

			case 'relay-unsent': {
				this.route({
					kind: 'failed', attempt: event.attempt, failure: 'relay-lost', sent: false,
				});
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

			case 'vm-list': {
				this.updateMembership({kind: 'vm-list', vms: event.vms});
				break;
			}

			case 'row-answer': {
				if (this.state.claims.pending.has(event.call)) {
					this.claim({kind: 'answer', call: event.call, answer: event.answer});
					break;
				}

				this.configure({kind: 'answer', call: event.call, answer: event.answer});
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

	private tick(): void {
		this.updateMembership({kind: 'tick'});
		this.configure({kind: 'tick', call: this.nextCall()});
		this.claim({kind: 'tick'});
		this.route({kind: 'tick'});
		this.askAgain();
		this.sendFrames();
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		const isIdle = this.state.router.requests.size === 0 && isClaimsIdle(this.state.claims);
		if (this.state.leaving && !this.state.stopped && isIdle) {
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

		if (!request.idempotent) {
			this.state.origins.set(requestId, {kind: 'caller'});
			this.claim({kind: 'claim', request, nonce: `${this.state.self}.${this.state.incarnation}.${requestId}`});
			return;
		}

		const refusal = takeKey(this.state.keys, request, this.now);
		if (refusal !== undefined) {
			this.reject(requestId, 'overloaded', refusal);
			return;
		}

		this.state.origins.set(requestId, {kind: 'caller'});
		this.route({kind: 'request', request, places: this.placesOf(request.pool)});
	}

	/** A claimed request that may have been sent runs on without its caller, so that its outcome is recorded. */
	private dropCaller(requestId: RequestId): void {
		this.state.origins.delete(requestId);
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
			.filter(([name, pools]) => name !== dataCentre && pools.includes(pool) && liveDaemons(membership, name as DataCentreId).length > 0)
			.map(([name]) => ({dataCentre: name as DataCentreId, costMs: site.dataCentres[name]?.region === homeRegion ? linkCostMs : regionLinkCostMs}))
			.sort((a, b) => a.costMs - b.costMs);
		return {shards, dataCentres};
	}

	private receiveMessage(from: DaemonId, message: PeerMessage): void {
		switch (message.kind) {
			case 'heartbeat': {
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
				this.state.acquires.delete(message.attempt);
				this.route({...message, kind: 'refused'});
				break;
			}

			case 'release': {
				this.schedule(message.shard, {kind: 'release', release: message});
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
				this.configure({...message, kind: 'offered'});
				break;
			}

			case 'configuration-pull': {
				this.configure({kind: 'pulled', from, haveVersion: message.haveVersion});
				break;
			}
		}
	}

	/** A grant for an attempt that has ended goes back to its owner, or the slot would stay taken. */
	private receiveGrant(from: DaemonId, grant: Extract<PeerMessage, {kind: 'grant'}>): void {
		this.state.acquires.delete(grant.attempt);
		if (this.state.router.attempts.has(grant.attempt)) {
			this.route({...grant, kind: 'granted'});
			return;
		}

		const shard = this.state.site === undefined ? undefined : shardOf(this.state.site, this.state.dataCentre, grant.upstream);
		if (shard !== undefined) {
			this.sendOrReceive(from, {
				kind: 'release', attempt: grant.attempt, shard, result: 'cancelled', tokens: 0, generationMs: 0,
			});
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

	private startRelayed(from: DaemonId, relay: Relay): void {
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
			this.applyScheduling(action);
		}
	}

	private applyScheduling(action: SchedulerAction): void {
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

	private sendAcquire(acquire: Extract<PeerMessage, {kind: 'acquire'}>, deadlineAt: Millis = this.now + acquire.remainingMs, waitMs: Millis = askAgainMs): void {
		const owner = shardOwner(this.state.membership, acquire.shard);
		if (owner === undefined) {
			this.route({
				kind: 'refused', attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: notOwnerRetryMs,
			});
			return;
		}

		this.state.acquires.set(acquire.attempt, {
			acquire, to: owner, deadlineAt, askAgainAt: this.now + waitMs, waitMs,
		});
		this.sendOrReceive(owner, {...acquire, remainingMs: deadlineAt - this.now});
	}

	private sendRelay(dataCentre: DataCentreId, relay: Relay): void {
		const to = ownerIn(this.state.membership, dataCentre, relay.attempt);
		if (to === undefined) {
			this.route({
				kind: 'failed', attempt: relay.attempt, failure: 'relay-lost', sent: false,
			});
			return;
		}

		this.state.relays.sentTo.set(relay.attempt, to);
		this.actions.push({kind: 'send', to, message: relay});
	}

	private answer(action: AnswerAction): void {
		const origin = this.state.origins.get(action.requestId);
		if (action.kind !== 'deliver') {
			this.state.origins.delete(action.requestId);
			releaseKey(this.state.keys, action.requestId, this.now);
		}

		if (origin?.kind === 'caller') {
			this.actions.push(action);
		}

		if (origin?.kind === 'relay') {
			this.answerRelay(origin, action);
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
				this.actions.push({
					kind: 'send', to: action.to, message: {
						kind: 'heartbeat',
						dataCentre: this.state.dataCentre,
						incarnation: this.state.incarnation,
						configurationVersion: this.state.configuration.version,
						leaving: action.leaving,
						leavingUpstreams: action.leavingUpstreams,
					},
				});
				break;
			}

			case 'daemon-lost': {
				for (const shard of this.state.schedulers.keys()) {
					this.schedule(shard, {kind: 'daemon-lost', daemon: action.daemon});
				}

				this.loseRelays(action.daemon);
				break;
			}

			case 'changed': {
				this.refreshShards();
				break;
			}
		}
	}

	/** Relays that ran on a lost daemon have failed; those that ran for it have no reader any more. */
	private loseRelays(daemon: DaemonId): void {
		// Collected first, since a retry may go to the same daemon after its restart.
		const lost = [...this.state.relays.sentTo].filter(([, to]) => to === daemon).map(([attempt]) => attempt);
		for (const attempt of lost) {
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

		for (const [shard, upstreams] of shards) {
			if (shardOwner(membership, shard) === self) {
				schedulers.set(shard, schedulers.get(shard) ?? createScheduler());
				this.schedule(shard, {kind: 'upstreams-changed', upstreams});
			}
		}

		for (const open of acquires.values()) {
			if (shardOwner(membership, open.acquire.shard) !== open.to) {
				this.sendAcquire(open.acquire, open.deadlineAt);
			}
		}
	}

	/** An answer may have been lost. The owner knows the attempt, so that asking again changes no place in its queue. */
	private askAgain(): void {
		for (const open of this.state.acquires.values()) {
			if (open.askAgainAt <= this.now) {
				this.sendAcquire(open.acquire, open.deadlineAt, Math.min(maxAskAgainMs, 2 * open.waitMs));
			}
		}
	}

	private configure(event: ConfigurationEvent): void {
		const outcome = decideConfiguration(this.state.configuration, event, this.now);
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
				this.actions.push({
					kind: 'write-row', call: action.call, table: configurationTable, key: configurationKey, expectedVersion: action.expectedVersion, value: action.document,
				});
				break;
			}

			case 'in-effect': {
				this.state.site = siteConfiguration(JSON.parse(action.document) as ConfigurationDocument, this.state.dataCentre);
				this.route({kind: 'policy', ...this.state.site.policy});
				this.actions.push({kind: 'configuration-in-effect', version: action.version, document: action.document});
				this.refreshShards();
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
				for (const to of this.state.membership.peers.keys()) {
					this.actions.push({kind: 'send', to, message: {kind: 'configuration', version: action.version, document: action.document}});
				}

				break;
			}

			case 'send': {
				this.actions.push({kind: 'send', to: action.to, message: {kind: 'configuration', version: action.version, document: action.document}});
				break;
			}

			case 'pull': {
				this.actions.push({kind: 'send', to: action.from, message: {kind: 'configuration-pull', haveVersion: action.haveVersion}});
				break;
			}
		}
	}
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
		kind: 'apply-refused',
		call: action.call,
		currentVersion: 0,
		currentDocument: '',
		problem: new ProblemError({
			kind: 'store-unavailable',
			detail: 'the table service did not confirm the change',
			remedy: 'check "cicadapost config show" and apply again after Retry-After',
			outcome: 'unknown',
			retryAfterMs: 5000,
		}),
	};
}
