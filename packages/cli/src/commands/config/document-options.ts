import type {Argv} from 'yargs';
import type {DocumentArgs} from './read-document.js';

export function addDocumentOptions<Arguments>(parser: Argv<Arguments>): Argv<Arguments & DocumentArgs> {
	return parser
		.option('base', {type: 'string', demandOption: true, describe: 'Base file (JSON with comments)'})
		.option('overlay', {
			type: 'string', array: true, default: [] as string[], describe: 'Overlay file of one data centre, named after the data centre',
		});
}
