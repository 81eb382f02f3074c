/**
Scenarios of requests and faults, and the results of running them.
*/
import type {EntryAction} from './entry-types.js';
import type {AttemptId, RequestId, Timestamp} from './types.js';

/** A fault that is injected at a given time. */
export type Fault
	= | Readonly<{kind: 'killEntry'; index: number; at: Timestamp}>
	/** The agent is down for `downMs` and restarts with a new incarnation. */
		| Readonly<{kind: 'killAgent'; index: number; at: Timestamp; downMs: number}>
		| Readonly<{kind: 'pauseEntry'; index: number; at: Timestamp; durationMs: number}>
		| Readonly<{kind: 'pauseAgent'; index: number; at: Timestamp; durationMs: number}>
	/** All connections between an entry and an agent stop delivering messages without closing; new ones work. */
		| Readonly<{kind: 'blackholeConnections'; entry: number; agent: number; at: Timestamp}>
	/** No message is delivered between an entry and an agent for `durationMs`, including on new connections. */
		| Readonly<{kind: 'partitionLink'; entry: number; agent: number; at: Timestamp; durationMs: number}>
		| Readonly<{kind: 'stopObjectApi'; at: Timestamp; durationMs: number}>
	/** The next writes to the object API take effect but their responses are lost. */
		| Readonly<{kind: 'loseWriteResponses'; at: Timestamp; count: number}>
	/** The next writes to the object API take effect but are answered as refused. */
		| Readonly<{kind: 'refuseAppliedWrites'; at: Timestamp; count: number}>
	/** The next service calls run but their responses are lost. */
		| Readonly<{kind: 'loseServiceResponses'; at: Timestamp; count: number}>
	/** The next service calls are refused before they run, as by a service that accepts no connections. */
		| Readonly<{kind: 'refuseServiceCalls'; at: Timestamp; count: number}>
	/** The prompts that are running on the agent's engine fail. */
		| Readonly<{kind: 'killEngine'; index: number; at: Timestamp}>
	/** The next submits reach their agents after `delayMs`; if `isDuplicated`, a copy also arrives without the delay. */
		| Readonly<{kind: 'delaySubmits'; at: Timestamp; count: number; delayMs: number; isDuplicated: boolean}>;

/** A request that arrives at a given time. */
export type ScriptedRequest = Readonly<{
	at: Timestamp;
	entry: number;
	kind: 'prompt' | 'idempotentCall' | 'nonIdempotentCall';
	/** Idempotency key of a non-idempotent call. */
	key: string;
	promptTokens: number;
	deadlineMs: number;
}>;

export type Scenario = Readonly<{
	seed: number;
	requests: readonly ScriptedRequest[];
	faults: readonly Fault[];
}>;

/** The result of one request. */
export type RequestResult = Readonly<{
	request: ScriptedRequest;
	requestId: RequestId;
	finalAction: EntryAction | undefined;
	finalActionAt: Timestamp | undefined;
	finalActionCount: number;
	deliveredTokens: readonly string[];
	/** Whether the entry that handled the request was killed before it answered. */
	isEntryLost: boolean;
	/** Upper bound of the total time for which the entry was paused. */
	pausedMs: number;
	/** Whether any attempt of this request started on a server. */
	wasStarted: boolean;
}>;

export type ScenarioResult = Readonly<{
	requests: readonly RequestResult[];
	/** How often each non-idempotent call ran, by idempotency key. */
	runCounts: ReadonlyMap<string, number>;
	/** Attempts that still have memory reserved when the scenario ends. */
	reservationOwners: readonly AttemptId[];
	/** Total number of attempts of all requests. */
	attemptCount: number;
	tombstoneCount: number;
}>;

export type SimulationSettings = Readonly<{
	entryCount: number;
	modelCount: number;
	shopCount: number;
}>;

export const defaultSimulationSettings = {
	entryCount: 2, modelCount: 2, shopCount: 2,
} as const satisfies SimulationSettings;
