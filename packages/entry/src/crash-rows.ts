import {
	incarnationKey, parseIncarnationKey, type CrashRecord, type UpstreamIncarnation,
} from '@cicadapost/forwarding';
import {decodeList, encodeList} from '@cicadapost/store';
import type {Millis} from '@cicadapost/types';

/** Key of a crash. Builds before the other two kinds of rows know only this one, and only the time in its value. */
const crashPrefix = 'crash/';
const probePrefix = 'crash-probe/';
/** Key of the last response. */
export const responseKey = 'crash-response';

/** What a row of the fleet table says about a request. */
export type CrashRowKey =
	| Readonly<{kind: 'crash'; incarnation: UpstreamIncarnation}>
	| Readonly<{kind: 'response'}>
	| Readonly<{kind: 'probe'; probe: number}>;

export function crashKey(incarnation: UpstreamIncarnation): string {
	return `${crashPrefix}${incarnationKey(incarnation)}`;
}

export function probeKey(probe: number): string {
	return `${probePrefix}${probe}`;
}

/** Returns undefined for rows that are not about requests. */
export function parseCrashRowKey(key: string): CrashRowKey | undefined {
	if (key === responseKey) {
		return {kind: 'response'};
	}

	if (key.startsWith(probePrefix)) {
		const probe = Number(key.slice(probePrefix.length));
		return Number.isInteger(probe) ? {kind: 'probe', probe} : undefined;
	}

	const incarnation = key.startsWith(crashPrefix) ? parseIncarnationKey(key.slice(crashPrefix.length)) : undefined;
	return incarnation === undefined ? undefined : {kind: 'crash', incarnation};
}

/** Encodes a crash, or the time of a response or a probe. */
export function encodeCrashRow({at, isShared}: Readonly<{at: Millis; isShared?: boolean}>): Uint8Array {
	return encodeList(isShared === undefined ? [at] : [at, isShared]);
}

/** The time is 0 if the value can't be decoded, so that the row does not count and is deleted. */
export function decodeCrashRow(value: Uint8Array): CrashRecord {
	const [at, isShared] = decodeList(value) ?? [];
	return {at: typeof at === 'number' ? at : 0, isShared: isShared === true};
}
