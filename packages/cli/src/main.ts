/** The command line of cicadapost. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {configCommand} from './commands/config/index.js';
import {serveCommand} from './commands/serve/index.js';
import {versionCommand} from './commands/version/index.js';
import {exitCodes} from './exit-codes.js';

async function main(): Promise<void> {
	await yargs(hideBin(process.argv))
		.scriptName('cicadapost')
		.usage('$0 <command> [options]')
		.command(serveCommand)
		.command(configCommand)
		.command(versionCommand)
		.demandCommand(1, 'name a command')
		.strict()
		.recommendCommands()
		.version(false)
		.help()
		.fail((message, err, parser) => {
			if (err === undefined) {
				process.stderr.write(`${message}; see "cicadapost --help"\n`);
				parser.showHelp('error');
				process.exitCode = exitCodes.usage;
			} else {
				process.stderr.write(`${err.message}\n`);
				process.exitCode = exitCodes.failure;
			}
		})
		.parseAsync();
}

// The bundle is a CommonJS module, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
