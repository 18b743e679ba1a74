import {diffSites} from '@cicadapost/settings';
import type {CommandModule} from 'yargs';
import {readConfiguration} from '../../admin-client.js';
import {adminOf, queryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson} from '../../print.js';
import {documentOptions} from './document-options.js';
import {printDiff} from './print-diff.js';
import {readDocument, type DocumentArgs} from './read-document.js';

/** `config diff`: shows what the files would change at each data centre. */
export const diffCommand: CommandModule<unknown, DocumentArgs & QueryArgs> = {
	command: 'diff',
	describe: 'Show what the files would change at each data centre',
	builder: parser => queryOptions(documentOptions(parser)),
	async handler(args) {
		const {document} = await readConfiguration(adminOf(args));
		const diff = diffSites(document, readDocument(args));
		if (args.json) {
			printJson(diff);
			return;
		}

		printDiff(diff);
	},
};
