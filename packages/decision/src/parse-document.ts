import {documentSchema, type ConfigurationDocument} from '@cicadapost/settings';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';

/** Parses a configuration document from the store or a peer. The left side is an error message. */
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

/** Returns the validation error of a document, or undefined if it is valid. */
export function documentError(text: string): string | undefined {
	return parseDocument(text).swap().toMaybe().extract();
}
