import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {ModelRun} from './models.js';

/** Result of a run of Spin's verifier. */
export type Verdict = Readonly<{
	states: number;
	depth: number;
	errors: number;
	/** False if the search was truncated; in that case zero errors prove nothing. */
	isComplete: boolean;
}>;

const maxDepth = 200_000;
const memoryMegabytes = 3000;

/** Extracts the group `number` of `pattern` from the output of the verifier, whose exit code does not depend on the errors found. */
function extractNumber(output: string, pattern: RegExp): number {
	const text = pattern.exec(output)?.groups?.number;
	if (text === undefined) {
		throw new Error(`the output of the verifier does not match /${pattern.source}/; check the versions of spin and gcc:\n${output}`);
	}

	return Number(text);
}

export function parseVerdict(output: string): Verdict {
	const errors = extractNumber(output, /errors: (?<number>\d+)/v);
	return {
		states: extractNumber(output, /(?<number>\d+) states, stored/v),
		depth: extractNumber(output, /depth reached (?<number>\d+)/v),
		errors,
		isComplete: errors > 0 || !/search not completed|max search depth too small|out of memory/iv.test(output),
	};
}

/** Generates, compiles and runs the verifier of a model. */
export function runModel(run: ModelRun, directory: string): Verdict {
	const workDirectory = mkdtempSync(path.join(tmpdir(), 'cicadapost-model-'));
	const options = {cwd: workDirectory, encoding: 'utf8' as const, stdio: 'pipe' as const};
	try {
		execFileSync('spin', [...run.defines.map(name => `-D${name}`), '-a', path.resolve(directory, `${run.model}.pml`)], options);
		execFileSync('cc', ['-O2', '-w', '-DSAFETY', `-DMEMLIM=${memoryMegabytes}`, '-o', 'pan', 'pan.c'], options);
		return parseVerdict(execFileSync('./pan', [`-m${maxDepth}`], options));
	} finally {
		rmSync(workDirectory, {recursive: true});
	}
}

/** Whether a negative control found a violation, or any other run completed without errors. */
export function isExpected(run: ModelRun, verdict: Verdict): boolean {
	return run.isNegativeControl ? verdict.errors > 0 : verdict.errors === 0 && verdict.isComplete;
}
