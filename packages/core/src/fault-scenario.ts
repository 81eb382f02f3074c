/**
What a scenario of faults says, and what is true after it ran.
*/
import type {EntryAction} from './entry-types.js';
import type {AttemptId, RequestId, Timestamp} from './types.js';

/** A fault of the script, at its time. */
export type Fault
	= | Readonly<{kind: 'killEntry'; index: number; at: Timestamp}>
	/** The agent is gone for a while, and comes back with a new incarnation. */
		| Readonly<{kind: 'killAgent'; index: number; at: Timestamp; downMs: number}>
		| Readonly<{kind: 'pauseEntry'; index: number; at: Timestamp; forMs: number}>
		| Readonly<{kind: 'pauseAgent'; index: number; at: Timestamp; forMs: number}>
	/** All connections between an entry and an agent go silent; new ones work. */
		| Readonly<{kind: 'silenceConnections'; entry: number; agent: number; at: Timestamp}>
	/** Nothing passes between an entry and an agent for a while, also on new connections. */
		| Readonly<{kind: 'partLink'; entry: number; agent: number; at: Timestamp; forMs: number}>
		| Readonly<{kind: 'stopObjectApi'; at: Timestamp; forMs: number}>
	/** The next writes take effect and their answers are lost. */
		| Readonly<{kind: 'loseWriteAnswers'; at: Timestamp; count: number}>
	/** The next calls of services run and their answers are lost. */
		| Readonly<{kind: 'loseServiceAnswers'; at: Timestamp; count: number}>
		| Readonly<{kind: 'killEngines'; index: number; at: Timestamp}>
	/** The next submits reach their agents only after the delay, or at once and again after it. */
		| Readonly<{kind: 'delaySubmits'; at: Timestamp; count: number; delayMs: number; isRepeated: boolean}>;

/** A request of the script. */
export type ScriptedRequest = Readonly<{
	at: Timestamp;
	entry: number;
	kind: 'prompt' | 'lookup' | 'action';
	/** Idempotency key of an action. */
	key: string;
	promptTokens: number;
	deadlineMs: number;
}>;

export type Scenario = Readonly<{
	seed: number;
	requests: readonly ScriptedRequest[];
	faults: readonly Fault[];
}>;

/** What became of one request, and what is true of it. */
export type RequestFacts = Readonly<{
	request: ScriptedRequest;
	requestId: RequestId;
	final: EntryAction | undefined;
	finalAt: Timestamp | undefined;
	finalCount: number;
	delivered: readonly string[];
	/** Whether the entry that had the request was killed before it answered. */
	isEntryLost: boolean;
	/** Longest that the entry was paused in all. */
	pausedMs: number;
	/** Whether any attempt of this request was started at a server. */
	wasStarted: boolean;
}>;

export type WorldFacts = Readonly<{
	requests: readonly RequestFacts[];
	/** How often each action ran, by its key. */
	runs: ReadonlyMap<string, number>;
	/** Attempts that hold memory at an agent in the end. */
	reservedOwners: readonly AttemptId[];
	/** Attempts over requests. */
	attemptCount: number;
	tombstoneCount: number;
}>;

export type WorldSettings = Readonly<{
	entryCount: number;
	modelCount: number;
	shopCount: number;
}>;

export const defaultWorldSettings = {
	entryCount: 2, modelCount: 2, shopCount: 2,
} as const satisfies WorldSettings;
