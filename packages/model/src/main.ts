/** Runs all Spin models and prints the states, depth, errors and verdict of each. Exits with status 1 if a verdict is not the expected one. */

import {execFileSync} from 'node:child_process';
import {modelRuns} from './models.js';
import {isExpected, runModel} from './run-model.js';

function hasSpin(): boolean {
	try {
		execFileSync('spin', ['-V'], {stdio: 'ignore'});
		return true;
	} catch {
		return false;
	}
}

if (!hasSpin()) {
	execFileSync('sh', ['-c', 'apt-get update && apt-get install -y spin'], {stdio: ['ignore', 'ignore', 'inherit']});
}

const columnWidths = [36, 12, 8, 8] as const;

function formatRow(cells: readonly string[]): string {
	return cells.map((cell, index) => cell.padEnd(columnWidths[index] ?? 0)).join(' ');
}

process.stdout.write(`${formatRow(['model', 'states', 'depth', 'errors', 'verdict'])}\n`);
for (const run of modelRuns) {
	const verdict = runModel(run, 'packages/model/models');
	const expected = isExpected(run, verdict);
	const expectedOutcome = run.isNegativeControl ? 'negative control: violation found' : 'holds';
	process.stdout.write(`${formatRow([
		[run.model, ...run.defines].join(' '), String(verdict.states), String(verdict.depth), String(verdict.errors), expected ? expectedOutcome : 'UNEXPECTED RESULT',
	])}\n`);
	if (!expected) {
		process.exitCode = 1;
	}
}
