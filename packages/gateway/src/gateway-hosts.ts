/**
Interfaces that an adapter implements for the platform that a gateway runs on: the wire format of callers and endpoints,
and access to the configuration and to the registries of endpoints and gateways.
*/
import type {IncomingHttpHeaders} from 'node:http';
import type {Failure} from '@currantcross/core/errors';
import type {ExchangeMember} from '@currantcross/core/gateway/exchange-topology';
import type {
	EndpointReport, EndpointResponseHead, ListedEndpoint, PromptSize, RawHeaders, SegmentId, ServingConfiguration,
} from '@currantcross/core/gateway/gateway-types';
import type {Reservation} from '@currantcross/core/gateway/memory-reservation';
import type {SendHelper} from '@currantcross/core/gateway/gateway-events';
import type {QuarantineRecord} from '@currantcross/core/gateway/segment-quarantine';
import type {GatewayName} from '@currantcross/core/gateway/load-view';
import type {CrashReport, ServiceSegment} from '@currantcross/core/gateway/segment-suspicion';
import type {Milliseconds} from '@currantcross/core/types';

/** The decoded headers of a caller's request. */
export type CallerHead = Readonly<{
	requestId: string;
	credential: string | undefined;
	/** Time left until the caller's deadline. */
	remainingMs: Milliseconds | undefined;
	lastEventId: string | undefined;
	prompt: PromptSize | undefined;
	sharedSegments: readonly SegmentId[];
}>;

/** Values that the gateway adds to the headers of a request to an endpoint. */
export type SendHead = Readonly<{
	remainingMs: Milliseconds;
	/** Id of the only endpoint that may run the request; any other refuses it. */
	endpointId: string;
	organisation: string | undefined;
	/** Endpoints that process parts of the prompt. */
	helpers: readonly SendHelper[];
	lastEventId: string | undefined;
	/** Priority by which the endpoint admits the request to its batch; `undefined` if all requests of the service have the same. */
	admissionPriority: number | undefined;
}>;

/** An HTTP request by which the gateway controls or probes an endpoint. */
export type ControlRequest = Readonly<{method: string; target: string; headers: RawHeaders; body: string}>;

/** Encodes and decodes what callers and endpoints exchange with the gateway. */
export type WireFormat = Readonly<{
	/** Lower-case names of the caller's headers that are dropped or replaced in requests to endpoints. */
	excludedRequestHeaders: ReadonlySet<string>;
	parseCallerHead(headers: IncomingHttpHeaders): CallerHead;
	formatSendHead(head: SendHead): RawHeaders;
	parseResponseHead(status: number, headers: IncomingHttpHeaders): EndpointResponseHead;
	/** Returns the request that reserves memory at an endpoint, or renews the reservation. */
	formatReservation(reservation: Reservation): ControlRequest;
	/** Returns the request that releases reserved memory. */
	formatRelease(reservation: Reservation): ControlRequest;
	/** Returns a request that a live endpoint answers immediately with its report. */
	formatProbe(): ControlRequest;
	/** Decodes the response body of a probe; returns `undefined` if it isn't a report. */
	parseReport(body: string): EndpointReport | undefined;
	/** Returns the headers of an error response that the gateway itself generates. */
	formatFailureHead(failure: Failure, requestId: string): RawHeaders;
}>;

/** Identifies a state of the platform's store. */
export type Revision = Readonly<{
	/** Number of times that the store has been restored from a copy, which undoes the changes made since the copy was taken. */
	epoch: number;
	/** Increases with each change. A restored store assigns numbers after the copy's a second time. */
	sequence: number;
}>;

/** An entry of a list that can't be used, and why. */
export type UnusableEntry = Readonly<{name: string; reason: string}>;

/** The items of a list, the entries that name none, and the epoch of the store that it is from. */
export type Listing<Item> = Readonly<{epoch: number; items: readonly Item[]; unusable: readonly UnusableEntry[]}>;

/** The result of a read or a watch of the configuration. */
export type ConfigurationUpdate = Readonly<{
	revision: Revision;
	/** `undefined` if the configuration has not changed since the previous read or watch. */
	configuration: ServingConfiguration | undefined;
	/** Sequence of the revision at which the configuration was written. */
	writtenAtRevision: number | undefined;
	/** The configuration as the platform writes it. */
	source: string | undefined;
}>;

/** A gateway's entry in the registry, by which the others find it. */
export type GatewayRegistration = ExchangeMember & Readonly<{peerUrl: string}>;

/** Access to the platform. Calls reject on a timeout or an invalid response. */
export type PlatformHost = Readonly<{
	/** Decodes a configuration as the platform writes it. Throws if that can't be used. */
	parseConfiguration(source: string): ServingConfiguration;
	readConfiguration(): Promise<ConfigurationUpdate>;
	/** Waits for a change of the configuration after the revision, for `waitMs` at most. */
	watchConfiguration(after: Revision, waitMs: Milliseconds): Promise<ConfigurationUpdate>;
	/** Lists the endpoints at `minimumRevision` or later. Without it, lists the current ones, which costs the store more. */
	listEndpoints(minimumRevision: Revision | undefined): Promise<Listing<ListedEndpoint>>;
	/** Lists the quarantines at `minimumRevision` or later, as `listEndpoints` does. */
	listQuarantines(minimumRevision: Revision | undefined): Promise<Listing<QuarantineRecord>>;
	/** Lists the data centres whose endpoints are to get no requests, at `minimumRevision` or later, as `listEndpoints` does. */
	listEvacuations(minimumRevision: Revision | undefined): Promise<Listing<string>>;
	/** Creates a record of a quarantine, or keeps the existing one of its segment. */
	recordQuarantine(record: QuarantineRecord): Promise<void>;
	removeQuarantine(segment: ServiceSegment): Promise<void>;
	/** Replaces the record of the crashes that a gateway has seen. */
	recordCrashes(gateway: GatewayName, crashes: readonly CrashReport[]): Promise<void>;
	/** Lists the crashes that all gateways have recorded. */
	listCrashes(): Promise<Listing<CrashReport>>;
	listGateways(): Promise<Listing<GatewayRegistration>>;
	/** Returns whether it was recorded that what the store had lost when this epoch began was written again. */
	isEpochSettled(epoch: number): Promise<boolean>;
	recordSettledEpoch(epoch: number): Promise<void>;
	registerGateway(registration: GatewayRegistration): Promise<void>;
	close(): void;
}>;
