/** What the parts of a daemon share while one event is decided. */

import type {DaemonId, Millis, PeerMessage} from '@cicadapost/types';
import type {RouterAction} from '@cicadapost/routing';
import type {DaemonState} from './daemon-state.js';
import type {DaemonAction} from './events.js';
import type {RequestsPart} from './requests-part.js';
import type {RolloutsPart} from './rollouts-part.js';
import type {RelaysPart} from './relays-part.js';
import type {GrantsPart} from './grants-part.js';
import type {ShardsPart} from './shards-part.js';
import type {RouterPart} from './router-part.js';
import type {MembersPart} from './members-part.js';
import type {ConfigurationPart} from './configuration-part.js';

/** Retry-After for a daemon that asked one which is not the owner: the views of both agree within a heartbeat. */
export const notOwnerRetryMs = 200;

/** Actions by which a request's caller gets something. */
export type AnswerAction = Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>;

/** The parts by name, so that each can hand events to the others. */
export type Parts = {
	readonly state: DaemonState;
	readonly now: Millis;
	/** Actions to carry out, in order. */
	readonly actions: DaemonAction[];
	readonly requests: RequestsPart;
	readonly rollouts: RolloutsPart;
	readonly relays: RelaysPart;
	readonly grants: GrantsPart;
	readonly shards: ShardsPart;
	readonly router: RouterPart;
	readonly members: MembersPart;
	readonly configuration: ConfigurationPart;
	sendOrReceive(to: DaemonId, message: PeerMessage): void;
};

/** One part of a daemon: where its events and its actions meet. */
export abstract class TurnPart {
	constructor(protected readonly turn: Parts) {}

	protected get state(): DaemonState {
		return this.turn.state;
	}

	protected get now(): Millis {
		return this.turn.now;
	}

	protected get actions(): DaemonAction[] {
		return this.turn.actions;
	}
}
