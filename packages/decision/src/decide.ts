/** The decisions of a whole daemon behind one function. It holds no socket, clock, timer or randomness. */

import {
	configurationKey, configurationTable, decideConfiguration, type ConfigurationAction, type ConfigurationEvent,
} from '@cicadapost/configuration';
import {ProblemError} from '@cicadapost/errors';
import {
	decideMembership, firstGatewayPeers, isReachable, isSettled, ownsInDataCentre, relayTarget, type MembershipAction, type MembershipEvent,
} from '@cicadapost/membership';
import {
	decideRouting, type PoolPlaces, type RouterAction, type RouterEvent,
} from '@cicadapost/routing';
import {
	createScheduler, decideScheduling, type SchedulerAction, type SchedulerEvent,
} from '@cicadapost/scheduling';
import {siteConfiguration} from '@cicadapost/settings';
import type {
	Acquire, AttemptId, CallId, ConfigurationMessage, DaemonId, DataCentreId, Millis, Outcome, PeerMessage, PoolId, Relay, Request, RequestId, ShardId, UpstreamId,
} from '@cicadapost/types';
import type {DaemonState, OpenAcquire} from './daemon-state.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {documentFault, parseDocument} from './parse-document.js';
import {
	answerPoolLeases, holdsLease, receiveOrderAnswer, receiveOrderStatus, receiveWeights, tickPoolLeases,
} from './pool-leases.js';
import {shardOwner, shardsOf} from './shards.js';

const notOwnerRetryMs = 200;
/** An `acquire` is repeated while it waits: it may have been lost, or the owner may have passed the shard on and got it back. */
const acquireRepeatMs = 1000;
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
				this.configure({kind: 'answer', call: event.call, answer: event.answer});
				answerPoolLeases(this.state, event.call, event.answer, this.now);
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
		const relayedFor = [...this.state.origins.values()].map(origin => (origin.kind === 'relay' ? origin.from : undefined));
		const inUse = new Set([...this.state.relays.values(), ...relayedFor.filter(daemon => daemon !== undefined)]);
		this.updateMembership({kind: 'tick', inUse});
		this.configure({kind: 'tick', call: this.nextCall(), isPoller: ownsInDataCentre(this.state.membership, configurationKey)});
		this.actions.push(...tickPoolLeases(this.state, this.now, () => this.nextCall()));
		this.readStates();
		this.repeatAcquires();
		this.route({kind: 'tick'});
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		const {leaving, stopped, router, configuration, schedulers} = this.state;
		// The last daemons of a data centre keep shards, and other daemons' requests in them, until those have ended.
		const isIdle = router.requests.size === 0 && configuration.applies.size === 0 && !holdsLease(this.state, this.now)
			&& [...schedulers.values()].every(scheduler => scheduler.waiting.length === 0 && scheduler.running.size === 0);
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
			.filter(([name, pools]) => name !== dataCentre && pools.includes(pool) && isReachable(membership, name as DataCentreId))
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
				if (message.reason === 'not-owner' && this.retryAcquire(from, message.attempt)) {
					break;
				}

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
				this.state.relays.delete(message.attempt);
				this.route({...message, kind: 'finished'});
				break;
			}

			case 'relay-failed': {
				this.state.relays.delete(message.attempt);
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
				this.receiveConfiguration(from, message);
				break;
			}

			case 'configuration-pull': {
				this.configure({kind: 'pulled', from, haveVersion: message.haveVersion});
				break;
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
				this.cancelRelay(action.attempt);
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

	private sendAcquire(acquire: Acquire): void {
		const {membership, acquires} = this.state;
		const owner = shardOwner(membership, acquire.shard);
		if (owner === undefined && isSettled(membership)) {
			acquires.delete(acquire.attempt);
			this.route({
				kind: 'refused', attempt: acquire.attempt, reason: 'no-upstream', retryAfterMs: notOwnerRetryMs,
			});
			return;
		}

		const retryAt = this.now + (owner === undefined ? notOwnerRetryMs : acquireRepeatMs);
		acquires.set(acquire.attempt, {
			acquire, to: owner, sentAt: this.now, retryAt,
		});
		if (owner !== undefined) {
			this.sendOrReceive(owner, acquire);
		}
	}

	private resendAcquire({acquire, sentAt}: OpenAcquire): void {
		this.sendAcquire({...acquire, remainingMs: acquire.remainingMs - (this.now - sentAt)});
	}

	/** Asks again after `from` turned out not to be the owner. False if the refusal is final. */
	private retryAcquire(from: DaemonId, attempt: AttemptId): boolean {
		const open = this.state.acquires.get(attempt);
		if (open?.to !== from) {
			// The refusal is late: the acquire has been granted, or has been sent to another daemon since.
			return true;
		}

		if (!this.placesOf(open.acquire.request.pool).shards.includes(open.acquire.shard)) {
			return false;
		}

		if (shardOwner(this.state.membership, open.acquire.shard) === from) {
			// Views differ for a moment while a shard moves.
			this.state.acquires.set(attempt, {...open, retryAt: this.now + notOwnerRetryMs});
		} else {
			this.resendAcquire(open);
		}

		return true;
	}

	private repeatAcquires(): void {
		for (const open of this.state.acquires.values()) {
			if (this.now >= open.retryAt) {
				this.resendAcquire(open);
			}
		}
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

		this.state.relays.set(relay.attempt, to);
		this.actions.push({kind: 'send', to, message: relay});
	}

	private cancelRelay(attempt: AttemptId): void {
		const to = this.state.relays.get(attempt);
		this.state.relays.delete(attempt);
		if (to !== undefined) {
			this.actions.push({kind: 'send', to, message: {kind: 'cancel-relay', attempt}});
		}
	}

	private receiveUnsent(to: DaemonId, message: PeerMessage): void {
		this.updateMembership({kind: 'unreachable', daemon: to});
		if (message.kind === 'relay') {
			this.state.relays.delete(message.attempt);
			this.route({
				kind: 'failed', attempt: message.attempt, failure: 'relay-lost', sent: false,
			});
		}
	}

	/** Ends what a lost daemon ran for this one, and what this one ran for it. */
	private loseDaemon(daemon: DaemonId): void {
		for (const shard of this.state.schedulers.keys()) {
			this.schedule(shard, {kind: 'daemon-lost', daemon});
		}

		for (const [attempt, to] of this.state.relays) {
			if (to === daemon) {
				this.state.relays.delete(attempt);
				this.route({
					kind: 'failed', attempt, failure: 'relay-lost', sent: true,
				});
			}
		}

		for (const [requestId, origin] of this.state.origins) {
			if (origin.kind === 'relay' && origin.from === daemon) {
				this.state.origins.delete(requestId);
				this.route({kind: 'caller-left', requestId});
			}
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

		const owned = new Set<UpstreamId>();
		for (const [shard, upstreams] of shards) {
			if (shardOwner(membership, shard) === self) {
				for (const {upstream} of upstreams.filter(({upstream}) => site.pools[site.upstreams[upstream]?.pool ?? '']?.kind === 'engine')) {
					owned.add(upstream);
				}

				schedulers.set(shard, schedulers.get(shard) ?? createScheduler());
				this.schedule(shard, {kind: 'upstreams-changed', upstreams});
			}
		}

		this.useOwnedUpstreams(owned);
		for (const open of acquires.values()) {
			if (shardOwner(membership, open.acquire.shard) !== open.to) {
				this.resendAcquire(open);
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
					this.actions.push({kind: 'configuration-in-effect', version: action.version, document: action.document});
					this.refreshShards();
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
