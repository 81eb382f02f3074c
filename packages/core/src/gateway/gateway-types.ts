/**
The vocabulary of the gateway: the configuration that it serves, the endpoints that it knows, and requests and answers
as they pass through.

All times are milliseconds. A `Timestamp` is read from the steady clock of the process that holds it.
*/
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';

/** What may be repeated: streams and idempotent requests may run more than once, where their route says so. */
export type RequestKind = 'streaming' | 'idempotent' | 'nonIdempotent';

/** Identifies one life of an endpoint. */
export type EndpointId = string;

/** Identifies a request at this gateway. */
export type RequestKey = number;

/** A service and its share of a route's requests. */
export type WeightedService = Readonly<{service: string; weight: number}>;

export type ServedRoute = Readonly<{
	name: string;
	/** Value of the `Host` header that selects the route, in lower case. */
	host: string;
	/** Leading part of the path that selects the route; it ends with a slash. */
	prefix: string;
	kind: RequestKind;
	/** Longest time that a request may be kept without its final answer. */
	timeoutMs: Milliseconds;
	/** Time to the answer, or to a stream's first event, that counts as on time. */
	objectiveMs: Milliseconds;
	/** Most endpoints that may run one request. */
	maximumEndpoints: number;
	/** Whether requests need no key. */
	isPublic: boolean;
	/** Whether a broken stream may go on at another endpoint. */
	isResumable: boolean;
	/** Longest pause between a stream's events that counts as on time; 0 where there is no such aim. */
	longestPauseMs: Milliseconds;
	services: readonly WeightedService[];
}>;

/** Timing of a model server, as the configuration describes it. */
export type EngineProfile = Readonly<{
	slots: number;
	memoryTokens: TokenCount;
	/** Token steps in one pass that has writers. */
	stepsPerPass: number;
	stepMs: Milliseconds;
	stepMsPerWriter: Milliseconds;
	stepMsPerThousandTokens: Milliseconds;
	readTokensPerMs: number;
	/** Reading time for a million pairs of a token and an earlier one. */
	readMsPerMillionPairs: Milliseconds;
}>;

export type ServedService = Readonly<{
	name: string;
	/** Present where the service's endpoints are model servers. */
	engine: EngineProfile | undefined;
}>;

export type ServingLimits = Readonly<{
	maximumBodyBytes: number;
	headerTimeoutMs: Milliseconds;
	idleTimeoutMs: Milliseconds;
}>;

export type ServingConfiguration = Readonly<{
	/** Grows with each configuration. */
	version: number;
	routes: readonly ServedRoute[];
	services: ReadonlyMap<string, ServedService>;
	/** Organisation of each key; `undefined` where requests need no key at all. */
	organisationsByKey: ReadonlyMap<string, string> | undefined;
	limits: ServingLimits;
}>;

export type EndpointState = 'ready' | 'draining';

/** An endpoint as the platform lists it. */
export type ListedEndpoint = Readonly<{
	id: EndpointId;
	service: string;
	/** `IP:PORT`. */
	address: string;
	dataCentre: string;
	slots: number;
	state: EndpointState;
	/** When this life of the endpoint began, on the endpoint's own clock. */
	bornAt: number;
}>;

/** Size of a prompt, and how many tokens its answer may have. */
export type PromptSize = Readonly<{promptTokens: TokenCount; maximumTokens: TokenCount}>;

/** A request that passed the checks of its head. */
export type GatewayRequest = Readonly<{
	key: RequestKey;
	/** The caller's id of this attempt, passed on as it came. */
	requestId: string;
	route: ServedRoute;
	service: string;
	organisation: string | undefined;
	/** Key that the caller gave, to be checked again before each send. */
	credential: string | undefined;
	/** When the request has no more use, by the caller or by its route. */
	deadlineAt: Timestamp;
	arrivedAt: Timestamp;
	prompt: PromptSize | undefined;
	/** Last event that the caller has of an earlier answer. */
	lastEventId: string | undefined;
}>;

/** Headers as name and value by turns. */
export type RawHeaders = readonly string[];

/** The head of an endpoint's answer, decoded. */
export type EndpointAnswerHead = Readonly<{
	status: number;
	/** Headers to pass on. */
	headers: RawHeaders;
	/** Id of the request that the endpoint says it answers. */
	requestId: string | undefined;
	/** Whether the endpoint proves that the answer is its own. */
	hasStamp: boolean;
	/** Whether the endpoint says that it did not and will not run the request. */
	isNotRun: boolean;
	/** Address of another endpoint that made this one fail. */
	faultyAddress: string | undefined;
	/** Whether the body is encoded, which no endpoint does. */
	isEncoded: boolean;
	/** Whether the answer ends with its connection, so that a broken one looks whole. */
	isUndelimited: boolean;
	/** When the endpoint would take the request, if it says so. */
	retryAfterMs: Milliseconds | undefined;
}>;
