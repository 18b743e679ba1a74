/** Tracks request fingerprints that were running on upstreams when they crashed. All shards of a daemon share one table. */

import type {Fingerprint, Millis, SuspectEntry} from '@cicadapost/types';

/** A fingerprint with this many crashes is run only on an otherwise idle upstream. */
export const deathsBeforeIsolation = 2;
/** A fingerprint with this many crashes is blocked. */
export const deathsBeforeBlock = 3;
/** Maximum number of upstreams that a fingerprint may run on concurrently before one of its requests has finished. */
export const maxUnprovenUpstreams = 2;
export const blockDurationMs = 10 * 60_000;
/** A suspect is removed after this time without a further crash. */
const suspectTtlMs = 30 * 60_000;
const provenTtlMs = 10 * 60_000;
/** Size limits of the table. A suspect takes about 300 bytes, a proven fingerprint about 100. */
const maxSuspects = 4096;
const maxProven = 8192;

type Suspect = {
	/** Ids of the upstream crashes during which the fingerprint was running. A set, so that a repeated message counts once. */
	deaths: Set<string>;
	expiresAt: Millis;
	blockedUntil: Millis;
};

export type SuspectTable = {
	suspects: Map<Fingerprint, Suspect>;
	/** Fingerprints of finished requests with the expiry time of the entry, oldest first. */
	proven: Map<Fingerprint, Millis>;
};

export function createSuspectTable(): SuspectTable {
	return {suspects: new Map(), proven: new Map()};
}

/** Returns the ids of the upstream crashes during which the fingerprint was running. */
export function deathIdsOf(table: SuspectTable, fingerprint: Fingerprint, now: Millis): string[] {
	const suspect = table.suspects.get(fingerprint);
	return suspect === undefined || suspect.expiresAt <= now ? [] : [...suspect.deaths];
}

/** Returns the number of upstream crashes during which the fingerprint was running. */
export function deathCountOf(table: SuspectTable, fingerprint: Fingerprint, now: Millis): number {
	const suspect = table.suspects.get(fingerprint);
	return suspect === undefined || suspect.expiresAt <= now ? 0 : suspect.deaths.size;
}

/** Returns how much longer the fingerprint is blocked, or 0 if it is not blocked. */
export function blockedForMs(table: SuspectTable, fingerprint: Fingerprint, now: Millis): Millis {
	const suspect = table.suspects.get(fingerprint);
	return suspect === undefined ? 0 : Math.max(0, suspect.blockedUntil - now);
}

export function isProven(table: SuspectTable, fingerprint: Fingerprint, now: Millis): boolean {
	return (table.proven.get(fingerprint) ?? 0) > now;
}

/** Returns how many upstreams the fingerprint may run on concurrently, so that it can crash at most `deathsBeforeBlock` of them. */
export function upstreamLimit(table: SuspectTable, fingerprint: Fingerprint, now: Millis): number {
	const deaths = deathCountOf(table, fingerprint, now);
	if (deaths > 0) {
		return Math.min(maxUnprovenUpstreams, deathsBeforeBlock - deaths);
	}

	return isProven(table, fingerprint, now) ? Number.POSITIVE_INFINITY : maxUnprovenUpstreams;
}

function toEntry(fingerprint: Fingerprint, suspect: Suspect, now: Millis): SuspectEntry {
	return {
		fingerprint, deaths: [...suspect.deaths], blockedForMs: Math.max(0, suspect.blockedUntil - now), cleared: false,
	};
}

/** If the table is full, evicts the least recently updated suspect; a blocked one is evicted only if all are blocked. */
function evictIfFull(table: SuspectTable, now: Millis): void {
	if (table.suspects.size < maxSuspects) {
		return;
	}

	let victim: Fingerprint | undefined;
	for (const [fingerprint, suspect] of table.suspects) {
		victim ??= fingerprint;
		if (suspect.blockedUntil <= now) {
			victim = fingerprint;
			break;
		}
	}

	table.suspects.delete(victim!);
}

function addDeaths(table: SuspectTable, fingerprint: Fingerprint, deaths: readonly string[], now: Millis): Suspect {
	const known = table.suspects.get(fingerprint);
	const suspect = known !== undefined && known.expiresAt > now ? known : {deaths: new Set<string>(), expiresAt: 0, blockedUntil: 0};
	for (const death of deaths) {
		if (suspect.deaths.size < deathsBeforeBlock) {
			suspect.deaths.add(death);
		}
	}

	suspect.expiresAt = now + suspectTtlMs;
	table.suspects.delete(fingerprint);
	evictIfFull(table, now);
	table.suspects.set(fingerprint, suspect);
	table.proven.delete(fingerprint);
	return suspect;
}

/** Records that an upstream crashed while it ran these fingerprints. Returns the entries to send to the other daemons. */
export function recordDeath(table: SuspectTable, fingerprints: Iterable<Fingerprint>, deathId: string, now: Millis): SuspectEntry[] {
	return [...new Set(fingerprints)].map(fingerprint => {
		const suspect = addDeaths(table, fingerprint, [deathId], now);
		if (suspect.deaths.size >= deathsBeforeBlock && suspect.blockedUntil <= now) {
			suspect.blockedUntil = now + blockDurationMs;
		}

		return toEntry(fingerprint, suspect, now);
	});
}

/** Records that a request with the fingerprint has finished. Returns the entries to send to the other daemons. */
export function recordFinish(table: SuspectTable, fingerprint: Fingerprint, now: Millis): SuspectEntry[] {
	addProven(table, fingerprint, now);
	return table.suspects.delete(fingerprint)
		? [{
			fingerprint, deaths: [], blockedForMs: 0, cleared: true,
		}]
		: [];
}

function addProven(table: SuspectTable, fingerprint: Fingerprint, now: Millis): void {
	table.proven.delete(fingerprint);
	table.proven.set(fingerprint, now + provenTtlMs);
	if (table.proven.size > maxProven) {
		const [oldest] = table.proven.keys();
		table.proven.delete(oldest!);
	}
}

/** Merges entries from another daemon and returns those that changed the table, so that a gateway forwards each entry only once. */
export function mergeSuspects(table: SuspectTable, entries: readonly SuspectEntry[], now: Millis): SuspectEntry[] {
	return entries.filter(entry => (entry.cleared ? mergeCleared(table, entry, now) : mergeDeaths(table, entry, now)));
}

function mergeCleared(table: SuspectTable, {fingerprint}: SuspectEntry, now: Millis): boolean {
	const isChanged = table.suspects.delete(fingerprint) || !table.proven.has(fingerprint);
	addProven(table, fingerprint, now);
	return isChanged;
}

function mergeDeaths(table: SuspectTable, entry: SuspectEntry, now: Millis): boolean {
	const known = table.suspects.get(entry.fingerprint);
	const deathsBefore = known?.deaths.size ?? 0;
	const wasBlocked = (known?.blockedUntil ?? 0) > now;
	const suspect = addDeaths(table, entry.fingerprint, entry.deaths, now);
	const blockedForMs = Math.min(entry.blockedForMs, blockDurationMs);
	suspect.blockedUntil = Math.max(suspect.blockedUntil, blockedForMs > 0 ? now + blockedForMs : 0);
	if (suspect.deaths.size >= deathsBeforeBlock && suspect.blockedUntil === 0) {
		suspect.blockedUntil = now + blockDurationMs;
	}

	return suspect.deaths.size > deathsBefore || (suspect.blockedUntil > now && !wasBlocked);
}

/** Returns all current suspects, to initialize a daemon that has just started. */
export function listSuspects(table: SuspectTable, now: Millis): SuspectEntry[] {
	return [...table.suspects].filter(([, suspect]) => suspect.expiresAt > now).map(([fingerprint, suspect]) => toEntry(fingerprint, suspect, now));
}

/**
Removes expired entries. A fingerprint whose block has ended keeps two crashes, so that its next run is alone on an
upstream and the next crash blocks it again.
*/
export function expireSuspects(table: SuspectTable, now: Millis): void {
	for (const [fingerprint, suspect] of table.suspects) {
		if (suspect.expiresAt <= now) {
			table.suspects.delete(fingerprint);
			continue;
		}

		if (suspect.blockedUntil > 0 && suspect.blockedUntil <= now) {
			suspect.blockedUntil = 0;
			suspect.deaths = new Set([...suspect.deaths].slice(0, deathsBeforeIsolation));
		}
	}

	for (const [fingerprint, expiresAt] of table.proven) {
		if (expiresAt > now) {
			break;
		}

		table.proven.delete(fingerprint);
	}
}
