import {createHash} from 'node:crypto';
import type {DataCentreConfiguration} from '@cicadapost/settings';
import type {Request} from '@cicadapost/types';
import {
	afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {ApiServer} from './api-server.js';

const hash = (text: string): string => createHash('sha256').update(text).digest('hex');
const bodyBytes = 4096;
const startedRequests: Request[] = [];
const server = new ApiServer({
	daemon: 'entry-1',
	bodyBytes,
	operatorKeyHashes: [hash('operator')],
	now: () => 0,
	handlers: {
		startRequest(request) {
			startedRequests.push(request);
		},
		cancelRequest() {
			startedRequests.length = 0;
		},
		async applyConfiguration() {
			throw new Error('applyConfiguration was called with the key of a caller');
		},
		currentConfiguration: () => ({version: 0, document: ''}),
		async handleTrainerCall() {
			throw new Error('handleTrainerCall was called with the key of a caller');
		},
		configurationHistory: async () => [],
		status: () => ({}),
		trace: () => undefined,
	},
});
let url = '';

beforeAll(async () => {
	url = `http://127.0.0.1:${await server.listen()}`;
	const pool = {
		initialWindow: 8, maxWindow: 64, trainingFloor: 0.2, silenceMs: 5000,
	};
	server.updateConfiguration({
		members: {crew: {weight: 1, maxGroupSamples: 64, keys: [{sha256: hash('caller'), role: 'caller'}, {sha256: hash('member-operator'), role: 'operator'}]}},
		pools: {model: {...pool, kind: 'engine', idempotent: true}, callout: {...pool, kind: 'service', idempotent: false}},
		dataCentres: {},
		upstreams: {},
		policy: {retryBudget: 0.1, hedgeBudget: 0.05},
		poolsByDataCentre: {},
	} satisfies DataCentreConfiguration);
});

afterAll(() => {
	server.close();
});

beforeEach(() => {
	startedRequests.length = 0;
});

type CallOptions = Readonly<{path?: string; body?: string; headers?: Readonly<Record<string, string | undefined>>}>;
type ProblemResponse = Readonly<{status: number; type: string; field: string | undefined; remedy: string; outcome: string}>;

async function call(options: CallOptions): Promise<ProblemResponse> {
	const headers = {
		authorization: 'Bearer caller', 'x-deadline-ms': '1000', 'content-type': 'application/json', ...options.headers,
	};
	const res = await fetch(`${url}${options.path ?? '/v1/completions'}`, {
		method: 'POST',
		headers: Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined)) as Record<string, string>,
		body: options.body ?? JSON.stringify({model: 'model', prompt: 'x'}),
	});
	expect(res.headers.get('content-type')).toBe('application/problem+json');
	const body = await res.json() as ProblemResponse;
	return {...body, type: body.type.split(':').at(-1)!};
}

type TestCase = readonly [name: string, options: CallOptions, expected: Partial<ProblemResponse>];

const cases: readonly TestCase[] = [
	['an unknown key', {headers: {authorization: 'Bearer nobody'}}, {status: 401, type: 'unauthenticated', field: 'Authorization'}],
	['no key', {headers: {authorization: undefined}}, {status: 401, field: 'Authorization'}],
	['a key with another role', {headers: {authorization: 'Bearer member-operator'}}, {status: 403, type: 'forbidden', field: 'Authorization'}],
	['a body that is too large', {body: 'x'.repeat(bodyBytes * 4000)}, {status: 413, type: 'body-too-large', field: 'body'}],
	['a body that is not JSON', {body: '{'}, {status: 400, type: 'invalid-request', field: 'body'}],
	['a body that is not an object', {body: '[]'}, {status: 400, field: 'body'}],
	['a body without a prompt', {body: '{"model":"model"}'}, {status: 400, field: 'prompt'}],
	['a body with an invalid number', {body: '{"model":"model","prompt":"x","max_tokens":0}'}, {status: 400, field: 'max_tokens'}],
	['no deadline', {headers: {'x-deadline-ms': undefined}}, {status: 400, field: 'X-Deadline-Ms'}],
	['a deadline that has passed', {headers: {'x-deadline-ms': '0'}}, {status: 400, field: 'X-Deadline-Ms'}],
	['a deadline that is not a number', {headers: {'x-deadline-ms': 'soon'}}, {status: 400, field: 'X-Deadline-Ms'}],
	['an idempotency key that is too long', {headers: {'idempotency-key': 'k'.repeat(256)}}, {status: 400, field: 'Idempotency-Key'}],
	['a non-idempotent request without an idempotency key', {headers: {'x-non-idempotent': 'true'}}, {status: 400, field: 'Idempotency-Key'}],
	['an X-Non-Idempotent header that is neither true nor false', {headers: {'x-non-idempotent': 'yes'}}, {status: 400, field: 'X-Non-Idempotent'}],
	['a completion request to a pool of plain services', {body: '{"model":"callout","prompt":"x"}'}, {status: 400, field: 'model'}],
	['a service call without a deadline', {path: '/services/callout/x', headers: {'x-deadline-ms': undefined}}, {status: 400, field: 'X-Deadline-Ms'}],
	['a service call without an idempotency key', {path: '/services/callout/x'}, {status: 400, field: 'Idempotency-Key'}],
	['a service call to an unknown pool', {path: '/services/nothing/x'}, {status: 404, type: 'not-found', field: 'pool'}],
	['a service call to a pool named like a property of Object.prototype', {path: '/services/constructor/x'}, {status: 404, field: 'pool'}],
	['a service call with a body that is too large', {path: '/services/callout/x', body: 'x'.repeat(bodyBytes * 4000)}, {status: 413, field: 'body'}],
	['a call to an operator endpoint', {path: '/admin/upstreams/u/drain', body: '{}'}, {status: 403, type: 'forbidden'}],
];

describe('invalid input from a caller', () => {
	it.each(cases)('with %s is rejected as not-run with the field and a remedy, and starts no request', async (_name, options, expected) => {
		const problem = await call(options);
		expect(problem).toMatchObject({...expected, outcome: 'not-run'});
		expect(problem.remedy.length).toBeGreaterThan(5);
		expect(startedRequests).toEqual([]);
	});

	it('is rejected without echoing the key that was sent', async () => {
		expect(JSON.stringify(await call({headers: {authorization: 'Bearer very-secret'}}))).not.toContain('very-secret');
	});

	it.each(['/admin/configuration', '/admin/status'])('is rejected when reading %s with the key of a caller', async path => {
		const res = await fetch(`${url}${path}`, {headers: {authorization: 'Bearer caller'}});
		expect(res.status).toBe(403);
		await res.arrayBuffer();
	});
});
