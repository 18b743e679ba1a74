import type {Variant} from './bench.js';

export type Figure = Readonly<{key: string; title: string; digits?: number}>;

export type Bound = Readonly<{
	figure: string;
	comparison: 'at most' | 'at least';
	limit: number;
}>;

/** At most 1% of calls may fail. Cases that compare two runs by a ratio need this, since a ratio is meaningless when calls fail in both runs. */
export const failureRateBound: Bound = {figure: 'failed', comparison: 'at most', limit: 1};

/** Figures of one run by key, and lines that describe its worst observations. */
export type RunResult = Readonly<{figures: Readonly<Record<string, number>>; worst?: readonly string[]}>;

export type MeasurementCase = Readonly<{
	name: string;
	/** Describes the setup of the case in one or two sentences. */
	setting: string;
	figures: readonly Figure[];
	/** Bounds that docs/design.md, section 9, sets for the policy. */
	bounds: readonly Bound[];
	variants: readonly Variant[];
	run: (variant: Variant, seed: number) => RunResult;
}>;
