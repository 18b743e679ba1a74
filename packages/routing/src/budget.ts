/** A token bucket that is filled by work and emptied by extra work, so that extra work stays a share of the whole. */
export type Budget = {
	/** Share of the work that may be extra. */
	share: number;
	available: number;
	readonly burst: number;
};

export function createBudget(options: Readonly<{share: number; initial: number; burst: number}>): Budget {
	return {share: options.share, available: options.initial, burst: options.burst};
}

export function earn(budget: Budget, work: number): void {
	budget.available = Math.min(budget.burst, budget.available + (budget.share * work));
}

/** Takes `cost` if the budget covers it. */
export function spend(budget: Budget, cost: number): boolean {
	if (budget.share === 0 || budget.available < cost) {
		return false;
	}

	budget.available -= cost;
	return true;
}
