import type {Variant} from './bench.js';

export type Figure = Readonly<{key: string; title: string; digits?: number}>;

export type Bound = Readonly<{
	figure: string;
	comparison: 'at most' | 'at least';
	limit: number;
}>;

/** A ratio of two runs says nothing when calls fail in both, so a case with ratios also bounds the failures. */
export const failureRateBound: Bound = {figure: 'failed', comparison: 'at most', limit: 1};

/** Figures of one run, by key, and lines that explain the worst of it. */
export type RunResult = Readonly<{figures: Readonly<Record<string, number>>; worst?: readonly string[]}>;

export type MeasurementCase = Readonly<{
	name: string;
	/** How the case is set up, in one or two sentences. */
	setting: string;
	figures: readonly Figure[];
	/** Bounds of docs/design.md, section 9, for the policy. */
	bounds: readonly Bound[];
	variants: readonly Variant[];
	run: (variant: Variant, seed: number) => RunResult;
}>;
