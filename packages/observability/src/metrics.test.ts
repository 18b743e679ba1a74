import {describe, expect, it} from 'vitest';
import {maxLabelSets, Metrics, NoopMetricsSink} from './metrics.js';

describe('Metrics', () => {
	it('summarises each combination of member and class separately', () => {
		const metrics = new Metrics(new NoopMetricsSink());
		metrics.record('wait', 10, {member: 'clerks', requestClass: 'live'});
		metrics.record('wait', 30, {member: 'planner', requestClass: 'training'});
		expect(metrics.summaries()).toMatchObject([{member: 'clerks', max: 10}, {member: 'planner', max: 30}]);
	});

	it('limits the number of histograms, so that many members do not exhaust memory', () => {
		const metrics = new Metrics(new NoopMetricsSink());
		for (let index = 0; index < maxLabelSets * 2; index++) {
			metrics.record('wait', 1, {member: `member-${index}`, requestClass: 'live'});
		}

		expect(metrics.summaries().length).toBe(maxLabelSets + 1);
	});
});
