/** Reports of upstream deaths, which are sent again until the shard owner is known to have counted them. */

import {deathIdsOf, type SuspectTable} from '@cicadapost/scheduling';
import type {
	AttemptId, Fingerprint, Millis, Release, UpstreamId,
} from '@cicadapost/types';

type CountedDeath = Readonly<{upstream: UpstreamId; fingerprint: Fingerprint}>;
type DeathRelease = Release & Readonly<{death: CountedDeath}>;

type DeathReport = {
	readonly release: DeathRelease;
	/** Deaths of the upstream that had been counted for the fingerprint before this one. */
	readonly countedBefore: ReadonlySet<string>;
	readonly expiresAt: Millis;
	resendAt: Millis;
};

export type DeathReports = Map<AttemptId, DeathReport>;

/** A report is acknowledged by the suspect entries that the shard owner sends to all daemons, which takes one round trip. */
const resendIntervalMs = 250;
/** Time after which a report is dropped. A shard that has no owner for this long has bigger problems. */
const reportTimeoutMs = 15_000;

function countedDeaths(table: SuspectTable, {upstream, fingerprint}: CountedDeath, now: Millis): string[] {
	return deathIdsOf(table, fingerprint, now).filter(death => death.startsWith(`${upstream}/`));
}

/** Tracks a release that reports a death of a suspect. Other releases need no acknowledgement. */
export function trackDeathReport(reports: DeathReports, release: Release, table: SuspectTable, now: Millis): void {
	const {upstream, fingerprint} = release.death ?? {};
	if (upstream !== undefined && fingerprint !== undefined) {
		const death = {upstream, fingerprint};
		reports.set(release.attempt, {
			release: {...release, death}, countedBefore: new Set(countedDeaths(table, death, now)), expiresAt: now + reportTimeoutMs, resendAt: now + resendIntervalMs,
		});
	}
}

/** Returns the reports that are due to be sent again. Drops those that have been counted or have expired. */
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
