import {once} from 'node:events';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type StartedProcess} from '../../demo/src/processes.js';
import {
	Deployment, requestJson, keys, waitUntil,
} from './test-deployment.js';

const tokens = 40;

let deployment: Deployment;

/** Starts a streamed completion. `started` resolves when the first data arrives, `text` with the whole response body. */
async function startStream(daemon: StartedProcess, prompt: string): Promise<{started: Promise<void>; text: Promise<string>}> {
	const res = await request(`http://127.0.0.1:${daemon.port}/v1/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${keys.caller}`, 'x-deadline-ms': '50000'},
		body: JSON.stringify({
			model: 'lm', prompt, max_tokens: tokens, stream: true,
		}),
	});
	let resolveStarted = (): void => undefined;
	const started = new Promise<void>(resolve => {
		resolveStarted = resolve;
	});
	const readAll = async (): Promise<string> => {
		let text = '';
		for await (const part of res.body as AsyncIterable<Uint8Array>) {
			text += Buffer.from(part).toString('utf8');
			resolveStarted();
		}

		return text;
	};

	return {started, text: readAll()};
}

async function countWaiting(daemon: StartedProcess): Promise<number> {
	const {body} = await requestJson(`http://127.0.0.1:${daemon.port}/admin/status`, 'GET');
	const shards = Object.values(body.shards as Record<string, {waiting: number}>);
	return shards.reduce((sum, shard) => sum + shard.waiting, 0);
}

/** Counts the tokens of all events. Tokens that arrive together at a relay share an event. The stand-in engine ends each token with a space. */
function countTokens(text: string): number {
	const events = text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice('data: '.length)) as {choices: Array<{text: string}>});
	return events.map(event => event.choices[0]?.text ?? '').join('').split(' ').length - 1;
}

async function waitForExitCode(daemon: StartedProcess): Promise<number | undefined> {
	const [code] = await once(daemon.child, 'exit') as [number | undefined];
	return code;
}

beforeEach(() => {
	deployment = new Deployment();
});

afterEach(() => {
	deployment.stop();
});

describe('SIGTERM', () => {
	it('does not interrupt streamed and waiting requests, and the process exits with code 0', async () => {
		const {a1, a2, b1} = await deployment.start();
		await requestJson(`${deployment.engineUrl}/control`, 'POST', {slowness: 10});
		const first = await startStream(a1, 'first');
		const relayed = await startStream(b1, 'relayed');
		await Promise.all([first.started, relayed.started]);
		// The concurrency window of the engine is full, so these requests queue at the shard owner, which is a1 or a2.
		const waiting = [startStream(a1, 'third'), startStream(a2, 'fourth')];
		await waitUntil(async () => {
			const waitingAt = await Promise.all([a1, a2].map(async daemon => countWaiting(daemon)));
			return waitingAt.includes(2);
		});
		const exits = [waitForExitCode(a1), waitForExitCode(a2)];
		a1.child.kill('SIGTERM');
		a2.child.kill('SIGTERM');
		const streams = [first, relayed, ...await Promise.all(waiting)];
		const texts = await Promise.all(streams.map(async ({text}) => text));
		expect(texts.map(text => countTokens(text))).toEqual([tokens, tokens, tokens, tokens]);
		expect(texts.every(text => text.endsWith('data: [DONE]\n\n'))).toBe(true);
		expect(await Promise.all(exits)).toEqual([0, 0]);
		await expect(requestJson(`http://127.0.0.1:${a1.port}/health`, 'GET')).rejects.toThrow(/ECONNREFUSED/v);
	});
});
