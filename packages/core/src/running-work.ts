/**
The attempts that are running on a server, and which of them are still in prefill.
*/
import type {AttemptId, PromptClass, TokenCount} from './types.js';
import type {QueuedAttempt} from './work-queue.js';

export type RunningWork = Readonly<{
	add(item: QueuedAttempt): void;
	remove(attemptId: AttemptId): void;
	/** Marks an attempt's prefill as finished; returns whether it was still in prefill. */
	endPrefill(attemptId: AttemptId): boolean;
	getSize(): number;
	/** Returns the number of running long prompts. */
	getLongPromptCount(): number;
	/** Returns the prompt tokens in prefill, of one class or in total. */
	getPrefillTokens(promptClass?: PromptClass): TokenCount;
}>;

/** Creates an empty set of running attempts. */
export function createRunningWork(): RunningWork {
	const running = new Map<AttemptId, QueuedAttempt>();
	const prefilling = new Map<AttemptId, QueuedAttempt>();

	return {
		add(item) {
			running.set(item.attemptId, item);
			if (item.tokens > 0) {
				prefilling.set(item.attemptId, item);
			}
		},
		remove(attemptId) {
			running.delete(attemptId);
			prefilling.delete(attemptId);
		},
		endPrefill: attemptId => prefilling.delete(attemptId),
		getSize: () => running.size,
		getLongPromptCount: () => [...running.values()].filter(item => item.promptClass === 'long').length,
		getPrefillTokens(promptClass) {
			let tokens = 0;
			for (const item of prefilling.values()) {
				tokens += promptClass === undefined || item.promptClass === promptClass ? item.tokens : 0;
			}

			return tokens;
		},
	};
}
