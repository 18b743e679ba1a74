import type {CommandModule} from 'yargs';
import {diffByDataCentre, documentSchema, type ConfigurationDocument} from '@cicadapost/settings';
import {
	callAdmin, queryAdmin, readConfiguration, type AdminOptions,
} from '../../admin-client.js';
import {adminOptionsFrom, addAdminOptions, type AdminArgs} from '../../admin-options.js';
import {CommandError} from '../../command-error.js';
import {exitCodes} from '../../exit-codes.js';
import {printLine} from '../../print.js';
import {addDocumentOptions} from './document-options.js';
import {printDiff} from './print-diff.js';
import {readDocument, type DocumentArgs} from './read-document.js';

type ApplyArgs = DocumentArgs & AdminArgs & {from: number | undefined; wait: number};

const pollMs = 200;

/** `config apply`: replaces the configuration unless it has changed since, and waits until the change is in effect at each live daemon. */
export const applyCommand: CommandModule<unknown, ApplyArgs> = {
	command: 'apply',
	describe: 'Apply the base file and the overlays',
	builder: parser => addAdminOptions(addDocumentOptions(parser))
		.option('from', {type: 'number', describe: 'Version that the change is based on; default: the current one'})
		.option('wait', {type: 'number', default: 19, describe: 'Seconds to wait until the change is in effect at the daemons that this one knows'}),
	async handler(args) {
		const admin = adminOptionsFrom(args);
		const document = readDocument(args);
		const current = await readConfiguration(admin);
		const version = await apply(admin, args.from ?? current.version, document);
		printLine(`accepted as version ${version}`);
		await waitUntilInEffect(admin, version, args.wait * 1000);
	},
};

async function apply(admin: AdminOptions, from: number, document: ConfigurationDocument): Promise<number> {
	const call = {
		method: 'PUT', path: '/admin/configuration', headers: {'if-match': String(from)}, body: JSON.stringify(document),
	} as const;
	const {status, body} = await callAdmin(admin, call);
	if (status === 200) {
		return (body as {version: number}).version;
	}

	const {detail, remedy, currentDocument} = body as {detail: string; remedy: string; currentDocument?: unknown};
	const current = documentSchema.safeParse(currentDocument);
	if (current.success) {
		printLine('your change, compared with the accepted configuration:');
		printDiff(diffByDataCentre(current.data, document));
	}

	throw new CommandError(`${detail}; ${remedy}`, status === 409 ? exitCodes.conflict : exitCodes.failure);
}

type StatusResponse = Readonly<{configurationVersion: number; peers: Readonly<Record<string, {configurationVersion: number}>>}>;

async function waitUntilInEffect(admin: AdminOptions, version: number, timeoutMs: number): Promise<void> {
	const timeoutAt = performance.now() + timeoutMs;
	let outdated = await findOutdatedDaemons(admin, version);
	let lastReported = '';
	while (outdated.length > 0 && performance.now() < timeoutAt) {
		const line = `waiting for ${outdated.length} daemons: ${outdated.slice(0, 5).join(', ')}`;
		if (line !== lastReported) {
			printLine(line);
			lastReported = line;
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
		outdated = await findOutdatedDaemons(admin, version);
	}

	printLine(outdated.length === 0 ? 'in effect at each daemon that responds' : `not yet in effect at ${outdated.join(', ')}; they receive it as soon as they are reachable`);
}

async function findOutdatedDaemons(admin: AdminOptions, version: number): Promise<string[]> {
	const status = await queryAdmin(admin, {path: '/admin/status'}) as StatusResponse;
	return Object.entries(status.peers).filter(([, peer]) => peer.configurationVersion < version).map(([daemon]) => daemon);
}
