/**
How many servers long prompts need: their rate of tokens, as one entry sees it, over the speed of a server.

Long prompts are kept on as few servers as can carry them, so that the others are free of them. A long prompt can wait
for its server; a short one beside a long one can't get its tokens in time.
*/
import type {Milliseconds, Timestamp, TokenCount} from './types.js';

/** Time over which the rate is averaged. */
const averagingMs: Milliseconds = 120_000;

/** Room above the measured rate. */
const headroom = 1.15;

const millisecondsPerSecond = 1000;

export type LongDemand = Readonly<{
	record(tokens: TokenCount, now: Timestamp): void;
	/** Returns the number of servers that the long prompts of all entries need, at least 1. */
	getServerCount(entryCount: number, prefillTokensPerSecond: number, now: Timestamp): number;
}>;

/** Creates the estimate of one entry. */
export function createLongDemand(): LongDemand {
	let weightedTokens = 0;
	let updatedAt: Timestamp | undefined;
	let startedAt: Timestamp | undefined;

	function applyDecay(now: Timestamp): void {
		weightedTokens *= Math.exp(-Math.max(0, now - (updatedAt ?? now)) / averagingMs);
		updatedAt = now;
	}

	return {
		record(tokens, now) {
			startedAt ??= now;
			applyDecay(now);
			weightedTokens += tokens;
		},
		getServerCount(entryCount, prefillTokensPerSecond, now) {
			applyDecay(now);
			// Right after the start the average covers less than its whole time.
			const coveredMs = averagingMs * (1 - Math.exp(-Math.max(millisecondsPerSecond, now - (startedAt ?? now)) / averagingMs));
			const tokensPerSecond = weightedTokens / coveredMs * millisecondsPerSecond * entryCount;
			return Math.max(1, Math.ceil(tokensPerSecond / prefillTokensPerSecond * headroom));
		},
	};
}
