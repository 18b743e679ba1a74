/** The decision logic of a daemon behind one function, without sockets, clocks, timers or randomness. */

import {isClaimsIdle} from '@cicadapost/claims';
import {configurationKey} from '@cicadapost/configuration';
import {ownsInDataCentre} from '@cicadapost/membership';
import {areRolloutsIdle} from '@cicadapost/rollouts';
import {waitingCount} from '@cicadapost/scheduling';
import type {
	CallId, DaemonId, Millis, DecisionResult, PeerMessage,
} from '@cicadapost/types';
import {
	isCapMessage, isCapsCall, receiveCapMessage, receiveCapRow, tickCaps,
} from './caps.js';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {
	handleLeaseAnswer, holdsLease, handleOrderAnswer, handleOrderStatus, handleWeights, tickPoolLeases,
} from './pool-leases.js';
import {stepOwner} from './rollout-steps.js';
import {RequestHandler} from './request-handler.js';
import {RolloutHandler} from './rollout-handler.js';
import {RelayHandler} from './relay-handler.js';
import {GrantHandler} from './grant-handler.js';
import {ShardHandler} from './shard-handler.js';
import {RoutingHandler} from './routing-handler.js';
import {MembershipHandler} from './membership-handler.js';
import {ConfigurationHandler} from './configuration-handler.js';
import type {HandlerContext} from './event-handler.js';

/** Handles one event of a daemon. Updates `state` in place and returns it with the actions to carry out, in order. */
export function decide(state: DaemonState, event: DaemonEvent, now: Millis): DecisionResult<DaemonState, DaemonAction> {
	const dispatcher = new EventDispatcher(state, now);
	dispatcher.dispatch(event);
	return {state, actions: dispatcher.actions};
}

/** Dispatches the event of one `decide` call to the handlers, which may pass events to each other, and collects their actions. */
class EventDispatcher implements HandlerContext {
	readonly actions: DaemonAction[] = [];
	readonly requests: RequestHandler = new RequestHandler(this);
	readonly rollouts: RolloutHandler = new RolloutHandler(this);
	readonly relays: RelayHandler = new RelayHandler(this);
	readonly grants: GrantHandler = new GrantHandler(this);
	readonly shards: ShardHandler = new ShardHandler(this);
	readonly router: RoutingHandler = new RoutingHandler(this);
	readonly members: MembershipHandler = new MembershipHandler(this);
	readonly configuration: ConfigurationHandler = new ConfigurationHandler(this);

	constructor(readonly state: DaemonState, readonly now: Millis) {}

	dispatch(event: DaemonEvent): void {
		// After a pause of the process, stale views are dropped before any decision uses them.
		this.members.updateMembership({kind: 'time'});
		this.shards.resetStateReadsAfterPause();
		switch (event.kind) {
			case 'request': {
				this.requests.startRequest(event.request);
				break;
			}

			case 'caller-left': {
				this.requests.handleCallerLeft(event.requestId);
				break;
			}

			case 'attempt-sent': {
				this.router.route({kind: 'sent', attempt: event.attempt});
				break;
			}

			case 'attempt-chunk': {
				this.router.route({kind: 'chunk', attempt: event.attempt, chunk: event.chunk});
				break;
			}

			case 'attempt-finished': {
				this.router.route({...event, kind: 'finished'});
				break;
			}

			case 'attempt-failed': {
				this.router.route({...event, kind: 'failed'});
				break;
			}

			case 'message': {
				this.dispatchMessage(event.from, event.message);
				break;
			}

			case 'peer-connected': {
				this.members.updateMembership({kind: 'connected', daemon: event.daemon});
				break;
			}

			case 'message-unsent': {
				this.handleUnsentMessage(event.to, event.message);
				break;
			}

			case 'weights': {
				handleWeights(this.state, event.pool, event.version, this.now);
				break;
			}

			case 'order-answer': {
				handleOrderAnswer(this.state, event.upstream, event.isAccepted, this.now);
				break;
			}

			case 'upstream-state': {
				handleOrderStatus(this.state, event.upstream, event.status, this.now);
				this.shards.handleUpstreamState(event.upstream, event.status?.leaving);
				break;
			}

			case 'vm-list': {
				this.members.updateMembership({kind: 'vm-list', vms: event.vms});
				break;
			}

			case 'row-answer': {
				this.dispatchRowAnswer(event);
				break;
			}

			case 'list-answer':
			case 'object-answer':
			case 'trainer-left': {
				this.rollouts.handleRolloutEvent(event);
				break;
			}

			case 'trainer-call': {
				this.rollouts.startTrainerCall(event);
				break;
			}

			case 'apply-configuration': {
				this.configuration.handleConfigurationEvent({...event, kind: 'apply'});
				break;
			}

			case 'shut-down': {
				this.state.leaving = true;
				this.members.updateMembership({kind: 'leave'});
				this.stopIfIdle();
				break;
			}

			case 'flush-relays': {
				this.relays.sendFrames();
				break;
			}

			case 'tick': {
				this.tick();
				break;
			}
		}
	}

	/** Passes a response of the table service to the handler that issued the call. */
	private dispatchRowAnswer(event: Extract<DaemonEvent, {kind: 'row-answer'}>): void {
		const {call, answer} = event;
		if (this.state.claims.pending.has(call)) {
			this.requests.claim({kind: 'answer', call, answer});
			return;
		}

		if (this.state.rollouts.storeCalls.has(call)) {
			this.rollouts.handleRolloutEvent(event);
			return;
		}

		if (isCapsCall(call)) {
			this.requests.cap((context, caps) => receiveCapRow(caps, call, answer, context));
			return;
		}

		handleLeaseAnswer(this.state, call, answer, this.now);
		this.configuration.handleConfigurationEvent({kind: 'answer', call, answer});
	}

	private tick(): void {
		const {relays} = this.state;
		const inUse = new Set([...relays.sentTo.values(), ...[...relays.streams.values()].map(stream => stream.to)]);
		this.members.updateMembership({kind: 'tick', inUse});
		this.configuration.handleConfigurationEvent({kind: 'tick', call: this.nextCall(), isPoller: ownsInDataCentre(this.state.membership, configurationKey)});
		this.requests.claim({kind: 'tick'});
		this.actions.push(...tickPoolLeases(this.state, this.now, () => this.nextCall()));
		this.shards.tickStateReads();
		this.router.route({kind: 'tick'});
		this.requests.cap((context, caps) => tickCaps(caps, context));
		this.grants.retryDueAcquires();
		this.grants.resendDeathReports();
		this.relays.sendFrames();
		this.rollouts.handleRolloutEvent({kind: 'tick'});
		for (const shard of this.state.schedulers.keys()) {
			this.shards.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		const {
			leaving, stopped, router, claims, configuration, rollouts, caps, schedulers,
		} = this.state;
		// The last daemons of a data centre keep their shards, and the requests of other daemons in them, until these have ended.
		const isIdle = router.requests.size === 0 && isClaimsIdle(claims) && configuration.pendingApplies.size === 0 && areRolloutsIdle(rollouts) && caps.pending.size === 0
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

	private dispatchMessage(from: DaemonId, message: PeerMessage): void {
		if (isCapMessage(message)) {
			this.requests.cap((context, caps) => receiveCapMessage(caps, from, message, context));
			return;
		}

		switch (message.kind) {
			case 'heartbeat': {
				this.shards.sendSuspectsToNewPeer(from);
				this.members.updateMembership({kind: 'heartbeat', from, heartbeat: message});
				this.configuration.handleConfigurationEvent({kind: 'peer-version', from, version: message.configurationVersion});
				break;
			}

			case 'acquire': {
				this.shards.acquire(from, message);
				break;
			}

			case 'grant': {
				this.grants.receiveGrant(from, message);
				break;
			}

			case 'refuse': {
				this.grants.receiveRefusal(from, message);
				break;
			}

			case 'running': {
				this.shards.schedule(message.shard, {kind: 'running', from, attempts: message.attempts});
				break;
			}

			case 'suspects': {
				this.shards.receiveSuspects(from, message.entries);
				break;
			}

			case 'release': {
				this.shards.receiveRelease(message);
				break;
			}

			case 'relay': {
				this.relays.startRelayedRequest(from, message);
				break;
			}

			case 'relay-chunk': {
				this.router.route({...message, kind: 'chunk'});
				break;
			}

			case 'relay-finished': {
				this.router.route({...message, kind: 'finished'});
				break;
			}

			case 'relay-failed': {
				this.router.route({...message, kind: 'failed'});
				break;
			}

			case 'cancel-relay': {
				this.relays.cancelRelayedRequest(message.attempt);
				break;
			}

			case 'configuration': {
				this.configuration.receiveConfiguration(from, message);
				break;
			}

			case 'configuration-pull': {
				this.configuration.handleConfigurationEvent({kind: 'pulled', from, haveVersion: message.haveVersion});
				break;
			}

			case 'rollout-call': {
				this.rollouts.handleRolloutEvent({
					...message,
					kind: 'call',
					from,
					owner: stepOwner(this.state, message.member, message.request.step),
					mayForward: this.members.dataCentreOf(from) !== this.state.dataCentre,
				});
				break;
			}

			case 'rollout-answer': {
				this.rollouts.handleRolloutEvent({...message, kind: 'forward-answer'});
				break;
			}
		}
	}

	/** Sends a message to a peer, or dispatches it directly if it is addressed to this daemon. */
	sendOrHandleLocally(to: DaemonId, message: PeerMessage): void {
		if (to === this.state.self) {
			this.dispatchMessage(to, message);
			return;
		}

		this.actions.push({kind: 'send', to, message});
	}

	private handleUnsentMessage(to: DaemonId, message: PeerMessage): void {
		this.members.updateMembership({kind: 'unreachable', daemon: to});
		if (message.kind === 'relay') {
			this.state.relays.sentTo.delete(message.attempt);
			this.router.route({
				kind: 'failed', attempt: message.attempt, failure: 'relay-lost', sent: false,
			});
		}
	}
}
