import type {Observation} from '@cicadapost/fakes';
import {describe, expect, it} from 'vitest';
import {checks} from './oracle.js';

const violations = (events: ReadonlyArray<Readonly<{at: number; kind: string}>>) => checks['no work for a leaving upstream']!(
	events.map(event => ({upstream: 'engine-1', job: 'job-0', ...event})) as unknown as Observation[],
	undefined as never,
);

describe('the check for leaving upstreams', () => {
	it('reports work that an engine receives more than three seconds after it started to leave', () => {
		expect(violations([{at: 0, kind: 'upstream-leaving'}, {at: 2900, kind: 'upstream-received'}])).toEqual([]);
		expect(violations([{at: 0, kind: 'upstream-leaving'}, {at: 3100, kind: 'upstream-received'}])).toHaveLength(1);
	});

	it('accepts work on a restarted engine until it leaves again', () => {
		const restarted = [{at: 0, kind: 'upstream-leaving'}, {at: 1000, kind: 'upstream-started'}, {at: 5000, kind: 'upstream-received'}];
		expect(violations(restarted)).toEqual([]);
		expect(violations([...restarted, {at: 6000, kind: 'upstream-leaving'}, {at: 9500, kind: 'upstream-received'}])).toHaveLength(1);
	});

	it('measures the grace period from the first report that an engine is leaving, even if it is repeated', () => {
		expect(violations([{at: 0, kind: 'upstream-leaving'}, {at: 2000, kind: 'upstream-leaving'}, {at: 3500, kind: 'upstream-received'}])).toHaveLength(1);
	});
});
