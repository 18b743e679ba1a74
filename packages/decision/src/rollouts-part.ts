import {
	decideRollouts, stepsToOwn, type RolloutAction, type RolloutEvent,
} from '@cicadapost/rollouts';
import type {PoolDestinations} from '@cicadapost/routing';
import type {PoolId} from '@cicadapost/types';
import type {DaemonEvent} from './events.js';
import {checkTrainerCall, sampleRequest, stepOwner} from './rollout-steps.js';
import {TurnPart} from './turn-part.js';

/** Training steps: calls of trainers, the samples that they start, and the owners of steps. */
export class RolloutsPart extends TurnPart {
	/** Many samples of a pool may start in one call. */
	private readonly samplePlaces = new Map<PoolId, PoolDestinations>();

	startTrainerCall(event: Extract<DaemonEvent, {kind: 'trainer-call'}>): void {
		const {call, member, request} = event;
		const problem = checkTrainerCall(this.state, member, request);
		if (problem !== undefined) {
			this.actions.push({kind: 'trainer-answer', call, answer: {kind: 'problem', problem}});
			return;
		}

		this.rollOut({
			kind: 'call', call, from: undefined, member, request, owner: stepOwner(this.state, member, request.step), mayForward: true,
		});
	}

	rollOut(event: RolloutEvent): void {
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
				const dataCentre = this.turn.members.dataCentreOf(to);
				if (dataCentre !== undefined && dataCentre !== this.state.dataCentre) {
					this.turn.members.updateMembership({kind: 'relay-to', dataCentre});
				}

				this.actions.push({kind: 'send', to, message: {...message, kind: 'rollout-call'}});
				break;
			}

			case 'start-sample': {
				this.state.origins.set(action.requestId, {kind: 'rollout'});
				const places = this.samplePlaces.get(action.pool) ?? this.turn.router.placesOf(action.pool);
				this.samplePlaces.set(action.pool, places);
				this.turn.router.route({kind: 'request', request: sampleRequest(action, this.now), destinations: places});
				break;
			}

			case 'cancel-sample': {
				this.state.origins.delete(action.requestId);
				this.turn.requests.endCap(action.requestId, {kind: 'unknown'});
				this.turn.router.route({kind: 'caller-left', requestId: action.requestId});
				break;
			}

			default: {
				this.actions.push(action);
			}
		}
	}

	/** Tells the rollouts which daemon owns each step now. */
	refreshSteps(): void {
		const owners = new Map(stepsToOwn(this.state.rollouts).map(({key, member, step}) => [key, stepOwner(this.state, member, step)]));
		if (owners.size > 0) {
			this.rollOut({kind: 'owners', owners});
		}
	}
}
