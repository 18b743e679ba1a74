import {createHash, randomUUID} from 'node:crypto';
import {EngineStandIn, PlatformStandIn, ServiceStandIn} from '@cicadapost/stand-ins';
import {daemonSettingsSchema} from '@cicadapost/settings';
import {
	afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {createContainer} from './container.js';
import {Daemon} from './daemon.js';

const hash = (text: string): string => createHash('sha256').update(text).digest('hex');
const platform = new PlatformStandIn();
const service = new ServiceStandIn({name: 'callout-1'});
const engine = new EngineStandIn({name: 'model-1', stepMs: 1});
const daemons: Daemon[] = [];
const vms: unknown[] = [];
const urls: string[] = [];
let platformUrl = '';
let serviceUrl = '';

async function configureStandIn(url: string, faults: Record<string, unknown>): Promise<void> {
	await fetch(`${url}/control`, {method: 'POST', body: JSON.stringify(faults)});
}

async function startDaemon(name: string, dataCentre = 'home'): Promise<void> {
	const daemon = createContainer(daemonSettingsSchema.parse({
		daemon: name,
		dataCentre,
		region: 'r',
		listen: {api: {port: 0}, peers: {port: 0}},
		platform: {tableService: platformUrl, objectStore: platformUrl, vmList: platformUrl},
		operatorKeyHashes: [hash('operator')],
		peerSecret: 'peer-secret',
		log: {level: 'error'},
	})).resolve(Daemon);
	const {apiPort, peerPort} = await daemon.start();
	daemons.push(daemon);
	vms.push({
		id: name, role: 'entry', dataCentre, state: 'live', peerAddress: `127.0.0.1:${peerPort}`,
	});
	await configureStandIn(platformUrl, {vms});
	urls.push(`http://127.0.0.1:${apiPort}`);
}

type CallOptions = {daemon?: number; key?: string; body?: string | Uint8Array; headers?: Record<string, string>; path?: string; method?: string};

async function call(options: CallOptions): Promise<Response> {
	return fetch(`${urls[options.daemon ?? 0]}/services/${options.path ?? 'callout/crew?x=1'}`, {
		method: options.method ?? 'POST',
		headers: {
			authorization: 'Bearer caller',
			'x-deadline-ms': '5000',
			'content-type': 'image/jpeg',
			...(options.key === undefined ? {} : {'idempotency-key': options.key}),
			...options.headers,
		},
		...(options.method === 'GET' ? {} : {body: options.body ?? 'crew 7'}),
	});
}

async function statusOf(options: CallOptions): Promise<number> {
	const res = await call(options);
	await res.arrayBuffer();
	return res.status;
}

async function problemOf(res: Response): Promise<{status: number; outcome: string; type: string; retryAfter: string | undefined}> {
	const body = await res.json() as {outcome: string; type: string};
	return {
		status: res.status, outcome: body.outcome, type: body.type.split(':').at(-1)!, retryAfter: res.headers.get('retry-after') ?? undefined,
	};
}

beforeAll(async () => {
	platformUrl = `http://127.0.0.1:${await platform.listen()}`;
	serviceUrl = `http://127.0.0.1:${await service.listen()}`;
	const engineUrl = `http://127.0.0.1:${await engine.listen()}`;
	await startDaemon('a');
	const document = {
		base: {
			members: {crew: {keys: [{sha256: hash('caller'), role: 'caller'}]}},
			pools: {
				callout: {kind: 'service', idempotent: false, silenceMs: 1000}, lookup: {kind: 'service'}, distant: {kind: 'service', idempotent: false}, model: {kind: 'engine'},
			},
			dataCentres: {home: {region: 'r'}, away: {region: 'r'}},
		},
		overlays: {
			home: {upstreams: {'callout-1': {pool: 'callout', url: serviceUrl}, 'lookup-1': {pool: 'lookup', url: serviceUrl}}},
			away: {upstreams: {'distant-1': {pool: 'distant', url: serviceUrl}, 'model-1': {pool: 'model', url: engineUrl}}},
		},
	};
	const applied = await fetch(`${urls[0]}/admin/configuration`, {method: 'PUT', headers: {authorization: 'Bearer operator', 'if-match': '0'}, body: JSON.stringify(document)});
	expect(applied.status).toBe(200);
	await startDaemon('b');
	await startDaemon('c', 'away');
	// Wait until the second daemon has read the configuration from the store.
	while (await statusOf({daemon: 1, path: 'lookup/ready', method: 'GET'}) !== 200) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
});

afterAll(async () => {
	await configureStandIn(platformUrl, {down: false});
	await Promise.all(daemons.map(async daemon => daemon.shutDown()));
	service.close();
	engine.close();
	platform.close();
});

beforeEach(async () => {
	await configureStandIn(platformUrl, {down: false, loseAnswers: 0});
	await configureStandIn(serviceUrl, {
		status: 200, retryAfter: '', loseAnswers: 0, silent: false, delayMs: 0,
	});
	service.executions.length = 0;
});

describe('a call to a plain service', () => {
	it('is forwarded with its method, path, content type and exact bytes, and so is the response', async () => {
		const bytes = Uint8Array.from([0, 200, 255, 13]);
		const res = await call({path: 'lookup/photos/7?size=2', method: 'PUT', body: bytes});
		expect(service.executions).toEqual([{
			method: 'PUT', path: '/photos/7?size=2', contentType: 'image/jpeg', body: Buffer.from(bytes).toString('latin1'),
		}]);
		expect([res.status, res.headers.get('content-type'), Buffer.from(await res.arrayBuffer())]).toEqual([200, 'image/jpeg', Buffer.from(bytes)]);
	});

	it('cannot escape its pool through the path', async () => {
		const res = await call({path: 'lookup/%2e%2e/callout/crew', key: randomUUID()});
		expect([res.status, service.executions[0]?.path]).toEqual([200, '/crew']);
	});

	it.each(['model/x', 'nothing/x', ''])('is rejected for "%s", which is not a pool of plain services', async path => {
		expect(await problemOf(await call({path}))).toMatchObject({status: 404, outcome: 'not-run', type: 'not-found'});
	});
});

describe('a non-idempotent call', () => {
	it('runs once when repeated through another daemon, which returns the recorded response', async () => {
		const key = randomUUID();
		const first = await call({key});
		let second = await call({key, daemon: 1});
		// The outcome is stored after the first response was sent.
		while (second.status !== 200) {
			expect(await problemOf(second)).toMatchObject({outcome: 'unknown', retryAfter: '1'});
			second = await call({key, daemon: 1});
		}

		expect([await first.text(), await second.text()]).toEqual(['crew 7', 'crew 7']);
		expect(service.executions).toHaveLength(1);
	});

	it('is rejected when repeated with another body', async () => {
		const key = randomUUID();
		await call({key});
		expect(await problemOf(await call({key, daemon: 1, body: 'crew 8'}))).toMatchObject({status: 409, type: 'idempotency-conflict'});
		expect(service.executions).toHaveLength(1);
	});

	it('requires an idempotency key', async () => {
		expect(await problemOf(await call({}))).toMatchObject({status: 400, outcome: 'not-run'});
		expect(service.executions).toEqual([]);
	});

	it('has the outcome unknown when its response is lost, and so does a repeat', async () => {
		const key = randomUUID();
		await configureStandIn(serviceUrl, {loseAnswers: 1});
		expect(await problemOf(await call({key}))).toMatchObject({status: 502, outcome: 'unknown', retryAfter: undefined});
		expect(await problemOf(await call({key, daemon: 1}))).toMatchObject({outcome: 'unknown'});
		expect(service.executions).toHaveLength(1);
	});

	it('has the outcome unknown when the service stops responding, and runs once', async () => {
		await configureStandIn(serviceUrl, {silent: true});
		expect(await problemOf(await call({key: randomUUID()}))).toMatchObject({outcome: 'unknown'});
		expect(service.executions).toHaveLength(1);
	});

	it('is rejected as not-run while the store is down, and runs once the store is back', async () => {
		const key = randomUUID();
		await configureStandIn(platformUrl, {down: true});
		expect(await problemOf(await call({key}))).toMatchObject({status: 503, outcome: 'not-run', retryAfter: '2'});
		expect(service.executions).toEqual([]);
		await configureStandIn(platformUrl, {down: false});
		while (await statusOf({key}) !== 200) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect(service.executions).toHaveLength(1);
	});

	it('runs once when the response of the store to the claim is lost', async () => {
		await configureStandIn(platformUrl, {loseAnswers: 1});
		expect(await statusOf({key: randomUUID()})).toBe(200);
		expect(service.executions).toHaveLength(1);
	});

	it('can be sent again after the service rejected it with 503', async () => {
		const key = randomUUID();
		await configureStandIn(serviceUrl, {status: 503, retryAfter: '4'});
		expect(await problemOf(await call({key}))).toMatchObject({status: 503, outcome: 'not-run', retryAfter: '4'});
		await configureStandIn(serviceUrl, {status: 200, retryAfter: ''});
		while (await statusOf({key}) !== 200) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect(service.executions).toHaveLength(1);
	});
});

describe('a call whose pool is in another data centre', () => {
	async function requestCompletion(daemon: number): Promise<{status: number; choices?: Array<{text: string}>; versions?: unknown}> {
		const res = await fetch(`${urls[daemon]}/v1/completions`, {
			method: 'POST', headers: {authorization: 'Bearer caller', 'x-deadline-ms': '5000'}, body: JSON.stringify({model: 'model', prompt: 'far', max_tokens: 40}),
		});
		const body = await res.json() as {choices?: Array<{text: string}>; versions?: unknown};
		return {...body, status: res.status};
	}

	async function retryUntilOk<Answer extends {status: number}>(sendCall: () => Promise<Answer>): Promise<Answer> {
		let answer = await sendCall();
		while (answer.status !== 200) {
			answer = await sendCall();
		}

		return answer;
	}

	it('returns the same complete text and versions as a call in that data centre', async () => {
		const relayed = await retryUntilOk(async () => requestCompletion(0));
		const direct = await retryUntilOk(async () => requestCompletion(2));
		expect([relayed.choices, relayed.versions]).toEqual([direct.choices, direct.versions]);
		expect(relayed.versions).toEqual([{from: 0, to: 40, version: 1}]);
	});

	it('runs there once with its exact bytes, and its outcome is known in the data centre of the caller', async () => {
		const key = randomUUID();
		const body = Uint8Array.from([0, 200, 255]);
		await retryUntilOk(async () => call({path: 'distant/x', key, body}));
		const repeat = await retryUntilOk(async () => call({
			path: 'distant/x', key, body, daemon: 1,
		}));
		expect(Buffer.from(await repeat.arrayBuffer())).toEqual(Buffer.from(body));
		expect(service.executions).toHaveLength(1);
	});
});
