import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';

/** Number of recent changes by which a read-back after a lost response can tell whether its own write took effect. */
const maxStoredNonces = 16;

const storedConfigurationSchema = z.strictObject({
	version: z.int().min(1),
	document: z.string(),
	nonces: z.array(z.string()).max(maxStoredNonces).default([]),
});

/**
An accepted configuration, as stored in the table service and sent to peers.

The version is part of the value because the version of the row restarts when the store is restored with an older row.
`nonces` identifies the last changes, newest first. A daemon that lost the response to its write can tell by them whether the write took effect,
even after others have changed the configuration again.
*/
export type StoredConfiguration = Readonly<{
	version: number;
	/** JSON text. */
	document: string;
	nonces: readonly string[];
}>;

/** Validates a configuration from the store or a peer. Left describes what is wrong with it. */
export function parseStoredConfiguration(value: unknown): Either<string, StoredConfiguration> {
	const parsed = storedConfigurationSchema.safeParse(value);
	return parsed.success ? Right(parsed.data) : Left(z.prettifyError(parsed.error).replaceAll('\n', ' '));
}

/** Decodes the value of the row. */
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

/** Creates the configuration that follows version `version`. */
export function createNextConfiguration(version: number, nonces: readonly string[], change: Readonly<{document: string; nonce: string}>): StoredConfiguration {
	return {version: version + 1, document: change.document, nonces: [change.nonce, ...nonces].slice(0, maxStoredNonces)};
}
