import type {DataCentreConfiguration} from '@cicadapost/settings';
import type {MemberId, TrainerAnswer, TrainerCall} from '@cicadapost/types';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {ApiServer} from './api-server.js';
import {hashKey} from './authenticate.js';

const submission = {
	step: 1, group: 0, model: 'rota-lm', prompt: 'rota', samples: 4, maxTokens: 16, stalenessBound: 1,
};

describe('trainer endpoints', () => {
	const calls: Array<{member: MemberId; call: TrainerCall}> = [];
	let answer: TrainerAnswer = {
		kind: 'submitted', step: 1, group: 0, durable: true,
	};
	const api = new ApiServer({
		daemon: 'entry-1',
		now: () => 0,
		handlers: {
			startRequest() {/* Not used. */},
			cancelRequest() {/* Not used. */},
			async handleTrainerCall(member, call) {
				calls.push({member, call});
				return answer;
			},
			async applyConfiguration() {
				throw new Error('not used');
			},
			currentConfiguration: () => ({version: 0, document: ''}),
			configurationHistory: async () => [],
			status: () => ({}),
			trace: () => undefined,
		},
	});
	let url = '';

	beforeAll(async () => {
		url = `http://127.0.0.1:${await api.listen()}`;
		const keys = (['trainer', 'caller', 'operator'] as const).map(role => ({sha256: hashKey(`key-${role}`), role}));
		api.updateConfiguration({members: {sfax: {weight: 1, keys, maxGroupSamples: 64}}} as unknown as DataCentreConfiguration);
	});

	afterAll(() => {
		api.close();
	});

	async function post(path: string, body: unknown, key = 'key-trainer'): Promise<{status: number; body: Record<string, unknown>; retryAfter: string | undefined}> {
		const res = await fetch(`${url}/v1/rollouts/${path}`, {method: 'POST', headers: {authorization: `Bearer ${key}`}, body: JSON.stringify(body)});
		return {status: res.status, body: await res.json() as Record<string, unknown>, retryAfter: res.headers.get('retry-after') ?? undefined};
	}

	it('act for the member of the key, never for a member named in the body', async () => {
		expect(await post('groups', submission)).toMatchObject({status: 200, body: {step: 1, group: 0, durable: true}});
		expect(calls).toEqual([{member: 'sfax', call: {kind: 'submit', ...submission}}]);
		expect(await post('groups', {...submission, member: 'other'})).toMatchObject({status: 400, body: {field: 'member'}});
	});

	it('reject the keys of callers and operators', async () => {
		for (const key of ['key-caller', 'key-operator']) {
			for (const path of ['groups', 'fetch', 'ack']) {
				expect(await post(path, submission, key)).toMatchObject({status: 403, body: {outcome: 'not-run'}});
			}
		}
	});

	it.each([
		['groups', {...submission, samples: 0}, 'samples'],
		['groups', {...submission, step: -1}, 'step'],
		['groups', {...submission, stalenessBound: 0.5}, 'stalenessBound'],
		['groups', {...submission, prompt: undefined}, 'prompt'],
		['fetch', {step: 1, fetchId: 'f', max: 1}, 'currentVersion'],
		['fetch', {
			step: 1, fetchId: '', max: 1, currentVersion: 1,
		}, 'fetchId'],
		['fetch', {
			step: 1, fetchId: 'f', max: 1, currentVersion: 1, received: ['0'],
		}, 'received'],
		['ack', {step: 1}, 'fetchId'],
		['ack', [], 'body'],
	])('name the invalid field of %s %j and what to send', async (path, body, field) => {
		const refused = await post(path, body);
		expect(refused).toMatchObject({status: 400, body: {type: 'urn:cicadapost:problem:invalid-request', field, outcome: 'not-run'}});
		expect(refused.body.remedy).not.toBe('');
	});

	it('return a problem with its outcome and Retry-After', async () => {
		answer = {
			kind: 'problem', problem: {
				kind: 'store-unavailable', detail: 'd', remedy: 'r', outcome: 'unknown', field: 'received', retryAfterMs: 1500,
			},
		};
		expect(await post('ack', {step: 1, fetchId: 'f'})).toMatchObject({status: 503, retryAfter: '2', body: {outcome: 'unknown', field: 'received'}});
	});
});
