import type {CommandModule} from 'yargs';

/** `version`: prints the version. */
export const versionCommand: CommandModule<unknown, {json: boolean}> = {
	command: 'version',
	describe: 'Print the version',
	builder: parser => parser.option('json', {type: 'boolean', default: false, describe: 'Print JSON'}),
	handler(args) {
		const version = process.env.CICADAPOST_VERSION ?? 'development';
		process.stdout.write(args.json ? `${JSON.stringify({version})}\n` : `cicadapost ${version}\n`);
	},
};
