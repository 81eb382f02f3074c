/**
A budget that lets retries be a bounded share of first tries, so that a fault does not multiply the load.
*/

export type RetryBudgetSettings = Readonly<{
	/** Retries that each first try earns. */
	share: number;
	/** Retries that may be saved up. */
	maximumSaved: number;
}>;

export type RetryBudget = Readonly<{
	recordFirstTry(): void;
	/** Spends one retry; returns false when none is left. */
	trySpend(): boolean;
}>;

/** Creates a budget that starts full. */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
	let saved = settings.maximumSaved;
	return {
		recordFirstTry() {
			saved = Math.min(settings.maximumSaved, saved + settings.share);
		},
		trySpend() {
			if (saved < 1) {
				return false;
			}

			saved -= 1;
			return true;
		},
	};
}
