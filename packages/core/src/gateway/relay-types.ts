/**
Events and actions of a gateway: all that its decisions hear from the world and ask of it.
*/
import type {Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointNews} from './endpoint-registry.js';
import type {
	EndpointAnswerHead, GatewayRequest, ListedEndpoint, RawHeaders, RequestKey, ServingConfiguration,
} from './gateway-types.js';
import type {GatewayName, WorkChange} from './load-view.js';
import type {Reservation, ReservationId} from './memory-reservation.js';

/** An endpoint that helps with a send, and the memory that is set aside for it there. */
export type HelperSend = Readonly<{address: string; reservationId: ReservationId | undefined}>;

/** Identifies one send of a request. */
export type SendId = number;

export type RelayEvent
	= | Readonly<{kind: 'started'}>
		| Readonly<{kind: 'answerStarted'; sendId: SendId; head: EndpointAnswerHead}>
		| Readonly<{kind: 'answerBytes'; sendId: SendId; bytes: Uint8Array}>
		| Readonly<{kind: 'answerEnded'; sendId: SendId}>
	/** The connection failed; `wasSent` is false only if nothing can have reached the endpoint. */
		| Readonly<{kind: 'sendFailed'; sendId: SendId; wasSent: boolean; detail: string}>
		| Readonly<{kind: 'memoryAnswered'; reservationId: ReservationId; isHeld: boolean}>
	/** A probe of the send's endpoint was answered. */
		| Readonly<{kind: 'probeAnswered'; sendId: SendId}>
		| Readonly<{kind: 'clientGone'}>
		| Readonly<{kind: 'timePassed'}>;

export type RelayAction
	= | Readonly<{
		kind: 'send';
		key: RequestKey;
		sendId: SendId;
		endpoint: ListedEndpoint;
		helpers: readonly HelperSend[];
		remainingMs: Milliseconds;
		lastEventId: string | undefined;
	}>
	/** Sets memory aside, or renews that. */
	| Readonly<{kind: 'reserveMemory'; key: RequestKey; reservation: Reservation}>
	| Readonly<{kind: 'releaseMemory'; reservation: Reservation}>
	/** Asks the send's endpoint for a sign of life. */
	| Readonly<{kind: 'probeEndpoint'; key: RequestKey; sendId: SendId; endpoint: ListedEndpoint}>
	| Readonly<{kind: 'cancelSend'; sendId: SendId}>
	| Readonly<{
		kind: 'startAnswer';
		key: RequestKey;
		status: number;
		headers: RawHeaders;
		/** Whether the answer's end is marked by the end of its connection alone. */
		isUndelimited: boolean;
	}>
	| Readonly<{kind: 'writeAnswer'; key: RequestKey; bytes: Uint8Array}>
	| Readonly<{kind: 'endAnswer'; key: RequestKey; outcome: AnswerOutcome}>
	/** Closes the caller's connection, since the answer that began can't be completed. */
	| Readonly<{kind: 'breakAnswer'; key: RequestKey; failure: Failure}>
	| Readonly<{kind: 'failRequest'; key: RequestKey; failure: Failure}>
	/** Frees what is held for a request whose caller has left. */
	| Readonly<{kind: 'forgetRequest'; key: RequestKey}>
	| Readonly<{kind: 'publishWork'; change: WorkChange}>
	| Readonly<{kind: 'reportEndpoint'; news: EndpointNews}>
	| Readonly<{kind: 'reportDecision'; key: RequestKey; decision: RelayDecision}>;

/** A decision on a request, with the inputs that made it, for the log. */
export type RelayDecision
	= | Readonly<{kind: 'placed'; sendId: SendId; endpoint: string; helpers: number; reservations: number; firstEventMs: Milliseconds; candidates: number}>
		| Readonly<{kind: 'sendEnded'; sendId: SendId; endpoint: string; result: SendResult; mayHaveRun: boolean; detail: string}>;

/** How a send ended. */
export type SendResult = 'answered' | 'notRun' | 'replaced' | 'noMemory' | 'failedStatus' | 'corrupt' | 'broken' | 'silent' | 'deadline' | 'clientGone';

/** What the caller got. */
export type AnswerOutcome = Readonly<{
	status: number;
	sends: number;
	firstEventMs: Milliseconds | undefined;
	/** Longest time between two events of a stream. */
	longestPauseMs: Milliseconds;
}>;

export type GatewayEvent
	= | Readonly<{kind: 'requestArrived'; request: GatewayRequest}>
		| Readonly<{kind: 'requestChanged'; key: RequestKey; event: RelayEvent}>
		| Readonly<{kind: 'endpointsListed'; endpoints: readonly ListedEndpoint[]}>
		| Readonly<{kind: 'endpointListFailed'}>
	/** The configuration was found to be the newest at `verifiedAt`. */
		| Readonly<{kind: 'configurationVerified'; configuration: ServingConfiguration | undefined; verifiedAt: Timestamp}>
	/** Time may have passed that the steady clock does not show. */
		| Readonly<{kind: 'clockJumped'}>
		| Readonly<{kind: 'peerWorkChanged'; gateway: GatewayName; changes: readonly WorkChange[]}>
		| Readonly<{kind: 'gatewayCountKnown'; count: number}>
		| Readonly<{kind: 'timePassed'}>;
