import type {UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {NamedLimits} from './named-limits.js';

const upstream = {id: 'u1' as UpstreamId, bornAt: 1};

describe('NamedLimits', () => {
	it('keeps the limit until a later request is answered without one', () => {
		const limits = new NamedLimits();
		expect(limits.recordResponse(upstream, {requestsPerSecond: 2, sentAt: 0}, 10)).toBe(true);
		expect(limits.recordResponse(upstream, {requestsPerSecond: 2, sentAt: 5}, 20)).toBe(false);
		expect(limits.limitOf(upstream)).toBe(2);
		expect(limits.recordResponse(upstream, {requestsPerSecond: undefined, sentAt: 21}, 30)).toBe(true);
		expect(limits.limitOf(upstream)).toBeUndefined();
	});

	it('is not lifted by a response to a request from before the limit was named', () => {
		const limits = new NamedLimits();
		limits.recordResponse(upstream, {requestsPerSecond: 2, sentAt: 0}, 10);
		expect(limits.recordResponse(upstream, {requestsPerSecond: undefined, sentAt: 9}, 11)).toBe(false);
		expect(limits.limitOf(upstream)).toBe(2);
	});

	it('does not outlive a restart of the upstream', () => {
		const limits = new NamedLimits();
		limits.recordResponse(upstream, {requestsPerSecond: 2, sentAt: 0}, 10);
		const restarted = {...upstream, bornAt: 2};
		expect(limits.limitOf(restarted)).toBeUndefined();
		limits.recordResponse(restarted, {requestsPerSecond: 5, sentAt: 20}, 30);
		expect(limits.recordResponse(upstream, {requestsPerSecond: undefined, sentAt: 40}, 50)).toBe(false);
		expect(limits.limitOf(restarted)).toBe(5);
	});
});
