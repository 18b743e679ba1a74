import {createSuspectTable, mergeSuspects} from '@cicadapost/scheduling';
import type {
	AttemptId, Fingerprint, Release, ShardId, UpstreamId,
} from '@cicadapost/types';
import {describe, expect, it} from 'vitest';
import {takeDueReports, trackDeathReport, type DeathReports} from './death-reports.js';

const fingerprint = 'f1' as Fingerprint;
const release: Release = {
	kind: 'release', attempt: 'a1' as AttemptId, shard: 's1' as ShardId, result: 'upstream-died', tokens: 0, generationMs: 0,
	death: {upstream: 'engine-1' as UpstreamId, fingerprint},
};

describe('reports of deaths', () => {
	it('are repeated until the owner has counted them, so that a lost message does not cost a further engine', () => {
		const table = createSuspectTable();
		const reports: DeathReports = new Map();
		trackDeathReport(reports, release, table, 0);
		expect(takeDueReports(reports, table, 100)).toEqual([]);
		expect(takeDueReports(reports, table, 300)).toEqual([release]);
		expect(takeDueReports(reports, table, 600)).toEqual([release]);
		mergeSuspects(table, [{
			fingerprint, deaths: ['engine-1/a1'], blockedForMs: 0, cleared: false,
		}], 700);
		expect(takeDueReports(reports, table, 900)).toEqual([]);
		expect(reports.size).toBe(0);
	});

	it('do not mistake an earlier death of the same upstream for the answer', () => {
		const table = createSuspectTable();
		mergeSuspects(table, [{
			fingerprint, deaths: ['engine-1/a0'], blockedForMs: 0, cleared: false,
		}], 0);
		const reports: DeathReports = new Map();
		trackDeathReport(reports, release, table, 10);
		expect(takeDueReports(reports, table, 400)).toEqual([release]);
	});

	it('expire after a timeout, and are not created for a release without a death', () => {
		const table = createSuspectTable();
		const reports: DeathReports = new Map();
		trackDeathReport(reports, {...release, result: 'finished', death: undefined} as unknown as Release, table, 0);
		expect(reports.size).toBe(0);
		trackDeathReport(reports, release, table, 0);
		expect(takeDueReports(reports, table, 20_000)).toEqual([]);
		expect(reports.size).toBe(0);
	});
});
