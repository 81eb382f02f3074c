/**
Timing model of an inference engine: continuous batching with a token budget per step. It has no clock of its own: its
caller runs the steps in virtual or real time.

Each step generates one token for every sequence whose prefill is complete, and spends the rest of the token budget on
prefill, by priority and then in order of arrival. The duration of a step is a base time plus a time for each prefilled
token and for each generated token. A cached prefix needs no prefill. A sequence reserves memory for its whole prompt and
its whole answer from its start until it ends or is released.
*/
import {LRUCache} from 'lru-cache';

export type EngineModelSettings = Readonly<{
	memoryTokens: number;
	/** Token budget of one step. */
	stepTokens: number;
	stepBaseMs: number;
	prefillMsPerToken: number;
	decodeMsPerSequence: number;
	/** Capacity of the prefix cache, in prompt tokens. */
	cacheTokens: number;
	/** Maximum number of sequences that run concurrently. */
	maximumSequences: number;
}>;

export const defaultEngineModelSettings = {
	memoryTokens: 400_000,
	stepTokens: 512,
	stepBaseMs: 12,
	prefillMsPerToken: 0.05,
	decodeMsPerSequence: 0.15,
	cacheTokens: 200_000,
	maximumSequences: 64,
} as const satisfies EngineModelSettings;

/** A prompt submitted to the engine. */
export type Sequence = Readonly<{
	attemptId: string;
	promptTokens: number;
	prefixKey: string;
	prefixTokens: number;
	/** Answer tokens that were generated before; they are prefilled, and generation continues after them. */
	resumedTokens: number;
	/** Length of the whole answer, including the resumed tokens. */
	answerTokens: number;
	/** Lower values are scheduled first. */
	priority: number;
}>;

/** Result of one step. */
export type EngineStep = Readonly<{
	durationMs: number;
	/** Tokens generated in this step, at most one for each sequence. */
	generated: ReadonlyArray<Readonly<{attemptId: string; tokenIndex: number; isLast: boolean}>>;
	prefilledTokens: number;
}>;

export type EngineModel = Readonly<{
	/** Queues a sequence; returns false if it needs more than the total memory. */
	submit(sequence: Sequence): boolean;
	/** Removes a sequence from the queue or stops it, and releases its memory. */
	release(attemptId: string): void;
	/** Runs one step; returns `undefined` if no sequence is running or can be started. */
	runStep(): EngineStep | undefined;
	/** Returns the memory reserved by each running sequence. */
	getHeldMemory(): ReadonlyArray<Readonly<{attemptId: string; tokens: number}>>;
	/** Returns the prefill throughput of a step that does nothing but prefill. */
	getPrefillTokensPerSecond(): number;
	/** Returns the total of prompt tokens whose prefill the prefix cache saved. */
	getCacheHitTokens(): number;
}>;

type RunningSequence = {
	readonly sequence: Sequence;
	remainingPrefillTokens: number;
	nextTokenIndex: number;
};

const millisecondsPerSecond = 1000;

/** Creates an engine without sequences and with an empty prefix cache. */
export function createEngineModel(settings: EngineModelSettings): EngineModel {
	let waitingSequences: readonly Sequence[] = [];
	const runningSequences = new Map<string, RunningSequence>();
	const heldTokensByAttempt = new Map<string, number>();
	const prefixCache = new LRUCache<string, number>({maxSize: Math.max(1, settings.cacheTokens), sizeCalculation: tokens => Math.max(1, tokens)});
	let totalHeldTokens = 0;
	let cacheHitTokens = 0;

	function reserveMemory(attemptId: string, tokens: number): void {
		totalHeldTokens += tokens - (heldTokensByAttempt.get(attemptId) ?? 0);
		heldTokensByAttempt.set(attemptId, tokens);
	}

	function release(attemptId: string): void {
		waitingSequences = waitingSequences.filter(sequence => sequence.attemptId !== attemptId);
		runningSequences.delete(attemptId);
		totalHeldTokens -= heldTokensByAttempt.get(attemptId) ?? 0;
		heldTokensByAttempt.delete(attemptId);
	}

	function getRequiredTokens(sequence: Sequence): number {
		return sequence.promptTokens + sequence.answerTokens;
	}

	function startSequence(sequence: Sequence): void {
		reserveMemory(sequence.attemptId, getRequiredTokens(sequence));
		const cachedTokens = Math.min(prefixCache.get(sequence.prefixKey) ?? 0, sequence.prefixTokens);
		cacheHitTokens += cachedTokens;
		runningSequences.set(sequence.attemptId, {
			sequence,
			remainingPrefillTokens: Math.max(1, sequence.promptTokens + sequence.resumedTokens - cachedTokens),
			nextTokenIndex: sequence.resumedTokens,
		});
	}

	function startWaitingSequences(): void {
		const ordered = [...waitingSequences].toSorted((left, right) => left.priority - right.priority);
		for (const sequence of ordered) {
			const fits = totalHeldTokens + getRequiredTokens(sequence) <= settings.memoryTokens;
			if (fits && runningSequences.size < settings.maximumSequences) {
				waitingSequences = waitingSequences.filter(other => other !== sequence);
				startSequence(sequence);
			}
		}
	}

	function runPrefill(budget: number): number {
		const ordered = [...runningSequences.values()]
			.filter(item => item.remainingPrefillTokens > 0)
			.toSorted((left, right) => left.sequence.priority - right.sequence.priority);
		let remainingTokens = budget;
		for (const item of ordered) {
			const tokens = Math.min(remainingTokens, item.remainingPrefillTokens);
			item.remainingPrefillTokens -= tokens;
			remainingTokens -= tokens;
			if (item.remainingPrefillTokens === 0 && item.sequence.prefixTokens > 0) {
				prefixCache.set(item.sequence.prefixKey, item.sequence.prefixTokens);
			}
		}

		return budget - remainingTokens;
	}

	function takeNextToken(item: RunningSequence): EngineStep['generated'][number] {
		const tokenIndex = item.nextTokenIndex;
		item.nextTokenIndex += 1;
		const isLast = item.nextTokenIndex >= item.sequence.answerTokens;
		if (isLast) {
			release(item.sequence.attemptId);
		}

		return {attemptId: item.sequence.attemptId, tokenIndex, isLast};
	}

	return {
		submit(sequence) {
			if (getRequiredTokens(sequence) > settings.memoryTokens) {
				return false;
			}

			waitingSequences = [...waitingSequences, sequence];
			return true;
		},
		release,
		runStep() {
			startWaitingSequences();
			if (runningSequences.size === 0) {
				return undefined;
			}

			const decoding = [...runningSequences.values()].filter(item => item.remainingPrefillTokens === 0);
			const prefilledTokens = runPrefill(Math.max(0, settings.stepTokens - decoding.length));
			// A sequence whose prefill completes in this step also gets its first token in this step.
			const prefilled = [...runningSequences.values()].filter(item => item.remainingPrefillTokens === 0);
			const generated = prefilled.map(item => takeNextToken(item));
			const durationMs = settings.stepBaseMs
				+ (prefilledTokens * settings.prefillMsPerToken)
				+ (generated.length * settings.decodeMsPerSequence);
			return {durationMs, generated, prefilledTokens};
		},
		getHeldMemory: () => [...heldTokensByAttempt].map(([attemptId, tokens]) => ({attemptId, tokens})),
		getPrefillTokensPerSecond() {
			const stepMs = settings.stepBaseMs + (settings.stepTokens * settings.prefillMsPerToken);
			return settings.stepTokens / stepMs * millisecondsPerSecond;
		},
		getCacheHitTokens: () => cacheHitTokens,
	};
}
