/** `npm run fuzz -- --seed N --runs N`: runs the decision code through random histories of requests, faults and elapsed time. */

import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {faults} from './commands.js';
import {checks} from './oracle.js';
import {runHistories} from './run-histories.js';

const args = await yargs(hideBin(process.argv))
	.option('seed', {type: 'number', default: 20_261_204, describe: 'Random seed'})
	.option('runs', {type: 'number', default: 200, describe: 'Number of histories to run'})
	.option('fault', {
		type: 'string', array: true, choices: Object.keys(faults), describe: 'Faults to inject (default: all)',
	})
	.option('promise', {
		type: 'string', array: true, choices: Object.keys(checks), describe: 'Promises to check (default: all)',
	})
	.option('known-red', {type: 'string', describe: 'File that lists known failures; their promises are checked separately and do not fail the run'})
	.option('steps', {type: 'number', default: 40, describe: 'Maximum number of commands in a history'})
	.option('path', {type: 'string', describe: 'Path of a counterexample to replay'})
	.strict()
	.parseAsync();

const commonOptions = {
	seed: args.seed,
	runs: args.runs,
	maxSteps: args.steps,
	...(args.fault === undefined ? {} : {faults: args.fault}),
};

/** Reads the promises that KNOWN-RED.txt lists as known failures, in lines such as `test: npm run fuzz, promise "at most once"`. */
function readKnownRed(file: string | undefined): string[] {
	const text = file !== undefined && existsSync(file) ? readFileSync(file, 'utf8') : '';
	return [...text.matchAll(/^test: npm run fuzz, promise "(?<promise>[^"]+)"$/gmv)].map(match => match.groups!.promise!);
}

const knownRed = readKnownRed(args.knownRed);
const promises = (args.promise ?? Object.keys(checks)).filter(promise => !knownRed.includes(promise));
const startedAt = performance.now();
const result = runHistories({...commonOptions, promises}, args.path);
const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
if (result.counterexample === undefined) {
	process.stdout.write(`fuzz: seed ${args.seed}, ${result.runs} histories, ${promises.length} promises, no violations (${seconds} s)\n`);
} else {
	process.stdout.write(`fuzz: seed ${args.seed}, history ${result.runs} violated a promise; replay with --seed ${args.seed} --path "${result.path}"\n${result.counterexample}\n`);
	process.exitCode = 1;
}

for (const promise of knownRed) {
	const knownFailure = runHistories({...commonOptions, promises: [promise], endsOnFailure: true});
	process.stdout.write(`fuzz: known failure, "${promise}": ${knownFailure.counterexample === undefined ? 'not violated in these histories' : 'violated, as listed in KNOWN-RED.txt'}\n`);
}
