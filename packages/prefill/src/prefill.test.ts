import type {UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {decidePrefills, type PrefillEngine, type WaitingPrompt} from './decide-prefills.js';
import {PrefillMeter} from './prefill-meter.js';
import {PrefillQueue} from './prefill-queue.js';

const idOf = (id: string) => id as UpstreamId;
const engine = (id: string, fields: Partial<PrefillEngine> = {}): PrefillEngine => ({
	id: idOf(id), running: 1, slots: 8, msPerToken: 0.002, queuedTokens: 0, queuedLongTokens: 0, chunkTokens: 512, eventMs: 9, ...fields,
});
const prompt = (id: string, promptTokens: number, fields: Partial<WaitingPrompt> = {}): WaitingPrompt => ({
	id, promptTokens, firstEventBy: promptTokens > 10_000 ? 700 : 75, ...fields,
});
const targets = {
	firstEventMs: 75, gapMs: 40, stepsPerEvent: 10,
};
const decide = (waiting: readonly WaitingPrompt[], engines: readonly PrefillEngine[]) => decidePrefills({
	waiting, engines, targets, now: 0,
});
function sends(waiting: readonly WaitingPrompt[], engines: readonly PrefillEngine[]): string[] {
	const decision = decide(waiting, engines);
	return decision.kind === 'placed' ? decision.sends.map(send => `${send.id}@${send.engine}`) : [decision.reason];
}

describe('decidePrefills', () => {
	describe('long prompts', () => {
		it('get one engine each, and leave one engine to short ones', () => {
			const long = ['a', 'b', 'c'].map(id => prompt(id, 60_000, {firstEventBy: 100}));
			expect(sends(long, [engine('x'), engine('y'), engine('z')])).toEqual(['a@x', 'b@y']);
		});

		it('wait while an engine that keeps the gaps between events is only busy', () => {
			const slow = engine('slow', {msPerToken: 0.008});
			expect(sends([prompt('a', 60_000)], [slow, engine('x', {queuedTokens: 9000, queuedLongTokens: 9000}), engine('y')])).toEqual([]);
			expect(sends([prompt('a', 60_000, {firstEventBy: 100})], [slow, engine('x', {queuedTokens: 9000, queuedLongTokens: 9000}), engine('y')])).toEqual(['a@y']);
		});
	});

	describe('short prompts', () => {
		it('avoid the engine with a long prompt, and wait rather than miss their target behind one', () => {
			const busy = engine('x', {queuedTokens: 60_000, queuedLongTokens: 60_000});
			expect(sends([prompt('a', 600)], [busy, engine('y')])).toEqual(['a@y']);
			expect(sends([prompt('a', 600)], [busy])).toEqual([]);
		});

		it('go in the order of their slack while slots are left', () => {
			const full = engine('x', {running: 7, queuedTokens: 20_000, queuedLongTokens: 20_000});
			expect(sends([prompt('later', 600, {firstEventBy: 90}), prompt('soon', 600, {firstEventBy: 60})], [full])).toEqual(['soon@x']);
		});

		it('prefer the engine that has their prefix cached', () => {
			const cached = prompt('a', 5000, {cachedTokens: new Map([[idOf('y'), 4800]])});
			expect(sends([cached, prompt('b', 60_000)], [engine('x'), engine('y', {running: 5})])[0]).toBe('a@y');
		});
	});

	describe('without effect', () => {
		it('is off if all prompts are short or all are long, so that such deployments are served as before', () => {
			expect(sends([prompt('a', 600), prompt('b', 5000)], [engine('x')])).toEqual(['alike']);
			expect(sends([prompt('a', 60_000)], [engine('x', {running: 0})])).toEqual(['alike']);
		});

		it('is off and names the engines whose figures are unknown', () => {
			expect(decide([prompt('a', 600)], [engine('x'), engine('y', {msPerToken: undefined}), engine('z', {queuedTokens: undefined})]))
				.toEqual({kind: 'off', reason: 'unmeasured', unmeasured: ['y', 'z']});
		});
	});
});

describe('PrefillMeter', () => {
	const measure = (tokens: (index: number) => number, count = 20) => {
		const meter = new PrefillMeter();
		for (let index = 0; index < count; index++) {
			meter.record(idOf('x'), {tokens: tokens(index), delayMs: 5 + (0.002 * tokens(index))});
		}

		return meter.msPerToken(idOf('x'));
	};

	it('separates the time for a token from the part of the delay that does not depend on tokens', () => {
		expect(measure(index => 600 * (1 + (index % 10)))).toBeCloseTo(0.002, 6);
	});

	it('knows no rate after few first events or similar prompts, which show only waiting', () => {
		expect(measure(index => 600 * (1 + index), 5)).toBeUndefined();
		expect(measure(index => 600 + index)).toBeUndefined();
	});
});

describe('PrefillQueue', () => {
	it('counts a prompt until its first event, its end or its next engine, so that no engine stays blocked', () => {
		const queue = new PrefillQueue();
		const add = (id: string, engineId: string, tokens: number, isLong = false) => {
			queue.add(id, {
				engine: idOf(engineId), tokens, isLong, now: 0,
			});
		};

		const tokensOf = (id: string) => [queue.figuresOf(idOf(id)).queuedTokens, queue.figuresOf(idOf(id)).queuedLongTokens];
		add('a', 'x', 600);
		add('b', 'x', 60_000, true);
		expect(tokensOf('x')).toEqual([60_600, 60_000]);
		add('b', 'y', 60_000, true);
		queue.recordFirstEvent('a', 5);
		queue.recordFirstEvent('a', 6);
		expect([tokensOf('x'), tokensOf('y')]).toEqual([[0, 0], [60_000, 60_000]]);
		queue.end('b');
		queue.end('b');
		expect(tokensOf('y')).toEqual([0, 0]);
		add('c', 'x', 600);
		queue.forget(idOf('x'));
		queue.recordFirstEvent('c', 9);
		expect(tokensOf('x')).toEqual([0, 0]);
	});
});
