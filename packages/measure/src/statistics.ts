/** The `share` quantile of `values` by the nearest-rank method; NaN if `values` is empty. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1))] ?? Number.NaN;
}

export function median(values: readonly number[]): number {
	return quantile(values, 0.5);
}

export function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

export type LinearFit = Readonly<{slope: number; intercept: number}>;

/** Fits a line to the points by least squares. */
export function fitLine(points: ReadonlyArray<Readonly<{x: number; y: number}>>): LinearFit {
	const meanX = sum(points.map(({x}) => x)) / points.length;
	const meanY = sum(points.map(({y}) => y)) / points.length;
	const covariance = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
	const variance = sum(points.map(({x}) => (x - meanX) ** 2));
	const slope = variance === 0 ? 0 : covariance / variance;
	return {slope, intercept: meanY - (slope * meanX)};
}

export type MaxMinDemand = Readonly<{weight: number; demand: number}>;

/** Weighted max-min fair shares of `capacity`: no share exceeds its demand, and unused capacity is redistributed by weight. */
export function maxMinShares(demands: readonly MaxMinDemand[], capacity: number): number[] {
	const shares = demands.map(() => 0);
	let open = demands.map((_, index) => index);
	let remaining = capacity;
	while (open.length > 0) {
		const perWeight = remaining / sum(open.map(index => demands[index]!.weight));
		const satisfied = open.filter(index => demands[index]!.demand <= perWeight * demands[index]!.weight);
		const resolved = satisfied.length > 0 ? satisfied : open;
		for (const index of resolved) {
			const {weight, demand} = demands[index]!;
			shares[index] = Math.min(demand, perWeight * weight);
			remaining -= shares[index];
		}

		open = open.filter(index => !resolved.includes(index));
	}

	return shares;
}
