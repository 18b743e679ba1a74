/** A token bucket that regular work fills and extra work drains, so that extra work stays a limited share of the total. */
export type Budget = {
	/** Allowed ratio of extra work to regular work. */
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

/** Deducts `cost` if the budget covers it, and returns whether it did. */
export function spend(budget: Budget, cost: number): boolean {
	if (budget.share === 0 || budget.available < cost) {
		return false;
	}

	budget.available -= cost;
	return true;
}
