import {diffByDataCentre} from '@cicadapost/settings';
import type {CommandModule} from 'yargs';
import {readConfiguration} from '../../admin-client.js';
import {adminOptionsFrom, addQueryOptions, type QueryArgs} from '../../admin-options.js';
import {printJson} from '../../print.js';
import {addDocumentOptions} from './document-options.js';
import {printDiff} from './print-diff.js';
import {readDocument, type DocumentArgs} from './read-document.js';

/** `config diff`: shows what the files would change at each data centre. */
export const diffCommand: CommandModule<unknown, DocumentArgs & QueryArgs> = {
	command: 'diff',
	describe: 'Show what the files would change at each data centre',
	builder: parser => addQueryOptions(addDocumentOptions(parser)),
	async handler(args) {
		const {document} = await readConfiguration(adminOptionsFrom(args));
		const diff = diffByDataCentre(document, readDocument(args));
		if (args.json) {
			printJson(diff);
			return;
		}

		printDiff(diff);
	},
};
