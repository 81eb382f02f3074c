/**
Simulation for the property tests: runs a gateway in virtual time against faulty endpoints, and records what callers and
endpoints observe.
*/
import {Buffer} from 'node:buffer';
import TinyQueue from 'tinyqueue';
import type {Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createGateway} from './gateway.js';
import {getBehaviourSteps, isRequestRun, type EndpointBehaviour} from './gateway-fault-behaviour.js';
import {
	createFixtureEndpoints, createFixtureRequest, fixtureAction, fixtureConfiguration, fixtureGatewaySettings,
	fixtureLookup, fixtureStream,
} from './gateway-fixtures.js';
import type {
	EndpointId, GatewayRequest, ListedEndpoint, RequestKey, ServedRoute,
} from './gateway-types.js';
import type {Reservation, ReservationId} from './memory-reservation.js';
import type {RelayAction, RelayEvent, SendId} from './relay-types.js';

export type ScriptedCall = Readonly<{
	at: Timestamp;
	kind: 'stream' | 'nonResumableStream' | 'action' | 'lookup';
	promptTokens: number;
	waitMs: Milliseconds;
	/** Time from arrival until the caller disconnects, or `undefined` if it doesn't. */
	leavesAfterMs: Milliseconds | undefined;
}>;

export type ScriptedChange
	= | Readonly<{kind: 'drain'; at: Timestamp; index: number}>
		| Readonly<{kind: 'remove'; at: Timestamp; index: number}>
		| Readonly<{kind: 'revokeKey'; at: Timestamp}>
	/** From then on the configuration is no longer verified. */
		| Readonly<{kind: 'loseVerification'; at: Timestamp}>;

export type GatewayScenario = Readonly<{
	calls: readonly ScriptedCall[];
	/** Behaviours of the endpoints for consecutive sends, repeated cyclically. */
	behaviours: readonly EndpointBehaviour[];
	/** Whether consecutive reservations are granted, repeated cyclically; `undefined` means no answer. */
	grants: ReadonlyArray<boolean | undefined>;
	changes: readonly ScriptedChange[];
}>;

export type FinalAnswer
	= | Readonly<{kind: 'answered'; status: number}>
		| Readonly<{kind: 'failed'; failure: Failure}>
		| Readonly<{kind: 'broken'}>
		| Readonly<{kind: 'forgotten'}>;

export type CallRecord = {
	readonly request: GatewayRequest;
	/** Body of the answer as received by the caller. */
	text: string;
	status: number | undefined;
	readonly finalAnswers: Array<Readonly<{answer: FinalAnswer; at: Timestamp}>>;
	readonly runs: Array<Readonly<{endpoint: EndpointId; at: Timestamp}>>;
	readonly sends: Array<Readonly<{endpoint: EndpointId; at: Timestamp; remainingMs: Milliseconds; hasArrived: boolean}>>;
	/** Sends that endpoints are still processing. */
	readonly openSends: Set<SendId>;
	leftAt: Timestamp | undefined;
};

export type SimulationResult = Readonly<{
	calls: readonly CallRecord[];
	/** Reservations that are still held at the end. */
	heldReservations: ReadonlySet<ReservationId>;
	/** Reservations that were requested again after their release. */
	reservationsAfterRelease: readonly ReservationId[];
	/** Requests that the other gateways still consider open at the end. */
	openWorks: ReadonlySet<number>;
	/** When each endpoint was first drained or removed. */
	drainedAt: ReadonlyMap<EndpointId, Timestamp>;
	revokedAt: Timestamp;
	verificationLostAt: Timestamp;
}>;

/** Fixed part of the retry budget; small, so that the budget takes effect. */
export const simulatedFixedSends = 1;
const verificationIntervalMs: Milliseconds = 1000;
/** End of the simulation, long after the deadline of the last call. */
const simulationEndMs: Milliseconds = 40_000;

function getRoute(kind: ScriptedCall['kind']): ServedRoute {
	switch (kind) {
		case 'stream': {
			return fixtureStream;
		}

		case 'nonResumableStream': {
			return {...fixtureStream, name: 'plain', isResumable: false};
		}

		case 'action': {
			// A route may allow several endpoints, but a request that isn't repeatable still runs once.
			return {...fixtureAction, maximumEndpoints: 2};
		}

		case 'lookup': {
			return fixtureLookup;
		}
	}
}

function createRequest(call: ScriptedCall, key: RequestKey): GatewayRequest {
	const route = getRoute(call.kind);
	return createFixtureRequest(route, {
		key,
		arrivedAt: call.at,
		deadlineAt: call.at + Math.min(route.timeoutMs, call.waitMs),
		prompt: route.kind === 'streaming' ? {promptTokens: call.promptTokens, maximumTokens: 200} : undefined,
	});
}

type Task = Readonly<{at: Timestamp; order: number; run(): void}>;

type SendAction = Extract<RelayAction, {kind: 'send'}>;

/** Runs a scenario to its end. */
export function runGatewayScenario(scenario: GatewayScenario): SimulationResult {
	const gateway = createGateway({...fixtureGatewaySettings, budget: {...fixtureGatewaySettings.budget, fixedSends: simulatedFixedSends}});
	const tasks = new TinyQueue<Task>([], (left, right) => left.at - right.at || left.order - right.order);
	const calls = new Map<RequestKey, CallRecord>();
	const heldReservations = new Set<ReservationId>();
	const releasedReservations = new Set<ReservationId>();
	const reservationsAfterRelease: ReservationId[] = [];
	const openWorks = new Set<number>();
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

	function dispatch(key: RequestKey, event: RelayEvent): void {
		performAll(gateway.step({kind: 'requestChanged', key, event}, now));
	}

	function performAll(actions: readonly RelayAction[]): void {
		for (const action of actions) {
			perform(action);
		}
	}

	function recordFinalAnswer(key: RequestKey, answer: FinalAnswer): void {
		calls.get(key)?.finalAnswers.push({answer, at: now});
	}

	function perform(action: RelayAction): void {
		switch (action.kind) {
			case 'send': {
				performSend(action);
				return;
			}

			case 'cancelSend': {
				for (const call of calls.values()) {
					call.openSends.delete(action.sendId);
				}

				return;
			}

			case 'reserveMemory': {
				performReservation(action.key, action.reservation);
				return;
			}

			case 'releaseMemory': {
				heldReservations.delete(action.reservation.id);
				releasedReservations.add(action.reservation.id);
				return;
			}

			case 'probeEndpoint': {
				const {key, sendId} = action;
				schedule(now + 5, () => {
					dispatch(key, {kind: 'probeAnswered', sendId});
				});
				return;
			}

			case 'startAnswer': {
				const call = calls.get(action.key);
				if (call !== undefined) {
					call.status = action.status;
				}

				return;
			}

			case 'writeAnswer': {
				const call = calls.get(action.key);
				if (call !== undefined) {
					call.text += Buffer.from(action.bytes).toString();
				}

				return;
			}

			case 'endAnswer': {
				recordFinalAnswer(action.key, {kind: 'answered', status: action.outcome.status});
				return;
			}

			case 'breakAnswer': {
				recordFinalAnswer(action.key, {kind: 'broken'});
				return;
			}

			case 'failRequest': {
				recordFinalAnswer(action.key, {kind: 'failed', failure: action.failure});
				return;
			}

			case 'forgetRequest': {
				recordFinalAnswer(action.key, {kind: 'forgotten'});
				return;
			}

			case 'reportEndpoint':
			case 'reportDecision': {
				return;
			}

			case 'publishWork': {
				const {change} = action;
				if (change.kind === 'started') {
					openWorks.add(change.work.id);
				} else if (change.kind === 'ended') {
					openWorks.delete(change.id);
				}
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
			heldReservations.add(reservation.id);
		}

		if (isHeld !== undefined) {
			schedule(now + 5, () => {
				dispatch(key, {kind: 'memoryAnswered', reservationId: reservation.id, isHeld});
			});
		}
	}

	function performSend(action: SendAction): void {
		const call = calls.get(action.key);
		if (call === undefined) {
			return;
		}

		const behaviour = scenario.behaviours[behaviourIndex % scenario.behaviours.length] ?? {kind: 'silence'};
		behaviourIndex += 1;
		call.sends.push({
			endpoint: action.endpoint.id, at: now, remainingMs: action.remainingMs, hasArrived: behaviour.kind !== 'failConnection',
		});
		call.openSends.add(action.sendId);
		if (isRequestRun(behaviour)) {
			call.runs.push({endpoint: action.endpoint.id, at: now});
		}

		const {key, sendId, lastEventId} = action;
		for (const {afterMs, event} of getBehaviourSteps({sendId, lastEventId, kind: call.request.route.kind}, behaviour)) {
			schedule(now + afterMs, () => {
				if (!call.openSends.has(sendId)) {
					return;
				}

				if (event.kind === 'answerEnded' || event.kind === 'sendFailed') {
					call.openSends.delete(sendId);
				}

				dispatch(key, event);
			});
		}
	}

	function startCall(call: ScriptedCall, key: RequestKey): void {
		const request = createRequest(call, key);
		const record: CallRecord = {
			request, text: '', status: undefined, finalAnswers: [], runs: [], sends: [], openSends: new Set(), leftAt: undefined,
		};
		calls.set(key, record);
		performAll(gateway.step({kind: 'requestArrived', request}, now));
		if (call.leavesAfterMs !== undefined) {
			schedule(now + call.leavesAfterMs, () => {
				if (record.finalAnswers.length === 0) {
					record.leftAt = now;
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

	for (const [index, call] of scenario.calls.entries()) {
		schedule(call.at, () => {
			startCall(call, index + 1);
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
		calls: [...calls.values()], heldReservations, reservationsAfterRelease, openWorks, drainedAt, revokedAt, verificationLostAt,
	};
}
