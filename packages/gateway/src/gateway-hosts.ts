/**
What a gateway asks of its surroundings: the form that callers and endpoints speak, and the platform that tells of the
configuration, the endpoints and the other gateways. An adapter supplies both.
*/
import type {IncomingHttpHeaders} from 'node:http';
import type {Failure} from '@currantcross/core/errors';
import type {ExchangeMember} from '@currantcross/core/gateway/exchange-topology';
import type {
	EndpointAnswerHead, ListedEndpoint, PromptSize, RawHeaders, ServingConfiguration,
} from '@currantcross/core/gateway/gateway-types';
import type {Reservation} from '@currantcross/core/gateway/memory-reservation';
import type {HelperSend} from '@currantcross/core/gateway/relay-types';
import type {Milliseconds} from '@currantcross/core/types';

/** The head of a caller's request, decoded. */
export type CallerHead = Readonly<{
	requestId: string;
	credential: string | undefined;
	/** How long the caller waits. */
	remainingMs: Milliseconds | undefined;
	lastEventId: string | undefined;
	prompt: PromptSize | undefined;
}>;

/** What the gateway adds to a request on its way to an endpoint. */
export type SendHead = Readonly<{
	remainingMs: Milliseconds;
	/** Id of the only endpoint that may run the request. */
	endpointId: string;
	organisation: string | undefined;
	/** Endpoints that read parts of the prompt. */
	helpers: readonly HelperSend[];
	lastEventId: string | undefined;
}>;

/** An order to an endpoint, as HTTP carries it. */
export type EndpointOrder = Readonly<{method: string; target: string; headers: RawHeaders; body: string}>;

/** The form that callers and endpoints speak. */
export type Dialect = Readonly<{
	/** Names, in lower case, of the headers that are not passed on to endpoints as the caller sent them. */
	ownedHeaders: ReadonlySet<string>;
	parseCallerHead(headers: IncomingHttpHeaders): CallerHead;
	formatSendHead(head: SendHead): RawHeaders;
	parseAnswerHead(status: number, headers: IncomingHttpHeaders): EndpointAnswerHead;
	/** Returns the order that sets memory aside at an endpoint, or renews that. */
	formatReservation(reservation: Reservation): EndpointOrder;
	/** Returns the order that frees memory which was set aside. */
	formatRelease(reservation: Reservation): EndpointOrder;
	/** Returns the call that an endpoint answers at once while it lives. */
	formatProbe(): EndpointOrder;
	/** Returns the headers of a failure that the gateway itself answers. */
	formatFailureHead(failure: Failure, requestId: string): RawHeaders;
}>;

/** Names a state of the platform's store; later states have greater ones. */
export type Revision = number;

export type ConfigurationReading = Readonly<{
	revision: Revision;
	/** `undefined` says that the one read before is still the newest. */
	configuration: ServingConfiguration | undefined;
}>;

/** A gateway as the others find it. */
export type GatewayListing = ExchangeMember & Readonly<{peerUrl: string}>;

/** The platform. Calls reject when the platform does not answer in time or in its form. */
export type PlatformHost = Readonly<{
	readConfiguration(): Promise<ConfigurationReading>;
	/** Waits until the configuration changes after the revision, or the time is over. */
	watchConfiguration(after: Revision, waitMs: Milliseconds): Promise<ConfigurationReading>;
	/** Lists the endpoints as they were at the revision or later; without one, as they are now, which costs more. */
	listEndpoints(notBefore: Revision | undefined): Promise<readonly ListedEndpoint[]>;
	listGateways(): Promise<readonly GatewayListing[]>;
	registerGateway(listing: GatewayListing): Promise<void>;
	close(): void;
}>;
