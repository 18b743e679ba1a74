import {
	afterEach, describe, expect, it,
} from 'vitest';
import {EngineStandIn} from './engine.js';

describe('the engine stand-in', () => {
	const engine = new EngineStandIn({name: 'e1', stepMs: 1});
	let url = '';

	afterEach(() => {
		engine.close();
	});

	async function post(path: string, body: unknown): Promise<Response> {
		return fetch(`${url}${path}`, {method: 'POST', body: JSON.stringify(body)});
	}

	async function waitUntilRunning(): Promise<void> {
		for (;;) {
			const res = await fetch(`${url}/state`);
			const state = await res.json() as {running: number};
			if (state.running > 0) {
				return;
			}
		}
	}

	async function versionsOf(completion: Promise<Response>): Promise<number[]> {
		const res = await completion;
		const text = await res.text();
		return [...text.matchAll(/"version":(?<version>\d+)/gv)].map(match => Number(match.groups!.version));
	}

	it('switches running sequences to new weights at the given token, and keeps the old weights if the change fails', async () => {
		url = `http://127.0.0.1:${await engine.listen()}`;
		// A silent engine generates no tokens, so the weight change arrives before the first one.
		await post('/control', {silent: true});
		const running = post('/v1/completions', {prompt: 'p', max_tokens: 4});
		await waitUntilRunning();
		await post('/control', {version: 2, fromToken: 2});
		const state = await post('/control', {version: 3, failSwap: true, silent: false});
		expect(await state.json()).toMatchObject({version: 2});
		expect(await versionsOf(running)).toEqual([1, 1, 2, 2]);
		expect(await versionsOf(post('/v1/completions', {prompt: 'q', max_tokens: 2}))).toEqual([2, 2]);
	});
});
