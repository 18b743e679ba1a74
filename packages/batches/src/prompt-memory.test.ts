import type {BatchId, UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {PromptMemory} from './prompt-memory.js';

const engine = 'e1' as UpstreamId;
const first = {batch: 'b1' as BatchId, group: 0};

describe('PromptMemory', () => {
	it('knows a prompt only at its engine and under its weight version, since new weights make the cached prompt useless', () => {
		const memory = new PromptMemory();
		memory.record(first, engine, 3);
		expect([memory.has(first, engine, 3), memory.has(first, engine, 4), memory.has(first, 'e2' as UpstreamId, 3), memory.has({...first, group: 1}, engine, 3)]).toEqual([true, false, false, false]);
	});

	it('forgets batches that are over, so that it does not grow with the steps of a day', () => {
		const memory = new PromptMemory();
		memory.record(first, engine, 3);
		memory.retain(new Set());
		expect(memory.has(first, engine, 3)).toBe(false);
	});
});
