import {createHash} from 'node:crypto';
import {ProblemError} from '@cicadapost/errors';
import type {
	Fingerprint, MemberId, Millis, PoolId, Request, RequestId,
} from '@cicadapost/types';
import {z} from 'zod';

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
}>;

export type ParsedCompletion = Readonly<{request: Request; stream: boolean; model: string}>;

const bytesPerToken = 4;
const maxIdempotencyKeyLength = 255;
const prefixLength = 512;

function invalid(field: string, detail: string, remedy: string): ProblemError {
	return new ProblemError({
		kind: 'invalid-request', field, detail, remedy,
	});
}

/** The deadline in milliseconds left, from the header `X-Deadline-Ms`. */
export function parseDeadline(value: string | string[] | undefined): Millis {
	if (value === undefined) {
		throw invalid('X-Deadline-Ms', 'the header X-Deadline-Ms is missing', 'send the number of milliseconds that you are willing to wait');
	}

	const remaining = Number(value);
	if (!Number.isFinite(remaining)) {
		throw invalid('X-Deadline-Ms', 'X-Deadline-Ms is not a number', 'send a whole number of milliseconds');
	}

	if (remaining <= 0) {
		throw invalid('X-Deadline-Ms', 'the deadline has passed', 'send a number of milliseconds above 0');
	}

	return remaining;
}

export function parseIdempotencyKey(value: string | string[] | undefined): string | undefined {
	if (value === undefined) {
		return undefined;
	}

	if (typeof value !== 'string' || value.length === 0 || value.length > maxIdempotencyKeyLength) {
		throw invalid('Idempotency-Key', `Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters`, 'use a UUID');
	}

	return value;
}

function parseJson(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		throw invalid('body', 'the body is not valid JSON', 'send a JSON object with "model" and "prompt"');
	}
}

/** Checks a completion call and makes a request of it. Throws `ProblemError` with the faulty field. */
export function parseCompletion(call: CompletionCall, now: Millis): ParsedCompletion {
	const deadlineAt = now + parseDeadline(call.headers['x-deadline-ms']);
	const idempotencyKey = parseIdempotencyKey(call.headers['idempotency-key']);
	const nonIdempotent = call.headers['x-non-idempotent'] === 'true';
	if (nonIdempotent && idempotencyKey === undefined) {
		throw invalid('Idempotency-Key', 'a non-idempotent request needs an Idempotency-Key', 'send one, so that a repeat is recognised');
	}

	const parsed = completionSchema.safeParse(parseJson(call.body));
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		const field = issue?.path.join('.') ?? 'body';
		throw invalid(field === '' ? 'body' : field, `${field}: ${issue?.message ?? 'malformed'}`, 'correct the field');
	}

	const body = parsed.data;
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
			idempotent: !nonIdempotent,
			fingerprint: fingerprint as Fingerprint,
			prefixKey: createHash('sha256').update(body.prompt.slice(0, prefixLength)).digest('hex').slice(0, 16),
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
