/**
Events and actions of the gateway's state machine: its complete input and output.
*/
import type {Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {ColdReport} from './cold-endpoints.js';
import type {ConfigurationAnswer} from './configuration-state.js';
import type {PaceSource} from './endpoint-pace.js';
import type {EndpointChange} from './endpoint-registry.js';
import type {
	EndpointId, EndpointReport, EndpointResponseHead, GatewayRequest, ListedEndpoint, RawHeaders, RequestKey, SegmentId,
} from './gateway-types.js';
import type {GatewayName} from './load-view.js';
import type {Reservation, ReservationId} from './memory-reservation.js';
import type {PeerChange} from './peer-changes.js';
import type {ResponseVerdict} from './response-verdict.js';
import type {EvacuationChanges, EvacuationList} from './placement-restrictions.js';
import type {
	EndpointCheck, Quarantine, QuarantineRecord, QuarantineReport,
} from './segment-quarantine.js';
import type {CrashReport, ServiceSegment} from './segment-suspicion.js';

/** An endpoint that helps with the prefill of a send, and the memory reservation there, if any. */
export type SendHelper = Readonly<{address: string; reservationId: ReservationId | undefined}>;

/** Identifies one send of a request to an endpoint. */
export type SendId = number;

/** An event of one request. */
export type RequestEvent
	= | Readonly<{kind: 'started'}>
		| Readonly<{kind: 'responseStarted'; sendId: SendId; head: EndpointResponseHead}>
	/** `isFragmented` if they came in so many small pieces that the response is read slowly: then bytes alone show no progress. */
		| Readonly<{kind: 'responseBytes'; sendId: SendId; bytes: Uint8Array; isFragmented?: boolean}>
		| Readonly<{kind: 'responseEnded'; sendId: SendId}>
	/** The gateway stops reading the response, since its caller has left too much of it unread, or reads on. */
		| Readonly<{kind: 'readingPaused'; sendId: SendId}>
		| Readonly<{kind: 'readingResumed'; sendId: SendId}>
	/** The connection failed. `wasSent` is false only if the request can't have reached the endpoint. */
		| Readonly<{kind: 'sendFailed'; sendId: SendId; wasSent: boolean; detail: string}>
		| Readonly<{kind: 'memoryAnswered'; reservationId: ReservationId; isHeld: boolean}>
	/** An endpoint answered a probe; `report` is `undefined` if it can't be decoded. */
		| Readonly<{kind: 'probeAnswered'; endpoint: EndpointId; report: EndpointReport | undefined}>
		| Readonly<{kind: 'clientGone'}>
	/** The process ends in a moment: each open request gets its final answer now. */
		| Readonly<{kind: 'graceEnded'}>
		| Readonly<{kind: 'timePassed'}>;

/** An action that the driver performs. */
export type GatewayAction
	= | Readonly<{
		kind: 'send';
		key: RequestKey;
		sendId: SendId;
		endpoint: ListedEndpoint;
		helpers: readonly SendHelper[];
		remainingMs: Milliseconds;
		lastEventId: string | undefined;
	}>
	/** Creates or renews a memory reservation. */
	| Readonly<{kind: 'reserveMemory'; key: RequestKey; reservation: Reservation}>
	| Readonly<{kind: 'releaseMemory'; reservation: Reservation}>
	/** Asks an endpoint for its report, which also shows that it is alive. */
	| Readonly<{kind: 'probeEndpoint'; key: RequestKey; endpoint: ListedEndpoint}>
	/** Ends a send: aborts it, or discards the rest of its response, so that the connection can be reused if that ends soon. */
	| Readonly<{kind: 'cancelSend'; sendId: SendId; how: 'abort' | 'discard'}>
	| Readonly<{
		kind: 'startResponse';
		key: RequestKey;
		status: number;
		/** Without a length the body is sent in chunks. */
		headers: RawHeaders;
	}>
	| Readonly<{kind: 'writeResponse'; key: RequestKey; bytes: Uint8Array}>
	| Readonly<{kind: 'endResponse'; key: RequestKey; summary: ResponseSummary}>
	/** Closes the caller's connection because a response that has started can't be completed. */
	| Readonly<{kind: 'breakResponse'; key: RequestKey; failure: Failure}>
	| Readonly<{kind: 'failRequest'; key: RequestKey; failure: Failure}>
	/** Releases the resources of a request whose caller has disconnected. */
	| Readonly<{kind: 'forgetRequest'; key: RequestKey}>
	| Readonly<{kind: 'publishChange'; change: PeerChange}>
	/** Asks an endpoint for its report, to learn whether it has crashed. */
	| Readonly<{kind: 'checkEndpoint'; endpoint: ListedEndpoint}>
	/** Reads the configuration at once, since a peer has a newer one. */
	| Readonly<{kind: 'readConfiguration'}>
	/** Creates a record of a quarantine in the platform's store, unless there is one. */
	| Readonly<{kind: 'recordQuarantine'; quarantine: Quarantine}>
	| Readonly<{kind: 'removeQuarantine'; segment: ServiceSegment}>
	/** Replaces the record of this gateway's crashes in the platform's store. */
	| Readonly<{kind: 'recordCrashes'; crashes: readonly CrashReport[]}>
	| Readonly<{kind: 'reportQuarantine'; report: QuarantineReport}>
	| Readonly<{kind: 'reportEndpoint'; change: EndpointChange}>
	| Readonly<{kind: 'reportLimit'; report: LimitReport}>
	| Readonly<{kind: 'reportEvacuations'; changes: EvacuationChanges; source: EvacuationList['source']; listAgeMs: Milliseconds}>
	| Readonly<{kind: 'reportColdEndpoint'; report: ColdReport}>
	| Readonly<{kind: 'reportTiming'; report: TimingReport}>
	| Readonly<{kind: 'reportDecision'; key: RequestKey; decision: ReportedDecision}>;

/** A change of an endpoint's limit, `undefined` if it has none, for the log. */
export type LimitReport = Readonly<{endpoint: EndpointId; requestsPerSecond: number | undefined; source: 'response' | 'peer'}>;

/** The predicted and the observed time of a response or of its pauses, for metrics and the log. */
export type TimingReport = Readonly<{
	route: string;
	source: PaceSource;
	/** Whether the response was given up after the observed time. */
	isMinimum: boolean;
	/** The endpoint that the request was sent to, and the number of servers that had a part in it. */
	endpoint: EndpointId;
	servers: number;
	predictedMs: Milliseconds;
	observedMs: Milliseconds;
	pace: number;
	/** Number of endpoints of whose pace the other gateways are told. */
	told: number;
}>;

/** A decision about a send, for the log. */
export type ReportedDecision
	= | Readonly<{
		kind: 'placed';
		sendId: SendId;
		endpoint: string;
		helpers: readonly EndpointId[];
		reservations: readonly Reservation[];
		firstEventMs: Milliseconds;
		candidates: number;
		sharedSegments: readonly SegmentId[];
		/** How the send ended that this one repeats; `undefined` for the first send of a request. */
		resentAfter: SendResult | undefined;
	}>
	/** A prompt waits for room since placing it now would cost more urgent ones more than it is worth, or since a more urgent one waits. */
	| Readonly<{kind: 'deferred'; priority: number; firstEventMs: Milliseconds; interferenceCost: number}>
	/** A send made no progress for `silentMs`. */
	| Readonly<{kind: 'silenceChecked'; sendId: SendId; endpoint: string; silentMs: Milliseconds; outcome: SilenceOutcome}>
	| Readonly<{
		kind: 'sendEnded';
		sendId: SendId;
		endpoint: string;
		result: SendResult;
		mayHaveRun: boolean;
		hasEvents: boolean;
		detail: string;
		/** `undefined` if no head of a response was received. */
		response: ResponseEvidence | undefined;
	}>;

/** What the head of a response shows of whether its endpoint has run the request. */
export type ResponseEvidence = Readonly<{
	status: number;
	/** What the gateway concluded from the head. */
	verdict: ResponseVerdict;
	/** Id of the request that the response names; `undefined` if it names none. */
	id: string | undefined;
	/** How the endpoint states that it has not run the request, if it does. */
	refusalText: string | undefined;
}>;

/**
What follows from the check of a silent send: its endpoint is probed, the send is abandoned, or it is kept. A send is kept if
its endpoint has responded recently, its request may not be sent again, or the retry quota is used up.
*/
export type SilenceOutcome = 'probed' | 'abandoned' | 'endpointResponded' | 'retryForbidden' | 'quotaExhausted';

/**
How a send ended; `replaced` means that another endpoint now responds at the address, and `memoryUnused` that the receiver
didn't begin a request for which other endpoints held memory, `forbidden` that it may no longer be made, `unread` that its connection broke after the gateway had not read from it for
long, and `stopped` that this gateway's process ends.
*/
export type SendResult
	= | 'answered' | 'notRun' | 'replaced' | 'noMemory' | 'forbidden' | 'memoryUnused' | 'failedStatus'
		| 'corrupt' | 'broken' | 'unread' | 'silent' | 'deadline' | 'clientGone' | 'stopped';

/** Summary of a completed response. */
export type ResponseSummary = Readonly<{
	status: number;
	sends: number;
	firstEventMs: Milliseconds | undefined;
	/** Longest pause between two events of the stream. */
	longestPauseMs: Milliseconds;
}>;

/** An event of the gateway. */
export type GatewayEvent
	= | Readonly<{kind: 'requestArrived'; request: GatewayRequest}>
		| Readonly<{kind: 'requestChanged'; key: RequestKey; event: RequestEvent}>
		| Readonly<{kind: 'endpointsListed'; endpoints: readonly ListedEndpoint[]}>
		| Readonly<{kind: 'endpointListFailed'}>
	/** The platform's store was restored from a copy: what was written to it since the copy was taken is gone, at least for some seconds. */
		| Readonly<{kind: 'storeRestored'}>
	/** A process that has just started can't tell whether the platform's store was restored just before. */
		| Readonly<{kind: 'storeUnsettled'}>
	/** The last restore of the platform's store is long ago: what it has lost was written again. */
		| Readonly<{kind: 'storeSettled'}>
	/** The store answered a read or a watch of the configuration. */
		| (Readonly<{kind: 'configurationVerified'}> & ConfigurationAnswer)
	/** Time may have passed that the monotonic clock didn't count, for example while the host was suspended. */
		| Readonly<{kind: 'clockJumped'}>
		| Readonly<{kind: 'peerChanged'; gateway: GatewayName; changes: readonly PeerChange[]}>
		| Readonly<{kind: 'gatewayCountKnown'; count: number}>
	/** The names of the other gateways that the platform lists. */
		| Readonly<{kind: 'gatewaysListed'; names: readonly GatewayName[]}>
	/** An endpoint says in a response to a control request that it is leaving. */
		| Readonly<{kind: 'endpointLeaving'; endpoint: ListedEndpoint}>
	/** An endpoint says in a response to a control request for how long it stays cold. */
		| Readonly<{kind: 'endpointColdStated'; endpoint: ListedEndpoint; remainingMs: Milliseconds}>
	/** An endpoint wants no requests from this gateway for some time, by its response to a control request. */
		| Readonly<{kind: 'endpointResting'; endpoint: ListedEndpoint; restMs: Milliseconds}>
		| Readonly<{kind: 'endpointChecked'; endpoint: EndpointId; result: EndpointCheck}>
	/** All quarantines that the platform's store lists. */
		| Readonly<{kind: 'quarantinesListed'; records: readonly QuarantineRecord[]}>
	/** The data centres whose endpoints are to get no requests. */
		| (Readonly<{kind: 'evacuationsListed'}> & EvacuationList)
	/** The crashes that gateways have recorded in the platform's store. */
		| Readonly<{kind: 'crashesListed'; crashes: readonly CrashReport[]}>
	/** The process ends in a moment: each open request gets its final answer now. */
		| Readonly<{kind: 'graceEnded'}>
		| Readonly<{kind: 'timePassed'}>;
