import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false});

/** Encodes the fields of a row's value. */
export function encodeList(fields: readonly unknown[]): Uint8Array {
	return packr.pack(fields);
}

/** The fields of a row's value, or undefined for a value of another shape. */
export function decodeList(value: Uint8Array): unknown[] | undefined {
	let decoded: unknown;
	try {
		decoded = packr.unpack(value);
	} catch {
		// Bytes of another writer; the caller says what to do about them.
		return undefined;
	}

	return Array.isArray(decoded) ? decoded as unknown[] : undefined;
}
