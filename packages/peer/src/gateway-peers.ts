/**
The exchange of open work between gateways.

A gateway streams its work to each peer that asks. The stream begins with all that is open and then carries changes, so
that a peer which lost the stream asks again and has the whole picture.
*/
import {create} from '@bufbuild/protobuf';
import {createClient, type ConnectRouter} from '@connectrpc/connect';
import type {Work, WorkChange} from '@currantcross/core/gateway/load-view';
import type {Connections} from './connections.js';
import * as wire from './gen/currantcross/v1/gateway_pb.js';

export type GatewayPeerHost = Readonly<{
	/** Streams batches of changes until the signal aborts. */
	streamWork(signal: AbortSignal): AsyncIterable<readonly WorkChange[]>;
}>;

function formatWork(work: Work): wire.Work {
	return create(wire.WorkSchema, {...work, helpers: work.helpers.map(helper => ({...helper}))});
}

function formatChange(change: WorkChange): wire.WorkChange {
	switch (change.kind) {
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
		async * watchWork(_request, {signal}) {
			for await (const changes of host.streamWork(signal)) {
				yield create(wire.WorkBatchSchema, {changes: changes.map(change => formatChange(change))});
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
	gateway: string,
	signal: AbortSignal,
): AsyncGenerator<readonly WorkChange[]> {
	const client = createClient(wire.GatewayService, connections.getTransport(peerUrl, true));
	for await (const {changes} of client.watchWork({gateway}, {signal})) {
		yield changes.flatMap(change => parseChange(change) ?? []);
	}
}
