import {totalmem} from 'node:os';
import {SystemClock} from '@cicadapost/types';
import {
	describe, expect, it, vi,
} from 'vitest';
import {createClientLimits, usableMemoryMb} from './client-limits.js';

describe('limits for clients', () => {
	it('hold also where the settings name no memory, by the memory of the machine', () => {
		const onReport = vi.fn();
		const limits = createClientLimits({
			clock: new SystemClock(), logger: {warn: vi.fn()} as never, limits: {}, random: () => 0.5, onReport,
		});
		expect(limits.memory.isLimited).toBe(true);
		expect([limits.responses.tryAdd(2 ** 40), limits.texts.tryAdd(2 ** 40)]).toEqual([false, false]);
		expect(onReport.mock.calls.map(([{reason}]) => reason as string)).toEqual(['no memory for a response', 'no memory for a text']);
		expect(usableMemoryMb() * 1024 * 1024).toBeLessThanOrEqual(totalmem());
	});
});
