/**
Simulation for the property tests: runs a gateway in virtual time against faulty endpoints, and records what callers and
endpoints observe.
*/
import {Buffer} from 'node:buffer';
import TinyQueue from 'tinyqueue';
import type {Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createGateway} from './gateway.js';
import {
	getBehaviourSteps, isRequestRun, type BehaviourStep, type EndpointBehaviour, type ReceivedSend,
} from './endpoint-behaviour.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureNonIdempotentRoute, fixtureConfiguration, fixtureGatewaySettings,
	fixtureIdempotentRoute, fixtureLongStreamRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {
	EndpointId, EndpointReport, GatewayRequest, ListedEndpoint, RequestKey, ServedRoute,
} from './gateway-types.js';
import type {Reservation, ReservationId} from './memory-reservation.js';
import type {GatewayAction, RequestEvent, SendId} from './gateway-events.js';

/** A request that a simulated caller makes. */
export type ScriptedGatewayRequest = Readonly<{
	at: Timestamp;
	kind: 'stream' | 'nonResumableStream' | 'longStream' | 'nonResumableLongStream' | 'nonIdempotent' | 'idempotent';
	promptTokens: number;
	/** Time from arrival to the caller's deadline. */
	callerTimeoutMs: Milliseconds;
	/** Time from arrival until the caller disconnects, or `undefined` if it doesn't. */
	disconnectsAfterMs: Milliseconds | undefined;
	/** Whether its caller gives it no id; absent if it does. */
	isAnonymous?: boolean;
	/** How its caller fails to read the response to each send; absent if it reads all at once. */
	pause?: ReaderPause;
}>;

/** A caller reads nothing for a time once it has received some events, and the gateway doesn't read on meanwhile. */
export type ReaderPause = Readonly<{
	afterEvents: number;
	pausedMs: Milliseconds;
	/** Whether the endpoint cuts off what isn't read for `cutOffMs`. */
	isCutOff: boolean;
}>;

export type ScriptedChange
	= | Readonly<{kind: 'drain'; at: Timestamp; index: number}>
		| Readonly<{kind: 'remove'; at: Timestamp; index: number}>
		| Readonly<{kind: 'revokeKey'; at: Timestamp}>
	/** From then on the configuration is no longer verified. */
		| Readonly<{kind: 'loseVerification'; at: Timestamp}>;

export type GatewayScenario = Readonly<{
	requests: readonly ScriptedGatewayRequest[];
	/** Behaviours of the endpoints for consecutive sends, repeated cyclically. */
	behaviours: readonly EndpointBehaviour[];
	/** Whether consecutive reservations are granted, repeated cyclically; `undefined` means no response. */
	grants: ReadonlyArray<boolean | undefined>;
	changes: readonly ScriptedChange[];
}>;

export type FinalOutcome
	= | Readonly<{kind: 'answered'; status: number}>
		| Readonly<{kind: 'failed'; failure: Failure}>
		| Readonly<{kind: 'broken'}>
		| Readonly<{kind: 'forgotten'}>;

/** What the caller and the endpoints of a request observed. */
export type RequestRecord = {
	readonly request: GatewayRequest;
	/** Body of the response as received by the caller. */
	text: string;
	status: number | undefined;
	readonly finalOutcomes: Array<Readonly<{outcome: FinalOutcome; at: Timestamp}>>;
	readonly runs: Array<Readonly<{endpoint: EndpointId; at: Timestamp}>>;
	readonly sends: Array<Readonly<{endpoint: EndpointId; at: Timestamp; remainingMs: Milliseconds; hasArrived: boolean}>>;
	/** Sends that endpoints are still processing. */
	readonly openSends: Set<SendId>;
	disconnectedAt: Timestamp | undefined;
};

export type GatewayScenarioResult = Readonly<{
	records: readonly RequestRecord[];
	/** Reservations that are still held at the end. */
	heldReservations: ReadonlySet<ReservationId>;
	/** Reservations that were requested again after their release. */
	reservationsAfterRelease: readonly ReservationId[];
	/** Longest time for which a reservation was held before a request used it, or until its release if none did. */
	longestUnusedMs: Milliseconds;
	/** Ids of the requests that the other gateways still consider open at the end. */
	openWorkIds: ReadonlySet<number>;
	/** When each endpoint was first drained or removed. */
	drainedAt: ReadonlyMap<EndpointId, Timestamp>;
	revokedAt: Timestamp;
	verificationLostAt: Timestamp;
}>;

/** Fixed part of the retry limit; small, so that the limit takes effect. */
export const simulatedFixedSends = 1;
/** Time after which endpoints that do so cut off a response that isn't read. */
export const cutOffMs: Milliseconds = 2000;
const verificationIntervalMs: Milliseconds = 1000;
/** End of the simulation, long after the deadline of the last request. */
const simulationEndMs: Milliseconds = 40_000;

function getRoute(kind: ScriptedGatewayRequest['kind']): ServedRoute {
	switch (kind) {
		case 'stream': {
			return fixtureStreamRoute;
		}

		case 'nonResumableStream': {
			return {...fixtureStreamRoute, name: 'plain', isResumable: false};
		}

		case 'longStream': {
			return fixtureLongStreamRoute;
		}

		case 'nonResumableLongStream': {
			return {...fixtureLongStreamRoute, name: 'plainArchive', isResumable: false};
		}

		case 'nonIdempotent': {
			// A route may allow several endpoints, but a request that isn't repeatable still runs once.
			return {...fixtureNonIdempotentRoute, maximumEndpoints: 2};
		}

		case 'idempotent': {
			return fixtureIdempotentRoute;
		}
	}
}

function createRequest(scripted: ScriptedGatewayRequest, key: RequestKey): GatewayRequest {
	const route = getRoute(scripted.kind);
	return createFixtureGatewayRequest(route, {
		key,
		requestId: scripted.isAnonymous === true ? '' : `r-${key}`,
		arrivedAt: scripted.at,
		deadlineAt: scripted.at + Math.min(route.timeoutMs, scripted.callerTimeoutMs),
		prompt: route.kind === 'streaming' ? {promptTokens: scripted.promptTokens, maximumTokens: 200} : undefined,
	});
}

type Task = Readonly<{at: Timestamp; order: number; run(): void}>;

/** A send and the behaviour by which it was answered. */
type AnsweredSend = Readonly<{send: ReceivedSend; behaviour: EndpointBehaviour}>;

type SendAction = Extract<GatewayAction, {kind: 'send'}>;

/** Returns the steps of a send whose response isn't read for some time once some events were received. */
function createPausedSteps(sendId: SendId, steps: readonly BehaviourStep[], {afterEvents, pausedMs, isCutOff}: ReaderPause): readonly BehaviourStep[] {
	const pausedIndex = steps.findIndex((step, index) => step.event.kind === 'responseBytes' && index >= afterEvents);
	const pausedAfterMs = steps[pausedIndex]?.afterMs;
	if (pausedAfterMs === undefined) {
		return steps;
	}

	const resumedAfterMs = pausedAfterMs + pausedMs;
	const cutOff: RequestEvent = {
		kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
	};
	return [
		...steps.slice(0, pausedIndex + 1),
		{afterMs: pausedAfterMs, event: {kind: 'readingPaused', sendId}},
		{afterMs: resumedAfterMs, event: {kind: 'readingResumed', sendId}},
		...(isCutOff && pausedMs >= cutOffMs
			? [{afterMs: resumedAfterMs, event: cutOff}]
			: steps.slice(pausedIndex + 1).map(({afterMs, event}) => ({afterMs: afterMs + pausedMs, event}))),
	];
}

/** Runs a scenario to its end. */
export function runGatewayScenario(scenario: GatewayScenario): GatewayScenarioResult {
	const gateway = createGateway({...fixtureGatewaySettings, retryQuota: {...fixtureGatewaySettings.retryQuota, fixedSends: simulatedFixedSends}});
	const tasks = new TinyQueue<Task>([], (left, right) => left.at - right.at || left.order - right.order);
	const records = new Map<RequestKey, RequestRecord>();
	const heldReservations = new Set<ReservationId>();
	const releasedReservations = new Set<ReservationId>();
	const reservationsAfterRelease: ReservationId[] = [];
	/** Endpoint of each send that it has begun to work on. */
	const begunSends = new Map<SendId, EndpointId>();
	/** Answers whose copies the next send to their endpoint receives in place of its own. */
	const repeatedAnswers = new Map<EndpointId, AnsweredSend>();
	/** When each reservation that no request has used yet was granted. */
	const unusedReservations = new Map<ReservationId, Timestamp>();
	let longestUnusedMs = 0;
	const openWorkIds = new Set<number>();
	const drainedAt = new Map<EndpointId, Timestamp>();
	let endpoints: readonly ListedEndpoint[] = [...createFixtureEndpoints('models', 8), ...createFixtureEndpoints('shop', 3)];
	let configuration = fixtureConfiguration;
	let revokedAt = Number.POSITIVE_INFINITY;
	let verificationLostAt = Number.POSITIVE_INFINITY;
	let now: Timestamp = 0;
	let taskCount = 0;
	let behaviourIndex = 0;
	let grantIndex = 0;

	function schedule(at: Timestamp, run: () => void): void {
		taskCount += 1;
		tasks.push({at, order: taskCount, run});
	}

	function dispatch(key: RequestKey, event: RequestEvent): void {
		performAll(gateway.step({kind: 'requestChanged', key, event}, now));
	}

	function performAll(actions: readonly GatewayAction[]): void {
		for (const action of actions) {
			perform(action);
		}
	}

	function recordFinalOutcome(key: RequestKey, outcome: FinalOutcome): void {
		records.get(key)?.finalOutcomes.push({outcome, at: now});
	}

	function perform(action: GatewayAction): void {
		switch (action.kind) {
			case 'send': {
				performSend(action);
				return;
			}

			case 'cancelSend': {
				cancelSend(action);
				return;
			}

			case 'reserveMemory': {
				performReservation(action.key, action.reservation);
				return;
			}

			case 'releaseMemory': {
				heldReservations.delete(action.reservation.id);
				endUnusedReservation(action.reservation.id);
				releasedReservations.add(action.reservation.id);
				return;
			}

			case 'probeEndpoint': {
				const {key, endpoint} = action;
				const report = getReport(endpoint.id);
				schedule(now + 5, () => {
					dispatch(key, {kind: 'probeAnswered', endpoint: endpoint.id, report});
				});
				return;
			}

			case 'startResponse': {
				const record = records.get(action.key);
				if (record !== undefined) {
					record.status = action.status;
				}

				return;
			}

			case 'writeResponse': {
				const record = records.get(action.key);
				if (record !== undefined) {
					record.text += Buffer.from(action.bytes).toString();
				}

				return;
			}

			case 'endResponse': {
				recordFinalOutcome(action.key, {kind: 'answered', status: action.summary.status});
				return;
			}

			case 'breakResponse': {
				recordFinalOutcome(action.key, {kind: 'broken'});
				return;
			}

			case 'failRequest': {
				recordFinalOutcome(action.key, {kind: 'failed', failure: action.failure});
				return;
			}

			case 'forgetRequest': {
				recordFinalOutcome(action.key, {kind: 'forgotten'});
				return;
			}

			case 'checkEndpoint':
			case 'recordQuarantine':
			case 'removeQuarantine':
			case 'recordCrashes':
			case 'reportQuarantine':
			case 'reportLimit':
			case 'reportEvacuations':
			case 'reportColdEndpoint':
			case 'reportTiming':
			case 'readConfiguration':
			case 'reportEndpoint':
			case 'reportDecision': {
				return;
			}

			case 'publishChange': {
				const {change} = action;
				if (change.kind === 'started') {
					openWorkIds.add(change.work.id);
				} else if (change.kind === 'ended') {
					openWorkIds.delete(change.id);
				}
			}
		}
	}

	function getReport(endpoint: EndpointId): EndpointReport {
		const openSends = [...records.values()].flatMap(record => [...record.openSends]);
		return {
			openRequests: openSends.filter(id => begunSends.get(id) === endpoint).length,
			usedReservations: new Set([...heldReservations].filter(id => !unusedReservations.has(id))),
			startedAt: undefined,
		};
	}

	/** Ends the time for which a reservation is unused: a request uses it now, or it was released. */
	function endUnusedReservation(id: ReservationId): void {
		longestUnusedMs = Math.max(longestUnusedMs, now - (unusedReservations.get(id) ?? now));
		unusedReservations.delete(id);
	}

	/** Closes an aborted send; a discarded response goes on to its end. */
	function cancelSend({sendId, how}: Extract<GatewayAction, {kind: 'cancelSend'}>): void {
		if (how === 'discard') {
			return;
		}

		for (const record of records.values()) {
			record.openSends.delete(sendId);
		}

		// What would follow on its connection is lost.
		for (const [endpoint, {send}] of repeatedAnswers) {
			if (send.sendId === sendId) {
				repeatedAnswers.delete(endpoint);
			}
		}
	}

	function performReservation(key: RequestKey, reservation: Reservation): void {
		if (releasedReservations.has(reservation.id)) {
			reservationsAfterRelease.push(reservation.id);
		}

		const isHeld = heldReservations.has(reservation.id) || scenario.grants[grantIndex % scenario.grants.length];
		grantIndex += 1;
		if (isHeld !== false) {
			if (!heldReservations.has(reservation.id)) {
				unusedReservations.set(reservation.id, now);
			}

			heldReservations.add(reservation.id);
		}

		if (isHeld !== undefined) {
			schedule(now + 5, () => {
				dispatch(key, {kind: 'memoryAnswered', reservationId: reservation.id, isHeld});
			});
		}
	}

	/** Returns the answer whose copy a send receives, or its own. */
	function takeRepeatedAnswer(endpoint: EndpointId, own: AnsweredSend): AnsweredSend {
		const repeated = own.behaviour.kind === 'failConnection' ? undefined : repeatedAnswers.get(endpoint);
		repeatedAnswers.delete(endpoint);
		return repeated ?? own;
	}

	function performSend(action: SendAction): void {
		const record = records.get(action.key);
		if (record === undefined) {
			return;
		}

		const behaviour = scenario.behaviours[behaviourIndex % scenario.behaviours.length] ?? {kind: 'silent'};
		behaviourIndex += 1;
		record.sends.push({
			endpoint: action.endpoint.id, at: now, remainingMs: action.remainingMs, hasArrived: behaviour.kind !== 'failConnection',
		});
		record.openSends.add(action.sendId);
		if (isRequestRun(behaviour)) {
			begunSends.set(action.sendId, action.endpoint.id);
			record.runs.push({endpoint: action.endpoint.id, at: now});
			for (const {reservationId} of action.helpers) {
				endUnusedReservation(reservationId ?? '');
			}
		}

		const {key, sendId, lastEventId} = action;
		const {requestId, route} = record.request;
		const answered: AnsweredSend = {
			send: {
				sendId, requestId, lastEventId, kind: route.kind,
			},
			behaviour,
		};
		const {send: answeredSend, behaviour: answeringBehaviour} = takeRepeatedAnswer(action.endpoint.id, answered);
		const steps = getBehaviourSteps({...answeredSend, sendId}, answeringBehaviour);
		const {pause} = scenario.requests[key - 1] ?? {};
		for (const {afterMs, event} of pause === undefined || record.request.route.kind !== 'streaming' ? steps : createPausedSteps(sendId, steps, pause)) {
			schedule(now + afterMs, () => {
				if (!record.openSends.has(sendId)) {
					return;
				}

				if (event.kind === 'responseEnded' || event.kind === 'sendFailed') {
					record.openSends.delete(sendId);
				}

				// The driver holds the next send until the rest of a discarded response has been read.
				if (event.kind === 'responseStarted' && behaviour.kind === 'state' && behaviour.isRepeated) {
					repeatedAnswers.set(action.endpoint.id, answered);
				}

				dispatch(key, event);
			});
		}
	}

	function startRequest(scripted: ScriptedGatewayRequest, key: RequestKey): void {
		const request = createRequest(scripted, key);
		const record: RequestRecord = {
			request, text: '', status: undefined, finalOutcomes: [], runs: [], sends: [], openSends: new Set(), disconnectedAt: undefined,
		};
		records.set(key, record);
		performAll(gateway.step({kind: 'requestArrived', request}, now));
		if (scripted.disconnectsAfterMs !== undefined) {
			schedule(now + scripted.disconnectsAfterMs, () => {
				if (record.finalOutcomes.length === 0) {
					record.disconnectedAt = now;
					dispatch(key, {kind: 'clientGone'});
				}
			});
		}
	}

	function applyChange(change: ScriptedChange): void {
		switch (change.kind) {
			case 'drain':
			case 'remove': {
				const id = endpoints[change.index % endpoints.length]?.id ?? '';
				drainedAt.set(id, drainedAt.get(id) ?? now);
				endpoints = change.kind === 'remove'
					? endpoints.filter(endpoint => endpoint.id !== id)
					: endpoints.map(endpoint => endpoint.id === id ? {...endpoint, state: 'draining'} : endpoint);
				performAll(gateway.step({kind: 'endpointsListed', endpoints}, now));
				return;
			}

			case 'revokeKey': {
				revokedAt = Math.min(revokedAt, now);
				configuration = {...configuration, version: configuration.version + 1, organisationsByKey: new Map()};
				if (now < verificationLostAt) {
					gateway.step({kind: 'configurationVerified', configuration, verifiedAt: now}, now);
				}

				return;
			}

			case 'loseVerification': {
				verificationLostAt = Math.min(verificationLostAt, now);
			}
		}
	}

	function keepVerifying(): void {
		if (now < verificationLostAt) {
			gateway.step({kind: 'configurationVerified', configuration, verifiedAt: now}, now);
			schedule(now + verificationIntervalMs, keepVerifying);
		}
	}

	gateway.step({kind: 'endpointsListed', endpoints}, now);
	schedule(0, keepVerifying);
	for (const change of scenario.changes) {
		schedule(change.at, () => {
			applyChange(change);
		});
	}

	for (const [index, scripted] of scenario.requests.entries()) {
		schedule(scripted.at, () => {
			startRequest(scripted, index + 1);
		});
	}

	while (now < simulationEndMs) {
		const wakeAt = gateway.tryGetWakeAt() ?? Number.POSITIVE_INFINITY;
		const taskAt = tasks.peek()?.at ?? Number.POSITIVE_INFINITY;
		const nextAt = Math.min(wakeAt, taskAt);
		if (nextAt > simulationEndMs) {
			break;
		}

		now = Math.max(now, nextAt);
		if (taskAt <= wakeAt) {
			tasks.pop()?.run();
		} else {
			performAll(gateway.step({kind: 'timePassed'}, now));
		}
	}

	return {
		records: [...records.values()], heldReservations, reservationsAfterRelease, longestUnusedMs, openWorkIds, drainedAt, revokedAt, verificationLostAt,
	};
}
