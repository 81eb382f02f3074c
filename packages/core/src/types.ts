/**
The vocabulary that all stages share: identifiers, configuration, load, attempts and answers.

All times are milliseconds on the clock of the process that holds them; clocks are never compared between processes.
Lengths of prompts and answers are in tokens.
*/

import type {DesiredState} from './order-fencing.js';

/** A point in time, in milliseconds, on the caller's own clock. */
export type Timestamp = number;

/** A length of time in milliseconds. */
export type Milliseconds = number;

/** A count of tokens. */
export type TokenCount = number;

export type RequestId = string;
export type AttemptId = string;
export type ServerName = string;
export type OrganisationName = string;
export type RouteName = string;
export type PoolName = string;
export type DataCentreName = string;

/** Identifies one life of an agent process; a restarted agent has another incarnation. */
export type Incarnation = string;

/** Whether a request was run by an endpoint. `no` is only said on the word of an agent that refused or voided it. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Queue class of a prompt, by its length. */
export type PromptClass = 'short' | 'medium' | 'long';

/** Longest prompt of each class but the last, in tokens. */
export const classLimitsTokens = {short: 4000, medium: 32_000} as const;

export type ServerKind = 'model' | 'business';

/** What an agent says of its server. Merged in this order and never taken back within one incarnation. */
export type ServingState = 'serving' | 'draining' | 'gone';

/** One host as the platform's host list or the configuration names it. */
export type Server = Readonly<{
	name: ServerName;
	kind: ServerKind;
	pool: PoolName;
	dataCentre: DataCentreName;
	/** Base URL of the agent beside the server. */
	agentUrl: string;
}>;

/** Load that an agent reports on its replies and heartbeats. */
export type Load = Readonly<{
	/** Prompt tokens that wait for prefill, by class. */
	queuedTokens: Readonly<Record<PromptClass, TokenCount>>;
	queuedRequests: number;
	activeRequests: number;
	freeMemoryTokens: TokenCount;
	prefillTokensPerSecond: number;
}>;

/** A stamp of an agent's own clock; attempts carry it so that tombstones may be forgotten after a bounded time. */
export type Permit = Readonly<{
	incarnation: Incarnation;
	stampedAt: Timestamp;
}>;

/** What an agent says of itself with each reply. */
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
	/** Hash of the leading part of the prompt; equal keys share cached prefixes. */
	prefixKey: string;
	/** Length of the part that the key covers. */
	prefixTokens: TokenCount;
	/** The caller's body, passed on to the engine as it came. */
	body: string;
}>;

export type ServiceWork = Readonly<{
	kind: 'service';
	method: string;
	path: string;
	contentType: string | undefined;
	body: string;
	/** SHA-256 over method, path and body, in hexadecimal. */
	bodySha256: string;
	isIdempotent: boolean;
	idempotencyKey: string | undefined;
}>;

/** What an endpoint is asked to do. */
export type Work = PromptWork | ServiceWork;

/** The answer of a business service. */
export type ServiceAnswer = Readonly<{
	status: number;
	contentType: string;
	body: string;
}>;

/** Why an agent refused an attempt. Each refusal means that the attempt did not run and never will. */
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

/** What an agent knows of an attempt. */
export type AttemptState
	= | Readonly<{kind: 'unknown'}>
		| Readonly<{kind: 'running'; nextOffset: number}>
		| Readonly<{kind: 'ended'; result: AttemptResult}>
		| Readonly<{kind: 'voided'}>;

/** One message of an attempt's stream, from the agent to the entry. */
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
	/** Budget that is left when the attempt is sent. */
	remainingMs: Milliseconds;
	/** Tokens that the caller already has; the engine resumes after them. */
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
	/** HTTP methods, in upper case, that may be repeated. */
	idempotentMethods: readonly string[];
	objective: Objective;
}>;

/** A serving route: binds a name that callers use to a pool. */
export type Route = PromptRoute | ServiceRoute;

/** Service-level objective of a route. */
export type Objective = Readonly<{
	/** Target time to first token, or to the answer of a service. */
	firstTokenMs: Milliseconds;
	/** Share of requests that must meet the target, between 0 and 1. */
	share: number;
}>;

export type Pool = Readonly<{
	kind: ServerKind;
	/** Largest memory of one engine, in tokens; 0 for business pools. */
	engineMemoryTokens: TokenCount;
	/** What the engines are ordered to run; without it they are left as they are. */
	wanted?: DesiredState | undefined;
}>;

export type Organisation = Readonly<{
	/** SHA-256 of the bearer key, in lower-case hexadecimal. */
	keySha256: string;
	requestsPerSecond: number;
	tokensPerSecond: number;
	concurrentRequests: number;
}>;

/** One object that a ticket touches, with its whole new state; without a state it is removed. */
export type TicketObject
	= | Readonly<{kind: 'route'; name: RouteName; state?: Route | undefined}>
		| Readonly<{kind: 'pool'; name: PoolName; state?: Pool | undefined}>
		| Readonly<{kind: 'organisation'; name: OrganisationName; state?: Organisation | undefined}>;

/** A numbered change ticket that carries the whole new state of each object it touches. */
export type Ticket = Readonly<{
	number: number;
	objects: readonly TicketObject[];
}>;
