import {createHash} from 'node:crypto';
import type {PoolSettings} from '@cicadapost/settings';
import type {
	Fingerprint, MemberId, Millis, PoolId, Request, RequestId,
} from '@cicadapost/types';
import * as z from 'zod';
import {invalidRequest, parseDeadline, parseIdempotency} from './parse-headers.js';

const completionSchema = z.looseObject({
	model: z.string().min(1),
	prompt: z.string(),
	max_tokens: z.int().min(1).max(1_000_000).default(256),
	stream: z.boolean().default(false),
	mixed_versions: z.boolean().default(false),
});

export type CompletionCall = Readonly<{
	headers: Readonly<Record<string, string | string[] | undefined>>;
	body: string;
	member: MemberId;
	requestId: RequestId;
	pools?: Readonly<Record<string, PoolSettings>>;
}>;

export type ParsedCompletion = Readonly<{request: Request; stream: boolean; model: string}>;

const bytesPerToken = 4;
const prefixKeyPromptLength = 512;

function parseJson(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		throw invalidRequest('body', 'the body is not valid JSON', 'send a JSON object with "model" and "prompt"');
	}
}

/** Validates a completion call and converts it to a request. Throws a `ProblemError` that names the invalid field. */
export function parseCompletion(call: CompletionCall, now: Millis): ParsedCompletion {
	const deadlineAt = now + parseDeadline(call.headers['x-deadline-ms']);
	const parsed = completionSchema.safeParse(parseJson(call.body));
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		const field = issue?.path.join('.') ?? 'body';
		throw invalidRequest(field === '' ? 'body' : field, `${field}: ${issue?.message ?? 'malformed'}`, 'correct the field');
	}

	const body = parsed.data;
	const pool = call.pools !== undefined && Object.hasOwn(call.pools, body.model) ? call.pools[body.model] : undefined;
	if (pool?.kind === 'service') {
		throw invalidRequest('model', `the pool "${body.model}" has plain services, which complete no prompts`, `call it with /services/${body.model}/<path>`);
	}

	const {idempotent, idempotencyKey} = parseIdempotency(call.headers, pool?.idempotent ?? true);
	const bodyHash = createHash('sha256').update(call.body).digest('hex');
	const fingerprint = createHash('sha256').update(`${call.member}\n${body.model}\n${body.prompt}`).digest('hex').slice(0, 32);
	return {
		stream: body.stream,
		model: body.model,
		request: {
			requestId: call.requestId,
			member: call.member,
			requestClass: 'live',
			pool: body.model as PoolId,
			promptTokens: Math.ceil(body.prompt.length / bytesPerToken),
			maxTokens: body.max_tokens,
			idempotent,
			fingerprint: fingerprint as Fingerprint,
			prefixKey: createHash('sha256').update(body.prompt.slice(0, prefixKeyPromptLength)).digest('hex').slice(0, 16),
			payload: {
				method: 'POST',
				path: '/v1/completions',
				contentType: 'application/json',
				body: JSON.stringify({...body, stream: true}),
			},
			deadlineAt,
			...(idempotencyKey === undefined ? {} : {idempotencyKey}),
			bodyHash,
			mixedVersions: body.mixed_versions,
		},
	};
}
