/**
The decisions on one request, from its first send to its one final answer.

A request that may be repeated is sent again when its endpoint fails; a resumable stream goes on after its last whole
event. A request that may not be repeated is sent again only if it is certain that it has not run. Whatever was sent is
never answered as not run.
*/
import {createNotRunFailure, type ErrorKind, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointRegistry, SentWork} from './endpoint-registry.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import type {EndpointAnswerHead, EndpointId, GatewayRequest} from './gateway-types.js';
import type {WorkChange} from './load-view.js';
import {
	createMemoryReservation, reservationHoldMs, type MemoryReservation, type Reservation, type ReservationId,
} from './memory-reservation.js';
import type {Placement} from './placement.js';
import type {
	RelayAction, RelayEvent, SendId, SendResult,
} from './relay-types.js';
import {
	getSilenceLimitMs, isStreamAnswer, parseEventNumber, silenceLimits, type SavedAnswer, type Send,
} from './relay-send.js';
import type {SendBudget} from './send-budget.js';

/** What a request needs of its gateway. */
export type RelayHost = Readonly<{
	registry: EndpointRegistry;
	budget: SendBudget;
	createSendId(): SendId;
	/** Returns an id that no other reservation of any gateway has. */
	createReservationId(sendId: SendId, index: number): ReservationId;
	/** Chooses endpoints, or says why there are none. */
	choosePlacement(request: GatewayRequest, excluded: ReadonlySet<EndpointId>, now: Timestamp): PlacementDecision;
	checkCredential(request: GatewayRequest, now: Timestamp): Failure | undefined;
	/** Takes in a change of the own requests. */
	recordWork(change: WorkChange, now: Timestamp): void;
}>;

export type PlacementDecision
	= | Readonly<{kind: 'placed'; placement: Placement; candidates: number}>
	/** The request waits for a better moment. */
		| Readonly<{kind: 'deferred'; untilAt: Timestamp}>
		| Readonly<{kind: 'refused'; failure: Failure}>;

export type RelayedRequest = Readonly<{
	step(event: RelayEvent, now: Timestamp): readonly RelayAction[];
	/** Returns when `timePassed` is due. */
	getWakeAt(): Timestamp;
	isEnded(): boolean;
}>;

/** Sends beyond the route's limit of endpoints that may be refused as not run. */
const maximumRefusedSends = 3;
/** Longest time in which an endpoint answers that a helper can't help now. */
const quickRefusalMs: Milliseconds = 500;
/** Groups of endpoints that are asked for memory before a prompt is refused. */
const maximumFailedReservations = 3;
/** Longest wait for memory to be set aside; the first event is due within seconds. */
const reservationTimeoutMs: Milliseconds = 400;
/** Least time that is worth a send. */
const shortestSendMs: Milliseconds = 30;

const firstErrorStatus = 300;
const firstServerErrorStatus = 500;
const misdirectedStatus = 421;

/** Creates the machine of one request. */
export function createRelayedRequest(request: GatewayRequest, host: RelayHost): RelayedRequest {
	const {route} = request;
	const mayRepeat = route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
	const excluded = new Set<EndpointId>();
	let sendCount = 0;
	let failedReservations = 0;
	/** Endpoints that may have run the request. */
	let runCount = 0;
	let current: Send | undefined;
	let savedFailure: SavedAnswer | undefined;
	/** When a request that was deferred is placed. */
	let waitsUntil = Number.POSITIVE_INFINITY;
	/** How the last send failed, where the next one is deferred. */
	let deferredFailure: Failure | undefined;
	let hasStartedAnswer = false;
	let isAnswerUndelimited = false;
	let {lastEventId} = request;
	let firstEventAt: Timestamp | undefined;
	let previousEventAt: Timestamp | undefined;
	let longestPauseMs: Milliseconds = 0;
	let hasEnded = false;

	function canSendAgain(): boolean {
		if (sendCount >= route.maximumEndpoints + maximumRefusedSends || runCount >= route.maximumEndpoints) {
			return false;
		}

		return mayRepeat || runCount === 0;
	}

	function start(now: Timestamp): readonly RelayAction[] {
		host.budget.recordRequest(request.service, now);
		return send(now, undefined);
	}

	/** Sends the request, or ends it when that is not possible. */
	function send(now: Timestamp, lastFailure: Failure | undefined): readonly RelayAction[] {
		const remainingMs = request.deadlineAt - now;
		if (remainingMs < shortestSendMs) {
			return end(lastFailure ?? createFailure('deadlineExceeded'));
		}

		const refusal = host.checkCredential(request, now);
		if (refusal !== undefined) {
			return end(runCount === 0 ? refusal : lastFailure ?? createFailure('serverLost'));
		}

		waitsUntil = Number.POSITIVE_INFINITY;
		const decision = host.choosePlacement(request, excluded, now);
		if (decision.kind === 'deferred') {
			waitsUntil = decision.untilAt;
			deferredFailure = lastFailure;
			return [];
		}

		if (decision.kind === 'refused') {
			return end(lastFailure ?? decision.failure);
		}

		const {placement} = decision;
		const sendId = host.createSendId();
		sendCount += 1;
		runCount += 1;
		current = {
			id: sendId,
			placement,
			splitter: createEventSplitter(),
			chunks: [],
			memory: createMemory(placement, sendId, now),
			head: undefined,
			sentAt: now,
			lastProgressAt: now,
			checkAt: now,
			isProbed: false,
			hasEvents: false,
		};
		current.checkAt = now + (current.memory === undefined ? getSilenceLimitMs(route, current) : reservationTimeoutMs);
		excluded.add(placement.endpoint.id);
		return [
			{
				kind: 'reportDecision',
				key: request.key,
				decision: {
					kind: 'placed',
					sendId,
					endpoint: placement.endpoint.id,
					helpers: placement.helpers.length,
					reservations: current.memory?.reservations.length ?? 0,
					firstEventMs: Math.round(placement.firstEventMs),
					candidates: decision.candidates,
				},
			},
			...recordWork({
				kind: 'started',
				work: {
					id: sendId,
					endpoint: placement.endpoint.id,
					helpers: placement.helpers.map(({endpoint, reservedTokens}) => ({endpoint: endpoint.id, reservedTokens})),
					promptTokens: request.prompt?.promptTokens ?? 0,
					readMs: placement.readMs,
					longestPauseMs: route.longestPauseMs,
				},
			}, now),
			...current.memory === undefined ? dispatchSend(current, now) : reserve(current.memory.reservations),
		];
	}

	function createMemory(placement: Placement, sendId: SendId, now: Timestamp): MemoryReservation | undefined {
		const reservations = placement.helpers.flatMap(({endpoint, reservedTokens}, index) => reservedTokens === 0
			? []
			: [{
				id: host.createReservationId(sendId, index), endpoint, tokens: reservedTokens, holdMs: reservationHoldMs,
			}]);
		return reservations.length === 0 ? undefined : createMemoryReservation(reservations, now);
	}

	function reserve(reservations: readonly Reservation[]): readonly RelayAction[] {
		return reservations.map((reservation): RelayAction => ({kind: 'reserveMemory', key: request.key, reservation}));
	}

	/** Sends the request to its endpoint, once its memory is held. */
	function dispatchSend({id, placement, memory}: Send, now: Timestamp): readonly RelayAction[] {
		const helpers = placement.helpers.map(({endpoint}) => ({
			address: endpoint.address,
			reservationId: memory?.reservations.find(reservation => reservation.endpoint === endpoint)?.id,
		}));
		return [{
			kind: 'send',
			key: request.key,
			sendId: id,
			endpoint: placement.endpoint,
			helpers,
			remainingMs: request.deadlineAt - now,
			lastEventId,
		}];
	}

	function recordMemory(reservationId: ReservationId, isHeld: boolean, now: Timestamp): readonly RelayAction[] {
		if (current?.memory?.getState() !== 'waiting') {
			return [];
		}

		switch (current.memory.recordAnswer(reservationId, isHeld)) {
			case 'waiting': {
				return [];
			}

			case 'held': {
				current.checkAt = now + getSilenceLimitMs(route, current);
				return dispatchSend(current, now);
			}

			case 'failed': {
				return handleMemoryFailure(current, current.memory, now);
			}
		}
	}

	/** Gives up a send that has not begun, and tries other endpoints. */
	function handleMemoryFailure({placement}: Send, memory: MemoryReservation, now: Timestamp): readonly RelayAction[] {
		failedReservations += 1;
		excluded.delete(placement.endpoint.id);
		for (const {id} of memory.getFailedEndpoints()) {
			excluded.add(id);
		}

		const closing = closeSend('noMemory', memory.getFailedEndpoints().map(({id}) => id).join(','), now);
		const failure = runCount === 0 ? createNotRunFailure('overloaded', 'no memory is free') : createFailure('serverLost');
		return [...closing, ...(failedReservations > maximumFailedReservations ? end(failure) : send(now, failure))];
	}

	function recordWork(change: WorkChange, now: Timestamp): readonly RelayAction[] {
		host.recordWork(change, now);
		return [{kind: 'publishWork', change}];
	}

	function createFailure(kind: ErrorKind, detail?: string): Failure {
		return runCount === 0 ? createNotRunFailure(kind, detail) : {kind, ran: 'unknown', detail};
	}

	/** Ends the current send and frees its place. */
	function closeSend(result: SendResult, detail: string, now: Timestamp): readonly RelayAction[] {
		const closed = current;
		if (closed === undefined) {
			return [];
		}

		current = undefined;
		const hasNotRun = result === 'notRun' || result === 'replaced' || result === 'noMemory';
		if (hasNotRun) {
			runCount -= 1;
		}

		return [
			...recordWork({kind: 'ended', id: closed.id}, now),
			...closed.memory?.reservations.map((reservation): RelayAction => ({kind: 'releaseMemory', reservation})) ?? [],
			{
				kind: 'reportDecision',
				key: request.key,
				decision: {
					kind: 'sendEnded',
					sendId: closed.id,
					endpoint: closed.placement.endpoint.id,
					result,
					mayHaveRun: !hasNotRun,
					detail,
				},
			},
		];
	}

	function end(failure: Failure): readonly RelayAction[] {
		hasEnded = true;
		if (hasStartedAnswer) {
			return [{kind: 'breakAnswer', key: request.key, failure}];
		}

		if (savedFailure !== undefined) {
			return getAnswerActions(savedFailure);
		}

		return [{kind: 'failRequest', key: request.key, failure}];
	}

	function getAnswerActions({head, chunks}: SavedAnswer): readonly RelayAction[] {
		const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
		const framing = head.isUndelimited ? [] : ['Content-Length', String(length)];
		return [
			{
				kind: 'startAnswer', key: request.key, status: head.status, headers: [...head.headers, ...framing], isUndelimited: head.isUndelimited,
			},
			...chunks.map((bytes): RelayAction => ({kind: 'writeAnswer', key: request.key, bytes})),
			createEndAction(head.status),
		];
	}

	function createEndAction(status: number): RelayAction {
		const firstEventMs = firstEventAt === undefined ? undefined : firstEventAt - request.arrivedAt;
		return {
			kind: 'endAnswer', key: request.key, outcome: {
				status, sends: sendCount, firstEventMs, longestPauseMs,
			},
		};
	}

	/** Sends the request again where that is allowed, else ends it. */
	function sendAgainOrEnd(failure: Failure, needsBudget: boolean, now: Timestamp): readonly RelayAction[] {
		if (!canSendAgain() || (needsBudget && !host.budget.trySpend(request.service, now))) {
			return end(failure);
		}

		return send(now, failure);
	}

	/** Handles a send whose endpoint may have run the request and gave no valid answer. */
	function handleLoss(result: SendResult, detail: string, now: Timestamp): readonly RelayAction[] {
		const lost = current;
		if (lost === undefined) {
			return [];
		}

		host.registry.recordFailure(lost.placement.endpoint.id, now);
		return [
			...closeSend(result, detail, now),
			...sendAgainOrEnd(createFailure('serverLost', detail), true, now),
		];
	}

	function handleRefusal(head: EndpointAnswerHead, now: Timestamp): readonly RelayAction[] {
		const refused = current;
		if (refused === undefined) {
			return [];
		}

		const endpointId = refused.placement.endpoint.id;
		const faulty = head.faultyAddress === undefined ? undefined : host.registry.findByAddress(head.faultyAddress);
		const isReplaced = head.status === misdirectedStatus;
		if (faulty !== undefined && faulty.id !== endpointId) {
			excluded.delete(endpointId);
			excluded.add(faulty.id);
			// A helper that is busy is named at once, and one that is dead after a stall.
			if (now - refused.sentAt > quickRefusalMs) {
				host.registry.recordFailure(faulty.id, now);
			}
		} else if (isReplaced) {
			host.registry.recordReplaced(endpointId);
		} else {
			host.registry.recordFailure(endpointId, now);
		}

		const closing = closeSend(isReplaced ? 'replaced' : 'notRun', `status ${head.status}`, now);
		const failure = runCount === 0 ? createNotRunFailure('overloaded', undefined, head.retryAfterMs) : createFailure('serverLost');
		return [...closing, ...sendAgainOrEnd(failure, true, now)];
	}

	function cancelCurrent(): readonly RelayAction[] {
		return current === undefined ? [] : [{kind: 'cancelSend', sendId: current.id}];
	}

	function startAnswer(head: EndpointAnswerHead, now: Timestamp): readonly RelayAction[] {
		if (current === undefined) {
			return [];
		}

		if (head.isNotRun || head.status === misdirectedStatus) {
			return handleRefusal(head, now);
		}

		if (head.requestId !== undefined && head.requestId !== request.requestId) {
			return [...cancelCurrent(), ...handleLoss('corrupt', 'the answer belongs to another request', now)];
		}

		if (head.isEncoded || (head.status < firstErrorStatus && !head.hasStamp)) {
			return [...cancelCurrent(), ...handleLoss('corrupt', 'the answer is not the endpoint\'s own', now)];
		}

		current.head = head;
		recordProgress(current, now);
		return [];
	}

	function addBytes(bytes: Uint8Array, now: Timestamp): readonly RelayAction[] {
		if (current?.head === undefined) {
			return [];
		}

		recordProgress(current, now);
		if (!isStreamAnswer(request, current.head)) {
			current.chunks.push(bytes);
			return [];
		}

		const actions: RelayAction[] = [];
		for (const event of current.splitter.addBytes(bytes)) {
			const step = addEvent(event, now);
			if (step === undefined) {
				return [...actions, ...cancelCurrent(), ...handleLoss('corrupt', `event ${event.id ?? ''} is out of order`, now)];
			}

			actions.push(...step);
		}

		return actions;
	}

	/** Passes an event on, or returns `undefined` when it does not follow the last one. */
	function addEvent(event: StreamEvent, now: Timestamp): readonly RelayAction[] | undefined {
		if (current?.head === undefined) {
			return [];
		}

		const number = parseEventNumber(event.id);
		const lastNumber = parseEventNumber(lastEventId);
		if (number !== undefined && lastNumber !== undefined && number !== lastNumber + 1) {
			return undefined;
		}

		lastEventId = event.id ?? lastEventId;
		longestPauseMs = Math.max(longestPauseMs, now - (previousEventAt ?? now));
		previousEventAt = now;
		const actions: RelayAction[] = [];
		if (!current.hasEvents) {
			current.hasEvents = true;
			firstEventAt ??= now;
			host.registry.recordSuccess(current.placement.endpoint.id);
			actions.push(...recordWork({kind: 'writing', id: current.id}, now));
		}

		actions.push(...startStream(current.head), {kind: 'writeAnswer', key: request.key, bytes: event.bytes});
		return actions;
	}

	function startStream(head: EndpointAnswerHead): readonly RelayAction[] {
		if (hasStartedAnswer) {
			return [];
		}

		hasStartedAnswer = true;
		isAnswerUndelimited = head.isUndelimited;
		return [{
			kind: 'startAnswer', key: request.key, status: head.status, headers: head.headers, isUndelimited: head.isUndelimited,
		}];
	}

	function completeAnswer(now: Timestamp): readonly RelayAction[] {
		const finished = current;
		const head = finished?.head;
		if (finished === undefined || head === undefined) {
			return handleLoss('broken', 'the answer has no head', now);
		}

		if (isStreamAnswer(request, head)) {
			return completeStream(finished, head, now);
		}

		if (head.status >= firstServerErrorStatus && mayRepeat) {
			return handleFailedStatus({head, chunks: finished.chunks}, now);
		}

		host.registry.recordSuccess(finished.placement.endpoint.id);
		return [...closeSend('answered', `status ${head.status}`, now), ...complete({head, chunks: finished.chunks})];
	}

	function complete(answer: SavedAnswer): readonly RelayAction[] {
		if (hasStartedAnswer) {
			return end(createFailure('serverFailed', `status ${answer.head.status}`));
		}

		hasEnded = true;
		return getAnswerActions(answer);
	}

	function completeStream(finished: Send, head: EndpointAnswerHead, now: Timestamp): readonly RelayAction[] {
		if (finished.splitter.getIncompleteByteCount() > 0) {
			return handleLoss('broken', 'the stream ended inside an event', now);
		}

		const actions = [...closeSend('answered', `status ${head.status}`, now), ...startStream(head)];
		if (head.isUndelimited && !isAnswerUndelimited) {
			return [...actions, ...end(createFailure('serverLost', 'the stream has no certain end'))];
		}

		hasEnded = true;
		return [...actions, createEndAction(head.status)];
	}

	/** An endpoint that fails requests is not avoided: failing is often the request's own doing. */
	function handleFailedStatus(answer: SavedAnswer, now: Timestamp): readonly RelayAction[] {
		savedFailure = answer;
		return [
			...closeSend('failedStatus', `status ${answer.head.status}`, now),
			...sendAgainOrEnd(createFailure('serverFailed', `status ${answer.head.status}`), true, now),
		];
	}

	function handleTime(now: Timestamp): readonly RelayAction[] {
		if (now >= request.deadlineAt) {
			return [...cancelCurrent(), ...closeSend('deadline', '', now), ...end(createFailure('deadlineExceeded'))];
		}

		if (now >= waitsUntil) {
			return send(now, deferredFailure);
		}

		const renewals = reserve(current?.memory?.takeRenewals(now) ?? []);
		if (current === undefined || now < current.checkAt) {
			return renewals;
		}

		if (current.memory !== undefined && current.memory.getState() !== 'held') {
			return handleMemoryFailure(current, current.memory, now);
		}

		return [...renewals, ...checkSilence(current, now)];
	}

	/** Sends a silent request again if it is lost; an endpoint that was not heard lately is probed first. */
	function checkSilence(silent: Send, now: Timestamp): readonly RelayAction[] {
		const {placement, lastProgressAt, isProbed} = silent;
		const {id} = placement.endpoint;
		silent.checkAt = now + silenceLimits.recheckMs;
		silent.isProbed = false;
		if (!mayRepeat || !canSendAgain()) {
			return [];
		}

		const isOvertaken = host.registry.isOvertaken(id, getSentWork(silent), lastProgressAt);
		if (!isOvertaken && host.registry.isHeardSince(id, now - silenceLimits.minimumMs)) {
			return [];
		}

		if (!isOvertaken && !isProbed) {
			silent.isProbed = true;
			silent.checkAt = now + silenceLimits.probeMs;
			return [{
				kind: 'probeEndpoint', key: request.key, sendId: silent.id, endpoint: placement.endpoint,
			}];
		}

		if (!host.budget.trySpend(request.service, now)) {
			return [];
		}

		host.registry.recordFailure(placement.endpoint.id, now);
		const failure = createFailure('serverLost', 'the endpoint went silent');
		return [...cancelCurrent(), ...closeSend('silent', '', now), ...send(now, failure)];
	}

	/** Returns what tells whether other requests overtook this one; the time of one that is split depends on others. */
	function getSentWork({placement, sentAt}: Send): SentWork {
		return {sentAt, promptTokens: placement.helpers.length === 0 ? request.prompt?.promptTokens ?? 0 : undefined};
	}

	function recordProgress(send: Send, now: Timestamp): void {
		send.lastProgressAt = now;
		send.checkAt = now + getSilenceLimitMs(route, send);
		host.registry.recordProgress(send.placement.endpoint.id, getSentWork(send), now);
	}

	function apply(event: RelayEvent, now: Timestamp): readonly RelayAction[] {
		switch (event.kind) {
			case 'started': {
				return start(now);
			}

			case 'answerStarted': {
				return event.sendId === current?.id ? startAnswer(event.head, now) : [];
			}

			case 'answerBytes': {
				return event.sendId === current?.id ? addBytes(event.bytes, now) : [];
			}

			case 'answerEnded': {
				return event.sendId === current?.id ? completeAnswer(now) : [];
			}

			case 'sendFailed': {
				return event.sendId === current?.id ? handleSendFailure(event.wasSent, event.detail, now) : [];
			}

			case 'probeAnswered': {
				if (event.sendId === current?.id) {
					host.registry.recordAlive(current.placement.endpoint.id, now);
				}

				return [];
			}

			case 'memoryAnswered': {
				return recordMemory(event.reservationId, event.isHeld, now);
			}

			case 'clientGone': {
				hasEnded = true;
				return [...cancelCurrent(), ...closeSend('clientGone', '', now), {kind: 'forgetRequest', key: request.key}];
			}

			case 'timePassed': {
				return handleTime(now);
			}
		}
	}

	function handleSendFailure(wasSent: boolean, detail: string, now: Timestamp): readonly RelayAction[] {
		if (wasSent) {
			return handleLoss('broken', detail, now);
		}

		if (current !== undefined) {
			host.registry.recordFailure(current.placement.endpoint.id, now);
		}

		const closing = closeSend('notRun', detail, now);
		return [...closing, ...sendAgainOrEnd(runCount === 0 ? createNotRunFailure('overloaded', detail) : createFailure('serverLost', detail), false, now)];
	}

	return {
		step: (event, now) => hasEnded ? [] : apply(event, now),
		getWakeAt: () => Math.min(
			request.deadlineAt,
			waitsUntil,
			current?.checkAt ?? Number.POSITIVE_INFINITY,
			current?.memory?.getRenewAt() ?? Number.POSITIVE_INFINITY,
		),
		isEnded: () => hasEnded,
	};
}
