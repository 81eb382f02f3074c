/**
The exchange of open work between gateways.

A gateway streams its own work, or also that of others which it knows, to each peer that asks. The stream begins with all
that is open and then carries changes, so that a peer which lost the stream asks again and has the whole picture.
*/
import {create} from '@bufbuild/protobuf';
import {createClient, type ConnectRouter} from '@connectrpc/connect';
import type {ExchangeScope} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName, Work, WorkChange} from '@currantcross/core/gateway/load-view';
import type {Connections} from './connections.js';
import * as wire from './gen/currantcross/v1/gateway_pb.js';

/** Changes to the work of one gateway, in order. */
export type GatewayWork = Readonly<{gateway: GatewayName; changes: readonly WorkChange[]}>;

/** Who asks for a stream, and of whose work it is to tell. */
export type WorkRequest = Readonly<{gateway: GatewayName; scope: ExchangeScope}>;

export type GatewayPeerHost = Readonly<{
	/** Streams batches of changes until the signal aborts. */
	streamWork(request: WorkRequest, signal: AbortSignal): AsyncIterable<readonly GatewayWork[]>;
}>;

function toWireScope(scope: ExchangeScope): wire.Scope {
	switch (scope) {
		case 'own': {
			return wire.Scope.UNSPECIFIED;
		}

		case 'dataCentre': {
			return wire.Scope.DATA_CENTRE;
		}

		case 'all': {
			return wire.Scope.ALL;
		}
	}
}

function fromWireScope(scope: wire.Scope): ExchangeScope {
	switch (scope) {
		case wire.Scope.UNSPECIFIED: {
			return 'own';
		}

		case wire.Scope.DATA_CENTRE: {
			return 'dataCentre';
		}

		case wire.Scope.ALL: {
			return 'all';
		}
	}
}

function formatWork(work: Work): wire.Work {
	return create(wire.WorkSchema, {...work, helpers: work.helpers.map(helper => ({...helper}))});
}

function formatChange(change: WorkChange): wire.WorkChange {
	switch (change.kind) {
		case 'reset': {
			return create(wire.WorkChangeSchema, {change: {case: 'reset', value: create(wire.ResetSchema)}});
		}

		case 'started': {
			return create(wire.WorkChangeSchema, {change: {case: 'started', value: formatWork(change.work)}});
		}

		case 'writing': {
			return create(wire.WorkChangeSchema, {change: {case: 'writing', value: change.id}});
		}

		case 'ended': {
			return create(wire.WorkChangeSchema, {change: {case: 'ended', value: change.id}});
		}
	}
}

function parseChange({change}: wire.WorkChange): WorkChange | undefined {
	switch (change.case) {
		case 'reset': {
			return {kind: 'reset'};
		}

		case 'started': {
			const {id, endpoint, helpers, promptTokens, readMs, longestPauseMs} = change.value;
			return {
				kind: 'started', work: {
					id, endpoint, helpers: helpers.map(helper => ({endpoint: helper.endpoint, reservedTokens: helper.reservedTokens})), promptTokens, readMs, longestPauseMs,
				},
			};
		}

		case 'writing': {
			return {kind: 'writing', id: change.value};
		}

		case 'ended': {
			return {kind: 'ended', id: change.value};
		}

		case undefined: {
			return undefined;
		}
	}
}

/** Adds the service of a gateway to its server. */
export function registerGatewayService(router: ConnectRouter, host: GatewayPeerHost): void {
	router.service(wire.GatewayService, {
		async * watchWork({gateway: asking, scope}, {signal}) {
			for await (const works of host.streamWork({gateway: asking, scope: fromWireScope(scope)}, signal)) {
				yield create(wire.WorkBatchSchema, {
					works: works.map(({gateway, changes}) => create(wire.GatewayWorkSchema, {gateway, changes: changes.map(change => formatChange(change))})),
				});
			}
		},
	});
}

/**
Streams the work of a peer: batches of changes, empty ones as signs of life. The first batch holds all open work.

@throws ConnectError when the stream breaks.
*/
export async function * streamPeerWork(
	connections: Connections,
	peerUrl: string,
	{gateway: asking, scope}: WorkRequest,
	signal: AbortSignal,
): AsyncGenerator<readonly GatewayWork[]> {
	const client = createClient(wire.GatewayService, connections.getTransport(peerUrl, true));
	for await (const {works} of client.watchWork({gateway: asking, scope: toWireScope(scope)}, {signal})) {
		yield works.map(({gateway, changes}) => ({gateway, changes: changes.flatMap(change => parseChange(change) ?? [])}));
	}
}
