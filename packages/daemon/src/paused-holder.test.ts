import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type StartedProcess} from '../../demo/src/processes.js';
import {Deployment, requestJson, waitUntil} from './test-deployment.js';

type Order = {version: number; fence: number};

let deployment: Deployment;

async function engineState(): Promise<{version: number; orders: Order[]}> {
	const {body} = await requestJson(`${deployment.engineUrl}/state`, 'GET');
	return body as {version: number; orders: Order[]};
}

async function publishWeights(version: number): Promise<void> {
	await requestJson(`${deployment.platformUrl}/control`, 'POST', {weights: {lm: version}});
	await waitUntil(async () => {
		const state = await engineState();
		return state.version === version;
	});
}

async function findLeaseHolder(): Promise<StartedProcess> {
	const {body} = await requestJson(`${deployment.platformUrl}/tables/leases/${encodeURIComponent('a/lm')}`, 'GET');
	const name = (JSON.parse(String(body.value)) as {holder: string}).holder.split('/')[0]!;
	return deployment.daemons.get(name as 'a1')!;
}

beforeEach(() => {
	deployment = new Deployment();
});

afterEach(() => {
	deployment.stop();
});

describe('a lease holder that is paused and resumed', () => {
	it.each([['compares', true], ['ignores', false]])('gets no order accepted by an engine that %s fencing tokens', async (_name, checksFencing) => {
		await deployment.start();
		await requestJson(`${deployment.engineUrl}/control`, 'POST', {checksFencing});
		await publishWeights(2);
		const paused = await findLeaseHolder();
		paused.child.kill('SIGSTOP');
		await publishWeights(3);
		paused.child.kill('SIGCONT');
		// The daemon is running again, and reads the lease row and the weight store before the engine serves the next version.
		await requestJson(`http://127.0.0.1:${paused.port}/admin/status`, 'GET');
		await publishWeights(4);
		const {orders} = await engineState();
		const fences = orders.map(({fence}) => fence);
		expect(fences).toEqual([...fences].sort((a, b) => a - b));
		expect(fences[0]).toBe(1);
		expect(fences.at(-1)).toBe(2);
		expect(orders.filter(({version}) => version >= 3).every(({fence}) => fence === 2)).toBe(true);
	});
});
