/**
Events and actions of an entry: all that its decisions hear from the world and ask of it.
*/
import type {Claim, ClaimRecord} from './claims.js';
import type {Failure} from './errors.js';
import type {HostListing} from './membership.js';
import type {
	AgentStatus, Attempt, AttemptId, AttemptMessage, Milliseconds, OrganisationName, RequestId, RouteName, Server,
	ServerName, ServiceAnswer, Work,
} from './types.js';

/** Identifies one stream of one attempt; a reopened stream has another. */
export type StreamId = string;

/** A request as the caller's API hands it in, checked and with its key resolved to a hash. */
export type ArrivedRequest = Readonly<{
	requestId: RequestId;
	keySha256: string;
	route: RouteName;
	/** Budget that the caller asked for, if any. */
	deadlineMs: Milliseconds | undefined;
	work: Work;
}>;

export type EntryEvent
	= | Readonly<{kind: 'requestArrived'; request: ArrivedRequest}>
		| Readonly<{kind: 'callerGone'; requestId: RequestId}>
		| Readonly<{kind: 'messageReceived'; requestId: RequestId; streamId: StreamId; message: AttemptMessage}>
	/** A stream ended without an end message; `wasSent` is false only if nothing can have reached the agent. */
		| Readonly<{kind: 'streamBroken'; requestId: RequestId; streamId: StreamId; wasSent: boolean}>
		| Readonly<{kind: 'statusReceived'; status: AgentStatus}>
		| Readonly<{kind: 'probeFailed'; server: ServerName}>
		| Readonly<{kind: 'claimKnown'; requestId: RequestId; claim: Claim | undefined}>
		| Readonly<{kind: 'claimExpired'; requestId: RequestId}>
		| Readonly<{kind: 'hostListRead'; listings: readonly HostListing[]; entryCount: number}>
		| Readonly<{kind: 'drainStarted'}>
		| Readonly<{kind: 'timePassed'}>;

/** How a stream starts: with a new attempt, or with a question for one that was sent before. */
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
		/** Whether connections that exist may have gone silent, so that a new one is needed. */
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

/** What is known of a prompt that was answered whole. */
export type CompletionSummary = Readonly<{
	server: ServerName;
	finishReason: string;
	tokenCount: number;
	tries: number;
}>;

export type EntrySettings = Readonly<{
	entryName: string;
	dataCentre: string;
	/** Silence on a stream after which its connection is suspect. */
	heartbeatTimeoutMs: Milliseconds;
	/** Pause before a stream that broke again is reopened. */
	reopenDelayMs: Milliseconds;
	/** Age at which a permit is too old for a non-idempotent call and the agent is asked for a new one. */
	maximumPermitAgeMs: Milliseconds;
	/** Tries of one request that agents may refuse before the request is refused. */
	maximumRefusals: number;
	/** Time that is kept for the answer when a claim is awaited. */
	answerReserveMs: Milliseconds;
	retryRatio: number;
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
