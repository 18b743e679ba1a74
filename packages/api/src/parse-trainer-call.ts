/** Request and response bodies of the trainer endpoints. */

import {ProblemError} from '@cicadapost/errors';
import type {TrainerAnswer, TrainerCall} from '@cicadapost/types';
import * as z from 'zod';

export type TrainerCallKind = TrainerCall['kind'];

const maxStep = Number.MAX_SAFE_INTEGER;
/** Limits the state of one step. 64 times the size of a step at the target load. */
const maxGroups = 262_144;
const maxSamples = 4096;
const maxTokens = 1_000_000;
const maxFetchIdLength = 255;

const step = z.int().min(0).max(maxStep);
const group = z.int().min(0).max(maxGroups - 1);
const fetchId = z.string().min(1).max(maxFetchIdLength);

const schemas = {
	submit: z.strictObject({
		step,
		group,
		model: z.string().min(1),
		prompt: z.string().min(1),
		samples: z.int().min(1).max(maxSamples),
		maxTokens: z.int().min(1).max(maxTokens),
		stalenessBound: z.int().min(0),
		seed: z.int().optional(),
	}),
	fetch: z.strictObject({
		step,
		fetchId,
		max: z.int().min(1).max(maxGroups),
		currentVersion: z.int(),
		received: z.array(group).max(maxGroups).optional(),
		submitted: z.int().min(0).max(maxGroups).optional(),
	}),
	ack: z.strictObject({step, fetchId, groups: z.array(group).max(maxGroups).optional()}),
} as const;

const remedies: Readonly<Record<string, string>> = {
	step: 'send the number of the training step, a whole number from 0',
	group: `send the index of the group in its step, a whole number from 0 to ${maxGroups - 1}`,
	model: 'send the name of a pool of engines',
	prompt: 'send the prompt as a non-empty string',
	samples: `send the number of samples, 1 to ${maxSamples}`,
	maxTokens: `send the largest number of tokens of a sample, 1 to ${maxTokens}`,
	stalenessBound: 'send the largest allowed age of a sample in weight versions, a whole number from 0',
	seed: 'send a whole number, or leave the field out',
	fetchId: `send a name of your own for this fetch, 1 to ${maxFetchIdLength} characters, and the same one when you repeat it`,
	max: 'send the largest number of groups that you want, from 1',
	currentVersion: 'send the weight version that the trainer has now, so that samples that are too old can be replaced',
	received: 'send the indices of all groups of the step that you have, or leave the field out',
	groups: 'send the indices of the groups that came with this fetchId, or leave the field out',
	submitted: 'send the number of groups that you have submitted, or leave the field out',
};

function invalidRequest(field: string, detail: string, remedy: string): ProblemError {
	return new ProblemError({
		kind: 'invalid-request', field, detail, remedy,
	});
}

function parseJson(body: string): unknown {
	try {
		return JSON.parse(body);
	} catch {
		throw invalidRequest('body', 'the body is not valid JSON', 'send a JSON object');
	}
}

/** Validates the body of a trainer's call. Throws a `ProblemError` that names the invalid field and what to send instead. */
export function parseTrainerCall(kind: TrainerCallKind, body: string): TrainerCall {
	const parsed = schemas[kind].safeParse(parseJson(body));
	if (parsed.success) {
		return {kind, ...parsed.data} as TrainerCall;
	}

	const issue = parsed.error.issues[0];
	const unknown = issue?.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const field = unknown ?? String(issue?.path[0] ?? 'body');
	const remedy = unknown === undefined ? remedies[field] ?? 'send a JSON object' : `leave "${unknown}" out; known are ${Object.keys(schemas[kind].shape).join(', ')}`;
	throw invalidRequest(field, `${field}: ${issue?.message ?? 'malformed'}`, remedy);
}

/** Returns the body of a successful response. Throws a `ProblemError` for any other answer. */
export function trainerResponseBody(answer: TrainerAnswer): unknown {
	switch (answer.kind) {
		case 'problem': {
			throw new ProblemError(answer.problem);
		}

		case 'not-owner': {
			throw new ProblemError({
				kind: 'internal', detail: 'the step has no owner', remedy: 'repeat the call', outcome: 'unknown',
			});
		}

		default: {
			const {kind, ...body} = answer;
			return body;
		}
	}
}
