/**
RPC service and client with which gateways exchange their open requests, and what they learn about servers and prompts.

A gateway streams its own requests, or also those of other gateways it knows, to each peer that subscribes. Each stream
starts with a snapshot of the open requests, followed by changes. A peer whose stream broke subscribes again and gets a
complete snapshot.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {createClient, type ConnectRouter} from '@connectrpc/connect';
import type {ExchangeScope} from '@currantcross/core/gateway/exchange-topology';
import type {GatewayName, OpenWork} from '@currantcross/core/gateway/load-view';
import type {PeerChange} from '@currantcross/core/gateway/peer-changes';
import type {CrashReport} from '@currantcross/core/gateway/segment-suspicion';
import type {Connections} from './connections.js';
import * as wire from './gen/currantcross/v1/gateway_pb.js';
import {toWireState, type PlatformState} from './platform-peers.js';

/** Changes to the requests of one gateway, in order. */
export type GatewayWork = Readonly<{gateway: GatewayName; changes: readonly PeerChange[]}>;

/** The subscribing gateway, and the gateways whose requests the stream covers. */
export type WorkStreamRequest = Readonly<{gateway: GatewayName; scope: ExchangeScope}>;

/** Changes that are sent together, and the number of the subscriber's last query whose changes are complete with them. */
export type WorkBatch = Readonly<{works: readonly GatewayWork[]; answeredQuery: number}>;

/** The numbers of a subscriber's queries, by each of which it asks for all changes up to now. */
export type WorkQueries = AsyncIterable<number>;

/** The operations of a gateway that the service needs. */
export type GatewayServiceHost = Readonly<{
	/**
	Streams batches of changes, starting with a snapshot, until the signal aborts. With `queries`, changes of open work may wait for
	the next query.
	*/
	streamWork(request: WorkStreamRequest, queries: WorkQueries | undefined, signal: AbortSignal): AsyncIterable<WorkBatch>;
	/** Streams what the gateway knows of the platform until the signal aborts. */
	streamState(gateway: GatewayName, signal: AbortSignal): AsyncIterable<PlatformState>;
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

function toWireWork(work: OpenWork): wire.Work {
	return create(wire.WorkSchema, {...work, helpers: work.helpers.map(helper => ({...helper}))});
}

function toWireCrash({suspects, lostPrompts, ...crash}: CrashReport): wire.Crash {
	return create(wire.CrashSchema, {
		...crash,
		suspects: suspects.map(suspect => ({...suspect})),
		lostPrompts: lostPrompts.map(segments => create(wire.LostPromptSchema, {segments: [...segments]})),
	});
}

function toWireChange(change: PeerChange): wire.WorkChange {
	switch (change.kind) {
		case 'reset': {
			return create(wire.WorkChangeSchema, {change: {case: 'reset', value: create(wire.ResetSchema)}});
		}

		case 'started': {
			return create(wire.WorkChangeSchema, {change: {case: 'started', value: toWireWork(change.work)}});
		}

		case 'writing': {
			return create(wire.WorkChangeSchema, {change: {case: 'writing', value: change.id}});
		}

		case 'ended': {
			return create(wire.WorkChangeSchema, {change: {case: 'ended', value: change.id}});
		}

		case 'serverCrashed': {
			return create(wire.WorkChangeSchema, {change: {case: 'crashed', value: toWireCrash(change.crash)}});
		}

		case 'segmentCleared': {
			return create(wire.WorkChangeSchema, {change: {case: 'cleared', value: create(wire.SegmentSchema, change.segment)}});
		}

		case 'segmentTried': {
			return create(wire.WorkChangeSchema, {change: {case: 'tried', value: create(wire.SegmentSchema, change.segment)}});
		}

		case 'limitChanged': {
			const {endpoint, requestsPerSecond} = change;
			return create(wire.WorkChangeSchema, {
				change: {case: 'limited', value: create(wire.LimitSchema, requestsPerSecond === undefined ? {endpoint} : {endpoint, requestsPerSecond})},
			});
		}

		case 'paceObserved': {
			const {endpoint, ratio} = change;
			return create(wire.WorkChangeSchema, {change: {case: 'paced', value: create(wire.PaceObservationSchema, {endpoint, ratio})}});
		}

		case 'endpointUnreachable': {
			return create(wire.WorkChangeSchema, {change: {case: 'unreachable', value: change.endpoint}});
		}

		case 'endpointLeaving': {
			const {endpoint, startedAt} = change;
			return create(wire.WorkChangeSchema, {change: {case: 'leaving', value: create(wire.LeavingSchema, {endpoint, startedAt})}});
		}

		case 'endpointCold': {
			const {endpoint, remainingMs} = change;
			return create(wire.WorkChangeSchema, {change: {case: 'cold', value: create(wire.ColdSchema, {endpoint, remainingMs})}});
		}

		case 'configurationInForce': {
			return create(wire.WorkChangeSchema, {change: {case: 'configured', value: create(wire.ConfigurationSchema, {version: BigInt(change.version)})}});
		}

		case 'segmentQuarantined': {
			return create(wire.WorkChangeSchema, {change: {case: 'quarantined', value: create(wire.QuarantineSchema, change.quarantine)}});
		}
	}
}

/** Returns whether a number that a peer tells can be a length of time or a rate. */
function isAmount(value: number): boolean {
	return Number.isFinite(value) && value >= 0;
}

/** Returns whether a change has numbers that can be used; those that the wire format restricts need no check. */
function isUsable(change: PeerChange): boolean {
	switch (change.kind) {
		case 'started': {
			return isAmount(change.work.readMs) && isAmount(change.work.longestPauseMs) && isAmount(change.work.priority) && isAmount(change.work.serviceMs);
		}

		case 'serverCrashed': {
			return isAmount(change.crash.ageMs);
		}

		case 'limitChanged': {
			return change.requestsPerSecond === undefined || isAmount(change.requestsPerSecond);
		}

		case 'paceObserved': {
			return isAmount(change.ratio) && change.ratio > 0;
		}

		case 'endpointLeaving': {
			return isAmount(change.startedAt);
		}

		case 'endpointCold': {
			return isAmount(change.remainingMs);
		}

		case 'segmentQuarantined': {
			return isAmount(change.quarantine.remainingMs);
		}

		case 'reset':
		case 'writing':
		case 'ended':
		case 'endpointUnreachable':
		case 'configurationInForce':
		case 'segmentCleared':
		case 'segmentTried': {
			return true;
		}
	}
}

/** Converts a change from its wire form; returns `undefined` for an unknown kind or for numbers that can't be used. */
function tryParseChange(wireChange: wire.WorkChange): PeerChange | undefined {
	const change = fromWireChange(wireChange);
	return change !== undefined && isUsable(change) ? change : undefined;
}

function fromWireChange({change}: wire.WorkChange): PeerChange | undefined {
	switch (change.case) {
		case 'reset': {
			return {kind: 'reset'};
		}

		case 'started': {
			const {id, endpoint, helpers, promptTokens, readMs, longestPauseMs, priority, serviceMs} = change.value;
			return {
				kind: 'started', work: {
					id, endpoint, helpers: helpers.map(helper => ({endpoint: helper.endpoint, reservedTokens: helper.reservedTokens})), promptTokens, readMs, longestPauseMs, priority, serviceMs,
				},
			};
		}

		case 'writing': {
			return {kind: 'writing', id: change.value};
		}

		case 'ended': {
			return {kind: 'ended', id: change.value};
		}

		case 'crashed': {
			const {service, endpoint, reporter, requests, completed, suspects, lostPrompts, ageMs} = change.value;
			return {
				kind: 'serverCrashed', crash: {
					service, endpoint, reporter, requests, completed, ageMs,
					suspects: suspects.map(suspect => ({segment: suspect.segment, requests: suspect.requests, completed: suspect.completed})),
					lostPrompts: lostPrompts.map(({segments}) => segments),
				},
			};
		}

		case 'cleared': {
			const {service, segment} = change.value;
			return {kind: 'segmentCleared', segment: {service, segment}};
		}

		case 'tried': {
			const {service, segment} = change.value;
			return {kind: 'segmentTried', segment: {service, segment}};
		}

		case 'limited': {
			const {endpoint, requestsPerSecond} = change.value;
			return {kind: 'limitChanged', endpoint, requestsPerSecond};
		}

		case 'paced': {
			const {endpoint, ratio} = change.value;
			return {kind: 'paceObserved', endpoint, ratio};
		}

		case 'unreachable': {
			return {kind: 'endpointUnreachable', endpoint: change.value};
		}

		case 'leaving': {
			const {endpoint, startedAt} = change.value;
			return {kind: 'endpointLeaving', endpoint, startedAt};
		}

		case 'cold': {
			const {endpoint, remainingMs} = change.value;
			return {kind: 'endpointCold', endpoint, remainingMs};
		}

		case 'configured': {
			return {kind: 'configurationInForce', version: Number(change.value.version)};
		}

		case 'quarantined': {
			const {service, segment, remainingMs} = change.value;
			return {kind: 'segmentQuarantined', quarantine: {service, segment, remainingMs}};
		}

		case undefined: {
			return undefined;
		}
	}
}

function toWireBatch({works, answeredQuery}: WorkBatch): wire.WorkBatch {
	return create(wire.WorkBatchSchema, {
		works: works.map(({gateway, changes}) => create(wire.GatewayWorkSchema, {gateway, changes: changes.map(change => toWireChange(change))})),
		answeredQuery,
	});
}

function fromWireBatch({works, answeredQuery}: wire.WorkBatch): WorkBatch {
	return {works: works.map(({gateway, changes}) => ({gateway, changes: changes.flatMap(change => tryParseChange(change) ?? [])})), answeredQuery};
}

/** Yields the numbers of the queries that follow the first message of a stream. */
async function * streamQueries(messages: AsyncIterator<wire.FollowWorkRequest>): AsyncGenerator<number> {
	for (let result = await messages.next(); result.done !== true; result = await messages.next()) { // eslint-disable-line no-await-in-loop -- one message after the other
		yield result.value.query;
	}
}

/** Registers the gateway service on an RPC server. */
export function registerGatewayService(router: ConnectRouter, host: GatewayServiceHost): void {
	router.service(wire.GatewayService, {
		async * watchWork({gateway: subscriber, scope}, {signal}) {
			for await (const batch of host.streamWork({gateway: subscriber, scope: fromWireScope(scope)}, undefined, signal)) {
				yield toWireBatch(batch);
			}
		},
		async * followWork(requests, {signal}) {
			const messages = requests[Symbol.asyncIterator]();
			const {value: first} = await messages.next() as IteratorResult<wire.FollowWorkRequest, undefined>;
			if (first === undefined) {
				return;
			}

			for await (const batch of host.streamWork({gateway: first.gateway, scope: fromWireScope(first.scope)}, streamQueries(messages), signal)) {
				yield toWireBatch(batch);
			}
		},
		async * watchPlatform({gateway: subscriber}, {signal}) {
			for await (const state of host.streamState(subscriber, signal)) {
				yield toWireState(state);
			}
		},
	});
}

/**
Subscribes to a peer and yields its batches of changes. The first batch is a snapshot; empty batches are heartbeats.
Changes of an unknown kind, or with numbers that can't be used, are ignored. With `queries`, the peer may keep changes of
open work until the next query.

@throws ConnectError when the stream breaks.
*/
export async function * streamPeerWork(
	connections: Connections,
	peerUrl: string,
	{gateway: subscriber, scope}: WorkStreamRequest,
	{queries, signal}: Readonly<{queries: WorkQueries | undefined; signal: AbortSignal}>,
): AsyncGenerator<WorkBatch> {
	const client = createClient(wire.GatewayService, connections.getTransport(peerUrl, true));
	const request = {gateway: subscriber, scope: toWireScope(scope)};
	async function * streamRequests(numbers: WorkQueries): AsyncGenerator<MessageInitShape<typeof wire.FollowWorkRequestSchema>> {
		yield request;
		for await (const query of numbers) {
			yield {query};
		}
	}

	const batches = queries === undefined ? client.watchWork(request, {signal}) : client.followWork(streamRequests(queries), {signal});
	for await (const batch of batches) {
		yield fromWireBatch(batch);
	}
}
