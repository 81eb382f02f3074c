/**
Estimates how many servers long prompts need: their token rate divided by the prefill rate of a server.

Each entry measures the rate of its own prompts and multiplies it by the number of entries. Long prompts are confined to
as few servers as can sustain them, because a long prompt can wait for a server, whereas a short prompt that shares a
server with a long one misses its latency target.
*/
import type {Milliseconds, Timestamp, TokenCount} from './types.js';

/** Time constant of the exponentially weighted average of the rate. */
const timeConstantMs: Milliseconds = 120_000;

/** Factor by which the provisioned capacity exceeds the measured rate. */
const headroomFactor = 1.15;

const millisecondsPerSecond = 1000;

export type LongPromptDemand = Readonly<{
	record(tokens: TokenCount, now: Timestamp): void;
	/** Returns the number of servers, at least 1, that the long prompts of all entries need. */
	getRequiredServerCount(entryCount: number, prefillTokensPerSecond: number, now: Timestamp): number;
}>;

/** Creates the demand estimate of one entry. */
export function createLongPromptDemand(): LongPromptDemand {
	let weightedTokens = 0;
	let updatedAt: Timestamp | undefined;
	let startedAt: Timestamp | undefined;

	function applyDecay(now: Timestamp): void {
		weightedTokens *= Math.exp(-Math.max(0, now - (updatedAt ?? now)) / timeConstantMs);
		updatedAt = now;
	}

	return {
		record(tokens, now) {
			startedAt ??= now;
			applyDecay(now);
			weightedTokens += tokens;
		},
		getRequiredServerCount(entryCount, prefillTokensPerSecond, now) {
			applyDecay(now);
			// Until several time constants have passed, the average covers less than a full window.
			const effectiveWindowMs = timeConstantMs * (1 - Math.exp(-Math.max(millisecondsPerSecond, now - (startedAt ?? now)) / timeConstantMs));
			const tokensPerSecond = weightedTokens / effectiveWindowMs * millisecondsPerSecond * entryCount;
			return Math.max(1, Math.ceil(tokensPerSecond / prefillTokensPerSecond * headroomFactor));
		},
	};
}
