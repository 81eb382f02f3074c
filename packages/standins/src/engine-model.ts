/**
The timing rules of the model-server stand-in: continuous batching on a token budget, in virtual or real time.

An engine works in steps. In each step every sequence past its prefill gets one token, and what is left of the step's
token budget goes to prefill, by priority and then by order of arrival. A step takes a base time, and time for each
prefilled token and each sequence that got a token. A prompt's cached prefix needs no prefill. A sequence holds memory
for its whole prompt and its answer so far, from its start until it is released.
*/
import {LRUCache} from 'lru-cache';

export type EngineModelSettings = Readonly<{
	memoryTokens: number;
	/** Tokens that one step may process. */
	stepTokens: number;
	stepBaseMs: number;
	prefillMsPerToken: number;
	decodeMsPerSequence: number;
	/** Prompt tokens that the prefix cache holds. */
	cacheTokens: number;
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

/** A prompt as the engine gets it. */
export type Sequence = Readonly<{
	attemptId: string;
	promptTokens: number;
	prefixKey: string;
	prefixTokens: number;
	/** Tokens of the answer that exist already. */
	resumedTokens: number;
	answerTokens: number;
	/** Lower numbers go first. */
	priority: number;
}>;

/** What one step brought. */
export type EngineStep = Readonly<{
	durationMs: number;
	/** Sequences that got their next token. */
	generated: ReadonlyArray<Readonly<{attemptId: string; tokenIndex: number; isLast: boolean}>>;
	prefilledTokens: number;
}>;

export type EngineModel = Readonly<{
	/** Queues a sequence; returns false when it can never fit the memory. */
	submit(sequence: Sequence): boolean;
	/** Stops a sequence and releases its memory. */
	release(attemptId: string): void;
	/** Performs one step, or returns `undefined` when there is nothing to do. */
	runStep(): EngineStep | undefined;
	getHeld(): ReadonlyArray<Readonly<{attemptId: string; tokens: number}>>;
	getPrefillTokensPerSecond(): number;
	/** Prompt tokens that the prefix cache saved. */
	getCacheHitTokens(): number;
}>;

type Running = {
	readonly sequence: Sequence;
	prefillLeft: number;
	nextIndex: number;
};

const millisecondsPerSecond = 1000;

/** Creates an idle engine. */
export function createEngineModel(settings: EngineModelSettings): EngineModel {
	let waiting: readonly Sequence[] = [];
	const running = new Map<string, Running>();
	const held = new Map<string, number>();
	const prefixes = new LRUCache<string, number>({maxSize: Math.max(1, settings.cacheTokens), sizeCalculation: tokens => Math.max(1, tokens)});
	let heldTokens = 0;
	let cacheHitTokens = 0;

	function reserveMemory(attemptId: string, tokens: number): void {
		heldTokens += tokens - (held.get(attemptId) ?? 0);
		held.set(attemptId, tokens);
	}

	function release(attemptId: string): void {
		waiting = waiting.filter(sequence => sequence.attemptId !== attemptId);
		running.delete(attemptId);
		heldTokens -= held.get(attemptId) ?? 0;
		held.delete(attemptId);
	}

	function getNeeded(sequence: Sequence): number {
		return sequence.promptTokens + sequence.answerTokens;
	}

	function start(sequence: Sequence): void {
		reserveMemory(sequence.attemptId, getNeeded(sequence));
		const cached = Math.min(prefixes.get(sequence.prefixKey) ?? 0, sequence.prefixTokens);
		cacheHitTokens += cached;
		running.set(sequence.attemptId, {
			sequence,
			prefillLeft: Math.max(1, sequence.promptTokens + sequence.resumedTokens - cached),
			nextIndex: sequence.resumedTokens,
		});
	}

	function startWaiting(): void {
		const ordered = [...waiting].toSorted((left, right) => left.priority - right.priority);
		for (const sequence of ordered) {
			const fits = heldTokens + getNeeded(sequence) <= settings.memoryTokens;
			if (fits && running.size < settings.maximumSequences) {
				waiting = waiting.filter(other => other !== sequence);
				start(sequence);
			}
		}
	}

	function runPrefill(budget: number): number {
		const ordered = [...running.values()]
			.filter(item => item.prefillLeft > 0)
			.toSorted((left, right) => left.sequence.priority - right.sequence.priority);
		let left = budget;
		for (const item of ordered) {
			const tokens = Math.min(left, item.prefillLeft);
			item.prefillLeft -= tokens;
			left -= tokens;
			if (item.prefillLeft === 0 && item.sequence.prefixTokens > 0) {
				prefixes.set(item.sequence.prefixKey, item.sequence.prefixTokens);
			}
		}

		return budget - left;
	}

	function takeToken(item: Running): EngineStep['generated'][number] {
		const tokenIndex = item.nextIndex;
		item.nextIndex += 1;
		const isLast = item.nextIndex >= item.sequence.answerTokens;
		if (isLast) {
			release(item.sequence.attemptId);
		}

		return {attemptId: item.sequence.attemptId, tokenIndex, isLast};
	}

	return {
		submit(sequence) {
			if (getNeeded(sequence) > settings.memoryTokens) {
				return false;
			}

			waiting = [...waiting, sequence];
			return true;
		},
		release,
		runStep() {
			startWaiting();
			if (running.size === 0) {
				return undefined;
			}

			const decoding = [...running.values()].filter(item => item.prefillLeft === 0);
			const prefilledTokens = runPrefill(Math.max(0, settings.stepTokens - decoding.length));
			// A prompt whose prefill ends in this step gets its first token from the same step.
			const finished = [...running.values()].filter(item => item.prefillLeft === 0);
			const generated = finished.map(item => takeToken(item));
			const durationMs = settings.stepBaseMs
				+ (prefilledTokens * settings.prefillMsPerToken)
				+ (generated.length * settings.decodeMsPerSequence);
			return {durationMs, generated, prefilledTokens};
		},
		getHeld: () => [...held].map(([attemptId, tokens]) => ({attemptId, tokens})),
		getPrefillTokensPerSecond() {
			const stepMs = settings.stepBaseMs + (settings.stepTokens * settings.prefillMsPerToken);
			return settings.stepTokens / stepMs * millisecondsPerSecond;
		},
		getCacheHitTokens: () => cacheHitTokens,
	};
}
