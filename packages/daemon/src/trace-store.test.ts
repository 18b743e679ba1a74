import type {AttemptId, RequestId, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {requestIdOfAttempt, TraceStore} from './trace-store.js';

const payload = {
	method: 'POST', path: '/v1/completions', contentType: 'application/json', body: '{"prompt":"secret"}',
};

function requestEvent(requestId: string) {
	return {
		kind: 'request', request: {
			requestId, member: 'clerks', requestClass: 'live', pool: 'netmodel', promptTokens: 1, maxTokens: 1, idempotent: true,
			fingerprint: 'f', prefixKey: 'p', payload, deadlineAt: 1000, bodyHash: '', mixedVersions: false,
		},
	} as never;
}

describe('TraceStore', () => {
	it('records the upstream of a request without its prompt', () => {
		const store = new TraceStore();
		store.recordEvent(requestEvent('r1'), 0);
		store.recordAction({
			kind: 'open-attempt', attempt: 'r1.0' as AttemptId, upstream: 'engine-1' as UpstreamId, payload, resumeFrom: 0, deadlineAt: 1000, notAfter: 1000, idempotent: true,
		}, 5);
		const trace = store.get('r1' as RequestId);
		expect(trace?.at(-1)).toEqual({atMs: 5, what: 'connects to upstream', detail: {attempt: 'r1.0', upstream: 'engine-1', resumeFrom: 0}});
		expect(JSON.stringify(trace)).not.toContain('secret');
	});

	it('removes the oldest request, so that memory stays bounded', () => {
		const store = new TraceStore({maxRequests: 2});
		for (const name of ['r1', 'r2', 'r3']) {
			store.recordEvent(requestEvent(name), 0);
		}

		expect(store.get('r1' as RequestId)).toBeUndefined();
		expect(store.get('r3' as RequestId)).toHaveLength(1);
	});
});

describe('requestOfAttempt', () => {
	it('returns the request id of a relayed attempt, which contains dots itself', () => {
		expect(requestIdOfAttempt('relay:r1.0.2' as AttemptId)).toBe('relay:r1.0');
	});
});
