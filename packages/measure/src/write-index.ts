import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import type {DataPathResult} from './data-path.js';
import {growthVerdict, type GrowthResult} from './growth-report.js';
import type {CaseResult} from './report.js';

type IndexRow = readonly [name: string, bound: string, figure: string, verdict: string, command: string, commit: string];

function readResult<Result>(directory: string, name: string): Result | undefined {
	const file = path.join(directory, `${name}.json`);
	return existsSync(file) ? (JSON.parse(readFileSync(file, 'utf8')) as Result) : undefined;
}

function number(value: number | undefined): string {
	return value === null || value === undefined ? '-' : String(Number(value.toPrecision(3)));
}

function caseRows(directory: string, name: string): IndexRow[] {
	const result = readResult<CaseResult>(directory, name);
	if (result === undefined) {
		return [[name, 'see docs/design.md, section 9', 'not measured', 'not measured', `\`npm run measure -- ${name}\``, '-']];
	}

	return result.bounds.map(bound => {
		const figure = result.variants[0]!.figures[bound.figure]!;
		return [
			name, `${bound.title} ${bound.comparison} ${bound.limit}`, `${number(figure.median)} (${number(figure.min)} to ${number(figure.max)})`, bound.verdict, `\`${result.command}\``, result.commit,
		];
	});
}

function growthRows(directory: string): IndexRow[] {
	const result = readResult<GrowthResult>(directory, 'growth');
	if (result === undefined) {
		return [];
	}

	const {atTarget, limits} = result;
	const rows = [
		['core % of the busiest daemon', atTarget.worstCorePercent, limits.corePercent],
		['state MB of the largest daemon', atTarget.worstStateMegabytes, limits.megabytes],
		['control KB/s of the busiest daemon', atTarget.worstKilobytesPerSecond, limits.kilobytesPerSecond],
	] as const;
	return rows.map(([title, value, limit]) => ['growth', `${title} at most ${limit}`, number(value), growthVerdict(value, limit), `\`${result.command}\``, result.commit]);
}

function dataPathRows(directory: string): IndexRow[] {
	const result = readResult<DataPathResult>(directory, 'data-path');
	if (result === undefined) {
		return [];
	}

	const rows = [
		['requests/s on one core', number(result.short.requestsPerCoreSecond)],
		['streamed tokens/s on one core', number(result.streams.tokensPerCoreSecond)],
		['added time to first token, p50 / p99', `${number(result.added.firstMedianMs)} / ${number(result.added.firstP99Ms)} ms`],
	] as const;
	return rows.map(([title, value]) => ['data-path', title, value, 'no bound', `\`${result.command}\``, result.commit]);
}

/** Regenerates the table in README.md of the directory from the JSON results next to it. */
export function writeIndex(directory: string, caseNames: readonly string[]): void {
	const rows: IndexRow[] = [...caseNames.flatMap(name => caseRows(directory, name)), ...growthRows(directory), ...dataPathRows(directory)];
	const file = path.join(directory, 'README.md');
	const start = '<!-- table: npm run measure -- index -->';
	const end = '<!-- end of table -->';
	const table = [
		'| case | bound | policy: median (spread) | verdict | command | commit |',
		'| --- | --- | --- | --- | --- | --- |',
		...rows.map(row => `| ${row.join(' | ')} |`),
	].join('\n');
	const before = existsSync(file) ? readFileSync(file, 'utf8') : `# Measurements\n\n${start}\n${end}\n`;
	const from = before.indexOf(start) + start.length;
	writeFileSync(file, `${before.slice(0, from)}\n\n${table}\n\n${before.slice(before.indexOf(end))}`);
}
