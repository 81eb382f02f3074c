/**
Settings of an agent, and the events and actions through which it communicates with entries and its server.
*/
import type {StreamId} from './entry-types.js';
import type {
	Attempt, AttemptId, AttemptMessage, AttemptState, Incarnation, Milliseconds, Permit, PromptClass, Ran, ServerName, ServiceAnswer,
	TokenCount,
} from './types.js';

/** The status that an engine reports, which may be stale when it arrives. */
export type EngineReport = Readonly<{
	totalMemoryTokens: TokenCount;
	prefillTokensPerSecond: number;
	/** Memory that the engine has allocated, by attempt. */
	held: readonly HeldMemory[];
}>;

export type HeldMemory = Readonly<{attemptId: AttemptId; tokens: TokenCount}>;

export type AgentEvent
	= | Readonly<{kind: 'submitArrived'; streamId: StreamId; attempt: Attempt}>
	/** Resumes an attempt from an offset; an attempt without a record is voided if its permit allows it. */
		| Readonly<{kind: 'resumeArrived'; streamId: StreamId; attemptId: AttemptId; permit: Permit; nextOffset: number}>
		| Readonly<{kind: 'voidArrived'; replyId: string; attemptId: AttemptId; permit: Permit}>
		| Readonly<{kind: 'streamClosed'; streamId: StreamId}>
		| Readonly<{kind: 'cancelArrived'; attemptId: AttemptId}>
		| Readonly<{kind: 'tokensGenerated'; attemptId: AttemptId; tokens: readonly string[]}>
		| Readonly<{kind: 'promptCompleted'; attemptId: AttemptId; finishReason: string}>
		| Readonly<{kind: 'serviceAnswered'; attemptId: AttemptId; answer: ServiceAnswer}>
		| Readonly<{kind: 'workFailed'; attemptId: AttemptId; ran: Ran; detail: string}>
		| Readonly<{kind: 'engineReported'; report: EngineReport}>
		| Readonly<{kind: 'drainStarted'}>
		| Readonly<{kind: 'timePassed'}>;

export type AgentAction
	= | Readonly<{kind: 'sendMessage'; streamId: StreamId; message: AttemptMessage}>
		| Readonly<{kind: 'endStream'; streamId: StreamId}>
		| Readonly<{kind: 'replyState'; replyId: string; state: AttemptState}>
		/** The engine schedules lower `priority` values first. */
		| Readonly<{kind: 'startWork'; attempt: Attempt; priority: number; remainingMs: Milliseconds}>
		| Readonly<{kind: 'cancelWork'; attemptId: AttemptId}>
		| Readonly<{kind: 'releaseMemory'; attemptId: AttemptId}>;

/** How an agent orders queued work; `firstCome` is a baseline for benchmarks. */
export type QueuePolicy
	/** First come, first served regardless of length; no attempt is refused for its predicted wait. */
	= | Readonly<{kind: 'firstCome'}>
	/** By length class, with limits for long prompts; refuses attempts whose predicted wait is too long. */
		| Readonly<{kind: 'byClass'}>;

export type AgentSettings = Readonly<{
	server: ServerName;
	incarnation: Incarnation;
	queuePolicy: QueuePolicy;
	/** Maximum number of attempts that run concurrently. */
	maximumActive: number;
	/** Maximum number of long prompts that run concurrently. */
	maximumLongActive: number;
	/** Maximum prompt tokens in prefill, including a long prompt about to start; a single long prompt may exceed it. */
	maximumPrefillTokens: TokenCount;
	/** Longest predicted wait, by class, with which an attempt is still accepted. */
	maximumWaitMs: Readonly<Record<PromptClass, Milliseconds>>;
	/** Time in the queue after which an attempt is promoted to the next more urgent class. */
	ageingIntervalMs: Milliseconds;
	heartbeatIntervalMs: Milliseconds;
	/** Minimum time between token messages on one stream; tokens generated in between are batched. */
	tokenIntervalMs: Milliseconds;
	/** Age beyond which a permit is refused; also how long tombstones and records of ended attempts are kept. */
	permitLifetimeMs: Milliseconds;
	/** How long the tokens of an ended attempt are kept. */
	answerRetentionMs: Milliseconds;
	/** How long idempotent work continues without an open stream. */
	orphanTimeoutMs: Milliseconds;
	/** How long after its deadline the outcome of running non-idempotent work is awaited. */
	outcomeGraceMs: Milliseconds;
	/** Memory capacity and prefill speed that are assumed until the engine reports its own. */
	assumedMemoryTokens: TokenCount;
	assumedPrefillTokensPerSecond: number;
}>;
