/** Entry point of the `cicadapost` command line. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {configCommand} from './commands/config/index.js';
import {entryCommand} from './commands/entry/index.js';
import {membersCommand} from './commands/members/index.js';
import {serveCommand} from './commands/serve/index.js';
import {statusCommand} from './commands/status/index.js';
import {traceCommand} from './commands/trace/index.js';
import {upstreamsCommand} from './commands/upstreams/index.js';
import {versionCommand} from './commands/version/index.js';
import {endProgram, ignoreClosedOutput, UsageError} from './end-program.js';

async function main(): Promise<void> {
	try {
		await yargs(hideBin(process.argv))
			.scriptName('cicadapost')
			.usage('$0 <command> [options]')
			.command(serveCommand)
			.command(entryCommand)
			.command(configCommand)
			.command(membersCommand)
			.command(upstreamsCommand)
			.command(statusCommand)
			.command(traceCommand)
			.command(versionCommand)
			.demandCommand(1, 'specify a command')
			.recommendCommands()
			.strict()
			.version(process.env.CICADAPOST_VERSION ?? 'unknown')
			.help()
			.epilogue('Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid settings, 4 conflict')
			.exitProcess(false)
			.fail((message, err) => {
				throw err ?? new UsageError(`${message}; see "cicadapost --help"`);
			})
			.parseAsync();
	} catch (err) {
		endProgram(err);
	}
}

ignoreClosedOutput();
// The bundle is a CommonJS module, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main();
