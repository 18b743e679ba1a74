import 'reflect-metadata';
import {hashKey} from '@cicadapost/api';
import {daemonSettingsSchema, documentSchema} from '@cicadapost/settings';
import {EngineStandIn, PlatformStandIn} from '@cicadapost/stand-ins';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {freePort} from '../../demo/src/free-port.js';
import {createContainer} from './container.js';
import {Daemon} from './daemon.js';

type Answer = Readonly<{status: number; body: Record<string, any>}>;

async function call(method: string, url: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer> {
	const res = await fetch(url, {method, headers: {authorization: 'Bearer key', ...headers}, body: JSON.stringify(body)});
	return {status: res.status, body: await res.json() as Record<string, any>};
}

/** Repeats a call until its answer is as expected, so that the test waits for a condition instead of a fixed time. */
async function repeatUntil(send: () => Promise<Answer>, isExpected: (answer: Answer) => boolean): Promise<Answer> {
	for (;;) {
		const answer = await send();
		if (isExpected(answer)) {
			return answer;
		}
	}
}

describe('a training step over sockets', () => {
	const platform = new PlatformStandIn();
	const engine = new EngineStandIn({name: 'e1', stepMs: 1});
	const daemons: Daemon[] = [];
	const apiUrls: string[] = [];
	let platformUrl = '';

	beforeAll(async () => {
		platformUrl = `http://127.0.0.1:${await platform.listen()}`;
		const engineUrl = `http://127.0.0.1:${await engine.listen()}`;
		const ports = [await freePort(), await freePort()];
		const vms = ports.map((port, index) => ({
			id: `sfax-1-${index}`, role: 'entry', dataCentre: 'sfax-1', state: 'live', peerAddress: `127.0.0.1:${port}`,
		}));
		await call('POST', `${platformUrl}/control`, {vms});
		for (const [index, port] of ports.entries()) {
			const settings = daemonSettingsSchema.parse({
				daemon: `sfax-1-${index}`,
				dataCentre: 'sfax-1',
				region: 'sfax',
				listen: {api: {port: 0}, peers: {port}},
				platform: {tableService: platformUrl, objectStore: platformUrl, vmList: platformUrl},
				operatorKeyHashes: [hashKey('operator')],
				peerSecret: 'peer-secret',
				log: {level: 'error'},
			});
			const daemon = createContainer(settings).resolve(Daemon);
			daemons.push(daemon);
			const {apiPort} = await daemon.start();
			apiUrls.push(`http://127.0.0.1:${apiPort}`);
		}

		const document = documentSchema.parse({
			base: {
				members: {sfax: {keys: [{sha256: hashKey('key'), role: 'trainer'}]}}, pools: {'rota-lm': {kind: 'engine'}}, dataCentres: {'sfax-1': {region: 'sfax'}},
			},
			overlays: {'sfax-1': {upstreams: {e1: {pool: 'rota-lm', url: engineUrl}}}},
		});
		await call('PUT', `${apiUrls[0]}/admin/configuration`, document, {authorization: 'Bearer operator', 'if-match': '0'});
		for (const api of apiUrls) {
			await repeatUntil(async () => call('GET', `${api}/admin/status`, undefined, {authorization: 'Bearer operator'}), ({body}) => (
				body.configurationVersion === 1 && Object.keys(body.peers as Record<string, unknown>).length === 1
			));
		}
	});

	afterAll(async () => {
		await Promise.all(daemons.map(async daemon => daemon.shutDown()));
		engine.close();
		platform.close();
	});

	async function submit(api: string, group: number): Promise<Answer> {
		return call('POST', `${api}/v1/rollouts/groups`, {
			step: 1, group, model: 'rota-lm', prompt: `rota ${group}`, samples: 2, maxTokens: 4, stalenessBound: 0,
		});
	}

	async function fetchGroups(api: string, fetchId: string, received?: readonly number[]): Promise<Answer> {
		return call('POST', `${api}/v1/rollouts/fetch`, {
			step: 1, fetchId, max: 4, currentVersion: 1, received,
		});
	}

	it('continues while the store is down, loses no write whose response is lost, and answers a repeated fetch at the other daemon alike', async () => {
		await call('POST', `${platformUrl}/control`, {loseAnswers: 2});
		expect(await submit(apiUrls[0]!, 0)).toMatchObject({status: 200, body: {durable: true}});
		const first = await repeatUntil(async () => fetchGroups(apiUrls[0]!, 'f1'), ({body}) => body.groups?.length > 0);
		expect(first.body.groups[0].samples).toMatchObject([{tokens: 4, versions: [{from: 0, to: 4, version: 1}]}, {tokens: 4}]);
		const second = await fetchGroups(apiUrls[1]!, 'f1');
		expect(second.body.groups).toEqual(first.body.groups);

		await call('POST', `${platformUrl}/control`, {down: true});
		expect(await submit(apiUrls[1]!, 1)).toMatchObject({status: 200, body: {durable: false}});
		expect(await fetchGroups(apiUrls[0]!, 'f2')).toMatchObject({status: 503, body: {outcome: 'not-run', field: 'received'}});
		const fromMemory = await repeatUntil(async () => fetchGroups(apiUrls[0]!, 'f2', [0]), ({body}) => body.groups?.length > 0);
		expect(fromMemory.body).toMatchObject({groups: [{group: 1}], durable: false});

		await call('POST', `${platformUrl}/control`, {down: false});
		await repeatUntil(async () => submit(apiUrls[0]!, 1), ({body}) => body.durable === true);
		const acked = await repeatUntil(async () => call('POST', `${apiUrls[1]}/v1/rollouts/ack`, {step: 1, fetchId: 'f2', groups: [1]}), ({body}) => body.durable === true);
		expect(acked.body.groups).toEqual([1]);
		const rest = await fetchGroups(apiUrls[1]!, 'f3', [0, 1]);
		expect(rest.body.groups).toEqual([]);
	});
});
