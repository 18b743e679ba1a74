import path from 'node:path';
import {
	baseSchema, checkDocument, formatReferenceIssue, overlaySchema, type ConfigurationDocument,
} from '@cicadapost/settings';
import {CommandError} from '../../command-error.js';
import {exitCodes} from '../../exit-codes.js';
import {readSettingsFile} from '../../read-settings-file.js';

export type DocumentArgs = {base: string; overlay: string[]};

/** Reads the base file and the overlays. The name of an overlay file, without its extension, is its data centre. */
export function readDocument(args: DocumentArgs): ConfigurationDocument {
	const document = {
		base: readSettingsFile(args.base, baseSchema),
		overlays: Object.fromEntries(args.overlay.map(file => [path.basename(file).replace(/\.jsonc?$/v, ''), readSettingsFile(file, overlaySchema)])),
	};
	const issues = checkDocument(document);
	if (issues.length > 0) {
		throw new CommandError(issues.map(issue => formatReferenceIssue(issue)).join('\n'), exitCodes.invalidSettings);
	}

	return document;
}
