/** Reports of upstreams that died, repeated until they are known to be counted. */

import {deathIdsOf, type SuspectTable} from '@cicadapost/scheduling';
import type {AttemptId, Millis, Release} from '@cicadapost/types';

type DeathRelease = Release & Readonly<{death: NonNullable<Release['death']>}>;

type DeathReport = {
	readonly release: DeathRelease;
	/** Deaths of the upstream that were counted for the fingerprint before this one. */
	readonly countedBefore: ReadonlySet<string>;
	readonly giveUpAt: Millis;
	repeatAt: Millis;
};

export type DeathReports = Map<AttemptId, DeathReport>;

/** The answer to a report is the list of suspects that its owner sends to all; it takes one round trip. */
const repeatMs = 250;
/** A shard without an owner for this long has other troubles. */
const giveUpMs = 15_000;

function countedFor(table: SuspectTable, {upstream, fingerprint}: DeathRelease['death'], now: Millis): string[] {
	return deathIdsOf(table, fingerprint, now).filter(death => death.startsWith(`${upstream}/`));
}

/** Remembers a release that reports a death; other releases need no answer. */
export function noteDeath(reports: DeathReports, release: Release, table: SuspectTable, now: Millis): void {
	const {death} = release;
	if (death !== undefined) {
		reports.set(release.attempt, {
			release: {...release, death}, countedBefore: new Set(countedFor(table, death, now)), giveUpAt: now + giveUpMs, repeatAt: now + repeatMs,
		});
	}
}

/** Reports that have to be sent again. Forgets those that have been counted. */
export function dueReports(reports: DeathReports, table: SuspectTable, now: Millis): Release[] {
	const due: Release[] = [];
	for (const [attempt, report] of reports) {
		const isCounted = countedFor(table, report.release.death, now).some(death => !report.countedBefore.has(death));
		if (isCounted || now >= report.giveUpAt) {
			reports.delete(attempt);
		} else if (now >= report.repeatAt) {
			report.repeatAt = now + repeatMs;
			due.push(report.release);
		}
	}

	return due;
}
