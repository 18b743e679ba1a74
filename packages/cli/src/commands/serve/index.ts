import {createContainer, Daemon} from '@cicadapost/daemon';
import {daemonSettingsSchema} from '@cicadapost/settings';
import type {CommandModule} from 'yargs';
import {readSettingsFile} from '../../read-settings-file.js';

type ServeArgs = {settings: string};

/** `serve`: runs a daemon until SIGTERM or SIGINT, then shuts down without interrupting requests in flight. */
export const serveCommand: CommandModule<unknown, ServeArgs> = {
	command: 'serve',
	describe: 'Run a daemon',
	builder: parser => parser.option('settings', {
		type: 'string', demandOption: true, describe: 'Settings file of this daemon (JSON with comments)',
	}),
	async handler(args) {
		const settings = readSettingsFile(args.settings, daemonSettingsSchema);
		const daemon = createContainer(settings).resolve(Daemon);
		await daemon.start();
		const shutDown = once(async () => {
			await daemon.shutDown();
			// Idle connections of the HTTP clients would keep the process alive for some seconds.
			process.exit(0);
		});
		process.on('SIGTERM', shutDown);
		process.on('SIGINT', shutDown);
	},
};

/** Returns a handler that runs `action` on the first signal only. */
function once(action: () => Promise<void>): () => void {
	let hasRun = false;
	return () => {
		if (!hasRun) {
			hasRun = true;
			void action();
		}
	};
}
