import {z} from 'zod';

const rowSchema = z.strictObject({
	holder: z.string(),
	fence: z.int().min(0),
	nonce: z.string(),
});

/** Value of the row `leases/<dc>/<pool>`. */
export type LeaseRow = Readonly<{
	/** The holding process; empty after the holder has given the lease up. */
	holder: string;
	/** Raised by each new holder. */
	fence: number;
	/** Names the write, so that its author recognises it after a lost answer. */
	nonce: string;
}>;

/** Undefined if the value is not a row of this kind. */
export function decodeLeaseRow(value: string): LeaseRow | undefined {
	try {
		return rowSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
}

export function encodeLeaseRow(row: LeaseRow): string {
	return JSON.stringify(row);
}
