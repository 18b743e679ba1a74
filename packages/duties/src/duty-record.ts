import type {Permit} from '@cicadapost/permits';
import {decodeList, encodeList} from '@cicadapost/store';
import type {DaemonId} from '@cicadapost/types';

/** The lease of a duty for one subject. A row of the fleet's table, which every daemon follows. */
export type DutyRecord = Permit & Readonly<{
	/** Progress of the duty, in a form that its work defines. Undefined before the first call. */
	note: unknown;
	/** Set if the holder can't reach the receiver and lets others try. It still holds the lease until it has rested. */
	isReleased?: true;
}>;

export const dutyKey = 'duty';

/** Returns the part that holds the lease of a duty for a subject. */
export function dutyPart(duty: string, subject: string): string {
	return subject === '' ? `duty-${duty}` : `duty-${duty}-${subject}`;
}

export function encodeDuty({holder, fencingToken, note, isReleased}: DutyRecord): Uint8Array {
	return encodeList([holder, fencingToken, note ?? null, ...(isReleased === true ? [true] : [])]);
}

/** Returns undefined for a row of an unknown shape. Such a row is never overwritten. */
export function decodeDuty(value: Uint8Array): DutyRecord | undefined {
	const [holder, fencingToken, note, isReleased] = decodeList(value) ?? [];
	return typeof holder === 'string' && typeof fencingToken === 'number'
		? {
			holder: holder as DaemonId, fencingToken, note: note ?? undefined, ...(isReleased === true ? {isReleased} : {}),
		}
		: undefined;
}

/**
The lease with which `self` continues. The token stays the same while the holder does: a call that is delivered late then
carries no lower token than the calls of the same holder that overtook it.
*/
export function renewDuty(current: DutyRecord | undefined, self: DaemonId, note: unknown): DutyRecord {
	const fencingToken = current?.holder === self ? current.fencingToken : (current?.fencingToken ?? 0) + 1;
	return {holder: self, fencingToken, note};
}
