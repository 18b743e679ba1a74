/** The decisions of a whole daemon behind one function. It holds no socket, clock, timer or randomness. */

import {
	configurationKey, configurationTable, decideConfiguration, type ConfigurationAction, type ConfigurationEvent,
} from '@cicadapost/configuration';
import {ProblemError} from '@cicadapost/errors';
import {
	decideMembership, liveDaemons, ownerIn, type MembershipAction, type MembershipEvent,
} from '@cicadapost/membership';
import {
	decideRouting, type PoolPlaces, type RouterAction, type RouterEvent,
} from '@cicadapost/routing';
import {
	allSuspects, createScheduler, decideScheduling, mergeSuspects, type SchedulerAction, type SchedulerEvent,
} from '@cicadapost/scheduling';
import {siteConfiguration, type ConfigurationDocument} from '@cicadapost/settings';
import type {
	CallId, DaemonId, DataCentreId, Millis, Outcome, PeerMessage, PoolId, Relay, Request, RequestId, ShardId,
} from '@cicadapost/types';
import {
	endUnderCap, isCapMessage, isCapsCall, receiveCapMessage, receiveCapRow, refreshMeters, startUnderCap, tickCaps, type CapsAction, type CapsContext, type CapUse,
} from './caps-part.js';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {moveGrants, withdrawal} from './held-grants.js';
import {shardOwner, shardPolicy, shardsOf} from './shards.js';

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

	constructor(private readonly state: DaemonState, private readonly now: Millis) {}

	receive(event: DaemonEvent): void {
		switch (event.kind) {
			case 'request': {
				this.startRequest(event.request);
				break;
			}

			case 'caller-left': {
				this.state.origins.delete(event.requestId);
				this.endCap(event.requestId, {kind: 'unknown'});
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
				if (isCapsCall(event.call)) {
					this.cap((context, caps) => receiveCapRow(caps, event.call, event.answer, context));
				} else {
					this.configure({kind: 'answer', call: event.call, answer: event.answer});
				}

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
		this.cap((context, caps) => tickCaps(caps, context));
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		if (this.state.leaving && !this.state.stopped && this.state.router.requests.size === 0 && this.state.caps.asked.size === 0) {
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

		this.cap((context, caps) => startUnderCap(caps, request, context));
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
				this.state.origins.set(action.request.requestId, {kind: 'caller'});
				this.route({kind: 'request', request: action.request, places: this.placesOf(action.request.pool)});
				break;
			}

			case 'refuse': {
				this.reject(action.request.requestId, 'over-cap', new ProblemError({
					kind: 'over-cap',
					detail: 'the member has used up its cap',
					remedy: 'wait for Retry-After or ask the operator for a larger cap',
					retryAfterMs: action.retryAfterMs,
				}));
				break;
			}

			case 'read-row':
			case 'write-row': {
				this.actions.push(action);
				break;
			}
		}
	}

	private endCap(requestId: RequestId, use: CapUse): void {
		this.cap((context, caps) => endUnderCap(caps, requestId, use, context));
	}

	private reject(requestId: RequestId, cause: 'no-upstream' | 'over-cap', problem: ProblemError): void {
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
				if (this.state.acquires.get(message.attempt)?.to === from) {
					this.state.acquires.delete(message.attempt);
					this.route({...message, kind: 'refused'});
				}

				break;
			}

			case 'running': {
				this.schedule(message.shard, {kind: 'running', from, attempts: message.attempts});
				break;
			}

			case 'suspects': {
				mergeSuspects(this.state.suspects, message.entries, this.now);
				this.tellSchedulers();
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
		}
	}

	/** Accepts a slot from the daemon that was asked for it. An earlier owner of the shard may answer late. */
	private receiveGrant(from: DaemonId, message: Extract<PeerMessage, {kind: 'grant'}>): void {
		const open = this.state.acquires.get(message.attempt);
		if (open === undefined) {
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

	private tellSchedulers(except?: ShardId): void {
		for (const shard of this.state.schedulers.keys()) {
			if (shard !== except) {
				this.schedule(shard, {kind: 'suspects-changed'});
			}
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
			this.endCap(action.requestId, capUse(action));
		}

		if (origin?.kind === 'caller') {
			this.actions.push(action);
		}

		if (origin?.kind === 'relay') {
			this.actions.push({kind: 'send', to: origin.from, message: relayAnswer(origin.attempt, action)});
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
				schedulers.set(shard, schedulers.get(shard) ?? createScheduler({suspects: this.state.suspects}));
				this.schedule(shard, {kind: 'upstreams-changed', upstreams, ...shardPolicy(site, shard)});
			}
		}

		this.cap((context, caps) => {
			refreshMeters(caps, context);
			return [];
		});
		// New owners hear first what runs already, so that they do not grant the same slots again.
		for (const {to, message} of moveGrants(this.state.grants, shard => shardOwner(membership, shard), this.now)) {
			this.sendOrReceive(to, message);
		}

		for (const {acquire, to} of acquires.values()) {
			if (shardOwner(membership, acquire.shard) !== to) {
				this.sendOrReceive(to, withdrawal(acquire));
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

function capUse(action: Extract<RouterAction, {kind: 'complete' | 'fail'}>): CapUse {
	if (action.kind === 'complete') {
		return {kind: 'completed', tokens: action.tokens};
	}

	return action.sent ? {kind: 'unknown'} : {kind: 'not-sent'};
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
