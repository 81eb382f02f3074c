/**
Types shared by all packages: identifiers, configuration, load, attempts and answers.

Every timestamp is in milliseconds on the clock of the process that uses it; clocks are never compared between processes.
Lengths of prompts and answers are in tokens.
*/

import type {DesiredState} from './order-fencing.js';

/** A point in time, in milliseconds on the local clock of the process. */
export type Timestamp = number;

/** A duration in milliseconds. */
export type Milliseconds = number;

/** A number of tokens. */
export type TokenCount = number;

export type RequestId = string;
export type AttemptId = string;
export type ServerName = string;
export type OrganisationName = string;
export type RouteName = string;
export type PoolName = string;
export type DataCentreName = string;

/** Identifies one run of an agent process; a restarted agent has another incarnation. */
export type Incarnation = string;

/** Whether an endpoint ran a request. After an attempt was sent, `no` requires that its agent refused or voided it. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Queue class of a prompt, by its length. */
export type PromptClass = 'short' | 'medium' | 'long';

/** Maximum prompt length of each class except the last, in tokens. */
export const maximumTokensByClass = {short: 4000, medium: 32_000} as const;

export type ServerKind = 'model' | 'business';

/** The state of a server, as reported by its agent. Within one incarnation it only advances, in this order. */
export type ServingState = 'serving' | 'draining' | 'gone';

/** A server, as listed in the platform's host list or in the configuration. */
export type Server = Readonly<{
	name: ServerName;
	kind: ServerKind;
	pool: PoolName;
	dataCentre: DataCentreName;
	/** Base URL of the agent that runs beside the server. */
	agentUrl: string;
}>;

/** The load that an agent reports in its replies and heartbeats. */
export type Load = Readonly<{
	/** Prompt tokens that await prefill, by class. */
	queuedTokens: Readonly<Record<PromptClass, TokenCount>>;
	queuedRequests: number;
	activeRequests: number;
	freeMemoryTokens: TokenCount;
	prefillTokensPerSecond: number;
}>;

/**
A timestamp from an agent's own clock, with the agent's incarnation. Each attempt carries one. The agent refuses an attempt
whose permit has expired, so that it can discard the tombstones of refused and voided attempts after a bounded time.
*/
export type Permit = Readonly<{
	incarnation: Incarnation;
	stampedAt: Timestamp;
}>;

/** The status that an agent reports with each reply. */
export type AgentStatus = Readonly<{
	server: ServerName;
	state: ServingState;
	permit: Permit;
	load: Load;
}>;

export type PromptWork = Readonly<{
	kind: 'prompt';
	model: string;
	promptTokens: TokenCount;
	maximumTokens: TokenCount;
	/** Hash of the leading part of the prompt. Prompts with equal keys share a cached prefix. */
	prefixKey: string;
	/** Length of the part that is covered by `prefixKey`. */
	prefixTokens: TokenCount;
	/** The caller's request body, passed to the engine unchanged. */
	body: string;
}>;

export type ServiceWork = Readonly<{
	kind: 'service';
	method: string;
	path: string;
	contentType: string | undefined;
	body: string;
	/** SHA-256 of method, path and body, in hexadecimal. */
	bodySha256: string;
	isIdempotent: boolean;
	idempotencyKey: string | undefined;
}>;

/** The work of a request, to be done by an endpoint. */
export type Work = PromptWork | ServiceWork;

/** The answer of a business service. */
export type ServiceAnswer = Readonly<{
	status: number;
	contentType: string;
	body: string;
}>;

/** Why an agent refused an attempt. A refused attempt did not run and never will. */
export type RefusalReason
	= | 'draining'
		| 'incarnationMismatch'
		| 'permitExpired'
		| 'voided'
		| 'overloaded'
		| 'memoryExhausted'
		| 'deadlinePassed';

/** How an attempt ended at the agent. */
export type AttemptResult
	= | Readonly<{kind: 'completed'; tokenCount: number; finishReason: string}>
		| Readonly<{kind: 'answered'; answer: ServiceAnswer}>
		| Readonly<{kind: 'refused'; reason: RefusalReason; retryAfterMs: Milliseconds}>
		| Readonly<{kind: 'failed'; ran: Ran; detail: string}>
		| Readonly<{kind: 'cancelled'; ran: Ran}>;

/** The state of an attempt at its agent. */
export type AttemptState
	= | Readonly<{kind: 'unknown'}>
		| Readonly<{kind: 'running'; nextOffset: number}>
		| Readonly<{kind: 'ended'; result: AttemptResult}>
		| Readonly<{kind: 'voided'}>;

/** A message on the stream of an attempt, sent by the agent to the entry. */
export type AttemptMessage
	= | Readonly<{kind: 'accepted'; status: AgentStatus}>
		| Readonly<{kind: 'tokens'; offset: number; tokens: readonly string[]}>
		| Readonly<{kind: 'heartbeat'; status: AgentStatus}>
		| Readonly<{kind: 'ended'; result: AttemptResult; status: AgentStatus}>;

/** An attempt as it is sent to an agent. */
export type Attempt = Readonly<{
	attemptId: AttemptId;
	organisation: OrganisationName;
	work: Work;
	permit: Permit;
	/** Time budget that remains when the attempt is sent. */
	remainingMs: Milliseconds;
	/** Tokens that have been delivered to the caller; the engine resumes after them. */
	deliveredTokens: readonly string[];
}>;

export type PromptRoute = Readonly<{
	kind: 'prompt';
	pool: PoolName;
	model: string;
	defaultDeadlineMs: Milliseconds;
	maximumDeadlineMs: Milliseconds;
	maximumPromptTokens: TokenCount;
	objective: Objective;
}>;

export type ServiceRoute = Readonly<{
	kind: 'service';
	pool: PoolName;
	defaultDeadlineMs: Milliseconds;
	maximumDeadlineMs: Milliseconds;
	/** HTTP methods, in upper case, whose calls may run more than once. */
	idempotentMethods: readonly string[];
	objective: Objective;
}>;

/** A route, which maps a name that callers use to a pool. */
export type Route = PromptRoute | ServiceRoute;

/** Service-level objective of a route. */
export type Objective = Readonly<{
	/** Target time to first token, or to the answer of a service. */
	firstTokenMs: Milliseconds;
	/** Fraction of requests that must meet the target, between 0 and 1. */
	share: number;
}>;

export type Pool = Readonly<{
	kind: ServerKind;
	/** Memory of the pool's largest engine, in tokens; 0 for business pools. */
	engineMemoryTokens: TokenCount;
	/** The model, version and role that the engines are ordered to run. If omitted, the engines are left unchanged. */
	wanted?: DesiredState | undefined;
}>;

export type Organisation = Readonly<{
	/** SHA-256 of the API key, in lower-case hexadecimal. */
	keySha256: string;
	requestsPerSecond: number;
	tokensPerSecond: number;
	concurrentRequests: number;
}>;

/** An object that a ticket changes, with its complete new state. Without a state, the object is removed. */
export type TicketObject
	= | Readonly<{kind: 'route'; name: RouteName; state?: Route | undefined}>
		| Readonly<{kind: 'pool'; name: PoolName; state?: Pool | undefined}>
		| Readonly<{kind: 'organisation'; name: OrganisationName; state?: Organisation | undefined}>;

/** A numbered change ticket with the complete new state of each object that it changes. */
export type Ticket = Readonly<{
	number: number;
	objects: readonly TicketObject[];
}>;
