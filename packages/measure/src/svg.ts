import type {CaseResult} from './report.js';

const barHeight = 22;
const labelWidth = 230;
const plotWidth = 420;
const colours = ['#2b6cb0', '#90a4ae'] as const;

function escapeXml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

/** Draws the figure of the first bound: a bar per variant for the median, a line for the range over the seeds, and the limit. */
export function barChart(result: CaseResult): string {
	const bound = result.bounds[0];
	const bars = result.variants.flatMap(variant => {
		const figure = bound === undefined ? undefined : variant.figures[bound.figure];
		return figure === undefined ? [] : [{name: variant.variant, ...figure}];
	});
	const limit = bound?.limit ?? 0;
	const largest = Math.max(limit, ...bars.map(bar => bar.median));
	const scale = plotWidth / (largest * 1.15 || 1);
	const height = 56 + (bars.length * (barHeight + 8));
	const parts = bars.map((bar, index) => {
		const y = 40 + (index * (barHeight + 8));
		const middle = y + (barHeight / 2);
		const to = Math.min(bar.max, largest * 1.15) * scale;
		return [
			`<text x="${labelWidth - 8}" y="${middle + 4}" text-anchor="end">${escapeXml(bar.name)}</text>`,
			`<rect x="${labelWidth}" y="${y}" width="${(bar.median * scale).toFixed(1)}" height="${barHeight}" fill="${bar.name === 'policy' ? colours[0] : colours[1]}"/>`,
			`<line x1="${labelWidth + (bar.min * scale)}" x2="${labelWidth + to}" y1="${middle}" y2="${middle}" stroke="#222"/>`,
			`<text x="${labelWidth + (bar.median * scale) + 6}" y="${y + 10}" font-size="10">${bar.median.toPrecision(3)}</text>`,
		].join('');
	});
	const x = labelWidth + (limit * scale);
	return `${[
		`<svg xmlns="http://www.w3.org/2000/svg" width="${labelWidth + plotWidth + 60}" height="${height}" font-family="sans-serif" font-size="12">`,
		'<rect width="100%" height="100%" fill="white"/>',
		`<text x="10" y="20" font-size="14">${escapeXml(`${result.case}: ${bound?.title ?? ''} (median, spread over ${result.seeds.length} seeds)`)}</text>`,
		...parts,
		`<line x1="${x}" x2="${x}" y1="30" y2="${height - 14}" stroke="#c53030" stroke-dasharray="4 3"/>`,
		`<text x="${x + 4}" y="${height - 4}" fill="#c53030" font-size="10">bound: ${bound?.comparison ?? ''} ${limit}</text>`,
		'</svg>',
	].join('\n')}\n`;
}

export type Series = Readonly<{name: string; points: ReadonlyArray<Readonly<{x: number; y: number}>>}>;

/** Draws each series as points joined by lines, with an optional limit; both axes start at 0. */
export function lineChart(title: string, axes: Readonly<{x: string; y: string}>, series: readonly Series[], limit?: number): string {
	const width = 640;
	const height = 360;
	const points = series.flatMap(({points}) => points);
	const maxX = Math.max(...points.map(({x}) => x));
	const maxY = Math.max(limit ?? 0, ...points.map(({y}) => y)) * 1.1;
	const toX = (x: number): string => (60 + (x / maxX * (width - 220))).toFixed(1);
	const toY = (y: number): string => (height - 40 - (y / maxY * (height - 90))).toFixed(1);
	const palette = ['#2b6cb0', '#c05621', '#2f855a', '#6b46c1', '#718096'];
	const lines = series.flatMap((line, index) => {
		const colour = palette[index % palette.length]!;
		const path = line.points.map(({x, y}) => `${toX(x)},${toY(y)}`).join(' ');
		return [
			`<polyline points="${path}" fill="none" stroke="${colour}"/>`,
			...line.points.map(({x, y}) => `<circle cx="${toX(x)}" cy="${toY(y)}" r="3" fill="${colour}"/>`),
			`<text x="${width - 150}" y="${60 + (16 * index)}" fill="${colour}">${escapeXml(line.name)}</text>`,
		];
	});
	return `${[
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
		'<rect width="100%" height="100%" fill="white"/>',
		`<text x="10" y="20" font-size="14">${escapeXml(title)}</text>`,
		`<line x1="60" x2="${toX(maxX)}" y1="${height - 40}" y2="${height - 40}" stroke="#222"/>`,
		`<line x1="60" x2="60" y1="${toY(maxY)}" y2="${height - 40}" stroke="#222"/>`,
		`<text x="60" y="${height - 22}">0</text><text x="${toX(maxX)}" y="${height - 22}" text-anchor="end">${maxX}</text>`,
		`<text x="${toX(maxX / 2)}" y="${height - 8}">${escapeXml(axes.x)}</text>`,
		`<text x="64" y="40">${escapeXml(axes.y)}, up to ${maxY.toPrecision(3)}</text>`,
		...(limit === undefined ? [] : [`<line x1="60" x2="${toX(maxX)}" y1="${toY(limit)}" y2="${toY(limit)}" stroke="#c53030" stroke-dasharray="4 3"/>`]),
		...lines,
		'</svg>',
	].join('\n')}\n`;
}
