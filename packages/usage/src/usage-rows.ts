import {createHash} from 'node:crypto';
import {
	decodeList, encodeList, joinChunks, maxRowBytes, splitValue, type ValueChunk,
} from '@cicadapost/store';
import type {DaemonId, Millis, TeamId} from '@cicadapost/types';

/** Table of counts, clocks and reports. No daemon follows it. */
export const usageTable = 'usage';
/** Holds the row of each daemon's clock, by its name, and the offset that all use. */
export const clockPart = 'clock';
export const fleetOffsetPart = 'fleet-clock';
export const fleetOffsetKey = 'offset';
/** Holds the frozen reports, by window. */
export const reportPart = 'report';
/** Parts that hold the counts of one window. One part takes 200 writes per second, and 300 daemons write about 200 a second. */
export const countShards = 4;
const countPrefix = 'counts/';
/** Digits of a window in a key, so that keys sort as windows do. */
const windowDigits = 12;
/** Teams in one row of counts. */
const teamsPerRow = 500;
/** Maximum encoded size of a count and of the header of a team's name. */
const countBytes = 14;

export function windowKey(window: number): string {
	return String(window).padStart(windowDigits, '0');
}

/** Returns the part for the counts of a window at a daemon. */
export function countPart(window: number, incarnation: string): string {
	const shard = (createHash('sha1').update(incarnation).digest()[0] ?? 0) % countShards;
	return countPartOf(window, shard);
}

/** Returns all parts with counts of a window. */
export function countParts(window: number): string[] {
	return Array.from({length: countShards}, (_, shard) => countPartOf(window, shard));
}

function countPartOf(window: number, shard: number): string {
	return `${countPrefix}${windowKey(window)}/${shard}`;
}

/** Returns the window whose counts a part holds. */
export function windowOfPart(part: string): number | undefined {
	const [prefix, window] = part.split('/');
	return prefix === 'counts' && window !== undefined && /^\d{12}$/v.test(window) ? Number(window) : undefined;
}

type CountRow = Readonly<{key: string; value: Uint8Array}>;

/** Encodes the counts of a daemon in one window. Teams keep their row while counts grow, since a map keeps its order and each count is taken for as long as the longest. */
export function encodeCounts(incarnation: string, counts: ReadonlyMap<TeamId, number>): CountRow[] {
	const rows: Array<Array<[TeamId, number]>> = [[]];
	let bytes = 0;
	for (const entry of counts) {
		const size = Buffer.byteLength(entry[0]) + countBytes;
		if (rows.at(-1)!.length >= teamsPerRow || bytes + size > maxRowBytes - countBytes) {
			rows.push([]);
			bytes = 0;
		}

		rows.at(-1)!.push(entry);
		bytes += size;
	}

	return rows.map((entries, index) => ({key: `${incarnation}/${index}`, value: encodeList(entries.flat())}));
}

/** Returns the rows of a window's report: one row, or several if it does not fit. */
export function reportRows(window: number, report: Uint8Array): ValueChunk[] {
	const key = windowKey(window);
	return report.length <= maxRowBytes ? [{key, value: report}] : splitValue(key, report);
}

/** Returns the report of a window from rows of reports, or undefined if it is not among them. */
export function reportOf(rows: readonly ValueChunk[], window: number): Uint8Array | undefined {
	const key = windowKey(window);
	const [joined] = joinChunks(rows.filter(row => row.key.startsWith(`${key}/`)));
	return rows.find(row => row.key === key)?.value ?? joined?.value;
}

export function windowOfReport(key: string): number {
	return Number(key.slice(0, windowDigits));
}

/** Adds the counts of a row to `sum`. Returns false if the row can't be read. */
export function addCounts(value: Uint8Array, sum: Map<TeamId, number>): boolean {
	const fields = decodeList(value);
	if (fields === undefined) {
		return false;
	}

	for (let index = 0; index + 1 < fields.length; index += 2) {
		const [team, count] = [fields[index], fields[index + 1]];
		if (typeof team !== 'string' || typeof count !== 'number') {
			return false;
		}

		sum.set(team as TeamId, (sum.get(team as TeamId) ?? 0) + count);
	}

	return true;
}

export function encodeOffset(offsetMs: Millis): Uint8Array {
	return encodeList([offsetMs]);
}

/** Returns undefined if the value is not an encoded offset. */
export function decodeOffset(value: Uint8Array): Millis | undefined {
	const [offsetMs] = decodeList(value) ?? [];
	return typeof offsetMs === 'number' && Number.isFinite(offsetMs) ? offsetMs : undefined;
}

export function daemonOfClock(key: string): DaemonId {
	return key as DaemonId;
}
