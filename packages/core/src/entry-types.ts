/**
The input events and output actions of an entry's state machine.
*/
import type {Claim, ClaimRecord} from './claims.js';
import type {Failure} from './errors.js';
import type {HostListing} from './membership.js';
import type {
	AgentStatus, Attempt, AttemptId, AttemptMessage, Milliseconds, OrganisationName, RequestId, RouteName, Server,
	ServerName, ServiceAnswer, Work,
} from './types.js';

/** Identifies one stream of an attempt. A reopened stream gets a new identifier. */
export type StreamId = string;

/** A validated request from the caller API, with the API key replaced by its hash. */
export type ArrivedRequest = Readonly<{
	requestId: RequestId;
	keySha256: string;
	route: RouteName;
	/** Time budget requested by the caller, if any. */
	deadlineMs: Milliseconds | undefined;
	/** Longest time for which the request can have waited since it arrived. */
	ageMs: Milliseconds;
	work: Work;
}>;

export type EntryEvent
	= | Readonly<{kind: 'requestArrived'; request: ArrivedRequest}>
		| Readonly<{kind: 'callerGone'; requestId: RequestId}>
		| Readonly<{kind: 'messageReceived'; requestId: RequestId; streamId: StreamId; message: AttemptMessage}>
	/** A stream ended without an `ended` message. `wasSent` is false only if nothing can have reached the agent. */
		| Readonly<{kind: 'streamBroken'; requestId: RequestId; streamId: StreamId; wasSent: boolean}>
		| Readonly<{kind: 'statusReceived'; status: AgentStatus}>
		| Readonly<{kind: 'probeFailed'; server: ServerName}>
	/** The submitted claim record was applied. `claim` is the resulting claim of its key. */
		| Readonly<{kind: 'claimKnown'; requestId: RequestId; claim: Claim | undefined}>
	/** The submitted claim record was not applied within its time budget. */
		| Readonly<{kind: 'claimExpired'; requestId: RequestId}>
		| Readonly<{kind: 'hostListRead'; listings: readonly HostListing[]; entryCount: number}>
		| Readonly<{kind: 'drainStarted'}>
		| Readonly<{kind: 'timePassed'}>;

/** How a stream starts: by submitting a new attempt, or by resuming one that was submitted before. */
export type StreamMode
	= | Readonly<{kind: 'submit'}>
		| Readonly<{kind: 'resume'; nextOffset: number}>;

export type EntryAction
	= | Readonly<{
		kind: 'openStream';
		requestId: RequestId;
		streamId: StreamId;
		server: Server;
		attempt: Attempt;
		mode: StreamMode;
		/** Whether a new connection must be opened, because the existing ones may be dead. */
		needsFreshConnection: boolean;
	}>
	| Readonly<{kind: 'closeStream'; streamId: StreamId}>
	| Readonly<{kind: 'cancelAttempt'; server: Server; attemptId: AttemptId}>
	| Readonly<{kind: 'probeServer'; server: Server}>
	| Readonly<{kind: 'submitClaim'; requestId: RequestId; record: ClaimRecord; budgetMs: Milliseconds}>
	| Readonly<{kind: 'recordOutcome'; record: ClaimRecord}>
	| Readonly<{kind: 'deliverTokens'; requestId: RequestId; tokens: readonly string[]}>
	| Readonly<{kind: 'completeRequest'; requestId: RequestId; summary: CompletionSummary}>
	| Readonly<{kind: 'answerRequest'; requestId: RequestId; answer: ServiceAnswer; server: ServerName; isReplay: boolean}>
	| Readonly<{kind: 'failRequest'; requestId: RequestId; failure: Failure}>;

/** Facts about a prompt whose answer was delivered completely. */
export type CompletionSummary = Readonly<{
	server: ServerName;
	finishReason: string;
	tokenCount: number;
	/** Number of attempts, including the one that completed. */
	tries: number;
}>;

export type EntrySettings = Readonly<{
	entryName: string;
	dataCentre: string;
	/** Time without a message after which the connection of a stream is considered dead. */
	heartbeatTimeoutMs: Milliseconds;
	/** Delay before a stream is reopened after it broke repeatedly, or ended without all tokens of the answer. */
	reopenDelayMs: Milliseconds;
	/**
	Maximum age of the permit of a new attempt; the agent is probed for a new permit if the known one is older. An agent accepts
	or voids an attempt only until its permit expires, and a non-idempotent call depends on both.
	*/
	maximumPermitAgeMs: Milliseconds;
	/** Number of attempts that agents may refuse before the request itself is refused. */
	maximumRefusals: number;
	/** Part of the time budget that is reserved for answering the caller when waiting for a claim. */
	answerReserveMs: Milliseconds;
	/** Number of retries, usually a fraction, that each first attempt adds to the retry budget. */
	retryRatio: number;
	/** Maximum number of retries that accumulate in the retry budget. */
	retryBurst: number;
}>;

/** A request that passed admission. */
export type AdmittedRequest = Readonly<{
	requestId: RequestId;
	organisation: OrganisationName;
	pool: string;
	work: Work;
	deadlineAt: number;
}>;
