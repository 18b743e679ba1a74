/** Placement of training steps, and the conversion of their samples to requests. */

import {createHash} from 'node:crypto';
import {
	isReachable, ownerInDataCentre, ownerOf, relayTarget,
} from '@cicadapost/membership';
import type {RolloutAction, RolloutEvent} from '@cicadapost/rollouts';
import type {RouterAction} from '@cicadapost/routing';
import type {
	DaemonId, DataCentreId, Fingerprint, MemberId, Millis, Request, TrainerCall, TrainerProblem,
} from '@cicadapost/types';
import type {DaemonState} from './daemon-state.js';

const bytesPerToken = 4;
/** Number of characters of a prompt that its prefix key is computed from, the same as for live calls. */
const prefixLength = 512;
const configurationRetryMs = 2000;
/** A finished group has to fit into one 8 MB frame between daemons, at about 5 bytes for each token. */
const maxGroupTokens = 1_000_000;

/**
Returns the daemon that runs a step, or that forwards its calls. Rendezvous hashing by member and step chooses first the home
data centre, among the reachable ones that have engines, and then the daemon in it, so that daemons in every data centre agree.
For a step of another data centre it returns this daemon's relay target there, which forwards the call. A daemon therefore
needs no connections to all daemons of other data centres.
During a partition between data centres, each side has its own owner and both may run the step. The compare-and-set on a
group's row decides which of them delivers it, and the side without the store depends on the trainer's `received` list.
*/
export function stepOwner(state: DaemonState, member: MemberId, step: number): DaemonId | undefined {
	const {site, membership, dataCentre} = state;
	const key = `${encodeURIComponent(member)}/${step}`;
	if (site === undefined) {
		return undefined;
	}

	const reachable = Object.keys(site.dataCentres).filter(name => name === dataCentre || isReachable(membership, name as DataCentreId));
	const withEngines = reachable.filter(name => site.poolsByDataCentre[name]?.some(pool => site.pools[pool]?.kind === 'engine'));
	// The function that ranks daemons also ranks data centres.
	const home = ownerOf(key, (withEngines.length > 0 ? withEngines : reachable) as unknown as DaemonId[]) as unknown as DataCentreId | undefined;
	if (home === undefined) {
		return undefined;
	}

	return home === dataCentre ? ownerInDataCentre(membership, home, key) : relayTarget(membership, home);
}

/** Validates a trainer's call against the configuration in effect. Returns undefined if the call is valid. */
export function checkTrainerCall(state: DaemonState, member: MemberId, request: TrainerCall): TrainerProblem | undefined {
	const {site} = state;
	if (site === undefined) {
		return {
			kind: 'no-upstream', detail: 'this daemon has no configuration yet', remedy: 'wait for Retry-After', outcome: 'not-run', retryAfterMs: configurationRetryMs,
		};
	}

	if (request.kind !== 'submit') {
		return undefined;
	}

	if (site.pools[request.model]?.kind !== 'engine') {
		return {
			kind: 'invalid-request',
			field: 'model',
			detail: `"${request.model}" is not a pool of engines`,
			remedy: 'use the name of a configured pool of engines as "model"',
			outcome: 'not-run',
		};
	}

	if (request.samples * request.maxTokens > maxGroupTokens) {
		return {
			kind: 'invalid-request',
			field: 'maxTokens',
			detail: `the group may have ${request.samples * request.maxTokens} tokens and the limit is ${maxGroupTokens}`,
			remedy: 'submit fewer samples in a group or a smaller maxTokens',
			outcome: 'not-run',
		};
	}

	const limit = site.members[member]?.maxGroupSamples ?? 0;
	return request.samples <= limit
		? undefined
		: {
			kind: 'invalid-request',
			field: 'samples',
			detail: `the group has ${request.samples} samples and the member may have ${limit} in one group`,
			remedy: 'submit smaller groups, or ask the operator for a larger maxGroupSamples',
			outcome: 'not-run',
		};
}

function shortHash(text: string, length: number): string {
	return createHash('sha256').update(text).digest('hex').slice(0, length);
}

/** Creates the request that runs one sample. The samples of a group share their prompt, and therefore its prefix key and fingerprint. */
export function sampleRequest(action: Extract<RolloutAction, {kind: 'start-sample'}>, now: Millis): Request {
	const {requestId, member, pool, prompt, seed, maxTokens, timeoutMs} = action;
	const body = JSON.stringify({
		model: pool, prompt, max_tokens: maxTokens, seed, stream: true,
	});
	return {
		requestId,
		member,
		requestClass: 'training',
		pool,
		promptTokens: Math.ceil(prompt.length / bytesPerToken),
		maxTokens,
		idempotent: true,
		fingerprint: shortHash(`${member}\n${pool}\n${prompt}`, 32) as Fingerprint,
		prefixKey: shortHash(prompt.slice(0, prefixLength), 16),
		payload: {
			method: 'POST', path: '/v1/completions', contentType: 'application/json', body,
		},
		deadlineAt: now + timeoutMs,
		bodyHash: shortHash(body, 64),
		mixedVersions: true,
	};
}

/** Converts a router action to the event for its sample. Anything other than a complete event stream from the engine is a failure. */
export function sampleEvent(action: Extract<RouterAction, {kind: 'deliver' | 'complete' | 'fail'}>): RolloutEvent {
	const {requestId} = action;
	switch (action.kind) {
		case 'deliver': {
			return {kind: 'sample-chunk', requestId, chunk: action.chunk};
		}

		case 'complete': {
			const isStream = action.status === 200 && action.contentType.startsWith('text/event-stream');
			return isStream
				? {
					kind: 'sample-finished', requestId, tokens: action.tokens, versions: action.versions,
				}
				: {kind: 'sample-failed', requestId, retryAfterMs: 0};
		}

		case 'fail': {
			return {kind: 'sample-failed', requestId, retryAfterMs: action.problem.retryAfterMs ?? 0};
		}
	}
}
