/**
Simulation of gateways that compete for the same model servers, for the tests of urgency. Servers prefill one part after
the other; each prefill pauses the streams that decode there.
*/
import {Buffer} from 'node:buffer';
import TinyQueue from 'tinyqueue';
import {createRandom} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {getPrefillMs} from './engine-timing.js';
import {createGateway} from './gateway.js';
import type {GatewayAction, GatewayEvent, RequestEvent} from './gateway-events.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, createFixtureHead, fixtureConfiguration, fixtureEngine, fixtureGatewaySettings,
} from './gateway-fixtures.js';
import type {GatewayRequest, RequestKey, ServedRoute} from './gateway-types.js';
import type {PeerChange} from './peer-changes.js';

/** Requests of a route with a fixed prompt length at a mean rate, and what became of them. */
export type Flow = {readonly route: ServedRoute; readonly organisation?: string; readonly perSecond: number; readonly promptTokens: number; total: number; answered: number; onTime: number};

export type UrgencyScenario = Readonly<{
	seed: number;
	gatewayCount: number;
	serverCount: number;
	/** Delay of the exchange between gateways. */
	exchangeDelayMs: Milliseconds;
	/** Whether every other gateway hears nothing of those between them. */
	isSplit: boolean;
}>;

type Stream = {readonly longestPauseMs: Milliseconds; isLate: boolean};
type Server = {busyUntil: Timestamp; readonly streams: Set<Stream>};
type OpenRequest = {readonly request: GatewayRequest; readonly flow: Flow; stream: Stream | undefined};

const arrivalsStartAt: Timestamp = 100;
const arrivalsEndAt: Timestamp = 20_000;
const endAt: Timestamp = 40_000;
const decodeMs: Milliseconds = 1200;
const eventCount = 6;
const reservationMs: Milliseconds = 5;
const timerMs: Milliseconds = 20;
const verificationMs: Milliseconds = 1000;
const millisecondsPerSecond = 1000;

/** Runs a scenario in virtual time and counts the requests in their flows. */
export function runUrgencyScenario({seed, gatewayCount, serverCount, exchangeDelayMs, isSplit}: UrgencyScenario, flows: readonly Flow[]): void {
	const random = createRandom(seed);
	const tasks = new TinyQueue<Readonly<{at: Timestamp; order: number; run(): void}>>([], (left, right) => (left.at - right.at) || (left.order - right.order));
	const endpoints = createFixtureEndpoints('models', serverCount);
	const servers = new Map(endpoints.map(({address}): [string, Server] => [address, {busyUntil: 0, streams: new Set()}]));
	const configuration = {...fixtureConfiguration, routes: flows.map(({route}) => route)};
	const usedReservations = new Set<string>();
	const gateways = Array.from({length: gatewayCount}, (_, index) => createGateway({...fixtureGatewaySettings, name: `gateway-${index}`, isUrgencyAware: true}));
	const openRequests = new Map<RequestKey, OpenRequest>();
	let now: Timestamp = 0;
	let taskCount = 0;

	function schedule(delayMs: Milliseconds, run: () => void): void {
		taskCount += 1;
		tasks.push({at: now + delayMs, order: taskCount, run});
	}

	function dispatch(index: number, event: GatewayEvent): void {
		for (const action of gateways[index]?.step(event, now) ?? []) {
			perform(index, action);
		}
	}

	function scheduleEvent(index: number, delayMs: Milliseconds, key: RequestKey, event: RequestEvent): void {
		schedule(delayMs, () => {
			dispatch(index, {kind: 'requestChanged', key, event});
		});
	}

	/** Adds a prefill to a server, and returns when it is complete. */
	function addPrefill(server: Server, prefillMs: Milliseconds): Timestamp {
		server.busyUntil = Math.max(server.busyUntil, now) + prefillMs;
		for (const stream of server.streams) {
			stream.isLate ||= server.busyUntil - now > stream.longestPauseMs;
		}

		return server.busyUntil;
	}

	function performSend(index: number, {key, sendId, endpoint, helpers, lastEventId}: Extract<GatewayAction, {kind: 'send'}>): void {
		const openRequest = openRequests.get(key);
		if (openRequest === undefined) {
			return;
		}

		const {request, flow} = openRequest;
		const prefillMs = getPrefillMs(fixtureEngine, flow.promptTokens) / (helpers.length + 1);
		const readyAt = Math.max(...[endpoint, ...helpers].flatMap(({address}) => servers.get(address) ?? []).map(server => addPrefill(server, prefillMs)));
		const streams = servers.get(endpoint.address)?.streams;
		const stream: Stream = {longestPauseMs: flow.route.longestPauseMs, isLate: readyAt > request.arrivedAt + flow.route.objectiveMs};
		openRequest.stream = stream;
		schedule(readyAt - now, () => {
			streams?.add(stream);
		});
		scheduleEvent(index, readyAt - now, key, {kind: 'responseStarted', sendId, head: createFixtureHead({requestId: request.requestId})});
		for (let count = 1; count <= eventCount; count += 1) {
			const bytes = Buffer.from(`id: ${Number(lastEventId ?? 0) + count}\ndata: x\n\n`);
			scheduleEvent(index, readyAt - now + (decodeMs * (count - 1) / eventCount), key, {kind: 'responseBytes', sendId, bytes});
		}

		schedule(readyAt - now + decodeMs, () => {
			streams?.delete(stream);
		});
		scheduleEvent(index, readyAt - now + decodeMs, key, {kind: 'responseEnded', sendId});
	}

	function publishChange(index: number, change: PeerChange): void {
		for (const peer of [...gateways.keys()].filter(other => other !== index && !(isSplit && (other - index) % 2 !== 0))) {
			schedule(exchangeDelayMs, () => {
				dispatch(peer, {kind: 'peerChanged', gateway: `gateway-${index}`, changes: [change]});
			});
		}
	}

	function perform(index: number, action: GatewayAction): void {
		if (action.kind === 'send') {
			performSend(index, action);
		}

		if (action.kind === 'publishChange') {
			publishChange(index, action.change);
		}

		if (action.kind === 'reserveMemory') {
			usedReservations.add(action.reservation.id);
			scheduleEvent(index, reservationMs, action.key, {kind: 'memoryAnswered', reservationId: action.reservation.id, isHeld: true});
		}

		if (action.kind === 'probeEndpoint') {
			scheduleEvent(index, 0, action.key, {kind: 'probeAnswered', endpoint: action.endpoint.id, report: {openRequests: 1, usedReservations, startedAt: 1}});
		}

		const openRequest = action.kind === 'endResponse' ? openRequests.get(action.key) : undefined;
		if (openRequest !== undefined) {
			openRequest.flow.answered += 1;
			openRequest.flow.onTime += openRequest.stream?.isLate === false ? 1 : 0;
		}
	}

	function startRequest(flow: Flow, key: RequestKey): void {
		const request = createFixtureGatewayRequest(flow.route, {
			key, requestId: `r-${key}`, arrivedAt: now, organisation: flow.organisation ?? 'club', prompt: {promptTokens: flow.promptTokens, maximumTokens: 1000},
		});
		flow.total += 1;
		openRequests.set(key, {request, flow, stream: undefined});
		dispatch(random.getInteger(gatewayCount), {kind: 'requestArrived', request});
	}

	function handleTimer(): void {
		for (const index of gateways.keys()) {
			if (now % verificationMs === 0) {
				dispatch(index, {kind: 'configurationVerified', configuration, verifiedAt: now});
				dispatch(index, {kind: 'endpointsListed', endpoints});
			}

			dispatch(index, {kind: 'timePassed'});
		}

		schedule(timerMs, handleTimer);
	}

	for (const flow of flows) {
		for (let at = arrivalsStartAt; at < arrivalsEndAt; at += -Math.log(1 - random.getFraction()) * millisecondsPerSecond / flow.perSecond) {
			const key = taskCount;
			schedule(at, () => {
				startRequest(flow, key);
			});
		}
	}

	schedule(0, handleTimer);
	for (let task = tasks.pop(); task !== undefined && task.at < endAt; task = tasks.pop()) {
		now = task.at;
		task.run();
	}
}
