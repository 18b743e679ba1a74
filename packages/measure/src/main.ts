/** Command line of the measurements: `npm run measure -- CASE [--seeds N] [--json FILE]` */

import {execFileSync} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {MeasurementCase} from './case.js';
import {batchOrder} from './cases/batch-order.js';
import {crash} from './cases/crash.js';
import {headOfLine} from './cases/head-of-line.js';
import {link} from './cases/link.js';
import {overload} from './cases/overload.js';
import {prefix} from './cases/prefix.js';
import {share} from './cases/share.js';
import {step} from './cases/step.js';
import {tail} from './cases/tail.js';
import {formatDataPath, measureDataPath} from './data-path.js';
import {formatGrowth, measureGrowth} from './growth-report.js';
import {
	formatResult, evaluateBound, voidUnreliableRatios, summarizeVariant, type CaseResult,
} from './report.js';
import {barChart, lineChart} from './svg.js';
import {writeIndex} from './write-index.js';

const cases: readonly MeasurementCase[] = [tail, headOfLine, share, overload, crash, step, prefix, link, batchOrder];
const defaultDirectory = 'docs/measurements';

function commit(): string {
	const git = (...args: string[]): string => execFileSync('git', args, {encoding: 'utf8'}).trim();
	try {
		const isDirty = git('status', '--porcelain', '--', 'packages') !== '';
		return `${git('rev-parse', '--short', 'HEAD')}${isDirty ? ' with changes' : ''}`;
	} catch {
		return 'unknown';
	}
}

function measure(measurement: MeasurementCase, seeds: readonly number[], excludedVariants: readonly string[]): CaseResult {
	const variants = measurement.variants.filter(variant => !excludedVariants.includes(variant.name)).map(variant => {
		process.stderr.write(`${measurement.name}: ${variant.name}\n`);
		return summarizeVariant(variant.name, seeds.map(seed => measurement.run(variant, seed)));
	});
	return {
		case: measurement.name,
		setting: measurement.setting,
		command: [`npm run measure -- ${measurement.name} --seeds ${seeds.length}`, ...excludedVariants.map(name => `--leave-out '${name}'`)].join(' '),
		commit: commit(),
		seeds,
		bounds: voidUnreliableRatios(measurement.bounds.map(bound => evaluateBound(bound, measurement.figures.find(figure => figure.key === bound.figure)!.title, variants[0]?.figures[bound.figure]))),
		variants,
	};
}

function writeResult(file: string, result: unknown, chart: string): void {
	mkdirSync(path.dirname(file), {recursive: true});
	writeFileSync(file, `${JSON.stringify(result, (_, value: unknown) => (typeof value === 'number' ? Number(value.toPrecision(5)) : value), '\t')}\n`);
	writeFileSync(file.replace(/\.json$/v, '.svg'), chart);
}

function runCase(name: string, seedCount: number, excludedVariants: readonly string[], file: string): void {
	const measurement = cases.find(candidate => candidate.name === name);
	if (measurement === undefined) {
		throw new Error(`unknown case "${name}"; expected one of ${caseNames.join(', ')}`);
	}

	const seeds = Array.from({length: seedCount}, (_, index) => index + 1);
	const result = measure(measurement, seeds, excludedVariants);
	process.stdout.write(formatResult(measurement, result));
	writeResult(file, result, barChart(result));
}

function runGrowth(file: string): void {
	const result = measureGrowth('npm run measure -- growth', commit());
	process.stdout.write(formatGrowth(result));
	const chart = lineChart('growth: control work at 770 workers without load', {x: 'daemons', y: 'value / limit'}, [
		{name: 'core', points: result.slopes.find(slope => slope.axis === 'daemons' && slope.figure === 'corePercent')!.points.map(({x, y}) => ({x, y: y / result.limits.corePercent}))},
		{name: 'memory', points: result.slopes.find(slope => slope.axis === 'daemons' && slope.figure === 'stateMegabytes')!.points.map(({x, y}) => ({x, y: y / result.limits.megabytes}))},
		{name: 'traffic', points: result.slopes.find(slope => slope.axis === 'daemons' && slope.figure === 'kilobytesPerSecond')!.points.map(({x, y}) => ({x, y: y / result.limits.kilobytesPerSecond}))},
	], 1);
	writeResult(file, result, chart);
}

async function runDataPath(file: string): Promise<void> {
	const result = await measureDataPath('npm run measure -- data-path', commit());
	process.stdout.write(formatDataPath(result));
	const point = (x: number, y: number): {x: number; y: number} => ({x, y});
	writeResult(file, result, lineChart('data-path: first token, direct and through one daemon', {x: 'percentile', y: 'ms'}, [
		{name: 'direct', points: [point(50, result.direct.firstMedianMs), point(99, result.direct.firstP99Ms)]},
		{name: 'through daemon', points: [point(50, result.throughDaemon.firstMedianMs), point(99, result.throughDaemon.firstP99Ms)]},
	]));
}

const caseNames = [...cases.map(candidate => candidate.name), 'growth', 'data-path', 'index'];
/** Cases of docs/design.md, section 9, that are not implemented yet; the index lists them as not measured. */
const unimplementedCases = ['staleness', 'weights'];
const parser = yargs(hideBin(process.argv))
	.scriptName('npm run measure --')
	.usage('$0 CASE [--seeds N] [--json FILE]')
	.command('$0 <case>', 'Runs one measurement case', builder => builder
		.positional('case', {type: 'string', demandOption: true, describe: caseNames.join(', ')})
		.option('seeds', {type: 'number', default: 5, describe: 'number of seeds to run, starting with seed 1'})
		.option('leave-out', {
			type: 'string', array: true, default: [] as string[], describe: 'names of variants to skip',
		})
		.option('json', {type: 'string', describe: `output file for the figures; ${defaultDirectory}/<case>.json by default`}), async args => {
		const file = args.json ?? path.join(defaultDirectory, `${args.case}.json`);
		if (args.case === 'growth') {
			runGrowth(file);
			return;
		}

		if (args.case === 'index') {
			writeIndex(defaultDirectory, [...cases.map(candidate => candidate.name), ...unimplementedCases]);
			return;
		}

		if (args.case === 'data-path') {
			await runDataPath(file);
			return;
		}

		runCase(args.case, args.seeds, args.leaveOut, file);
	})
	.strict();
await parser.parseAsync();
