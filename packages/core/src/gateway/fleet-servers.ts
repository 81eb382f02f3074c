/**
Simulated model servers for the property tests of several gateways. A server crashes when it begins to answer a request whose
prompt contains a crash segment, or which crashes servers as a whole; it loses its open requests, and starts again under another id after some seconds. A server may
name a limit in its responses for some time.
*/
import {Buffer} from 'node:buffer';
import type {Random} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {getStreamEvent, streamEventCount} from './endpoint-behaviour.js';
import {createFixtureEndpoints, createFixtureHead} from './gateway-fixtures.js';
import type {RequestEvent, SendId} from './gateway-events.js';
import type {EndpointId, ListedEndpoint, SegmentId} from './gateway-types.js';

/** A request as a server receives it. `dispatch` passes an event to the gateway that sent it. */
export type ReceivedRequest = Readonly<{
	/** Id of the send that is unique among all gateways. */
	id: string;
	sendId: SendId;
	segments: readonly SegmentId[];
	fingerprint: string;
	lastEventId: string | undefined;
	onArrived(): void;
	/** Called when the server begins to answer, with the limit that it names. */
	onBegun(requestsPerSecond: number | undefined): void;
	dispatch(event: RequestEvent): void;
}>;

/** A limit in requests a second that a server names in its responses from `startsAt` to `endsAt`. */
export type ServerLimit = Readonly<{serverIndex: number; perSecond: number; startsAt: Timestamp; endsAt: Timestamp}>;

export type FleetServersHost = Readonly<{
	random: Random;
	crashSegments: ReadonlySet<SegmentId>;
	/** Fingerprints of the requests that crash servers as a whole. */
	crashFingerprints: ReadonlySet<string>;
	limits: readonly ServerLimit[];
	getNow(): Timestamp;
	schedule(delayMs: Milliseconds, run: () => void): void;
	/** Called when a server crashes, with the crash segments and the fingerprints of the request that it ran. */
	onCrash(segments: readonly SegmentId[], fingerprint: string | undefined): void;
}>;

export type FleetServers = Readonly<{
	/** Returns the endpoints that the platform lists; crashed ones are listed until their entries expire. */
	getListed(): readonly ListedEndpoint[];
	isUp(endpoint: EndpointId): boolean;
	/** Ends a server from outside; it loses its open requests and starts again as after a crash. */
	kill(serverIndex: number): void;
	receive(endpoint: ListedEndpoint, request: ReceivedRequest): void;
	/** Ends a request whose connection the gateway has closed. */
	abort(id: string): void;
}>;

type OpenRequest = {readonly request: ReceivedRequest; hasHead: boolean};

type SimulatedServer = {
	readonly listed: ListedEndpoint;
	/** Whether its responses are delimited by connection close, so that those cut off by a crash end without an error. */
	readonly isUndelimited: boolean;
	readonly openRequests: Map<string, OpenRequest>;
	isUp: boolean;
};

const serverCount = 12;
const networkDelayMs: Milliseconds = 2;
const minimumQueueMs: Milliseconds = 40;
const queueRangeMs = 200;
const eventPauseMs: Milliseconds = 60;
/** Time from the first token of a crashing request until the server ends. */
const crashDelayMs: Milliseconds = 70;
/** Time after a crash until the entry of the server expires. */
const expiryMs: Milliseconds = 3000;
const minimumRestartMs: Milliseconds = 3000;
const restartRangeMs = 2000;
/** Number of bytes of the event that a crash cuts off. */
const partialEventBytes = 7;

/** Creates servers, all of which are up. */
export function createFleetServers(host: FleetServersHost): FleetServers {
	const servers = new Map<EndpointId, SimulatedServer>();
	const initialEndpoints = createFixtureEndpoints('models', serverCount);
	const addresses = initialEndpoints.map(({address}) => address);
	let startCount = 0;

	function findLimit(address: string): number | undefined {
		const now = host.getNow();
		return host.limits.find(({serverIndex, startsAt, endsAt}) => addresses[serverIndex % serverCount] === address && now >= startsAt && now < endsAt)?.perSecond;
	}

	function start(listed: ListedEndpoint, isUndelimited: boolean): void {
		servers.set(listed.id, {
			listed, isUndelimited, openRequests: new Map(), isUp: true,
		});
	}

	function endRequest(server: SimulatedServer, {request, hasHead}: OpenRequest): void {
		const {sendId} = request;
		if (server.isUndelimited && hasHead) {
			request.dispatch({kind: 'responseBytes', sendId, bytes: Buffer.from(getStreamEvent(streamEventCount).slice(0, partialEventBytes))});
			request.dispatch({kind: 'responseEnded', sendId});
			return;
		}

		request.dispatch({
			kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
		});
	}

	function breakServer(server: SimulatedServer, segments: readonly SegmentId[], fingerprint: string | undefined): void {
		if (!server.isUp) {
			return;
		}

		server.isUp = false;
		host.onCrash(segments, fingerprint);
		const openRequests = [...server.openRequests.values()];
		server.openRequests.clear();
		host.schedule(networkDelayMs, () => {
			for (const openRequest of openRequests) {
				endRequest(server, openRequest);
			}
		});
		host.schedule(expiryMs, () => {
			servers.delete(server.listed.id);
		});
		host.schedule(minimumRestartMs + host.random.getInteger(restartRangeMs), () => {
			startCount += 1;
			start({...server.listed, id: `${server.listed.address}-${startCount}`, startedAt: host.getNow()}, server.isUndelimited);
		});
	}

	/** Sends the remaining events of a stream, one after the other, as long as the request is open. */
	function streamEvents(server: SimulatedServer, openRequest: OpenRequest, number: number): void {
		const {request} = openRequest;
		const {sendId} = request;
		if (!server.openRequests.has(request.id)) {
			return;
		}

		if (number > streamEventCount) {
			server.openRequests.delete(request.id);
			request.dispatch({kind: 'responseEnded', sendId});
			return;
		}

		request.dispatch({kind: 'responseBytes', sendId, bytes: Buffer.from(getStreamEvent(number))});
		host.schedule(eventPauseMs, () => {
			streamEvents(server, openRequest, number + 1);
		});
	}

	function startAnswer(server: SimulatedServer, openRequest: OpenRequest): void {
		const {request} = openRequest;
		if (!server.openRequests.has(request.id)) {
			return;
		}

		const requestsPerSecond = findLimit(server.listed.address);
		request.onBegun(requestsPerSecond);
		openRequest.hasHead = true;
		request.dispatch({kind: 'responseStarted', sendId: request.sendId, head: createFixtureHead({isUndelimited: server.isUndelimited, requestsPerSecond})});
		const segments = request.segments.filter(segment => host.crashSegments.has(segment));
		const fingerprint = host.crashFingerprints.has(request.fingerprint) ? request.fingerprint : undefined;
		if (segments.length > 0 || fingerprint !== undefined) {
			host.schedule(crashDelayMs, () => {
				breakServer(server, segments, fingerprint);
			});
			return;
		}

		streamEvents(server, openRequest, Number(request.lastEventId ?? '0') + 1);
	}

	function admitRequest(endpoint: ListedEndpoint, request: ReceivedRequest): void {
		const server = servers.get(endpoint.id);
		if (server?.isUp !== true) {
			request.dispatch({
				kind: 'sendFailed', sendId: request.sendId, wasSent: false, detail: 'ECONNREFUSED',
			});
			return;
		}

		request.onArrived();
		const openRequest = {request, hasHead: false};
		server.openRequests.set(request.id, openRequest);
		host.schedule(minimumQueueMs + host.random.getInteger(queueRangeMs), () => {
			startAnswer(server, openRequest);
		});
	}

	for (const [index, listed] of initialEndpoints.entries()) {
		start(listed, index % 3 === 0);
	}

	return {
		getListed: () => [...servers.values()].map(({listed}) => listed),
		kill(serverIndex) {
			const up = [...servers.values()].filter(({isUp}) => isUp);
			const server = up[serverIndex % Math.max(1, up.length)];
			if (server !== undefined) {
				breakServer(server, [], undefined);
			}
		},
		isUp: endpoint => servers.get(endpoint)?.isUp ?? false,
		receive(endpoint, request) {
			host.schedule(networkDelayMs, () => {
				admitRequest(endpoint, request);
			});
		},
		abort(id) {
			for (const {openRequests} of servers.values()) {
				openRequests.delete(id);
			}
		},
	};
}
