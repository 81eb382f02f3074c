/**
Limits retries to a fraction of first attempts, so that a fault does not multiply the load.
*/

export type RetryBudgetSettings = Readonly<{
	/** Number of retries, usually a fraction, that each first attempt adds to the budget. */
	ratio: number;
	/** Maximum number of retries that accumulate. */
	burst: number;
}>;

export type RetryBudget = Readonly<{
	recordFirstAttempt(): void;
	/** Spends one retry, or returns false if none is left. */
	trySpend(): boolean;
}>;

/** Creates a retry budget that starts at its maximum. */
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
