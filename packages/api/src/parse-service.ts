import {createHash} from 'node:crypto';
import {ProblemError} from '@cicadapost/errors';
import type {PoolSettings} from '@cicadapost/settings';
import type {
	Fingerprint, MemberId, Millis, PoolId, Request, RequestId,
} from '@cicadapost/types';
import {parseDeadline, parseIdempotency} from './parse-headers.js';

export type ServiceCall = Readonly<{
	method: string;
	/** Path and query as received, starting with `/services/`. */
	url: string;
	headers: Readonly<Record<string, string | string[] | undefined>>;
	/** One character per byte (Latin-1), see `Payload.encoding`. */
	body: string;
	member: MemberId;
	requestId: RequestId;
	pools: Readonly<Record<string, PoolSettings>>;
}>;

const prefix = '/services/';

/** Extracts the pool and the path of a call. The URL is normalised first, so that `..` can't escape the pool. */
function parseTarget(call: ServiceCall): {pool: string; path: string} {
	const url = new URL(call.url, 'http://localhost');
	const rest = url.pathname.startsWith(prefix) ? url.pathname.slice(prefix.length) : '';
	const slash = rest.indexOf('/');
	const name = slash === -1 ? rest : rest.slice(0, slash);
	return {pool: decodePoolName(name), path: `${slash === -1 ? '/' : rest.slice(slash)}${url.search}`};
}

function decodePoolName(name: string): string {
	try {
		return decodeURIComponent(name);
	} catch {
		return name;
	}
}

/** Validates a call to a plain service and converts it to a request. Throws a `ProblemError` that names the invalid field. */
export function parseServiceCall(call: ServiceCall, now: Millis): Request {
	const {pool, path} = parseTarget(call);
	const settings = Object.hasOwn(call.pools, pool) ? call.pools[pool] : undefined;
	if (settings?.kind !== 'service') {
		throw new ProblemError({
			kind: 'not-found',
			field: 'pool',
			detail: `there is no pool of plain services named "${pool}"`,
			remedy: 'use the name of a configured pool of the kind "service" in /services/<pool>/<path>',
		});
	}

	const deadlineAt = now + parseDeadline(call.headers['x-deadline-ms']);
	const {idempotent, idempotencyKey} = parseIdempotency(call.headers, settings.idempotent);
	const contentType = call.headers['content-type'];
	const hashInput = `${call.method}\n${pool}\n${path}\n${call.body}`;
	const bodyHash = createHash('sha256').update(hashInput, 'latin1').digest('hex');
	const fingerprint = createHash('sha256').update(`${call.member}\n`).update(hashInput, 'latin1').digest('hex').slice(0, 32);
	return {
		requestId: call.requestId,
		member: call.member,
		requestClass: 'live',
		pool: pool as PoolId,
		// The response of a plain service counts as one token.
		promptTokens: 0,
		maxTokens: 1,
		idempotent,
		fingerprint: fingerprint as Fingerprint,
		prefixKey: fingerprint.slice(0, 16),
		payload: {
			method: call.method,
			path,
			contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
			body: call.body,
			encoding: 'latin1',
		},
		deadlineAt,
		...(idempotencyKey === undefined ? {} : {idempotencyKey}),
		bodyHash,
		mixedVersions: true,
	};
}
