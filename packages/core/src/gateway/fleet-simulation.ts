/**
Simulation of several gateways for the property tests: runs them in virtual time against servers that crash on segments of
prompts or on whole requests, while gateways restart or are cut off from each other or from the store. Records what callers and servers observe.
*/
import TinyQueue from 'tinyqueue';
import {createRandom, type Random} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createFleetServers, type ServerLimit} from './fleet-servers.js';
import {createGateway, type Gateway} from './gateway.js';
import type {GatewayAction, GatewayEvent, SendId} from './gateway-events.js';
import {
	createFixtureGatewayRequest, fixtureConfiguration, fixtureGatewaySettings, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {RequestKey, SegmentId} from './gateway-types.js';
import type {CrashReport, ServiceSegment} from './segment-suspicion.js';

/** Callers send `perSecond` requests whose prompts contain the segment, from `startsAt` on. */
export type CrashSegment = Readonly<{startsAt: Timestamp; perSecond: number}>;

/** Callers send the same request, which crashes servers, `perSecond` times from `startsAt` on. It has a prompt with shared segments, or none. */
export type CrashRequest = Readonly<{startsAt: Timestamp; perSecond: number; hasPrompt: boolean}>;

/** Callers send requests whose prompts have these segments at fixed gateways, as over connections that they keep. */
export type FixedFlow = Readonly<{startsAt: Timestamp; perSecond: number; segments: readonly SegmentId[]; gatewayIndexes: readonly number[]}>;

export type FleetDisruption = Readonly<{
	/** `restoreStore` lets the store go back to what it held `durationMs` before. */
	kind: 'restart' | 'cutFromPeers' | 'cutFromStore' | 'restoreStore';
	at: Timestamp;
	gatewayIndex: number;
	durationMs: Milliseconds;
}>;

export type FleetScenario = Readonly<{
	seed: number;
	gatewayCount: number;
	/** Rate of the requests without crash segments. */
	soundPerSecond: number;
	crashSegments: readonly CrashSegment[];
	crashRequests?: readonly CrashRequest[];
	fixedFlows?: readonly FixedFlow[];
	/** Further segments that crash servers, in prompts of the fixed flows. */
	flowCrashSegments?: readonly SegmentId[];
	/** Servers that are ended from outside. */
	kills?: ReadonlyArray<Readonly<{at: Timestamp; serverIndex: number}>>;
	limits: readonly ServerLimit[];
	disruptions: readonly FleetDisruption[];
	requestsEndAt?: Timestamp;
}>;

/** What the caller and the servers of a request observed. */
export type FleetRequestRecord = {
	readonly sentAt: Timestamp;
	readonly gatewayIndex: number;
	readonly segments: readonly SegmentId[];
	readonly fingerprint: string;
	/** Whether the caller repeats a request that failed. */
	readonly isRepeat: boolean;
	/** When a server received the request. */
	readonly arrivals: Array<Readonly<{at: Timestamp; address: string}>>;
	/** Whether a server began to answer the request. */
	hasBegun: boolean;
	isAnswered: boolean;
	/** Whether the request was refused because it, or a segment of its prompt, is quarantined. */
	isQuarantined: boolean;
};

export type FleetCrash = Readonly<{at: Timestamp; segments: readonly SegmentId[]; fingerprint: string | undefined}>;

/** A response that named a server's limit, and the gateway that received it. */
export type NamedLimit = Readonly<{at: Timestamp; address: string; gatewayIndex: number}>;

export type FleetResult = Readonly<{
	records: readonly FleetRequestRecord[];
	crashes: readonly FleetCrash[];
	crashSegments: readonly SegmentId[];
	crashFingerprints: readonly string[];
	namedLimits: readonly NamedLimit[];
	/** Returns whether a gateway ran and reached the store for the whole window before a time. */
	isInTouch(gatewayIndex: number, at: Timestamp): boolean;
	/** Returns whether a gateway had no disruption in the window before a time. */
	isUndisturbed(gatewayIndex: number, at: Timestamp): boolean;
}>;

/** Time for which a gateway must have run and reached the store before bounds apply to it. */
export const stableWindowMs: Milliseconds = 3000;
/** End of the requests, unless the scenario has another. */
const usualRequestsEndAt: Timestamp = 28_000;
/** Time after that, in which the last requests end. */
const lastRequestsMs: Milliseconds = 4000;
const sharedSegmentCount = 8;
const exchangeDelayMs: Milliseconds = 20;
/** Time after which gateways notice that a stream between them is cut. */
const exchangeTimeoutMs: Milliseconds = 1600;
const storeDelayMs: Milliseconds = 8;
const endpointPollMs: Milliseconds = 500;
const verificationMs: Milliseconds = 1000;
const quarantinePollMs: Milliseconds = 1000;
/** Delay after which a caller repeats a failed request at another gateway. */
const repeatDelayMs: Milliseconds = 300;
const millisecondsPerSecond = 1000;
/** Share of the sound requests that many callers send in the same form. */
const popularShare = 0.3;
const popularRequestCount = 5;

type SimulatedGateway = {
	readonly index: number;
	readonly name: string;
	/** `undefined` while the process is not running. */
	gateway: Gateway | undefined;
	startCount: number;
	isCutFromPeers: boolean;
	isCutFromStore: boolean;
	/** Intervals in which the process did not run or did not reach the store. */
	readonly outages: Array<Readonly<{from: Timestamp; to: Timestamp}>>;
	readonly openRequests: Map<RequestKey, FleetRequestRecord>;
	/** Epoch of the store in the last answer that the gateway has seen. */
	epoch: number;
};

type StoredQuarantines = ReadonlyMap<string, StoredQuarantine>;

type StoredQuarantine = ServiceSegment & Readonly<{gateway: string; endsAt: Timestamp}>;

type Task = Readonly<{at: Timestamp; order: number; run(): void}>;

/** Returns the segments of a prompt: one that all prompts begin with, one that some share, and the crash segment, if any, at any place. */
function drawSegments(random: Random, crashSegment: SegmentId | undefined): readonly SegmentId[] {
	const segments = ['first', `shared-${random.getInteger(sharedSegmentCount)}`, `shared-${random.getInteger(sharedSegmentCount)}`];
	return crashSegment === undefined ? segments : segments.toSpliced(random.getInteger(segments.length + 1), 0, crashSegment);
}

/** Returns random times at a mean rate, in order. */
function drawTimes(random: Random, {startsAt, perSecond}: Readonly<{startsAt: Timestamp; perSecond: number}>, endsAt: Timestamp): readonly Timestamp[] {
	const times: Timestamp[] = [];
	for (let at = startsAt; at < endsAt; at += -Math.log(1 - random.getFraction()) * millisecondsPerSecond / perSecond) {
		times.push(at);
	}

	return times;
}

/** Runs a scenario to its end. */
export function runFleetScenario(scenario: FleetScenario): FleetResult {
	const {requestsEndAt = usualRequestsEndAt} = scenario;
	const simulationEndAt = requestsEndAt + lastRequestsMs;
	const random = createRandom(scenario.seed);
	const tasks = new TinyQueue<Task>([], (left, right) => left.at - right.at || left.order - right.order);
	/** Draws fingerprints. A generator of its own keeps the other draws of a seed as they are. */
	const fingerprintRandom = createRandom(scenario.seed + 1);
	const crashSegments = [...scenario.crashSegments.map((_, index) => `crash-${index}`), ...scenario.flowCrashSegments ?? []];
	const crashFingerprints = (scenario.crashRequests ?? []).map((_, index) => `crash-request-${index}`);
	const records: FleetRequestRecord[] = [];
	const crashes: FleetCrash[] = [];
	const namedLimits: NamedLimit[] = [];
	const gateways: SimulatedGateway[] = Array.from({length: scenario.gatewayCount}, (_, index) => ({
		index, name: `gateway-${index}`, gateway: undefined, startCount: 0, isCutFromPeers: false, isCutFromStore: false, outages: [], openRequests: new Map(), epoch: 0,
	}));
	const storedCrashes = new Map<string, Readonly<{at: Timestamp; crashes: readonly CrashReport[]}>>();
	let storedQuarantines: StoredQuarantines = new Map();
	const storeHistory: Array<Readonly<{at: Timestamp; quarantines: StoredQuarantines}>> = [];
	let epoch = 0;
	let now: Timestamp = 0;
	let taskCount = 0;
	let requestCount = 0;

	function schedule(delayMs: Milliseconds, run: () => void): void {
		taskCount += 1;
		tasks.push({at: now + delayMs, order: taskCount, run});
	}

	const servers = createFleetServers({
		random,
		crashSegments: new Set(crashSegments),
		crashFingerprints: new Set(crashFingerprints),
		limits: scenario.limits,
		getNow: () => now,
		schedule,
		onCrash(segments, fingerprint) {
			crashes.push({at: now, segments, fingerprint});
		},
	});

	/** Returns a send's id that is unique among all gateways. */
	function formatSendId(simulated: SimulatedGateway, sendId: SendId): string {
		return `${simulated.index}.${simulated.startCount}.${sendId}`;
	}

	function dispatch(simulated: SimulatedGateway, event: GatewayEvent): void {
		for (const action of simulated.gateway?.step(event, now) ?? []) {
			perform(simulated, action);
		}
	}

	/** Schedules a task of a gateway process, which is dropped if the process has ended by then. */
	function scheduleFor(simulated: SimulatedGateway, delayMs: Milliseconds, run: () => void): void {
		const {startCount} = simulated;
		schedule(delayMs, () => {
			if (simulated.startCount === startCount && simulated.gateway !== undefined) {
				run();
			}
		});
	}

	function hasPath(left: SimulatedGateway, right: SimulatedGateway): boolean {
		return left !== right && !left.isCutFromPeers && !right.isCutFromPeers && left.gateway !== undefined && right.gateway !== undefined;
	}

	function sendToPeer(from: SimulatedGateway, to: SimulatedGateway, changes: Extract<GatewayEvent, {kind: 'peerChanged'}>['changes']): void {
		scheduleFor(to, exchangeDelayMs, () => {
			dispatch(to, {kind: 'peerChanged', gateway: from.name, changes});
		});
	}

	function sendSnapshot(from: SimulatedGateway, to: SimulatedGateway): void {
		if (hasPath(from, to)) {
			sendToPeer(from, to, [{kind: 'reset'}, ...from.gateway?.getSnapshot(from.name, now) ?? []]);
		}
	}

	function exchangeSnapshots(simulated: SimulatedGateway): void {
		for (const peer of gateways) {
			sendSnapshot(simulated, peer);
			sendSnapshot(peer, simulated);
		}
	}

	function endRequest(simulated: SimulatedGateway, key: RequestKey, isAnswered: boolean): void {
		const record = simulated.openRequests.get(key);
		simulated.openRequests.delete(key);
		if (record === undefined) {
			return;
		}

		record.isAnswered = isAnswered;
		if (!isAnswered && !record.isRepeat) {
			schedule(repeatDelayMs, () => {
				startRequest(record.segments, record.fingerprint, {isRepeat: true});
			});
		}
	}

	function performSend(simulated: SimulatedGateway, action: Extract<GatewayAction, {kind: 'send'}>): void {
		const record = simulated.openRequests.get(action.key);
		if (record === undefined) {
			return;
		}

		const {address} = action.endpoint;
		servers.receive(action.endpoint, {
			id: formatSendId(simulated, action.sendId),
			sendId: action.sendId,
			segments: record.segments,
			fingerprint: record.fingerprint,
			lastEventId: action.lastEventId,
			onArrived() {
				record.arrivals.push({at: now, address});
			},
			onBegun(requestsPerSecond) {
				record.hasBegun = true;
				if (requestsPerSecond !== undefined) {
					namedLimits.push({at: now, address, gatewayIndex: simulated.index});
				}
			},
			dispatch(event) {
				scheduleFor(simulated, 0, () => {
					dispatch(simulated, {kind: 'requestChanged', key: action.key, event});
				});
			},
		});
	}

	function perform(simulated: SimulatedGateway, action: GatewayAction): void {
		switch (action.kind) {
			case 'send': {
				performSend(simulated, action);
				return;
			}

			case 'cancelSend': {
				servers.abort(formatSendId(simulated, action.sendId));
				return;
			}

			case 'probeEndpoint': {
				const {key, endpoint} = action;
				if (servers.isUp(endpoint.id)) {
					scheduleFor(simulated, storeDelayMs, () => {
						dispatch(simulated, {
							kind: 'requestChanged', key, event: {kind: 'probeAnswered', endpoint: endpoint.id, report: {openRequests: 1, usedReservations: new Set(), startedAt: endpoint.startedAt}},
						});
					});
				}

				return;
			}

			case 'endResponse': {
				endRequest(simulated, action.key, true);
				return;
			}

			case 'failRequest': {
				const record = simulated.openRequests.get(action.key);
				if (record !== undefined) {
					record.isQuarantined = action.failure.kind === 'promptQuarantined' || action.failure.kind === 'requestQuarantined';
				}

				endRequest(simulated, action.key, false);
				return;
			}

			case 'breakResponse':
			case 'forgetRequest': {
				endRequest(simulated, action.key, false);
				return;
			}

			case 'checkEndpoint': {
				const {id, startedAt} = action.endpoint;
				const isAlive = servers.isUp(id);
				scheduleFor(simulated, storeDelayMs, () => {
					dispatch(simulated, {kind: 'endpointChecked', endpoint: id, result: {isAlive, startedAt: isAlive ? startedAt : undefined}});
				});
				return;
			}

			case 'recordQuarantine': {
				const {service, segment, remainingMs} = action.quarantine;
				const key = `${service}.${segment}`;
				if (!simulated.isCutFromStore && !storedQuarantines.has(key)) {
					writeStore(new Map([...storedQuarantines, [key, {
						service, segment, gateway: simulated.name, endsAt: now + remainingMs,
					}]]));
				}

				return;
			}

			case 'recordCrashes': {
				if (!simulated.isCutFromStore) {
					storedCrashes.set(simulated.name, {at: now, crashes: action.crashes});
				}

				return;
			}

			case 'removeQuarantine': {
				if (!simulated.isCutFromStore) {
					const key = `${action.segment.service}.${action.segment.segment}`;
					writeStore(new Map([...storedQuarantines].filter(([other]) => other !== key)));
				}

				return;
			}

			case 'reportQuarantine':
			case 'reportLimit':
			case 'reportEvacuations':
			case 'reportColdEndpoint':
			case 'reportTiming':
			case 'reserveMemory':
			case 'releaseMemory':
			case 'startResponse':
			case 'writeResponse':
			case 'readConfiguration':
			case 'reportEndpoint':
			case 'reportDecision': {
				return;
			}

			case 'publishChange': {
				for (const peer of gateways) {
					if (hasPath(simulated, peer)) {
						sendToPeer(simulated, peer, [action.change]);
					}
				}
			}
		}
	}

	function startRequest(segments: readonly SegmentId[], fingerprint: string, {isRepeat, gatewayIndexes}: Readonly<{isRepeat: boolean; gatewayIndexes?: readonly number[]}>): void {
		const running = gateways.filter(({gateway, index}) => gateway !== undefined && (gatewayIndexes?.includes(index) ?? true));
		const simulated = running[random.getInteger(Math.max(1, running.length))];
		if (simulated === undefined) {
			return;
		}

		requestCount += 1;
		const record: FleetRequestRecord = {
			sentAt: now, gatewayIndex: simulated.index, segments, fingerprint, isRepeat, arrivals: [], hasBegun: false, isAnswered: false, isQuarantined: false,
		};
		records.push(record);
		simulated.openRequests.set(requestCount, record);
		dispatch(simulated, {
			kind: 'requestArrived', request: createFixtureGatewayRequest(fixtureStreamRoute, {
				key: requestCount, arrivedAt: now, sharedSegments: segments, fingerprint,
			}),
		});
	}

	function writeStore(quarantines: StoredQuarantines): void {
		storedQuarantines = quarantines;
		storeHistory.push({at: now, quarantines});
	}

	/** Tells a gateway of a restore, which it sees by the epoch of the store's answer. */
	function checkEpoch(simulated: SimulatedGateway): void {
		if (simulated.epoch < epoch) {
			simulated.epoch = epoch;
			dispatch(simulated, {kind: 'storeRestored'});
		}
	}

	function keepListing(simulated: SimulatedGateway): void {
		if (simulated.isCutFromStore) {
			dispatch(simulated, {kind: 'endpointListFailed'});
		} else {
			checkEpoch(simulated);
			dispatch(simulated, {kind: 'endpointsListed', endpoints: servers.getListed()});
		}

		scheduleFor(simulated, endpointPollMs, () => {
			keepListing(simulated);
		});
	}

	function keepListingQuarantines(simulated: SimulatedGateway): void {
		if (!simulated.isCutFromStore) {
			checkEpoch(simulated);
			dispatch(simulated, {
				kind: 'quarantinesListed', records: [...storedQuarantines.values()].map(({endsAt, ...quarantine}) => ({...quarantine, remainingMs: endsAt - now})),
			});
		}

		scheduleFor(simulated, quarantinePollMs, () => {
			keepListingQuarantines(simulated);
		});
	}

	/** Reads the recorded crashes once, as soon as the gateway reaches the store. */
	function readCrashes(simulated: SimulatedGateway): void {
		if (!simulated.isCutFromStore) {
			const crashes = [...storedCrashes.values()].flatMap(stored => stored.crashes.map(crash => ({...crash, ageMs: crash.ageMs + now - stored.at})));
			dispatch(simulated, {kind: 'crashesListed', crashes});
			return;
		}

		scheduleFor(simulated, endpointPollMs, () => {
			readCrashes(simulated);
		});
	}

	function keepVerifying(simulated: SimulatedGateway): void {
		if (!simulated.isCutFromStore) {
			dispatch(simulated, {kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: now});
		}

		scheduleFor(simulated, verificationMs, () => {
			keepVerifying(simulated);
		});
	}

	function startGateway(simulated: SimulatedGateway): void {
		simulated.startCount += 1;
		simulated.epoch = epoch;
		simulated.gateway = createGateway({...fixtureGatewaySettings, name: simulated.name, incarnation: `life-${simulated.startCount}`});
		dispatch(simulated, {kind: 'gatewayCountKnown', count: gateways.length});
		keepVerifying(simulated);
		keepListing(simulated);
		keepListingQuarantines(simulated);
		readCrashes(simulated);
		exchangeSnapshots(simulated);
	}

	function resetPeers(simulated: SimulatedGateway): void {
		for (const peer of gateways) {
			if (peer !== simulated) {
				sendToPeer(simulated, peer, [{kind: 'reset'}]);
				sendToPeer(peer, simulated, [{kind: 'reset'}]);
			}
		}
	}

	function applyDisruption({kind, gatewayIndex, durationMs}: FleetDisruption): void {
		if (kind === 'restoreStore') {
			epoch += 1;
			writeStore(storeHistory.findLast(({at}) => at <= now - durationMs)?.quarantines ?? new Map());
			return;
		}

		const simulated = gateways[gatewayIndex % gateways.length];
		if (simulated?.gateway === undefined) {
			return;
		}

		switch (kind) {
			case 'restart': {
				simulated.outages.push({from: now, to: now + durationMs});
				simulated.gateway = undefined;
				for (const key of simulated.openRequests.keys()) {
					endRequest(simulated, key, false);
				}

				resetPeers(simulated);
				schedule(durationMs, () => {
					startGateway(simulated);
				});
				return;
			}

			case 'cutFromPeers': {
				simulated.isCutFromPeers = true;
				scheduleFor(simulated, exchangeTimeoutMs, () => {
					resetPeers(simulated);
				});
				schedule(Math.max(durationMs, exchangeTimeoutMs + exchangeDelayMs), () => {
					simulated.isCutFromPeers = false;
					exchangeSnapshots(simulated);
				});
				return;
			}

			case 'cutFromStore': {
				simulated.outages.push({from: now, to: now + durationMs});
				simulated.isCutFromStore = true;
				schedule(durationMs, () => {
					simulated.isCutFromStore = false;
				});
			}
		}
	}

	function drawFingerprint(): string {
		return fingerprintRandom.getFraction() < popularShare
			? `popular-${fingerprintRandom.getInteger(popularRequestCount)}`
			: `unique-${requestCount}`;
	}

	function scheduleCrashRequests({startsAt, perSecond, hasPrompt}: CrashRequest, fingerprint: string): void {
		const segments = hasPrompt ? drawSegments(fingerprintRandom, undefined) : [];
		for (const at of drawTimes(fingerprintRandom, {startsAt, perSecond}, requestsEndAt)) {
			schedule(at, () => {
				startRequest(segments, fingerprint, {isRepeat: false});
			});
		}
	}

	function startUniqueRequest({segments, gatewayIndexes}: FixedFlow): void {
		startRequest(segments, `unique-${requestCount}`, {isRepeat: false, gatewayIndexes});
	}

	function scheduleFixedFlow(flow: FixedFlow): void {
		for (const at of drawTimes(fingerprintRandom, flow, requestsEndAt)) {
			schedule(at, () => {
				startUniqueRequest(flow);
			});
		}
	}

	function scheduleRequests(times: readonly Timestamp[], crashSegment: SegmentId | undefined): void {
		for (const at of times) {
			schedule(at, () => {
				startRequest(drawSegments(random, crashSegment), drawFingerprint(), {isRepeat: false});
			});
		}
	}

	for (const simulated of gateways) {
		startGateway(simulated);
	}

	scheduleRequests(drawTimes(random, {startsAt: 0, perSecond: scenario.soundPerSecond}, requestsEndAt), undefined);
	for (const [index, {startsAt, perSecond}] of scenario.crashSegments.entries()) {
		scheduleRequests(drawTimes(random, {startsAt, perSecond}, requestsEndAt), crashSegments[index]);
	}

	for (const [index, crashRequest] of (scenario.crashRequests ?? []).entries()) {
		scheduleCrashRequests(crashRequest, crashFingerprints[index] ?? '');
	}

	for (const flow of scenario.fixedFlows ?? []) {
		scheduleFixedFlow(flow);
	}

	for (const {at, serverIndex} of scenario.kills ?? []) {
		schedule(at, () => {
			servers.kill(serverIndex);
		});
	}

	for (const disruption of scenario.disruptions) {
		schedule(disruption.at, () => {
			applyDisruption(disruption);
		});
	}

	while (now < simulationEndAt) {
		const taskAt = tasks.peek()?.at ?? Number.POSITIVE_INFINITY;
		const wakeTimes = gateways.map(({gateway}) => gateway?.tryGetWakeAt() ?? Number.POSITIVE_INFINITY);
		const wakeAt = Math.min(...wakeTimes);
		now = Math.max(now, Math.min(taskAt, wakeAt, simulationEndAt));
		if (taskAt <= wakeAt) {
			tasks.pop()?.run();
		} else {
			for (const [index, simulated] of gateways.entries()) {
				if ((wakeTimes[index] ?? 0) <= now) {
					dispatch(simulated, {kind: 'timePassed'});
				}
			}
		}
	}

	return {
		records,
		crashes,
		crashSegments,
		crashFingerprints,
		namedLimits,
		isUndisturbed: (gatewayIndex, at) => !scenario.disruptions.some(disruption => disruption.gatewayIndex % gateways.length === gatewayIndex
			&& disruption.at <= at && disruption.at + disruption.durationMs >= at - stableWindowMs),
		isInTouch: (gatewayIndex, at) => !(gateways[gatewayIndex]?.outages ?? []).some(({from, to}) => from <= at && to >= at - stableWindowMs),
	};
}
