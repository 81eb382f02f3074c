/**
RPC service and client by which a gateway passes on what it has read of the platform.

Times are told relative to the request that opened the stream: when the state was current, counted from the arrival of the request. The
subscriber counts the same from the time at which it sent the request, which is earlier. It therefore never takes a state for more
recent than it is, however late a message arrives.
*/
import {create} from '@bufbuild/protobuf';
import {createClient} from '@connectrpc/connect';
import type {ExchangeMember} from '@currantcross/core/gateway/exchange-topology';
import type {ListedEndpoint} from '@currantcross/core/gateway/gateway-types';
import type {QuarantineRecord} from '@currantcross/core/gateway/segment-quarantine';
import type {Milliseconds} from '@currantcross/core/types';
import type {Connections} from './connections.js';
import * as wire from './gen/currantcross/v1/gateway_pb.js';

/** Changes of the list of endpoints since the last state of a stream. */
export type EndpointChanges = Readonly<{changed: readonly ListedEndpoint[]; removed: readonly string[]}>;

/** What a gateway tells of the platform. Parts that have not changed since the last state of the stream are `undefined`. */
export type PlatformState = Readonly<{
	/** When all of it was current, counted from the request that opened the stream. */
	verifiedAfterMs: Milliseconds;
	revision: Readonly<{epoch: number; sequence: number}>;
	/** The configuration as the platform writes it. */
	configuration: Readonly<{source: string; writtenAtRevision: number | undefined}> | undefined;
	/** Defined after each reading of the list, also without changes. */
	endpoints: EndpointChanges | undefined;
	hasEndpointFailure: boolean;
	quarantines: readonly QuarantineRecord[] | undefined;
	/** Data centres whose endpoints are to get no requests. */
	evacuations: readonly string[] | undefined;
	gateways: ReadonlyArray<ExchangeMember & Readonly<{peerUrl: string}>> | undefined;
}>;

/** Converts a state to its wire form. */
export function toWireState({verifiedAfterMs, revision, configuration, endpoints, hasEndpointFailure, quarantines, evacuations, gateways}: PlatformState): wire.PlatformState {
	return create(wire.PlatformStateSchema, {
		verifiedAfterMs,
		epoch: BigInt(revision.epoch),
		sequence: BigInt(revision.sequence),
		...(configuration === undefined ? {} : {configuration: configuration.source}),
		...(configuration?.writtenAtRevision === undefined ? {} : {writtenAtRevision: BigInt(configuration.writtenAtRevision)}),
		...(endpoints === undefined
			? {}
			: {endpoints: create(wire.EndpointChangesSchema, {changed: endpoints.changed.map(({state, ...endpoint}) => ({...endpoint, isDraining: state === 'draining'})), removed: [...endpoints.removed]})}),
		hasEndpointFailure,
		...(quarantines === undefined ? {} : {quarantines: create(wire.QuarantineListSchema, {quarantines: quarantines.map(quarantine => ({...quarantine}))})}),
		...(evacuations === undefined ? {} : {evacuations: create(wire.EvacuationListSchema, {dataCentres: [...evacuations]})}),
		...(gateways === undefined ? {} : {gateways: create(wire.GatewayListSchema, {gateways: gateways.map(gateway => ({...gateway}))})}),
	});
}

function fromWireEndpoint({id, service, address, dataCentre, slots, isDraining, startedAt, coldRemainingMs}: wire.Endpoint): ListedEndpoint {
	return {
		id, service, address, dataCentre, slots, state: isDraining ? 'draining' : 'ready', startedAt, coldRemainingMs,
	};
}

/** Converts a state from its wire form. */
export function fromWireState({verifiedAfterMs, epoch, sequence, configuration, writtenAtRevision, endpoints, hasEndpointFailure, quarantines, evacuations, gateways}: wire.PlatformState): PlatformState {
	return {
		verifiedAfterMs,
		revision: {epoch: Number(epoch), sequence: Number(sequence)},
		configuration: configuration === undefined ? undefined : {source: configuration, writtenAtRevision: writtenAtRevision === undefined ? undefined : Number(writtenAtRevision)},
		endpoints: endpoints === undefined ? undefined : {changed: endpoints.changed.map(endpoint => fromWireEndpoint(endpoint)), removed: endpoints.removed},
		hasEndpointFailure,
		quarantines: quarantines?.quarantines.map(({service, segment, remainingMs, gateway}) => ({
			service, segment, remainingMs, gateway,
		})),
		evacuations: evacuations?.dataCentres,
		gateways: gateways?.gateways.map(({name, dataCentre, processorShare, peerUrl}) => ({
			name, dataCentre, processorShare, peerUrl,
		})),
	};
}

/**
Subscribes to what a peer knows of the platform, and yields its states.

@throws ConnectError when the stream breaks.
*/
export async function * streamPlatformState(connections: Connections, peerUrl: string, gateway: string, signal: AbortSignal): AsyncGenerator<PlatformState> {
	const client = createClient(wire.GatewayService, connections.getTransport(peerUrl, true));
	for await (const state of client.watchPlatform({gateway}, {signal})) {
		yield fromWireState(state);
	}
}
