import type {
	Fingerprint, MemberId, PoolId, Request, RequestId,
} from '@cicadapost/types';

/** Returns a small idempotent live request for tests of the decision code; `options` overrides its fields. */
export function sampleRequest(requestId: string, options: Partial<Request> = {}): Request {
	return {
		requestId: requestId as RequestId,
		member: 'crew' as MemberId,
		requestClass: 'live',
		pool: 'model' as PoolId,
		promptTokens: 10,
		maxTokens: 100,
		idempotent: true,
		fingerprint: 'f' as Fingerprint,
		prefixKey: 'p',
		payload: {
			method: 'POST', path: '/', contentType: 'text/plain', body: '',
		},
		deadlineAt: 60_000,
		bodyHash: 'h',
		mixedVersions: false,
		...options,
	};
}
