import type {UpstreamId} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {type LoadReport, LoadReporter} from './load-reporter.js';

describe('LoadReporter', () => {
	it('reports the work of each interval once, with processor time as a difference', () => {
		let processorMs = 400;
		const reports: LoadReport[] = [];
		const reporter = new LoadReporter({
			processorTime: () => processorMs,
			onLoadReport(report) {
				reports.push(report);
			},
		}, 1000);
		for (const rows of [2, 0, 3]) {
			reporter.recordStoreCall({
				call: 'changes', table: 'batches', outcome: 'changes', rows,
			});
		}

		reporter.recordStoreCall({
			call: 'transact', table: 'batches', outcome: 'conflict', rows: 1,
		});
		reporter.recordClaimPlan(1.2);
		reporter.recordClaimPlan(0.6);
		reporter.recordLimitedRequest('u1' as UpstreamId, 'hedge');
		processorMs = 450;
		reporter.report(11_000);
		reporter.report(21_000);
		expect(reports).toEqual([
			{
				intervalMs: 10_000,
				processorMs: 50,
				storeCalls: {'changes batches changes': 3, 'transact batches conflict': 1},
				storeRows: {'changes batches': 5, 'transact batches': 1},
				claimPlans: 2,
				claimPlanMs: 2,
				limitedRequests: {'u1 hedge': 1},
			},
			{
				intervalMs: 10_000, processorMs: 0, storeCalls: {}, storeRows: {}, claimPlans: 0, claimPlanMs: 0, limitedRequests: {},
			},
		]);
	});
});
