/** Rows `<member>/<idempotency key>` of the table `claims`. */

import type {MemberId} from '@cicadapost/types';
import * as z from 'zod';

export const claimsTable = 'claims';

/** Maximum length of a recorded response body, in characters. The store bills by volume, so rows only keep short responses. */
export const maxRecordedBodyLength = 64 * 1024;

const ownershipFields = {
	/** Identifies the call that wrote the row. Equal nonces mean the same call. */
	nonce: z.string(),
	/** SHA-256 of the request, in hex. */
	bodyHash: z.string(),
};

const recordSchema = z.discriminatedUnion('state', [
	/** The claimant may have sent the request, or may still send it until its `sendBy`. */
	z.object({state: z.literal('claimed'), ...ownershipFields}),
	/** The claimant has not sent the request and never will. The key may be claimed again. */
	z.object({state: z.literal('not-run'), ...ownershipFields}),
	z.object({
		state: z.literal('finished'),
		...ownershipFields,
		status: z.int(),
		contentType: z.string(),
		tokens: z.int(),
		versions: z.array(z.object({from: z.int(), to: z.int(), version: z.int()})),
		/** Absent if the body was longer than `maxRecordedBodyLength`. */
		body: z.string().optional(),
	}),
	z.object({
		state: z.literal('failed'), ...ownershipFields, outcome: z.enum(['ran', 'unknown']), detail: z.string(),
	}),
]);

export type ClaimRecord = z.infer<typeof recordSchema>;

/** Returns the key of a claim's row. The member is escaped so that a slash in it cannot make two members share a row. */
export function claimKey(member: MemberId, idempotencyKey: string): string {
	return `${encodeURIComponent(member)}/${idempotencyKey}`;
}

/** Parses the value of a row. Returns undefined if it is not a valid record. */
export function parseClaimRecord(value: string): ClaimRecord | undefined {
	try {
		return recordSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}
