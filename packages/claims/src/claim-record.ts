/** The row `claims/<member>/<idempotency key>` of the table service. */

import type {MemberId} from '@cicadapost/types';
import {z} from 'zod';

export const claimsTable = 'claims';

/** Largest answer body that a row keeps, in characters. A row is meant for short answers; the store bills by volume. */
export const maxRecordedBodyLength = 64 * 1024;

const ownershipFields = {
	/** Names the call that wrote the row. Equal nonces mean the same call. */
	nonce: z.string(),
	/** SHA-256 of the request, in hex. */
	bodyHash: z.string(),
};

const recordSchema = z.discriminatedUnion('state', [
	/** The claimant may have sent the request, or may send it until its `sendBy`. */
	z.object({state: z.literal('claimed'), ...ownershipFields}),
	/** The claimant has not sent it and never will. The key may be claimed again. */
	z.object({state: z.literal('not-run'), ...ownershipFields}),
	z.object({
		state: z.literal('finished'),
		...ownershipFields,
		status: z.int(),
		contentType: z.string(),
		tokens: z.int(),
		versions: z.array(z.object({from: z.int(), to: z.int(), version: z.int()})),
		/** Absent if it was longer than `maxRecordedBody`. */
		body: z.string().optional(),
	}),
	z.object({
		state: z.literal('failed'), ...ownershipFields, outcome: z.enum(['ran', 'unknown']), detail: z.string(),
	}),
]);

export type ClaimRecord = z.infer<typeof recordSchema>;

/** The member is escaped, so that no member can reach a row of another through a key with a slash. */
export function claimKey(member: MemberId, idempotencyKey: string): string {
	return `${encodeURIComponent(member)}/${idempotencyKey}`;
}

/** The record in a row, or undefined if the row can't be read. */
export function parseClaimRecord(value: string): ClaimRecord | undefined {
	try {
		return recordSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}
}
