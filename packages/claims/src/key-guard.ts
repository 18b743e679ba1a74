/** Tracks the idempotency keys of idempotent requests within one daemon. */

import {ProblemError} from '@cicadapost/errors';
import type {Millis, Request, RequestId} from '@cicadapost/types';
import {keyConflict} from './responses.js';
import {claimKey} from './claim-record.js';

type KeyUse = Readonly<{
	bodyHash: string;
	requestId: RequestId;
	isRunning: boolean;
	expiresAt: Millis;
}>;

export type KeyGuardState = {
	/** Keys in the order of their last use, oldest first. */
	uses: Map<string, KeyUse>;
	keyOf: Map<RequestId, string>;
};

/** How long a key is kept after its request has ended, so that reuse with another body is detected. */
export const keyRetentionMs: Millis = 600_000;
/** Maximum number of retained keys of ended requests. At about 200 bytes each they take 2 MB. */
const maxRetainedKeys = 10_000;
const runningRetryMs: Millis = 1000;

export function createKeyGuard(): KeyGuardState {
	return {uses: new Map(), keyOf: new Map()};
}

function evictKeys(state: KeyGuardState, now: Millis): void {
	for (const [key, use] of state.uses) {
		if (state.uses.size <= maxRetainedKeys && use.expiresAt > now) {
			return;
		}

		if (!use.isRunning) {
			state.uses.delete(key);
		}
	}
}

/** Acquires the key of `request`. Returns a problem if the key is in use or was used with another body. */
export function acquireKey(state: KeyGuardState, request: Request, now: Millis): ProblemError | undefined {
	if (request.idempotencyKey === undefined) {
		return undefined;
	}

	const key = claimKey(request.member, request.idempotencyKey);
	const use = state.uses.get(key);
	const isRetained = use !== undefined && (use.isRunning || use.expiresAt > now);
	if (isRetained && use.bodyHash !== request.bodyHash) {
		return keyConflict(request.requestId).problem;
	}

	if (isRetained && use.isRunning) {
		return new ProblemError({
			kind: 'idempotency-conflict',
			field: 'Idempotency-Key',
			detail: 'a request with this Idempotency-Key is running',
			remedy: 'wait for its answer, or ask again with the same key after Retry-After',
			outcome: 'unknown',
			retryAfterMs: runningRetryMs,
		});
	}

	state.uses.delete(key);
	state.uses.set(key, {
		bodyHash: request.bodyHash, requestId: request.requestId, isRunning: true, expiresAt: now + keyRetentionMs,
	});
	state.keyOf.set(request.requestId, key);
	evictKeys(state, now);
	return undefined;
}

/** Releases the key of an ended request. It may be used again with the same body. */
export function releaseKey(state: KeyGuardState, requestId: RequestId, now: Millis): void {
	const key = state.keyOf.get(requestId);
	const use = key === undefined ? undefined : state.uses.get(key);
	state.keyOf.delete(requestId);
	if (key !== undefined && use?.requestId === requestId) {
		state.uses.delete(key);
		state.uses.set(key, {...use, isRunning: false, expiresAt: now + keyRetentionMs});
	}
}
