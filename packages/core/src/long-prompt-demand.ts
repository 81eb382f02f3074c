/**
How many servers long prompts need: their rate of tokens, as one entry sees it, over the speed of a server.

Long prompts are kept on as few servers as can carry them, so that the others are free of them. A long prompt can wait
for its server; a short one beside a long one can't get its tokens in time.
*/
import type {Milliseconds, Timestamp, TokenCount} from './types.js';

/** Time over which the rate is averaged. */
const timeConstantMs: Milliseconds = 120_000;

/** Room above the measured rate. */
const headroomFactor = 1.15;

const millisecondsPerSecond = 1000;

export type LongPromptDemand = Readonly<{
	record(tokens: TokenCount, now: Timestamp): void;
	/** Returns the number of servers that the long prompts of all entries need, at least 1. */
	getRequiredServerCount(entryCount: number, prefillTokensPerSecond: number, now: Timestamp): number;
}>;

/** Creates the estimate of one entry. */
export function createLongPromptDemand(): LongPromptDemand {
	let decayedTokens = 0;
	let updatedAt: Timestamp | undefined;
	let startedAt: Timestamp | undefined;

	function applyDecay(now: Timestamp): void {
		decayedTokens *= Math.exp(-Math.max(0, now - (updatedAt ?? now)) / timeConstantMs);
		updatedAt = now;
	}

	return {
		record(tokens, now) {
			startedAt ??= now;
			applyDecay(now);
			decayedTokens += tokens;
		},
		getRequiredServerCount(entryCount, prefillTokensPerSecond, now) {
			applyDecay(now);
			// Right after the start the average covers less than its whole time.
			const effectiveWindowMs = timeConstantMs * (1 - Math.exp(-Math.max(millisecondsPerSecond, now - (startedAt ?? now)) / timeConstantMs));
			const tokensPerSecond = decayedTokens / effectiveWindowMs * millisecondsPerSecond * entryCount;
			return Math.max(1, Math.ceil(tokensPerSecond / prefillTokensPerSecond * headroomFactor));
		},
	};
}
