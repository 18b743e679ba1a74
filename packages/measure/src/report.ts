import type {Bound, MeasurementCase, RunResult} from './case.js';
import {median} from './statistics.js';

export type FigureResult = Readonly<{median: number; min: number; max: number; values: readonly number[]}>;
export type VariantResult = Readonly<{variant: string; figures: Readonly<Record<string, FigureResult>>; worst: readonly string[]}>;
export type Verdict = 'met' | 'met by the median only' | 'missed' | 'void, calls failed' | 'not measured';
export type BoundResult = Bound & Readonly<{title: string; value: number; verdict: Verdict}>;
export type CaseResult = Readonly<{
	case: string;
	setting: string;
	command: string;
	commit: string;
	seeds: readonly number[];
	bounds: readonly BoundResult[];
	variants: readonly VariantResult[];
}>;

export function summarize(values: readonly number[]): FigureResult {
	return {
		median: median(values), min: Math.min(...values), max: Math.max(...values), values,
	};
}

export function summarizeVariant(name: string, runs: readonly RunResult[]): VariantResult {
	const keys = Object.keys(runs[0]?.figures ?? {});
	return {
		variant: name,
		figures: Object.fromEntries(keys.map(key => [key, summarize(runs.map(run => run.figures[key] ?? Number.NaN))])),
		worst: runs[0]?.worst ?? [],
	};
}

function isWithinBound(bound: Bound, value: number): boolean {
	return bound.comparison === 'at most' ? value <= bound.limit : value >= bound.limit;
}

/** The verdict is `met` only if every seed meets the bound. */
export function evaluateBound(bound: Bound, title: string, result: FigureResult | undefined): BoundResult {
	if (result === undefined) {
		return {
			...bound, title, value: Number.NaN, verdict: 'not measured',
		};
	}

	const isMetByAll = result.values.every(value => isWithinBound(bound, value));
	const medianVerdict = isWithinBound(bound, result.median) ? 'met by the median only' : 'missed';
	return {
		...bound, title, value: result.median, verdict: isMetByAll ? 'met' : medianVerdict,
	};
}

/** Voids every ratio that is not missed if the bound on failed calls is not met: a ratio of two runs proves nothing while calls fail. */
export function voidUnreliableRatios(bounds: readonly BoundResult[]): BoundResult[] {
	const hasFailures = bounds.some(bound => bound.figure === 'failed' && bound.verdict !== 'met');
	return bounds.map(bound => (hasFailures && bound.figure === 'ratio' && bound.verdict !== 'missed' ? {...bound, verdict: 'void, calls failed'} : bound));
}

function format(value: number, digits = 1): string {
	return Number.isNaN(value) ? '-' : value.toFixed(digits);
}

/** Formats the result for the terminal: one row per variant with the median and range of each figure, then the verdicts. */
export function formatResult(measurement: MeasurementCase, result: CaseResult): string {
	const header = ['variant', ...measurement.figures.map(figure => figure.title)];
	const rows = result.variants.map(variant => [variant.variant, ...measurement.figures.map(figure => {
		const cell = variant.figures[figure.key];
		return cell === undefined ? '-' : `${format(cell.median, figure.digits)} (${format(cell.min, figure.digits)}-${format(cell.max, figure.digits)})`;
	})]);
	const widths = header.map((title, index) => Math.max(title.length, ...rows.map(row => row[index]!.length)));
	const lines = [header, ...rows].map(row => row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd());
	const verdicts = result.bounds.map(bound => `bound: ${bound.title} ${bound.comparison} ${bound.limit}: ${format(bound.value, 2)}, ${bound.verdict}`);
	const worst = result.variants[0]?.worst ?? [];
	return [
		`${result.case}: ${result.setting}`,
		`seeds ${result.seeds.join(', ')}; median (smallest-largest)`,
		'',
		...lines,
		'',
		...verdicts,
		...(worst.length > 0 ? ['', `outliers of the policy, seed ${result.seeds[0]}:`, ...worst] : []),
		'',
	].join('\n');
}
