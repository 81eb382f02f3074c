/**
Plays a gateway's decisions in virtual time against endpoints that break their promises, and keeps what callers and
endpoints see of it. Scaffolding of the generated tests.
*/
import {Buffer} from 'node:buffer';
import TinyQueue from 'tinyqueue';
import type {Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {createGateway} from './gateway.js';
import {getConductSteps, isRunBy, type Conduct} from './gateway-fault-conduct.js';
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
	kind: 'stream' | 'plainStream' | 'action' | 'lookup';
	promptTokens: number;
	waitMs: Milliseconds;
	/** When the caller leaves, after its arrival. */
	leavesAfterMs: Milliseconds | undefined;
}>;

export type WorldChange
	= | Readonly<{kind: 'drain'; at: Timestamp; index: number}>
		| Readonly<{kind: 'remove'; at: Timestamp; index: number}>
		| Readonly<{kind: 'revokeKey'; at: Timestamp}>
	/** The configuration is no longer verified from then on. */
		| Readonly<{kind: 'loseStore'; at: Timestamp}>;

export type GatewayScenario = Readonly<{
	calls: readonly ScriptedCall[];
	/** What endpoints do, send after send; begins again at its end. */
	conducts: readonly Conduct[];
	/** Whether memory is granted, reservation after reservation; `undefined` gives no answer. */
	grants: ReadonlyArray<boolean | undefined>;
	changes: readonly WorldChange[];
}>;

export type FinalAnswer
	= | Readonly<{kind: 'answered'; status: number}>
		| Readonly<{kind: 'failed'; failure: Failure}>
		| Readonly<{kind: 'broken'}>
		| Readonly<{kind: 'forgotten'}>;

export type CallFacts = {
	readonly request: GatewayRequest;
	/** The answer's bytes as the caller got them. */
	text: string;
	status: number | undefined;
	readonly finals: Array<Readonly<{answer: FinalAnswer; at: Timestamp}>>;
	readonly runs: Array<Readonly<{endpoint: EndpointId; at: Timestamp}>>;
	readonly sends: Array<Readonly<{endpoint: EndpointId; at: Timestamp; remainingMs: Milliseconds; hasArrived: boolean}>>;
	/** Sends that endpoints still work on. */
	readonly openSends: Set<SendId>;
	leftAt: Timestamp | undefined;
};

export type WorldFacts = Readonly<{
	calls: readonly CallFacts[];
	/** Memory that is still set aside at the end. */
	heldReservations: ReadonlySet<ReservationId>;
	/** Reservations that were asked for after their release. */
	lateReservations: readonly ReservationId[];
	/** Works that the other gateways believe to be open at the end. */
	openWorks: ReadonlySet<number>;
	drainedAt: ReadonlyMap<EndpointId, Timestamp>;
	revokedAt: Timestamp;
	lostStoreAt: Timestamp;
}>;

/** Further sends that are free; few, so that the budget binds. */
export const worldFixedSends = 1;
const verificationMs: Milliseconds = 1000;
/** Long after the last call's time limit. */
const worldEndMs: Milliseconds = 40_000;
function getRoute(kind: ScriptedCall['kind']): ServedRoute {
	switch (kind) {
		case 'stream': {
			return fixtureStream;
		}

		case 'plainStream': {
			return {...fixtureStream, name: 'plain', isResumable: false};
		}

		case 'action': {
			// A route may allow several endpoints; an action still runs once.
			return {...fixtureAction, maximumEndpoints: 2};
		}

		case 'lookup': {
			return fixtureLookup;
		}
	}
}

function createCall(call: ScriptedCall, key: RequestKey): GatewayRequest {
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

/** Plays a scenario to its end. */
export function runGatewayScenario(scenario: GatewayScenario): WorldFacts {
	const gateway = createGateway({...fixtureGatewaySettings, budget: {...fixtureGatewaySettings.budget, fixedSends: worldFixedSends}});
	const tasks = new TinyQueue<Task>([], (left, right) => left.at - right.at || left.order - right.order);
	const calls = new Map<RequestKey, CallFacts>();
	const heldReservations = new Set<ReservationId>();
	const releasedReservations = new Set<ReservationId>();
	const lateReservations: ReservationId[] = [];
	const openWorks = new Set<number>();
	const drainedAt = new Map<EndpointId, Timestamp>();
	let endpoints: readonly ListedEndpoint[] = [...createFixtureEndpoints('models', 8), ...createFixtureEndpoints('shop', 3)];
	let configuration = fixtureConfiguration;
	let revokedAt = Number.POSITIVE_INFINITY;
	let lostStoreAt = Number.POSITIVE_INFINITY;
	let now: Timestamp = 0;
	let taskCount = 0;
	let conductCount = 0;
	let grantCount = 0;

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

	function recordFinal(key: RequestKey, answer: FinalAnswer): void {
		calls.get(key)?.finals.push({answer, at: now});
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
				recordFinal(action.key, {kind: 'answered', status: action.outcome.status});
				return;
			}

			case 'breakAnswer': {
				recordFinal(action.key, {kind: 'broken'});
				return;
			}

			case 'failRequest': {
				recordFinal(action.key, {kind: 'failed', failure: action.failure});
				return;
			}

			case 'forgetRequest': {
				recordFinal(action.key, {kind: 'forgotten'});
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
			lateReservations.push(reservation.id);
		}

		const isHeld = heldReservations.has(reservation.id) || scenario.grants[grantCount % scenario.grants.length];
		grantCount += 1;
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

		const conduct = scenario.conducts[conductCount % scenario.conducts.length] ?? {kind: 'silence'};
		conductCount += 1;
		call.sends.push({
			endpoint: action.endpoint.id, at: now, remainingMs: action.remainingMs, hasArrived: conduct.kind !== 'failConnection',
		});
		call.openSends.add(action.sendId);
		if (isRunBy(conduct)) {
			call.runs.push({endpoint: action.endpoint.id, at: now});
		}

		const {key, sendId, lastEventId} = action;
		for (const {afterMs, event} of getConductSteps({sendId, lastEventId, kind: call.request.route.kind}, conduct)) {
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
		const request = createCall(call, key);
		const facts: CallFacts = {
			request, text: '', status: undefined, finals: [], runs: [], sends: [], openSends: new Set(), leftAt: undefined,
		};
		calls.set(key, facts);
		performAll(gateway.step({kind: 'requestArrived', request}, now));
		if (call.leavesAfterMs !== undefined) {
			schedule(now + call.leavesAfterMs, () => {
				if (facts.finals.length === 0) {
					facts.leftAt = now;
					dispatch(key, {kind: 'clientGone'});
				}
			});
		}
	}

	function applyChange(change: WorldChange): void {
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
				if (now < lostStoreAt) {
					gateway.step({kind: 'configurationVerified', configuration, verifiedAt: now}, now);
				}

				return;
			}

			case 'loseStore': {
				lostStoreAt = Math.min(lostStoreAt, now);
			}
		}
	}

	function keepVerifying(): void {
		if (now < lostStoreAt) {
			gateway.step({kind: 'configurationVerified', configuration, verifiedAt: now}, now);
			schedule(now + verificationMs, keepVerifying);
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

	while (now < worldEndMs) {
		const wakeAt = gateway.tryGetWakeAt() ?? Number.POSITIVE_INFINITY;
		const taskAt = tasks.peek()?.at ?? Number.POSITIVE_INFINITY;
		const nextAt = Math.min(wakeAt, taskAt);
		if (nextAt > worldEndMs) {
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
		calls: [...calls.values()], heldReservations, lateReservations, openWorks, drainedAt, revokedAt, lostStoreAt,
	};
}
