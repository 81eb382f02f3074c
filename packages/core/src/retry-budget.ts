/**
A budget that lets retries be a bounded share of first tries, so that a fault does not multiply the load.
*/

export type RetryBudgetSettings = Readonly<{
	/** Retries that each first try earns. */
	ratio: number;
	/** Retries that may be saved up. */
	burst: number;
}>;

export type RetryBudget = Readonly<{
	recordFirstAttempt(): void;
	/** Spends one retry; returns false when none is left. */
	trySpend(): boolean;
}>;

/** Creates a budget that starts full. */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
	let balance = settings.burst;
	return {
		recordFirstAttempt() {
			balance = Math.min(settings.burst, balance + settings.ratio);
		},
		trySpend() {
			if (balance < 1) {
				return false;
			}

			balance -= 1;
			return true;
		},
	};
}
