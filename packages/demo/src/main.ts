/** `npm run demo` runs `cicadapost entry` against stand-ins for the platform, `npm run demo -- serve` runs `cicadapost serve` with its own HTTP interface. */

import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runPlatformDemo} from './platform-demo.js';
import {runServeDemo} from './serve-demo.js';

const args = await yargs(hideBin(process.argv))
	.command('$0 [what]', 'Runs a small deployment, injects failures and prints the results of callers and trainers', command => command
		.positional('what', {choices: ['platform', 'serve'] as const, default: 'platform' as const, describe: 'Interface to demonstrate'}))
	.strict()
	.parseAsync();

try {
	await (args.what === 'serve' ? runServeDemo() : runPlatformDemo());
} catch (err) {
	process.stderr.write(`demo failed: ${err instanceof Error ? err.message : String(err)}\n`);
	process.exitCode = 1;
}
