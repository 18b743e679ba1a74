import {
	claimsTable, decideClaims, releaseKey, acquireKey, type ClaimEnd, type ClaimsAction, type ClaimsEvent,
} from '@cicadapost/claims';
import {ProblemError} from '@cicadapost/errors';
import {mayHaveSent, type RouterAction} from '@cicadapost/routing';
import type {Request, RequestId} from '@cicadapost/types';
import {
	settleRequest, admitRequest, type CapsAction, type CapsContext, type CapUsage,
} from './caps.js';
import type {DaemonState} from './daemon-state.js';
import {sampleEvent} from './rollout-steps.js';
import {type AnswerAction, EventHandler} from './event-handler.js';

/** Handles the life cycle of a request: the cap of its member, its claim and its answer. */
export class RequestHandler extends EventHandler {
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
		this.cap((context, caps) => admitRequest(caps, request, context));
	}

	/** Runs a request that the cap of its member admits. */
	private runRequest(request: Request): void {
		const {requestId} = request;
		if (!request.idempotent) {
			this.claim({kind: 'claim', request, nonce: `${this.state.self}.${this.state.incarnation}.${requestId}`});
			return;
		}

		const refusal = acquireKey(this.state.keys, request, this.now);
		if (refusal !== undefined) {
			this.answer({
				kind: 'fail', requestId, cause: 'overloaded', sent: false, problem: refusal,
			});
			return;
		}

		this.context.router.route({kind: 'request', request, destinations: this.context.router.destinationsOf(request.pool)});
	}

	/** Runs `decideCaps` and applies the actions that it returns. Does nothing without a configuration. */
	cap(decideCaps: (context: CapsContext, caps: DaemonState['caps']) => CapsAction[]): void {
		const {site, configuration, membership, incarnation, caps} = this.state;
		if (site === undefined) {
			return;
		}

		const context = {
			site, membership, incarnation, now: this.now, configurationVersion: configuration.version,
		};
		for (const action of decideCaps(context, caps)) {
			this.applyCapsAction(action);
		}
	}

	private applyCapsAction(action: CapsAction): void {
		switch (action.kind) {
			case 'send': {
				this.context.sendOrHandleLocally(action.to, action.message);
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

	/** Cancels the request of a caller that has left. A claimed request that may have been sent runs on, so that its outcome is recorded. */
	handleCallerLeft(requestId: RequestId): void {
		this.state.origins.delete(requestId);
		this.settleCap(requestId, {kind: 'unknown'});
		const claim = this.state.claims.claims.get(requestId);
		const entry = this.state.router.requests.get(requestId);
		if (claim !== undefined && entry !== undefined && mayHaveSent(entry)) {
			return;
		}

		this.context.router.route({kind: 'caller-left', requestId});
		releaseKey(this.state.keys, requestId, this.now);
		// Nothing was sent, so the idempotency key can be used again.
		this.claim({kind: 'withdrawn', requestId});
	}

	claim(event: ClaimsEvent): void {
		const outcome = decideClaims(this.state.claims, event, this.now);
		this.state.claims = outcome.state;
		for (const action of outcome.actions) {
			this.applyClaimsAction(action);
		}
	}

	private applyClaimsAction(action: ClaimsAction): void {
		switch (action.kind) {
			case 'read-row':
			case 'write-row': {
				this.actions.push({...action, table: claimsTable});
				break;
			}

			case 'claimed': {
				const {request, sendBy} = action;
				this.context.router.route({
					kind: 'request', request, destinations: this.context.router.destinationsOf(request.pool), sendBy,
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

	settleCap(requestId: RequestId, use: CapUsage): void {
		this.cap((context, caps) => settleRequest(caps, requestId, use, context));
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
			this.settleCap(action.requestId, capUsageOf(action));
		}

		if (origin?.kind === 'caller') {
			this.actions.push(action);
		}

		if (origin?.kind === 'relay') {
			this.context.relays.sendRelayedAnswer(origin, action);
		}

		if (origin?.kind === 'rollout') {
			this.context.rollouts.handleRolloutEvent(sampleEvent(action));
		}

		this.recordClaimOutcome(action);
	}

	private recordClaimOutcome(action: AnswerAction): void {
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

function capUsageOf(action: Extract<RouterAction, {kind: 'complete' | 'fail'}>): CapUsage {
	if (action.kind === 'complete') {
		return {kind: 'completed', tokens: action.tokens};
	}

	return action.sent ? {kind: 'unknown'} : {kind: 'not-sent'};
}
