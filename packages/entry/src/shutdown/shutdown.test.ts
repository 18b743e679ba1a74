import {SystemClock} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {shouldServeLate, type LateRequest} from './decide-late-request.js';
import {answersEndAt, drain} from './drain.js';
import {ServiceTimes} from './service-times.js';

const late = (fields: Partial<LateRequest> = {}): LateRequest => ({
	kind: 'idempotent', sinceStopMs: 4000, leftMs: 3000, deadlineMs: 5000, expectedMs: 1000, ...fields,
});

describe('shouldServeLate', () => {
	it('serves any request whose deadline falls into the time that is left', () => {
		for (const kind of ['idempotent', 'once', 'stream'] as const) {
			expect(shouldServeLate(late({kind, deadlineMs: 3000, expectedMs: undefined}))).toBe(true);
		}
	});

	it('serves no request once the daemon answers what is left', () => {
		expect(shouldServeLate(late({leftMs: 0, deadlineMs: -1}))).toBe(false);
		expect(shouldServeLate(late({kind: 'batch', leftMs: 2999}))).toBe(false);
		expect(shouldServeLate(late({kind: 'batch'}))).toBe(true);
	});

	it('serves a late idempotent request only if such requests usually end well before', () => {
		expect([1500, 1501, undefined].map(expectedMs => shouldServeLate(late({expectedMs})))).toEqual([true, false, false]);
	});

	it('refuses a late stream and a late request that may run once, which an error would not help', () => {
		expect((['once', 'stream'] as const).map(kind => shouldServeLate(late({kind, expectedMs: 100})))).toEqual([false, false]);
	});

	it('serves early requests of any kind that usually end in time', () => {
		for (const kind of ['idempotent', 'once', 'stream'] as const) {
			expect([3000, 3001, undefined].map(expectedMs => shouldServeLate(late({kind, sinceStopMs: 2500, expectedMs})))).toEqual([true, false, true]);
		}
	});
});

describe('ServiceTimes', () => {
	it('expects nearly all requests of a route to be as fast as earlier ones, and knows nothing of other routes', () => {
		const times = new ServiceTimes();
		for (let index = 0; index < 200; index++) {
			times.record('desk', 90 + (index % 20));
		}

		expect(times.expectedMs('desk')).toBeGreaterThan(109);
		expect(times.expectedMs('desk')).toBeLessThan(200);
		expect(times.expectedMs('other')).toBe(undefined);
		times.retain(new Set());
		expect(times.expectedMs('desk')).toBe(undefined);
	});
});

describe('drain', () => {
	it('answers what is left before the end of the grace period, and not without need', async () => {
		const clock = new SystemClock();
		const startedAt = clock.now();
		const steps: string[] = [];
		await drain({
			clock,
			graceMs: 1200,
			isIdle: () => false,
			closeIdleConnections: () => steps.push('close'),
			releaseWork: () => steps.push('release'),
			answerPending() {
				steps.push('answer');
				expect(clock.now()).toBeGreaterThanOrEqual(answersEndAt(startedAt, 1200));
			},
		});
		expect(steps).toEqual(['release', 'answer']);
		expect(clock.now() - startedAt).toBeLessThan(1200);
	});
});
