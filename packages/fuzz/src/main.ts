/** `npm run fuzz -- --seed N --runs N`: random histories of requests, faults and time over the decision code. */

import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {faults} from './commands.js';
import {checks} from './oracle.js';
import {runHistories} from './run-histories.js';

const args = await yargs(hideBin(process.argv))
	.option('seed', {type: 'number', default: 20_261_204, describe: 'Seed of the run'})
	.option('runs', {type: 'number', default: 200, describe: 'Number of histories'})
	.option('fault', {
		type: 'string', array: true, choices: Object.keys(faults), describe: 'Only these faults; default: all',
	})
	.option('promise', {
		type: 'string', array: true, choices: Object.keys(checks), describe: 'Only these promises; default: all',
	})
	.option('known-red', {type: 'string', describe: 'File of known faults; their promises are judged apart and do not fail the run'})
	.option('steps', {type: 'number', default: 40, describe: 'Most steps in a history'})
	.option('path', {type: 'string', describe: 'Replays one counterexample'})
	.strict()
	.parseAsync();

const commonOptions = {
	seed: args.seed,
	runs: args.runs,
	maxSteps: args.steps,
	...(args.fault === undefined ? {} : {faults: args.fault}),
};

/** Promises that KNOWN-RED.txt names in lines such as `test: npm run fuzz, promise "at most once"`. */
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
	process.stdout.write(`fuzz: seed ${args.seed}, ${result.runs} histories, ${promises.length} promises, none broken (${seconds} s)\n`);
} else {
	process.stdout.write(`fuzz: seed ${args.seed}, history ${result.runs} broke a promise; replay with --seed ${args.seed} --path "${result.path}"\n${result.counterexample}\n`);
	process.exitCode = 1;
}

for (const promise of knownRed) {
	const knownFailure = runHistories({...commonOptions, promises: [promise], endsOnFailure: true});
	process.stdout.write(`fuzz: known red, "${promise}": ${knownFailure.counterexample === undefined ? 'not broken in these histories' : 'broken, as KNOWN-RED.txt says'}\n`);
}
