/** Reports of upstreams that died, repeated until they are known to be counted. */

import {deathIdsOf, type SuspectTable} from '@cicadapost/scheduling';
import type {AttemptId, Millis, Release} from '@cicadapost/types';

type DeathRelease = Release & Readonly<{death: NonNullable<Release['death']>}>;

type DeathReport = {
	readonly release: DeathRelease;
	/** Deaths of the upstream that were counted for the fingerprint before this one. */
	readonly countedBefore: ReadonlySet<string>;
	readonly expiresAt: Millis;
	resendAt: Millis;
};

export type DeathReports = Map<AttemptId, DeathReport>;

/** The answer to a report is the list of suspects that its owner sends to all; it takes one round trip. */
const resendIntervalMs = 250;
/** A shard without an owner for this long has other troubles. */
const reportTimeoutMs = 15_000;

function countedDeaths(table: SuspectTable, {upstream, fingerprint}: DeathRelease['death'], now: Millis): string[] {
	return deathIdsOf(table, fingerprint, now).filter(death => death.startsWith(`${upstream}/`));
}

/** Remembers a release that reports a death; other releases need no answer. */
export function trackDeathReport(reports: DeathReports, release: Release, table: SuspectTable, now: Millis): void {
	const {death} = release;
	if (death !== undefined) {
		reports.set(release.attempt, {
			release: {...release, death}, countedBefore: new Set(countedDeaths(table, death, now)), expiresAt: now + reportTimeoutMs, resendAt: now + resendIntervalMs,
		});
	}
}

/** Reports that have to be sent again. Forgets those that have been counted. */
export function takeDueReports(reports: DeathReports, table: SuspectTable, now: Millis): Release[] {
	const due: Release[] = [];
	for (const [attempt, report] of reports) {
		const isCounted = countedDeaths(table, report.release.death, now).some(death => !report.countedBefore.has(death));
		if (isCounted || now >= report.expiresAt) {
			reports.delete(attempt);
		} else if (now >= report.resendAt) {
			report.resendAt = now + resendIntervalMs;
			due.push(report.release);
		}
	}

	return due;
}
