import {decideMembership, type MembershipAction, type MembershipEvent} from '@cicadapost/membership';
import type {DaemonId, DataCentreId} from '@cicadapost/types';
import {EventHandler} from './event-handler.js';

/** Tracks which daemons are alive and handles the consequences of a change. */
export class MembershipHandler extends EventHandler {
	dataCentreOf(daemon: DaemonId): DataCentreId | undefined {
		const {peers, listed} = this.state.membership;
		return peers.get(daemon)?.dataCentre ?? listed.get(daemon)?.dataCentre;
	}

	updateMembership(event: MembershipEvent): void {
		const outcome = decideMembership(this.state.membership, event, this.now);
		this.state.membership = outcome.state;
		for (const action of outcome.actions) {
			this.applyMembershipAction(action);
		}
	}

	private applyMembershipAction(action: MembershipAction): void {
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
				this.handleDaemonLost(action.daemon);
				break;
			}

			case 'changed': {
				this.context.shards.refreshShards();
				this.context.rollouts.refreshStepOwners();
				break;
			}
		}
	}

	/** Fails the relays that ran on a lost daemon, and cancels those that ran for it and have no reader any more. */
	private handleDaemonLost(daemon: DaemonId): void {
		for (const shard of this.state.schedulers.keys()) {
			this.context.shards.schedule(shard, {kind: 'daemon-lost', daemon});
		}

		// Collected first, since a retry may go to the same daemon after its restart.
		const lost = [...this.state.relays.sentTo].filter(([, to]) => to === daemon).map(([attempt]) => attempt);
		for (const attempt of lost) {
			this.state.relays.sentTo.delete(attempt);
			this.context.router.route({
				kind: 'failed', attempt, failure: 'relay-lost', sent: true,
			});
		}

		for (const [requestId, stream] of this.state.relays.streams) {
			const entry = this.state.router.requests.get(requestId);
			// A non-idempotent request must not be stopped halfway, since it can't be run again.
			if (stream.to === daemon && entry?.request.idempotent === true) {
				this.context.relays.cancelRelayedRequest(stream.attempt);
			}
		}
	}
}
