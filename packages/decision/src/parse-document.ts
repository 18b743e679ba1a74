import {documentSchema, type ConfigurationDocument} from '@cicadapost/settings';
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';

/** Reads a configuration document from a store or a peer. The left side says what is wrong with it. */
export function parseDocument(text: string): Either<string, ConfigurationDocument> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return Left('the document is not JSON');
	}

	const parsed = documentSchema.safeParse(value);
	return parsed.success ? Right(parsed.data) : Left(z.prettifyError(parsed.error).replaceAll('\n', ' '));
}

/** What is wrong with a document, or undefined if nothing is. */
export function documentError(text: string): string | undefined {
	return parseDocument(text).swap().toMaybe().extract();
}
