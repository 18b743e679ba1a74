/** Base class and shared context of the handlers that process one event of a daemon. */

import type {DaemonId, Millis, PeerMessage} from '@cicadapost/types';
import type {RouterAction} from '@cicadapost/routing';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction} from './events.js';
import type {RequestHandler} from './request-handler.js';
import type {RolloutHandler} from './rollout-handler.js';
import type {RelayHandler} from './relay-handler.js';
import type {GrantHandler} from './grant-handler.js';
import type {ShardHandler} from './shard-handler.js';
import type {RoutingHandler} from './routing-handler.js';
import type {MembershipHandler} from './membership-handler.js';
import type {ConfigurationHandler} from './configuration-handler.js';

/** Retry delay for a daemon that asked a daemon which is not the owner. Their views agree within one heartbeat. */
export const notOwnerRetryMs = 200;

/** Router actions that deliver a response or an error to the origin of a request. */
export type AnswerAction = Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>;

/** State, time, collected actions and all handlers, so that each handler can pass events to the others. */
export type HandlerContext = {
	readonly state: DaemonState;
	readonly now: Millis;
	/** Actions to carry out, in order. */
	readonly actions: DaemonAction[];
	readonly requests: RequestHandler;
	readonly rollouts: RolloutHandler;
	readonly relays: RelayHandler;
	readonly grants: GrantHandler;
	readonly shards: ShardHandler;
	readonly router: RoutingHandler;
	readonly members: MembershipHandler;
	readonly configuration: ConfigurationHandler;
	sendOrHandleLocally(to: DaemonId, message: PeerMessage): void;
};

/** Passes events to one component of a daemon, such as its router, and applies the actions that the component returns. */
export abstract class EventHandler {
	constructor(protected readonly context: HandlerContext) {}

	protected get state(): DaemonState {
		return this.context.state;
	}

	protected get now(): Millis {
		return this.context.now;
	}

	protected get actions(): DaemonAction[] {
		return this.context.actions;
	}
}
