import {ProblemError} from '@cicadapost/errors';
import type {Millis} from '@cicadapost/types';

export type Headers = Readonly<Record<string, string | string[] | undefined>>;

const maxIdempotencyKeyLength = 255;
/** Longer deadlines are of no use to a live caller, and the sum of the deadline and the clock must remain exact. */
const maxDeadlineMs: Millis = 86_400_000;

export function invalidRequest(field: string, detail: string, remedy: string): ProblemError {
	return new ProblemError({
		kind: 'invalid-request', field, detail, remedy,
	});
}

/** Parses `X-Deadline-Ms`, the remaining time in milliseconds. Values above the maximum are capped. */
export function parseDeadline(value: string | string[] | undefined): Millis {
	if (value === undefined) {
		throw invalidRequest('X-Deadline-Ms', 'the header X-Deadline-Ms is missing', 'send the number of milliseconds that you are willing to wait');
	}

	const remaining = Number(value);
	if (!Number.isFinite(remaining)) {
		throw invalidRequest('X-Deadline-Ms', 'X-Deadline-Ms is not a number', 'send a whole number of milliseconds');
	}

	if (remaining <= 0) {
		throw invalidRequest('X-Deadline-Ms', 'the deadline has passed', 'send a number of milliseconds above 0');
	}

	return Math.min(remaining, maxDeadlineMs);
}

export function parseIdempotencyKey(value: string | string[] | undefined): string | undefined {
	if (value === undefined) {
		return undefined;
	}

	if (typeof value !== 'string' || value.length === 0 || value.length > maxIdempotencyKeyLength) {
		throw invalidRequest('Idempotency-Key', `Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters`, 'use a UUID');
	}

	return value;
}

export type Idempotency = Readonly<{idempotent: boolean; idempotencyKey: string | undefined}>;

/** Determines whether a request may run more than once. `X-Non-Idempotent` overrides the setting of the pool. */
export function parseIdempotency(headers: Headers, isPoolIdempotent: boolean): Idempotency {
	const idempotencyKey = parseIdempotencyKey(headers['idempotency-key']);
	const nonIdempotentHeader = headers['x-non-idempotent'];
	if (nonIdempotentHeader !== undefined && nonIdempotentHeader !== 'true' && nonIdempotentHeader !== 'false') {
		throw invalidRequest('X-Non-Idempotent', 'X-Non-Idempotent must be "true" or "false"', 'send "true" for a request that must run at most once');
	}

	const idempotent = nonIdempotentHeader === undefined ? isPoolIdempotent : nonIdempotentHeader === 'false';
	if (!idempotent && idempotencyKey === undefined) {
		throw invalidRequest('Idempotency-Key', 'a non-idempotent request needs an Idempotency-Key', 'send one, so that a repeat is recognised');
	}

	return {idempotent, idempotencyKey};
}
