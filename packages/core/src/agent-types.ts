/**
Events and actions of an agent: all that its decisions hear from entries and its server, and ask of them.
*/
import type {StreamId} from './entry-types.js';
import type {
	Attempt, AttemptId, AttemptMessage, AttemptState, Incarnation, Milliseconds, Permit, PromptClass, Ran, ServerName, ServiceAnswer,
	TokenCount,
} from './types.js';

/** What an engine says of itself, late. */
export type EngineReport = Readonly<{
	totalMemoryTokens: TokenCount;
	prefillTokensPerSecond: number;
	/** Memory that the engine holds, by the attempt it was taken for. */
	held: readonly HeldMemory[];
}>;

export type HeldMemory = Readonly<{attemptId: AttemptId; tokens: TokenCount}>;

export type AgentEvent
	= | Readonly<{kind: 'submitArrived'; streamId: StreamId; attempt: Attempt}>
	/** Asks for an attempt; one that is unknown is voided. */
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
		/** Lower priorities go first at the engine. */
		| Readonly<{kind: 'startWork'; attempt: Attempt; priority: number; remainingMs: Milliseconds}>
		| Readonly<{kind: 'cancelWork'; attemptId: AttemptId}>
		| Readonly<{kind: 'releaseMemory'; attemptId: AttemptId}>;

/** How an agent orders its work; the first is a baseline for measurement. */
export type QueuePolicy
	/** In order of arrival, whatever the length; nothing is refused for its wait. */
	= | Readonly<{kind: 'firstCome'}>
	/** By class of length, with limits for long prompts, and refusal past a predicted wait. */
		| Readonly<{kind: 'byClass'}>;

export type AgentSettings = Readonly<{
	server: ServerName;
	incarnation: Incarnation;
	queuePolicy: QueuePolicy;
	/** Attempts that the server works on at once. */
	maximumActive: number;
	/** Long prompts among them. */
	maximumLongActive: number;
	/** Prompt tokens in prefill beside which no further long prompt starts. */
	maximumPrefillTokens: TokenCount;
	/** Longest predicted wait, by class, at which an attempt is still taken. */
	maximumWaitMs: Readonly<Record<PromptClass, Milliseconds>>;
	/** Wait after which a queued attempt is served like one of the next more urgent class. */
	ageingMs: Milliseconds;
	heartbeatIntervalMs: Milliseconds;
	/** Least time between two messages with tokens on one stream; tokens that come meanwhile go together. */
	tokenIntervalMs: Milliseconds;
	/** Age from which a permit is refused; tombstones and ended attempts are kept as long. */
	permitLifeMs: Milliseconds;
	/** How long the tokens of an ended answer are kept. */
	answerLifeMs: Milliseconds;
	/** How long a prompt goes on when no entry listens. */
	orphanLifeMs: Milliseconds;
	/** How long an action that may not be repeated is awaited after its deadline. */
	actionGraceMs: Milliseconds;
	/** Memory and speed that are assumed until the engine reports. */
	assumedMemoryTokens: TokenCount;
	assumedPrefillTokensPerSecond: number;
}>;
