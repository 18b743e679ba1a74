import {
	claimsTable, decideClaims, releaseKey, takeKey, type ClaimEnd, type ClaimsAction, type ClaimsEvent,
} from '@cicadapost/claims';
import {ProblemError} from '@cicadapost/errors';
import {mayHaveSent, type RouterAction} from '@cicadapost/routing';
import type {Request, RequestId} from '@cicadapost/types';
import {
	endUnderCap, startUnderCap, type CapsAction, type CapsContext, type CapUse,
} from './caps-part.js';
import type {DaemonState} from './daemon-state.js';
import {sampleEvent} from './rollout-steps.js';
import {type AnswerAction, TurnPart} from './turn-part.js';

/** The life of a request of a caller: its claim, its place under the cap of its member, and its answer. */
export class RequestsPart extends TurnPart {
	startRequest(request: Request): void {
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

		if (!Object.hasOwn(this.state.site.pools, request.pool)) {
			this.reject(requestId, 'no-upstream', new ProblemError({
				kind: 'not-found',
				detail: `the pool "${request.pool}" does not exist`,
				remedy: 'use the name of a configured pool as "model"',
				field: 'model',
			}));
			return;
		}

		this.state.origins.set(requestId, {kind: 'caller'});
		this.cap((context, caps) => startUnderCap(caps, request, context));
	}

	/** Runs a request whose tokens are within the cap of its member. */
	private runRequest(request: Request): void {
		const {requestId} = request;
		if (!request.idempotent) {
			this.claim({kind: 'claim', request, nonce: `${this.state.self}.${this.state.incarnation}.${requestId}`});
			return;
		}

		const refusal = takeKey(this.state.keys, request, this.now);
		if (refusal !== undefined) {
			this.answer({
				kind: 'fail', requestId, cause: 'overloaded', sent: false, problem: refusal,
			});
			return;
		}

		this.turn.router.route({kind: 'request', request, destinations: this.turn.router.placesOf(request.pool)});
	}

	/** Lets the caps decide and carries out their actions. */
	cap(decideCaps: (context: CapsContext, caps: DaemonState['caps']) => CapsAction[]): void {
		const {site, configuration, membership, incarnation, caps} = this.state;
		if (site === undefined) {
			return;
		}

		const context = {
			site, membership, incarnation, now: this.now, configurationVersion: configuration.version,
		};
		for (const action of decideCaps(context, caps)) {
			this.applyCap(action);
		}
	}

	private applyCap(action: CapsAction): void {
		switch (action.kind) {
			case 'send': {
				this.turn.sendOrReceive(action.to, action.message);
				break;
			}

			case 'start': {
				this.runRequest(action.request);
				break;
			}

			case 'refuse': {
				this.answer({
					kind: 'fail', requestId: action.request.requestId, cause: 'over-cap', sent: false, problem: new ProblemError({
						kind: 'over-cap',
						detail: 'the member has used up its cap',
						remedy: 'wait for Retry-After or ask the operator for a larger cap',
						retryAfterMs: action.retryAfterMs,
					}),
				});
				break;
			}

			case 'read-row':
			case 'write-row': {
				this.actions.push(action);
				break;
			}
		}
	}

	/** A claimed request that may have been sent runs on without its caller, so that its outcome is recorded. */
	dropCaller(requestId: RequestId): void {
		this.state.origins.delete(requestId);
		this.endCap(requestId, {kind: 'unknown'});
		const claim = this.state.claims.claims.get(requestId);
		const entry = this.state.router.requests.get(requestId);
		if (claim !== undefined && entry !== undefined && mayHaveSent(entry)) {
			return;
		}

		this.turn.router.route({kind: 'caller-left', requestId});
		releaseKey(this.state.keys, requestId, this.now);
		// Nothing was sent, so the key becomes free again.
		this.claim({kind: 'withdrawn', requestId});
	}

	claim(event: ClaimsEvent): void {
		const outcome = decideClaims(this.state.claims, event, this.now);
		this.state.claims = outcome.state;
		for (const action of outcome.actions) {
			this.applyClaims(action);
		}
	}

	private applyClaims(action: ClaimsAction): void {
		switch (action.kind) {
			case 'read-row':
			case 'write-row': {
				this.actions.push({...action, table: claimsTable});
				break;
			}

			case 'claimed': {
				const {request, sendBy} = action;
				this.turn.router.route({
					kind: 'request', request, destinations: this.turn.router.placesOf(request.pool), sendBy,
				});
				break;
			}

			case 'replay': {
				const {requestId, answer} = action;
				const {body, ...end} = answer;
				this.answer({
					kind: 'deliver', requestId, chunk: {
						offset: 0, tokens: answer.tokens, text: body, version: answer.versions.at(-1)?.version ?? 0,
					},
				});
				this.answer({...end, kind: 'complete', requestId});
				break;
			}

			case 'refuse': {
				const {requestId, problem} = action;
				this.answer({
					kind: 'fail', requestId, cause: 'overloaded', sent: problem.outcome !== 'not-run', problem,
				});
				break;
			}
		}
	}

	endCap(requestId: RequestId, use: CapUse): void {
		this.cap((context, caps) => endUnderCap(caps, requestId, use, context));
	}

	private reject(requestId: RequestId, cause: 'no-upstream' | 'overloaded', problem: ProblemError): void {
		this.actions.push({
			kind: 'fail', requestId, cause, sent: false, problem,
		});
	}

	answer(action: AnswerAction): void {
		const origin = this.state.origins.get(action.requestId);
		if (action.kind !== 'deliver') {
			this.state.origins.delete(action.requestId);
			releaseKey(this.state.keys, action.requestId, this.now);
			this.endCap(action.requestId, capUse(action));
		}

		if (origin?.kind === 'caller') {
			this.actions.push(action);
		}

		if (origin?.kind === 'relay') {
			this.turn.relays.answerRelay(origin, action);
		}

		if (origin?.kind === 'rollout') {
			this.turn.rollouts.rollOut(sampleEvent(action));
		}

		this.recordOutcome(action);
	}

	private recordOutcome(action: AnswerAction): void {
		const {requestId} = action;
		if (this.state.claims.claims.get(requestId)?.phase !== 'running') {
			return;
		}

		if (action.kind === 'deliver') {
			this.claim({kind: 'text', requestId, text: action.chunk.text});
			return;
		}

		const end: ClaimEnd = action.kind === 'complete' ? {...action, kind: 'finished'} : {kind: 'failed', problem: action.problem};
		this.claim({kind: 'ended', requestId, end});
	}
}

function capUse(action: Extract<RouterAction, {kind: 'complete' | 'fail'}>): CapUse {
	if (action.kind === 'complete') {
		return {kind: 'completed', tokens: action.tokens};
	}

	return action.sent ? {kind: 'unknown'} : {kind: 'not-sent'};
}
