import type {CommandModule} from 'yargs';
import {addDocumentOptions} from './document-options.js';
import {readDocument, type DocumentArgs} from './read-document.js';

/** `config check`: checks the base file and the overlays without a daemon. */
export const checkCommand: CommandModule<unknown, DocumentArgs> = {
	command: 'check',
	describe: 'Check the base file and the overlays',
	builder: addDocumentOptions,
	handler(args) {
		const document = readDocument(args);
		process.stdout.write(`${Object.keys(document.base.members).length} members, ${Object.keys(document.overlays).length} overlays: no errors\n`);
	},
};
