/** `npm run demo` shows `cicadapost entry` on stand-ins of the platform, `npm run demo -- serve` the product's own interface. */

import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runPlatformDemo} from './platform-demo.js';
import {runServeDemo} from './serve-demo.js';

const args = await yargs(hideBin(process.argv))
	.command('$0 [what]', 'Runs a small deployment with failures and prints what callers and trainers got', command => command
		.positional('what', {choices: ['platform', 'serve'] as const, default: 'platform' as const, describe: 'Interface to show'}))
	.strict()
	.parseAsync();

try {
	await (args.what === 'serve' ? runServeDemo() : runPlatformDemo());
} catch (err) {
	process.stderr.write(`demo failed: ${err instanceof Error ? err.message : String(err)}\n`);
	process.exitCode = 1;
}
