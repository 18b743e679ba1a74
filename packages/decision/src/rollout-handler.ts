import {
	decideRollouts, trackedSteps, type RolloutAction, type RolloutEvent,
} from '@cicadapost/rollouts';
import type {PoolDestinations} from '@cicadapost/routing';
import type {PoolId} from '@cicadapost/types';
import type {DaemonEvent} from './events.js';
import {checkTrainerCall, sampleRequest, stepOwner} from './rollout-steps.js';
import {EventHandler} from './event-handler.js';

/** Handles trainer calls, the samples that they start, and the owners of training steps. */
export class RolloutHandler extends EventHandler {
	/** Caches the destinations of each pool, since many samples of a pool may start while one event is handled. */
	private readonly destinationsByPool = new Map<PoolId, PoolDestinations>();

	startTrainerCall(event: Extract<DaemonEvent, {kind: 'trainer-call'}>): void {
		const {call, member, request} = event;
		const problem = checkTrainerCall(this.state, member, request);
		if (problem !== undefined) {
			this.actions.push({kind: 'trainer-answer', call, answer: {kind: 'problem', problem}});
			return;
		}

		this.handleRolloutEvent({
			kind: 'call', call, from: undefined, member, request, owner: stepOwner(this.state, member, request.step), mayForward: true,
		});
	}

	handleRolloutEvent(event: RolloutEvent): void {
		const outcome = decideRollouts(this.state.rollouts, event, this.now);
		this.state.rollouts = outcome.state;
		for (const action of outcome.actions) {
			this.applyRolloutAction(action);
		}
	}

	private applyRolloutAction(action: RolloutAction): void {
		switch (action.kind) {
			case 'answer': {
				const {call, to, answer} = action;
				this.actions.push(to === undefined ? {kind: 'trainer-answer', call, answer} : {kind: 'send', to, message: {kind: 'rollout-answer', call, answer}});
				break;
			}

			case 'forward': {
				const {to, ...message} = action;
				const dataCentre = this.context.members.dataCentreOf(to);
				if (dataCentre !== undefined && dataCentre !== this.state.dataCentre) {
					this.context.members.updateMembership({kind: 'relay-to', dataCentre});
				}

				this.actions.push({kind: 'send', to, message: {...message, kind: 'rollout-call'}});
				break;
			}

			case 'start-sample': {
				this.state.origins.set(action.requestId, {kind: 'rollout'});
				const destinations = this.destinationsByPool.get(action.pool) ?? this.context.router.destinationsOf(action.pool);
				this.destinationsByPool.set(action.pool, destinations);
				this.context.router.route({kind: 'request', request: sampleRequest(action, this.now), destinations});
				break;
			}

			case 'cancel-sample': {
				this.state.origins.delete(action.requestId);
				this.context.requests.settleCap(action.requestId, {kind: 'unknown'});
				this.context.router.route({kind: 'caller-left', requestId: action.requestId});
				break;
			}

			default: {
				this.actions.push(action);
			}
		}
	}

	/** Updates the owner of each step after a change of the membership or the configuration. */
	refreshStepOwners(): void {
		const owners = new Map(trackedSteps(this.state.rollouts).map(({key, member, step}) => [key, stepOwner(this.state, member, step)]));
		if (owners.size > 0) {
			this.handleRolloutEvent({kind: 'owners', owners});
		}
	}
}
