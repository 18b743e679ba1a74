/** What the parts of a daemon share while one event is decided. */

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

/** Retry-After for a daemon that asked one which is not the owner: the views of both agree within a heartbeat. */
export const notOwnerRetryMs = 200;

/** Actions by which a request's caller gets something. */
export type AnswerAction = Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>;

/** The parts by name, so that each can hand events to the others. */
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

/** One part of a daemon: where its events and its actions meet. */
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
