import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false});

/** Encodes the fields of a row's value with MessagePack. */
export function encodeList(fields: readonly unknown[]): Uint8Array {
	return packr.pack(fields);
}

/** Decodes the fields of a row's value. Returns undefined if the value is not an encoded list. */
export function decodeList(value: Uint8Array): unknown[] | undefined {
	let decoded: unknown;
	try {
		decoded = packr.unpack(value);
	} catch {
		// Written by something else; the caller decides how to handle it.
		return undefined;
	}

	return Array.isArray(decoded) ? decoded as unknown[] : undefined;
}
