/** The decisions of a whole daemon behind one function. It holds no socket, clock, timer or randomness. */

import {
	configurationKey, configurationTable, decideConfiguration, type ConfigurationAction, type ConfigurationEvent,
} from '@cicadapost/configuration';
import {ProblemError} from '@cicadapost/errors';
import {
	decideMembership, liveDaemons, ownerIn, type MembershipAction, type MembershipEvent,
} from '@cicadapost/membership';
import {
	decideRollouts, isRolloutsIdle, stepsToOwn, type RolloutAction, type RolloutEvent,
} from '@cicadapost/rollouts';
import {
	decideRouting, type PoolPlaces, type RouterAction, type RouterEvent,
} from '@cicadapost/routing';
import {
	createScheduler, decideScheduling, type SchedulerAction, type SchedulerEvent,
} from '@cicadapost/scheduling';
import {siteConfiguration, type ConfigurationDocument} from '@cicadapost/settings';
import type {
	CallId, DaemonId, DataCentreId, Millis, Outcome, PeerMessage, PoolId, Relay, Request, RequestId, ShardId,
} from '@cicadapost/types';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {
	checkTrainerCall, sampleEvent, sampleRequest, stepOwner,
} from './rollout-steps.js';
import {shardOwner, shardsOf} from './shards.js';

const notOwnerRetryMs = 200;

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
		switch (event.kind) {
			case 'request': {
				this.startRequest(event.request);
				break;
			}

			case 'caller-left': {
				this.state.origins.delete(event.requestId);
				this.route({kind: 'caller-left', requestId: event.requestId});
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
				if (this.state.rollouts.calls.has(event.call)) {
					this.rollOut(event);
					break;
				}

				this.configure({kind: 'answer', call: event.call, answer: event.answer});
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

			case 'tick': {
				this.tick();
				break;
			}
		}
	}

	private tick(): void {
		this.updateMembership({kind: 'tick'});
		this.configure({kind: 'tick', call: this.nextCall()});
		this.route({kind: 'tick'});
		this.rollOut({kind: 'tick'});
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		if (this.state.leaving && !this.state.stopped && this.state.router.requests.size === 0 && isRolloutsIdle(this.state.rollouts)) {
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

		if (this.state.site.pools[request.pool] === undefined) {
			this.reject(requestId, 'no-upstream', new ProblemError({
				kind: 'not-found',
				detail: `the pool "${request.pool}" does not exist`,
				remedy: 'use the name of a configured pool as "model"',
				field: 'model',
			}));
			return;
		}

		this.state.origins.set(requestId, {kind: 'caller'});
		this.route({kind: 'request', request, places: this.placesOf(request.pool)});
	}

	private reject(requestId: RequestId, cause: 'no-upstream', problem: ProblemError): void {
		this.actions.push({
			kind: 'fail', requestId, cause, sent: false, problem,
		});
	}

	private placesOf(pool: PoolId): PoolPlaces {
		const {site, dataCentre, membership} = this.state;
		if (site === undefined) {
			return {shards: [], dataCentres: []};
		}

		const shards = [...shardsOf(site, dataCentre, membership.leavingUpstreams).keys()].filter(shard => shard.split('/')[1] === pool);
		const homeRegion = site.dataCentres[dataCentre]?.region;
		const dataCentres = Object.entries(site.poolsByDataCentre)
			.filter(([name, pools]) => name !== dataCentre && pools.includes(pool) && liveDaemons(membership, name as DataCentreId).length > 0)
			.map(([name]) => name as DataCentreId)
			.sort((a, b) => Number(site.dataCentres[b]?.region === homeRegion) - Number(site.dataCentres[a]?.region === homeRegion));
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
				this.state.acquires.delete(message.attempt);
				this.route({...message, kind: 'granted'});
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
				const requestId = relayedRequestId(message.attempt);
				this.state.origins.delete(requestId);
				this.route({kind: 'caller-left', requestId});
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

			case 'rollout-call': {
				this.rollOut({
					...message, kind: 'call', from, owner: stepOwner(this.state, message.member, message.request.step),
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
			kind: 'call', call, from: undefined, member, request, owner: stepOwner(this.state, member, request.step),
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
				this.route({kind: 'caller-left', requestId: action.requestId});
				break;
			}

			default: {
				this.actions.push(action);
			}
		}
	}

	/** Tells the rollouts which daemon owns each step now. */
	private refreshSteps(): void {
		const owners = new Map(stepsToOwn(this.state.rollouts).map(({key, member, step}) => [key, stepOwner(this.state, member, step)]));
		if (owners.size > 0) {
			this.rollOut({kind: 'owners', owners});
		}
	}

	private startRelayed(from: DaemonId, relay: Relay): void {
		const requestId = relayedRequestId(relay.attempt);
		this.state.origins.set(requestId, {kind: 'relay', from, attempt: relay.attempt});
		const request: Request = {
			...relay.request,
			requestId,
			payload: relay.payload,
			deadlineAt: this.now + relay.remainingMs,
			bodyHash: '',
			mixedVersions: true,
		};
		// A relayed request stays in this data centre, so that it can't be relayed in a circle.
		const places = {...this.placesOf(relay.request.pool), dataCentres: []};
		this.route({
			kind: 'request', request, places, resumeFrom: relay.resumeFrom,
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
				// Any daemon of the other data centre may run it; a cancel for an unknown attempt is ignored.
				for (const [daemon, peer] of this.state.membership.peers) {
					if (peer.dataCentre !== this.state.dataCentre) {
						this.actions.push({kind: 'send', to: daemon, message: {kind: 'cancel-relay', attempt: action.attempt}});
					}
				}

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

	private sendAcquire(acquire: Extract<PeerMessage, {kind: 'acquire'}>): void {
		const owner = shardOwner(this.state.membership, acquire.shard);
		if (owner === undefined) {
			this.route({
				kind: 'refused', attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: notOwnerRetryMs,
			});
			return;
		}

		this.state.acquires.set(acquire.attempt, {acquire, to: owner});
		this.sendOrReceive(owner, acquire);
	}

	private sendRelay(dataCentre: DataCentreId, relay: Relay): void {
		const to = ownerIn(this.state.membership, dataCentre, relay.attempt);
		if (to === undefined) {
			this.route({
				kind: 'failed', attempt: relay.attempt, failure: 'relay-lost', sent: false,
			});
			return;
		}

		this.actions.push({kind: 'send', to, message: relay});
	}

	private answer(action: Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>): void {
		const origin = this.state.origins.get(action.requestId);
		if (action.kind !== 'deliver') {
			this.state.origins.delete(action.requestId);
		}

		if (origin?.kind === 'caller') {
			this.actions.push(action);
		}

		if (origin?.kind === 'relay') {
			this.actions.push({kind: 'send', to: origin.from, message: relayAnswer(origin.attempt, action)});
		}

		if (origin?.kind === 'rollout') {
			this.rollOut(sampleEvent(action));
		}
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

				break;
			}

			case 'changed': {
				this.refreshShards();
				this.refreshSteps();
				break;
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

		for (const {acquire, to} of acquires.values()) {
			if (shardOwner(membership, acquire.shard) !== to) {
				this.sendAcquire(acquire);
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
				this.actions.push({kind: 'configuration-in-effect', version: action.version, document: action.document});
				this.refreshShards();
				this.refreshSteps();
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

function relayAnswer(attempt: Relay['attempt'], action: Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>): PeerMessage {
	switch (action.kind) {
		case 'deliver': {
			return {kind: 'relay-chunk', attempt, chunk: action.chunk};
		}

		case 'complete': {
			return {
				kind: 'relay-finished', attempt, tokens: action.tokens, status: action.status, contentType: action.contentType,
			};
		}

		case 'fail': {
			return {
				kind: 'relay-failed', attempt, failure: action.cause, sent: action.sent, retryAfterMs: action.problem.retryAfterMs ?? 0,
			};
		}
	}
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
