import * as z from 'zod';

const rowSchema = z.strictObject({
	holder: z.string(),
	fence: z.int().min(0),
	nonce: z.string(),
});

/** Value of the row `<data centre>/<pool>` in the table `leases`. */
export type LeaseRow = Readonly<{
	/** Process that holds the lease. Empty after the holder has released it. */
	holder: string;
	/** Fencing token, incremented by each new holder. */
	fence: number;
	/** Identifies the write, so that the writer can recognise it after losing the response. */
	nonce: string;
}>;

/** Returns undefined if the value is not a valid lease row. */
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
