import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';

/** Number of earlier changes that a read-back after a lost answer can still tell apart. */
const maxStoredNonces = 16;

const storedConfigurationSchema = z.strictObject({
	version: z.int().min(1),
	document: z.string(),
	nonces: z.array(z.string()).max(maxStoredNonces).default([]),
});

/**
An accepted configuration as the table service and the peers hold it.

The version is part of the value because the row's own version restarts when the store comes back with an older row.
`nonces` names the last changes, newest first: whoever lost the answer to its write finds out by them whether it took effect,
also after others have changed the configuration again.
*/
export type StoredConfiguration = Readonly<{
	version: number;
	/** JSON text. */
	document: string;
	nonces: readonly string[];
}>;

/** Checks what a store or a peer gave. The left side says what is wrong with it. */
export function parseStoredConfiguration(value: unknown): Either<string, StoredConfiguration> {
	const parsed = storedConfigurationSchema.safeParse(value);
	return parsed.success ? Right(parsed.data) : Left(z.prettifyError(parsed.error).replaceAll('\n', ' '));
}

/** Reads the value of the row. */
export function decodeStoredConfiguration(value: string): Either<string, StoredConfiguration> {
	try {
		return parseStoredConfiguration(JSON.parse(value));
	} catch {
		return Left('the value is not JSON');
	}
}

export function encodeStoredConfiguration(stored: StoredConfiguration): string {
	return JSON.stringify(stored);
}

/** The configuration that follows version `version`. */
export function createNextConfiguration(version: number, nonces: readonly string[], change: Readonly<{document: string; nonce: string}>): StoredConfiguration {
	return {version: version + 1, document: change.document, nonces: [change.nonce, ...nonces].slice(0, maxStoredNonces)};
}
