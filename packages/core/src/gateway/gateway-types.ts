/**
Types that the gateway's modules share: configuration, endpoints, requests and responses.

All durations are in milliseconds. A `Timestamp` is read from the monotonic clock of the process that holds it.
*/
import type {ArrivalDelays} from '../arrival-delays.js';
import type {Milliseconds, Timestamp, TokenCount} from '../types.js';

/** Whether a request may run more than once: idempotent requests may, and streams if their route is resumable. */
export type RequestKind = 'streaming' | 'idempotent' | 'nonIdempotent';

/** Identifies an endpoint by its entry in the platform's list. */
export type EndpointId = string;

/** Identifies a request within this gateway. */
export type RequestKey = number;

/** A service and its relative weight among a route's services. */
export type WeightedService = Readonly<{service: string; weight: number}>;

export type ServedRoute = Readonly<{
	name: string;
	/** Value of the `Host` header that selects the route, in lower case. */
	host: string;
	/** Path prefix that selects the route; ends with a slash. */
	prefix: string;
	kind: RequestKind;
	/** Maximum time from arrival to the end of the response. */
	timeoutMs: Milliseconds;
	/** Target for the time to the response, or to the first event of a stream. */
	objectiveMs: Milliseconds;
	/** Maximum number of endpoints that may run one request. */
	maximumEndpoints: number;
	/** Whether requests need no API key. */
	isPublic: boolean;
	/** Whether a broken stream may be resumed at another endpoint. */
	isResumable: boolean;
	/** Target for the longest pause between a stream's events; 0 if the route has none. */
	longestPauseMs: Milliseconds;
	/** Urgency of the requests; 0 is the most urgent. */
	priority: number;
	/** Regions whose endpoints may get the requests; any region if empty. */
	permittedRegions: readonly string[];
	services: readonly WeightedService[];
}>;

/** An organisation, which holds API keys. */
export type ServedOrganisation = Readonly<{
	name: string;
	/** Urgency of its requests, which takes precedence over that of their route. */
	priority: number | undefined;
	/** Regions whose endpoints may get its requests; any region if empty. */
	permittedRegions: readonly string[];
}>;

/** What endpoints of a service take while they are cold: for some time after a start, and whenever they say so. */
export type ColdTolerance = Readonly<{
	requestsPerSecond: number;
	/** Time for which an endpoint is cold after a start. */
	durationMs: Milliseconds;
}>;

/** Capacity and timing model of a model server, from the configuration. */
export type EngineProfile = Readonly<{
	/** Number of requests that are processed at once. */
	slots: number;
	/** Capacity of the KV cache. */
	memoryTokens: TokenCount;
	/** Decoding steps in one pass of the batch. */
	stepsPerPass: number;
	stepMs: Milliseconds;
	stepMsPerSequence: Milliseconds;
	stepMsPerThousandTokens: Milliseconds;
	prefillTokensPerMs: number;
	/** Attention cost of prefill: time for a million pairs of a token and an earlier token. */
	prefillMsPerMillionPairs: Milliseconds;
}>;

export type ServedService = Readonly<{
	name: string;
	/** Defined if the service's endpoints are model servers. */
	engine: EngineProfile | undefined;
	/** Defined if the service's endpoints bound the requests that they take while cold. */
	coldTolerance: ColdTolerance | undefined;
}>;

export type ServingLimits = Readonly<{
	maximumBodyBytes: number;
	headerTimeoutMs: Milliseconds;
	idleTimeoutMs: Milliseconds;
}>;

export type ServingConfiguration = Readonly<{
	/** Increases with each configuration. */
	version: number;
	routes: readonly ServedRoute[];
	services: ReadonlyMap<string, ServedService>;
	/** Organisation of each API key; `undefined` if no route requires a key. */
	organisationsByKey: ReadonlyMap<string, string> | undefined;
	organisations: ReadonlyMap<string, ServedOrganisation>;
	limits: ServingLimits;
}>;

export type EndpointState = 'ready' | 'draining';

/** An endpoint as it appears in the platform's list. */
export type ListedEndpoint = Readonly<{
	id: EndpointId;
	service: string;
	/** `IP:PORT`. */
	address: string;
	dataCentre: string;
	slots: number;
	state: EndpointState;
	/** Start time of the endpoint's process by its own wall clock; distinguishes restarts under the same id. */
	startedAt: number;
	/** Time for which the endpoint stays cold, counted from when its entry was read; 0 if it isn't cold. */
	coldRemainingMs: Milliseconds;
}>;

/** Identifies a segment of a prompt by its content; requests whose prompts contain the same segment name the same id. */
export type SegmentId = string;

/** Length of a prompt, and the maximum length of its response. */
export type PromptSize = Readonly<{promptTokens: TokenCount; maximumTokens: TokenCount}>;

/** A request whose head was accepted. */
export type GatewayRequest = Readonly<{
	key: RequestKey;
	/** The caller's id of this attempt, forwarded unchanged. */
	requestId: string;
	route: ServedRoute;
	/** Path by which the route was found. */
	path: string;
	service: string;
	organisation: string | undefined;
	/** Urgency, from its organisation or else its route; 0 is the most urgent. */
	priority: number;
	/** API key of the caller, checked again before each send. */
	credential: string | undefined;
	/** Earlier of the caller's deadline and the route's timeout. */
	deadlineAt: Timestamp;
	/** Earliest time at which its head can have arrived. */
	arrivedAt: Timestamp;
	/** How long it may have waited from `arrivedAt` until its head was handled. */
	delays: ArrivalDelays;
	prompt: PromptSize | undefined;
	/** Segments of the prompt that other requests may share, in order; the prompt's own segment at its end is left out. */
	sharedSegments: readonly SegmentId[];
	/** Hash of the method, path, caller and body: equal for repeats of a request, whose ids differ. */
	fingerprint: string;
	/** Id of the last event that the caller received in an earlier response. */
	lastEventId: string | undefined;
}>;

/** What an endpoint reports of its work, in response to a probe; some hundred milliseconds old. */
export type EndpointReport = Readonly<{
	/** Number of requests that run or wait at the endpoint, including those that it helps with. */
	openRequests: number;
	/** Ids of the memory reservations that a request uses. */
	usedReservations: ReadonlySet<string>;
	/** Start time of the endpoint's process by its own wall clock, if it says so. */
	startedAt: number | undefined;
}>;

/** What an endpoint says in a response of the requests that it has. */
export type ReportedLoad = Readonly<{runningRequests: number; waitingRequests: number; slots: number}>;

/** Headers as alternating names and values. */
export type RawHeaders = readonly string[];

/** The decoded head of an endpoint's response. */
export type EndpointResponseHead = Readonly<{
	status: number;
	/** Headers to forward to the caller. */
	headers: RawHeaders;
	/** Id of the request that the endpoint claims to answer. */
	requestId: string | undefined;
	/** Whether the response carries the endpoint's stamp, which proves its origin. */
	hasStamp: boolean;
	/** Whether the endpoint states that it has not run the request and will not run it. */
	isNotRun: boolean;
	/** How it states this, for the log; `undefined` if the response has no such statement. */
	refusalText: string | undefined;
	/** Address of another endpoint that caused the failure, such as a helper. */
	faultyAddress: string | undefined;
	/** Whether the body has a content encoding. Endpoints don't encode bodies, so such a response is corrupt. */
	isEncoded: boolean;
	/** Whether the body is delimited by connection close alone, so that truncation can't be detected. */
	isUndelimited: boolean;
	/** Whether the endpoint says that it is leaving and must get no new requests. */
	isLeaving: boolean;
	/** Number of requests a second that the endpoint takes from all gateways together; `undefined` if it has no limit. */
	requestsPerSecond: number | undefined;
	/** Time for which the endpoint says it stays cold; `undefined` if it says nothing of it. */
	coldRemainingMs: Milliseconds | undefined;
	/** What the endpoint says of its load; `undefined` if it says nothing of it. */
	load: ReportedLoad | undefined;
	/** Delay after which the endpoint suggests a retry. */
	retryAfterMs: Milliseconds | undefined;
}>;
