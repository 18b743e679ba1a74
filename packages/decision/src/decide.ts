/** The decisions of a whole daemon behind one function. It holds no socket, clock, timer or randomness. */

import {isClaimsIdle} from '@cicadapost/claims';
import {configurationKey} from '@cicadapost/configuration';
import {ownsInDataCentre} from '@cicadapost/membership';
import {areRolloutsIdle} from '@cicadapost/rollouts';
import {waitingCount} from '@cicadapost/scheduling';
import type {
	CallId, DaemonId, Millis, Outcome, PeerMessage,
} from '@cicadapost/types';
import {
	isCapMessage, isCapsCall, receiveCapMessage, receiveCapRow, tickCaps,
} from './caps-part.js';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction, DaemonEvent} from './events.js';
import {
	answerPoolLeases, holdsLease, receiveOrderAnswer, receiveOrderStatus, receiveWeights, tickPoolLeases,
} from './pool-leases.js';
import {stepOwner} from './rollout-steps.js';
import {RequestsPart} from './requests-part.js';
import {RolloutsPart} from './rollouts-part.js';
import {RelaysPart} from './relays-part.js';
import {GrantsPart} from './grants-part.js';
import {ShardsPart} from './shards-part.js';
import {RouterPart} from './router-part.js';
import {MembersPart} from './members-part.js';
import {ConfigurationPart} from './configuration-part.js';
import type {Parts} from './turn-part.js';

/** Decides for one daemon. Updates `state` in place and returns it with the actions to carry out, in order. */
export function decide(state: DaemonState, event: DaemonEvent, now: Millis): Outcome<DaemonState, DaemonAction> {
	const turn = new Turn(state, now);
	turn.receive(event);
	return {state, actions: turn.actions};
}

/** One call of `decide`: hands events to the parts of the daemon, which pass events to each other, and collects actions. */
class Turn implements Parts {
	readonly actions: DaemonAction[] = [];
	readonly requests: RequestsPart = new RequestsPart(this);
	readonly rollouts: RolloutsPart = new RolloutsPart(this);
	readonly relays: RelaysPart = new RelaysPart(this);
	readonly grants: GrantsPart = new GrantsPart(this);
	readonly shards: ShardsPart = new ShardsPart(this);
	readonly router: RouterPart = new RouterPart(this);
	readonly members: MembersPart = new MembersPart(this);
	readonly configuration: ConfigurationPart = new ConfigurationPart(this);

	constructor(readonly state: DaemonState, readonly now: Millis) {}

	receive(event: DaemonEvent): void {
		// A process that was paused drops the views that have become old before it decides anything by them.
		this.members.updateMembership({kind: 'time'});
		this.shards.noticePause();
		switch (event.kind) {
			case 'request': {
				this.requests.startRequest(event.request);
				break;
			}

			case 'caller-left': {
				this.requests.dropCaller(event.requestId);
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
				this.receiveMessage(event.from, event.message);
				break;
			}

			case 'peer-connected': {
				this.members.updateMembership({kind: 'connected', daemon: event.daemon});
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
				this.shards.receiveState(event.upstream, event.status?.leaving);
				break;
			}

			case 'vm-list': {
				this.members.updateMembership({kind: 'vm-list', vms: event.vms});
				break;
			}

			case 'row-answer': {
				this.receiveRow(event);
				break;
			}

			case 'list-answer':
			case 'object-answer':
			case 'trainer-left': {
				this.rollouts.rollOut(event);
				break;
			}

			case 'trainer-call': {
				this.rollouts.startTrainerCall(event);
				break;
			}

			case 'apply-configuration': {
				this.configuration.configure({...event, kind: 'apply'});
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

	/** Hands the answer of the table service to the part that waits for it. */
	private receiveRow(event: Extract<DaemonEvent, {kind: 'row-answer'}>): void {
		const {call, answer} = event;
		if (this.state.claims.pending.has(call)) {
			this.requests.claim({kind: 'answer', call, answer});
			return;
		}

		if (this.state.rollouts.storeCalls.has(call)) {
			this.rollouts.rollOut(event);
			return;
		}

		if (isCapsCall(call)) {
			this.requests.cap((context, caps) => receiveCapRow(caps, call, answer, context));
			return;
		}

		answerPoolLeases(this.state, call, answer, this.now);
		this.configuration.configure({kind: 'answer', call, answer});
	}

	private tick(): void {
		const {relays} = this.state;
		const inUse = new Set([...relays.sentTo.values(), ...[...relays.streams.values()].map(stream => stream.to)]);
		this.members.updateMembership({kind: 'tick', inUse});
		this.configuration.configure({kind: 'tick', call: this.nextCall(), isPoller: ownsInDataCentre(this.state.membership, configurationKey)});
		this.requests.claim({kind: 'tick'});
		this.actions.push(...tickPoolLeases(this.state, this.now, () => this.nextCall()));
		this.shards.tickStates();
		this.router.route({kind: 'tick'});
		this.requests.cap((context, caps) => tickCaps(caps, context));
		this.grants.askAgain();
		this.grants.repeatDeathReports();
		this.relays.sendFrames();
		this.rollouts.rollOut({kind: 'tick'});
		for (const shard of this.state.schedulers.keys()) {
			this.shards.schedule(shard, {kind: 'tick'});
		}

		this.stopIfIdle();
	}

	private stopIfIdle(): void {
		const {
			leaving, stopped, router, claims, configuration, rollouts, caps, schedulers,
		} = this.state;
		// The last daemons of a data centre keep shards, and other daemons' requests in them, until those have ended.
		const isIdle = router.requests.size === 0 && isClaimsIdle(claims) && configuration.applies.size === 0 && areRolloutsIdle(rollouts) && caps.asked.size === 0
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

	private receiveMessage(from: DaemonId, message: PeerMessage): void {
		if (isCapMessage(message)) {
			this.requests.cap((context, caps) => receiveCapMessage(caps, from, message, context));
			return;
		}

		switch (message.kind) {
			case 'heartbeat': {
				this.shards.greet(from);
				this.members.updateMembership({kind: 'heartbeat', from, heartbeat: message});
				this.configuration.configure({kind: 'peer-version', from, version: message.configurationVersion});
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
				this.relays.startRelayed(from, message);
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
				this.relays.cancelRelayed(message.attempt);
				break;
			}

			case 'configuration': {
				this.configuration.receiveConfiguration(from, message);
				break;
			}

			case 'configuration-pull': {
				this.configuration.configure({kind: 'pulled', from, haveVersion: message.haveVersion});
				break;
			}

			case 'rollout-call': {
				this.rollouts.rollOut({
					...message,
					kind: 'call',
					from,
					owner: stepOwner(this.state, message.member, message.request.step),
					mayForward: this.members.dataCentreOf(from) !== this.state.dataCentre,
				});
				break;
			}

			case 'rollout-answer': {
				this.rollouts.rollOut({...message, kind: 'forward-answer'});
				break;
			}
		}
	}

	/** Sends to a peer, or hands a message for this daemon straight to the part concerned. */
	sendOrReceive(to: DaemonId, message: PeerMessage): void {
		if (to === this.state.self) {
			this.receiveMessage(to, message);
			return;
		}

		this.actions.push({kind: 'send', to, message});
	}

	private receiveUnsent(to: DaemonId, message: PeerMessage): void {
		this.members.updateMembership({kind: 'unreachable', daemon: to});
		if (message.kind === 'relay') {
			this.state.relays.sentTo.delete(message.attempt);
			this.router.route({
				kind: 'failed', attempt: message.attempt, failure: 'relay-lost', sent: false,
			});
		}
	}
}
