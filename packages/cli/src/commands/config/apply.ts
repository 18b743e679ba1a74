import type {ProblemBody} from '@cicadapost/errors';
import type {CommandModule} from 'yargs';
import {callAdmin, type AdminOptions} from '../../admin-client.js';
import {adminOf, adminOptions} from '../../admin-options.js';
import {exitCodes} from '../../exit-codes.js';
import {documentOptions} from './document-options.js';
import {readDocument, type DocumentArgs} from './read-document.js';

type ApplyArgs = DocumentArgs & {daemon: string; from: number | undefined};

/** `config apply`: replaces the configuration if nobody else has changed it since. */
export const applyCommand: CommandModule<unknown, ApplyArgs> = {
	command: 'apply',
	describe: 'Apply the base file and the overlays',
	builder: parser => adminOptions(documentOptions(parser)).option('from', {type: 'number', describe: 'Version that the change is based on; default: the current one'}),
	async handler(args) {
		const admin = adminOf(args);
		const document = readDocument(args);
		const from = args.from ?? await currentVersion(admin);
		const res = await callAdmin(admin, 'PUT', '/admin/configuration', {headers: {'if-match': String(from)}, body: JSON.stringify(document)});
		if (res.status === 200) {
			process.stdout.write(`accepted as version ${(res.body as {version: number}).version}\n`);
			return;
		}

		const problem = res.body as ProblemBody;
		process.stderr.write(`${problem.detail}; ${problem.remedy}\n`);
		process.exitCode = res.status === 409 ? exitCodes.conflict : exitCodes.failure;
	},
};

async function currentVersion(admin: AdminOptions): Promise<number> {
	const res = await callAdmin(admin, 'GET', '/admin/configuration');
	return (res.body as {version: number}).version;
}
