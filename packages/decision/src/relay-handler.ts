import {relayTarget} from '@cicadapost/membership';
import type {
	DaemonId, DataCentreId, PeerMessage, Relay, Request, RequestId,
} from '@cicadapost/types';
import type {RequestOrigin} from './daemon-state.js';
import {
	bufferChunk, closeRelayStream, flushFrames, openRelayStream, registerAttempt,
} from './relays.js';
import {notOwnerRetryMs, type AnswerAction, EventHandler} from './event-handler.js';

/** Requests that run through a daemon of another data centre. */
export class RelayHandler extends EventHandler {
	sendFrames(): void {
		for (const frame of flushFrames(this.state.relays, this.now)) {
			this.actions.push({kind: 'send', ...frame});
		}
	}

	cancelRelayedRequest(attempt: Relay['attempt']): void {
		// A cancel may overtake its relay, which must not run then.
		registerAttempt(this.state.relays, attempt, this.now);
		const requestId = relayedRequestId(attempt);
		closeRelayStream(this.state.relays, requestId, this.now);
		this.state.origins.delete(requestId);
		this.context.router.route({kind: 'caller-left', requestId});
	}

	startRelayedRequest(from: DaemonId, relay: Relay): void {
		if (this.state.leaving) {
			this.actions.push({
				kind: 'send', to: from, message: {
					kind: 'relay-failed', attempt: relay.attempt, failure: 'leaving', sent: false, retryAfterMs: notOwnerRetryMs,
				},
			});
			return;
		}

		if (!registerAttempt(this.state.relays, relay.attempt, this.now)) {
			return;
		}

		const requestId = relayedRequestId(relay.attempt);
		this.state.origins.set(requestId, {kind: 'relay', from, attempt: relay.attempt});
		openRelayStream(this.state.relays, {requestId, to: from, attempt: relay.attempt}, this.now);
		const request: Request = {
			...relay.request,
			requestId,
			payload: relay.payload,
			deadlineAt: this.now + relay.remainingMs,
			bodyHash: '',
			mixedVersions: relay.mixedVersions,
		};
		// A relayed request stays in this data centre, so that it can't be relayed in a circle.
		const destinations = {...this.context.router.destinationsOf(relay.request.pool), dataCentres: []};
		this.context.router.route({
			kind: 'request', request, destinations, sendBy: this.now + relay.sendWithinMs, resumeFrom: relay.resumeFrom, version: relay.version,
		});
	}

	sendRelay(dataCentre: DataCentreId, relay: Relay): void {
		this.context.members.updateMembership({kind: 'relay-to', dataCentre});
		const to = relayTarget(this.state.membership, dataCentre);
		if (to === undefined) {
			this.context.router.route({
				kind: 'failed', attempt: relay.attempt, failure: 'relay-lost', sent: false,
			});
			return;
		}

		this.state.relays.sentTo.set(relay.attempt, to);
		this.actions.push({kind: 'send', to, message: relay});
	}

	sendRelayedAnswer(origin: Extract<RequestOrigin, {kind: 'relay'}>, action: AnswerAction): void {
		const {relays} = this.state;
		const frames = action.kind === 'deliver'
			? bufferChunk(relays, action.requestId, action.chunk, this.now)
			: closeRelayStream(relays, action.requestId, this.now);
		for (const frame of frames) {
			this.actions.push({kind: 'send', ...frame});
		}

		if (action.kind !== 'deliver') {
			this.actions.push({kind: 'send', to: origin.from, message: relayResultMessage(origin.attempt, action)});
		}
	}
}

function relayedRequestId(attempt: string): RequestId {
	return `relay:${attempt}` as RequestId;
}

function relayResultMessage(attempt: Relay['attempt'], action: Exclude<AnswerAction, {kind: 'deliver'}>): PeerMessage {
	return action.kind === 'complete'
		? {
			kind: 'relay-finished', attempt, tokens: action.tokens, status: action.status, contentType: action.contentType,
		}
		: {
			kind: 'relay-failed', attempt, failure: action.cause, sent: action.sent, retryAfterMs: action.problem.retryAfterMs ?? 0,
		};
}
