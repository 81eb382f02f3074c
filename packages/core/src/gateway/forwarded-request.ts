/**
The state machine of one request, from its first send to its single final outcome.

A repeatable request is sent again when its endpoint fails; a resumable stream continues after its last complete event.
Any other request is sent again only if it is certain that it hasn't run. A request that may have run is never reported
to its caller as not run.
*/
import {createByteStore} from '../byte-buffer.js';
import {createNotRunFailure, type ErrorKind, type Failure} from '../errors.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointRegistry, SentRequest} from './endpoint-registry.js';
import {createEventSplitter, type StreamEvent} from './event-splitter.js';
import type {
	EndpointId, EndpointReport, EndpointResponseHead, GatewayRequest, ListedEndpoint, ReportedLoad,
} from './gateway-types.js';
import type {WorkChange} from './load-view.js';
import {
	createMemoryReservation, getMemoryUseLimits, reservationHoldMs, type MemoryReservation, type Reservation, type ReservationId,
} from './memory-reservation.js';
import type {Placement} from './placement.js';
import type {
	GatewayAction, RequestEvent, SendId, SendResult, SilenceOutcome,
} from './gateway-events.js';
import {
	getSilenceTimeoutMs, hasPaused, isLeftUnread, isStreamResponse, learnedPauses, maximumEventBytes, minimumProgressBytes, parseEventNumber, pauseSend, resumeSend,
	silenceTimeouts, type SavedResponse, type Send,
} from './request-send.js';
import type {RetryQuota} from './retry-quota.js';
import {getResponseVerdict, type ResponseVerdict} from './response-verdict.js';
import type {WorkObservation} from './work-routing.js';
import {createPlacementReport, createSendEndReport, createSilenceReports} from './send-reports.js';

/** Services that the gateway provides to its requests. */
export type RequestContext = Readonly<{
	registry: EndpointRegistry;
	retryQuota: RetryQuota;
	/** Time for which the platform allows reserved memory to be unused. */
	memoryIdleMs: Milliseconds;
	createSendId(): SendId;
	/** Returns a reservation id that is unique across all gateways. */
	createReservationId(sendId: SendId, index: number): ReservationId;
	/** Chooses the endpoints of a request, or defers or refuses it. */
	choosePlacement(request: GatewayRequest, excluded: ReadonlySet<EndpointId>, now: Timestamp): PlacementDecision;
	/** Returns whether the request may be sent to the endpoint, which may have changed since it was chosen. */
	isPermitted(request: GatewayRequest, endpoint: ListedEndpoint): boolean;
	checkCredential(request: GatewayRequest, now: Timestamp): Failure | undefined;
	/** Returns whether the request may run more than once, also by what its route says now. */
	mayRepeat(request: GatewayRequest): boolean;
	/** Records that the connection of a request broke at an endpoint that may have run it. */
	recordBrokenSend(request: GatewayRequest, endpoint: ListedEndpoint, now: Timestamp): readonly GatewayAction[];
	/** Records that an endpoint could not be reached. */
	recordUnreachable(endpoint: EndpointId, now: Timestamp): readonly GatewayAction[];
	/** Records that an endpoint says it is leaving. */
	recordLeaving(endpoint: ListedEndpoint): readonly GatewayAction[];
	/** Records the limit that an endpoint names in a response. */
	recordLimit(endpoint: EndpointId, requestsPerSecond: number | undefined, now: Timestamp): readonly GatewayAction[];
	/** Records for how long an endpoint says in a response that it stays cold. */
	recordCold(endpoint: EndpointId, remainingMs: Milliseconds | undefined, now: Timestamp): readonly GatewayAction[];
	/** Records that an endpoint has completed a response to the request. */
	recordCompletion(request: GatewayRequest, now: Timestamp): readonly GatewayAction[];
	/** Records that an endpoint has completed a response, unless it has crashed and the end of its connection only looks like that. */
	recordUncertainCompletion(request: GatewayRequest, endpoint: ListedEndpoint, now: Timestamp): readonly GatewayAction[];
	/** Learns what a send shows of the work of its request and of its endpoint. */
	learnWork(observation: WorkObservation, now: Timestamp): readonly GatewayAction[];
	/** Applies a change of this gateway's open requests to its own load view. */
	recordWork(change: WorkChange, now: Timestamp): void;
}>;

export type PlacementDecision
	/** `trialActions` are due if the request is sent to learn whether quarantined segments are sound. */
	= | Readonly<{kind: 'placed'; placement: Placement; candidates: number; trialActions: readonly GatewayAction[]}>
	/** The request waits, and its placement is retried at `untilAt`. */
		| Readonly<{kind: 'deferred'; untilAt: Timestamp; reports: readonly GatewayAction[]}>
		| Readonly<{kind: 'refused'; failure: Failure}>;

export type ForwardedRequest = Readonly<{
	step(event: RequestEvent, now: Timestamp): readonly GatewayAction[];
	/** Returns when the next `timePassed` is due. */
	getWakeAt(): Timestamp;
	isEnded(): boolean;
}>;

/** Number of sends that endpoints may refuse as not run, in addition to the route's limit of endpoints. */
const maximumRefusedSends = 3;
/** Number of sends that don't reach an endpoint, such as refused connections; each costs little, and they don't count otherwise. */
const maximumUnreachedSends = 20;
/** Retry delay for callers when no endpoint could be reached; about the time until a server is back or no longer listed. */
const unreachableRetryMs: Milliseconds = 1000;
/** Maximum delay with which an endpoint reports a busy helper; a later refusal means that the helper failed. */
const maximumRefusalDelayMs: Milliseconds = 500;
/** Maximum number of failed reservation attempts that are followed by another one. */
const maximumFailedReservations = 3;
/** Timeout of a memory reservation; short, since the first event is due within seconds. */
const reservationTimeoutMs: Milliseconds = 400;
/** Minimum remaining time for which a request is still sent. */
const minimumSendMs: Milliseconds = 30;

const firstErrorStatus = 300;
const firstServerErrorStatus = 500;
/** Statuses whose responses have neither a body nor a length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
const misdirectedStatus = 421;
const unavailableStatus = 503;

type EventArrival = Readonly<{now: Timestamp; isPauseLearned: boolean}>;

/** Creates the state machine of one request. */
export function createForwardedRequest(request: GatewayRequest, context: RequestContext): ForwardedRequest {
	const {route} = request;
	const excluded = new Set<EndpointId>();
	let sendCount = 0;
	let unreachedCount = 0;
	let failedReservations = 0;
	/** Number of sends that may have run the request, including the current one. */
	let possibleRunCount = 0;
	let current: Send | undefined;
	let lastResult: SendResult | undefined;
	/** Latest error response from an endpoint; the caller receives it if no later send succeeds. */
	let savedErrorResponse: SavedResponse | undefined;
	/** When the placement of a deferred request is retried. */
	let deferredUntil = Number.POSITIVE_INFINITY;
	/** Failure of the last send, kept while the next one is deferred. */
	let deferredFailure: Failure | undefined;
	let hasStartedResponse = false;
	let {lastEventId} = request;
	let firstEventAt: Timestamp | undefined;
	let previousEventAt: Timestamp | undefined;
	let longestPauseMs: Milliseconds = 0;
	let hasEnded = false;

	function canRetry(): boolean {
		if (unreachedCount > maximumUnreachedSends || sendCount - unreachedCount >= route.maximumEndpoints + maximumRefusedSends || possibleRunCount >= route.maximumEndpoints) {
			return false;
		}

		return isKnownNotRun() || mayRepeat();
	}

	function mayRepeat(): boolean {
		return context.mayRepeat(request);
	}

	function isKnownNotRun(): boolean {
		return possibleRunCount === 0;
	}

	function start(now: Timestamp): readonly GatewayAction[] {
		context.retryQuota.recordRequest(request.service, now);
		return send(now, undefined);
	}

	/** Chooses a placement and sends the request there, defers the request, or ends it if neither is possible. */
	function send(now: Timestamp, lastFailure: Failure | undefined): readonly GatewayAction[] {
		const remainingMs = request.deadlineAt - now;
		if (remainingMs < minimumSendMs) {
			return endWithFailure(lastFailure ?? createNotRunFailure('deadlineUnreachable', 'no time is left', 0));
		}

		if (!isKnownNotRun() && !mayRepeat()) {
			return endWithFailure(lastFailure ?? createFailure('serverLost'));
		}

		const refusal = context.checkCredential(request, now);
		if (refusal !== undefined) {
			return endWithFailure(isKnownNotRun() ? refusal : lastFailure ?? createFailure('serverLost'));
		}

		deferredUntil = Number.POSITIVE_INFINITY;
		const decision = context.choosePlacement(request, excluded, now);
		if (decision.kind === 'deferred') {
			deferredUntil = decision.untilAt;
			deferredFailure = lastFailure;
			return decision.reports;
		}

		if (decision.kind === 'refused') {
			return endWithFailure(lastFailure ?? decision.failure);
		}

		const {placement} = decision;
		const sendId = context.createSendId();
		sendCount += 1;
		possibleRunCount += 1;
		current = {
			id: sendId,
			placement,
			splitter: createEventSplitter(),
			body: createByteStore(),
			memory: createSendReservation(placement, sendId, now),
			head: undefined,
			evidence: undefined,
			sentAt: now,
			dispatchedAt: undefined,
			lastProgressAt: now,
			checkAt: now,
			isProbed: false,
			unproductiveBytes: 0,
			reportedOutcomes: new Set(),
			hasEvents: false,
			pausedAt: undefined,
			pausedMs: 0,
			wasLeftUnread: false,
			pausesMs: [],
		};
		current.checkAt = now + (current.memory === undefined ? getSilenceTimeoutMs(route, current) : reservationTimeoutMs);
		excluded.add(placement.endpoint.id);
		return [
			...decision.trialActions,
			createPlacementReport(request, current, {candidates: decision.candidates, resentAfter: lastResult}),
			...recordWork({
				kind: 'started',
				work: {
					id: sendId,
					endpoint: placement.endpoint.id,
					helpers: placement.helpers.map(({endpoint, reservedTokens}) => ({endpoint: endpoint.id, reservedTokens})),
					promptTokens: request.prompt?.promptTokens ?? 0,
					readMs: placement.prefillMs,
					longestPauseMs: route.longestPauseMs,
					priority: request.priority,
					serviceMs: placement.serviceMs ?? 0,
				},
			}, now),
			...current.memory === undefined ? dispatchSend(current, now) : reserve(current.memory.reservations),
		];
	}

	function createSendReservation(placement: Placement, sendId: SendId, now: Timestamp): MemoryReservation | undefined {
		const reservations = placement.helpers.flatMap(({endpoint, reservedTokens}, index) => reservedTokens === 0
			? []
			: [{
				id: context.createReservationId(sendId, index), endpoint, tokens: reservedTokens, holdMs: reservationHoldMs,
			}]);
		return reservations.length === 0
			? undefined
			: createMemoryReservation(reservations, getMemoryUseLimits(placement.firstEventMs, context.memoryIdleMs), now);
	}

	function reserve(reservations: readonly Reservation[]): readonly GatewayAction[] {
		return reservations.map((reservation): GatewayAction => ({kind: 'reserveMemory', key: request.key, reservation}));
	}

	/** Sends the request to its endpoint; called once its memory is reserved. */
	function dispatchSend(dispatched: Send, now: Timestamp): readonly GatewayAction[] {
		const {id, placement, memory} = dispatched;
		dispatched.dispatchedAt = now;
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

	function recordReservationResponse(reservationId: ReservationId, isHeld: boolean, now: Timestamp): readonly GatewayAction[] {
		if (current?.memory?.getState() !== 'waiting') {
			return [];
		}

		switch (current.memory.recordResponse(reservationId, isHeld)) {
			case 'waiting': {
				return [];
			}

			case 'held': {
				if (!mayDispatch(current, now)) {
					return abandonForbiddenSend(current, now);
				}

				current.checkAt = now + getSilenceTimeoutMs(route, current);
				return dispatchSend(current, now);
			}

			case 'failed': {
				return handleReservationFailure(current, current.memory, now);
			}
		}
	}

	/** Returns whether a send may still be made once its memory is reserved: its endpoints, the key or the route may have changed. */
	function mayDispatch({placement}: Send, now: Timestamp): boolean {
		const isFirstRun = possibleRunCount === 1;
		return isPlacementPermitted(placement) && context.checkCredential(request, now) === undefined && (isFirstRun || mayRepeat());
	}

	function isPlacementPermitted({endpoint, helpers}: Placement): boolean {
		return [endpoint, ...helpers.map(helper => helper.endpoint)].every(other => context.isPermitted(request, other));
	}

	/** Abandons a send that may no longer be made, though memory is reserved, and tries other endpoints if there may be another send. */
	function abandonForbiddenSend({placement}: Send, now: Timestamp): readonly GatewayAction[] {
		excluded.delete(placement.endpoint.id);
		const closeActions = closeSend('forbidden', 'the request may no longer be sent to the endpoints', now);
		return [...closeActions, ...send(now, isKnownNotRun() ? undefined : createFailure('serverLost'))];
	}

	/** Abandons a send whose memory could not be reserved, and tries other endpoints. */
	function handleReservationFailure({placement}: Send, memory: MemoryReservation, now: Timestamp): readonly GatewayAction[] {
		failedReservations += 1;
		excluded.delete(placement.endpoint.id);
		for (const {id} of memory.getFailedEndpoints()) {
			excluded.add(id);
		}

		const closeActions = closeSend('noMemory', memory.getFailedEndpoints().map(({id}) => id).join(','), now);
		const failure = isKnownNotRun() ? createNotRunFailure('overloaded', 'no memory is free') : createFailure('serverLost');
		return [...closeActions, ...(failedReservations > maximumFailedReservations ? endWithFailure(failure) : send(now, failure))];
	}

	function recordWork(change: WorkChange, now: Timestamp): readonly GatewayAction[] {
		context.recordWork(change, now);
		return [{kind: 'publishChange', change}];
	}

	/** Creates a failure that is reported as not run only if no endpoint may have run the request. */
	function createFailure(kind: ErrorKind, detail?: string): Failure {
		return isKnownNotRun() ? createNotRunFailure(kind, detail) : {kind, ran: 'unknown', detail};
	}

	/** Closes the current send and releases its load and memory. */
	function closeSend(result: SendResult, detail: string, now: Timestamp): readonly GatewayAction[] {
		const closedSend = current;
		if (closedSend === undefined) {
			return [];
		}

		current = undefined;
		lastResult = result;
		const hasNotRun = result === 'notRun' || result === 'replaced' || result === 'noMemory' || result === 'forbidden';
		if (hasNotRun) {
			possibleRunCount -= 1;
		}

		return [
			...recordWork({kind: 'ended', id: closedSend.id}, now),
			...closedSend.memory?.reservations.map((reservation): GatewayAction => ({kind: 'releaseMemory', reservation})) ?? [],
			createSendEndReport(request.key, closedSend, {result, mayHaveRun: !hasNotRun, detail}),
			...learnOverdue(closedSend, result, now),
		];
	}

	/** Ends the request: breaks off a response that has started, or else returns the saved error response or the failure. */
	function endWithFailure(failure: Failure): readonly GatewayAction[] {
		hasEnded = true;
		if (hasStartedResponse) {
			return [{kind: 'breakResponse', key: request.key, failure}];
		}

		if (savedErrorResponse !== undefined) {
			return createResponseActions(savedErrorResponse);
		}

		return [{kind: 'failRequest', key: request.key, failure}];
	}

	/**
	Returns a complete response with its length, however the endpoint delimited it: what ends it early on the way to the caller, the end of the
	gateway's process too, must not look like its end.
	*/
	function createResponseActions({head, parts}: SavedResponse): readonly GatewayAction[] {
		const length = parts.reduce((sum, part) => sum + part.length, 0);
		const framing = bodilessStatuses.has(head.status) ? [] : ['Content-Length', String(length)];
		return [
			{
				kind: 'startResponse', key: request.key, status: head.status, headers: [...head.headers, ...framing],
			},
			...parts.map((bytes): GatewayAction => ({kind: 'writeResponse', key: request.key, bytes})),
			createEndAction(head.status),
		];
	}

	function createEndAction(status: number): GatewayAction {
		const firstEventMs = firstEventAt === undefined ? undefined : firstEventAt - request.arrivedAt;
		return {
			kind: 'endResponse', key: request.key, summary: {
				status, sends: sendCount, firstEventMs, longestPauseMs,
			},
		};
	}

	/** Sends the request again if its route and the gateway's retry quota allow it; otherwise ends it with the failure. */
	function retryOrEnd(failure: Failure, needsQuota: boolean, now: Timestamp): readonly GatewayAction[] {
		if (!canRetry() || (needsQuota && !context.retryQuota.tryTake(request.service, now))) {
			return endWithFailure(failure);
		}

		return send(now, failure);
	}

	/** Handles a send without a valid response whose endpoint may have run the request. */
	function handleLostSend(result: SendResult, detail: string, now: Timestamp): readonly GatewayAction[] {
		const lostSend = current;
		if (lostSend === undefined) {
			return [];
		}

		const {endpoint} = lostSend.placement;
		context.registry.recordFailure(endpoint.id, now);
		return [
			...closeSend(result, detail, now),
			...(result === 'broken' ? context.recordBrokenSend(request, endpoint, now) : []),
			...retryOrEnd(createFailure('serverLost', detail), true, now),
		];
	}

	/**
	Handles a send whose connection broke. One that the gateway had not read from for long says nothing of its endpoint, which may have cut off
	what nobody reads. While the caller still doesn't read, the request isn't sent again.
	*/
	function handleBrokenSend(detail: string, now: Timestamp): readonly GatewayAction[] {
		if (current === undefined || !isLeftUnread(current, now)) {
			return handleLostSend('broken', detail, now);
		}

		const isPaused = current.pausedAt !== undefined;
		const closeActions = closeSend('unread', detail, now);
		const failure = createFailure('serverLost', 'the response was cut off since the caller did not read it');
		return [...closeActions, ...(isPaused ? endWithFailure(failure) : retryOrEnd(failure, true, now))];
	}

	/** Handles a refusal: the endpoint hasn't run the request. Another endpoint may respond at its address. */
	function handleRefusal(head: EndpointResponseHead, now: Timestamp): readonly GatewayAction[] {
		const refusedSend = current;
		if (refusedSend === undefined) {
			return [];
		}

		const {id: endpointId, address} = refusedSend.placement.endpoint;
		const isMisdirected = head.status === misdirectedStatus;
		const faulty = head.faultyAddress === undefined || head.faultyAddress === address ? undefined : context.registry.findByAddress(head.faultyAddress);
		if (faulty === undefined && isMisdirected) {
			context.registry.recordMisdirected(endpointId, now);
		} else if (faulty === undefined) {
			context.registry.recordFailure(endpointId, now);
		} else {
			excluded.delete(endpointId);
			excluded.add(faulty.id);
			// The endpoint reports a busy helper at once, and a dead one only after waiting for it.
			if (now - refusedSend.sentAt > maximumRefusalDelayMs) {
				context.registry.recordFailure(faulty.id, now);
			}
		}

		// A copy of the refusal may follow on the connection, where the response to another send of the request to this address is expected.
		const cancelActions = cancelCurrentSend(faulty !== undefined || isMisdirected ? 'abort' : 'discard');
		const closeActions = closeSend(isMisdirected ? 'replaced' : 'notRun', `status ${head.status}`, now);
		const failure = isKnownNotRun() ? createNotRunFailure('overloaded', undefined, head.retryAfterMs) : createFailure('serverLost');
		return [...cancelActions, ...closeActions, ...retryOrEnd(failure, true, now)];
	}

	function cancelCurrentSend(how: 'abort' | 'discard' = 'abort'): readonly GatewayAction[] {
		return current === undefined ? [] : [{kind: 'cancelSend', sendId: current.id, how}];
	}

	/**
	Handles a response whose status is that of a refusal though the request may have run. Passed on, the status would tell the caller that it
	has not.
	*/
	function handleUnprovenRefusal({status}: EndpointResponseHead, now: Timestamp): readonly GatewayAction[] {
		if (current === undefined) {
			return [];
		}

		const detail = `status ${status} without a valid statement`;
		context.registry.recordFailure(current.placement.endpoint.id, now);
		// Nothing says that the real response doesn't follow.
		return [...cancelCurrentSend(), ...closeSend('failedStatus', detail, now), ...retryOrEnd(createFailure('serverFailed', detail), true, now)];
	}

	function startResponse(head: EndpointResponseHead, now: Timestamp): readonly GatewayAction[] {
		if (current === undefined) {
			return [];
		}

		const verdict = getResponseVerdict(head, request.requestId);
		current.evidence = {
			status: head.status, verdict, id: head.requestId, refusalText: head.refusalText,
		};
		// A limit or a status counts only if the response belongs to this request. One without an id may be left over from a control request.
		if (verdict === 'foreign') {
			return [...cancelCurrentSend(), ...handleLostSend('corrupt', 'the answer belongs to another request', now)];
		}

		const {id} = current.placement.endpoint;
		const limitActions = head.status === misdirectedStatus
			? []
			: [...context.recordLimit(id, head.requestsPerSecond, now), ...context.recordCold(id, head.coldRemainingMs, now)];
		if (head.status === unavailableStatus && head.retryAfterMs !== undefined) {
			context.registry.recordRest(current.placement.endpoint.id, head.retryAfterMs, now);
		}

		// A misdirected response comes from another endpoint at the address.
		const leavingActions = head.isLeaving && head.status !== misdirectedStatus ? context.recordLeaving(current.placement.endpoint) : [];
		return [...limitActions, ...leavingActions, ...applyHead(head, verdict, now)];
	}

	function applyHead(head: EndpointResponseHead, verdict: Exclude<ResponseVerdict, 'foreign'>, now: Timestamp): readonly GatewayAction[] {
		switch (verdict) {
			case 'notRun': {
				return handleRefusal(head, now);
			}

			case 'unproven': {
				return handleUnprovenRefusal(head, now);
			}

			case 'answered': {
				return receiveAnswer(head, now);
			}
		}
	}

	function receiveAnswer(head: EndpointResponseHead, now: Timestamp): readonly GatewayAction[] {
		if (current === undefined) {
			return [];
		}

		if (head.isEncoded || (head.status < firstErrorStatus && !head.hasStamp)) {
			return [...cancelCurrentSend(), ...handleLostSend('corrupt', 'the answer is not the endpoint\'s own', now)];
		}

		current.head = head;
		recordProgress(current, now);
		return head.load === undefined ? [] : learnLoad(head.load, now);
	}

	function addBytes(bytes: Uint8Array, isFragmented: boolean, now: Timestamp): readonly GatewayAction[] {
		if (current?.head === undefined) {
			return [];
		}

		current.unproductiveBytes += bytes.length;
		if (!isStreamResponse(request, current.head)) {
			current.body.add(bytes);
			if (current.unproductiveBytes >= minimumProgressBytes && !isFragmented) {
				recordProgress(current, now);
			}

			return [];
		}

		return addStreamBytes(current, current.head, bytes, now);
	}

	/** Delivers the events that the bytes complete, in one write. */
	function addStreamBytes(send: Send, head: EndpointResponseHead, bytes: Uint8Array, now: Timestamp): readonly GatewayAction[] {
		const actions: GatewayAction[] = [];
		let detail: string | undefined;
		let hasContent = false;
		let eventCount = 0;
		const delivered = send.splitter.addBytes(bytes, event => {
			eventCount += 1;
			const eventActions = deliverEvent(send, head, event, {now, isPauseLearned: eventCount <= learnedPauses});
			if (eventActions === undefined) {
				detail = `event ${event.id ?? ''} is out of order`;
				return false;
			}

			actions.push(...eventActions);
			hasContent ||= event.hasContent;
			return true;
		});
		if (hasContent) {
			recordProgress(send, now);
		}

		if (delivered.length > 0) {
			actions.push({kind: 'writeResponse', key: request.key, bytes: delivered});
		}

		if (Math.max(send.unproductiveBytes, send.splitter.getIncompleteByteCount()) > maximumEventBytes) {
			detail ??= 'an event exceeds the maximum length';
		}

		return detail === undefined ? actions : [...actions, ...cancelCurrentSend(), ...handleLostSend('corrupt', detail, now)];
	}

	/**
	Returns what the delivery of an event requires before it is written, or `undefined` if its number doesn't follow the last one. What many
	events that are read together show of their endpoint's times is learned from the first ones.
	*/
	function deliverEvent(send: Send, head: EndpointResponseHead, event: StreamEvent, {now, isPauseLearned}: EventArrival): readonly GatewayAction[] | undefined {
		const number = parseEventNumber(event.id);
		const lastNumber = parseEventNumber(lastEventId);
		if (number !== undefined && lastNumber !== undefined && number !== lastNumber + 1) {
			return undefined;
		}

		lastEventId = event.id ?? lastEventId;
		const pauseMs = now - (previousEventAt ?? now);
		longestPauseMs = Math.max(longestPauseMs, pauseMs);
		previousEventAt = now;
		const actions: GatewayAction[] = [];
		if (send.hasEvents) {
			actions.push(...(isPauseLearned ? learnPause(send, pauseMs, now) : []));
		} else {
			send.hasEvents = true;
			firstEventAt ??= now;
			context.registry.recordSuccess(send.placement.endpoint.id);
			actions.push(...recordWork({kind: 'writing', id: send.id}, now), ...learnTime(send, now));
		}

		actions.push(...startStream(head));
		return actions;
	}

	function learnLoad(load: ReportedLoad, now: Timestamp): readonly GatewayAction[] {
		return current === undefined || request.prompt !== undefined
			? []
			: context.learnWork({
				kind: 'loadReported', service: request.service, endpoint: current.placement.endpoint.id, load,
			}, now);
	}

	function learnTime(send: Send, now: Timestamp): readonly GatewayAction[] {
		const {placement, sentAt, dispatchedAt} = send;
		return hasPaused(send)
			? []
			: context.learnWork({
				kind: 'responseTimed', request, placement, observedMs: now - (dispatchedAt ?? sentAt),
			}, now);
	}

	function learnPause(send: Send, pauseMs: Milliseconds, now: Timestamp): readonly GatewayAction[] {
		// What has come while the gateway didn't read arrives at once.
		if (hasPaused(send)) {
			return [];
		}

		send.pausesMs = [...send.pausesMs, pauseMs];
		if (send.pausesMs.length < learnedPauses) {
			return [];
		}

		const {pausesMs, placement} = send;
		send.pausesMs = [];
		return context.learnWork({
			kind: 'pausesTimed', request, placement, pausesMs,
		}, now);
	}

	/** Learns from a send that ends without a response since that takes too long. */
	function learnOverdue(closedSend: Send, result: SendResult, now: Timestamp): readonly GatewayAction[] {
		const {placement, dispatchedAt, hasEvents} = closedSend;
		const isOverdue = result === 'clientGone' || result === 'deadline' || result === 'silent';
		return isOverdue && !hasEvents && dispatchedAt !== undefined && !hasPaused(closedSend)
			? context.learnWork({
				kind: 'responseOverdue', request, placement, waitedMs: now - dispatchedAt,
			}, now)
			: [];
	}

	/**
	Starts a stream, in chunks however the endpoint delimits its own: events are forwarded as they arrive, and what ends in between,
	the gateway's process too, must not look like the end of the stream.
	*/
	function startStream(head: EndpointResponseHead): readonly GatewayAction[] {
		if (hasStartedResponse) {
			return [];
		}

		hasStartedResponse = true;
		return [{
			kind: 'startResponse', key: request.key, status: head.status, headers: head.headers,
		}];
	}

	function completeResponse(now: Timestamp): readonly GatewayAction[] {
		const finishedSend = current;
		const head = finishedSend?.head;
		if (finishedSend === undefined || head === undefined) {
			return handleLostSend('broken', 'the answer has no head', now);
		}

		if (isStreamResponse(request, head)) {
			return completeStream(finishedSend, head, now);
		}

		if (head.status >= firstServerErrorStatus && mayRepeat()) {
			return handleFailedStatus({head, parts: finishedSend.body.getParts()}, now);
		}

		context.registry.recordSuccess(finishedSend.placement.endpoint.id);
		return [
			...closeSend('answered', `status ${head.status}`, now),
			// An error says nothing of the work that the request would have been.
			...(head.status < firstErrorStatus ? [...recordCompletion(finishedSend, head, now), ...learnTime(finishedSend, now)] : []),
			...endWithResponse({head, parts: finishedSend.body.getParts()}),
		];
	}

	/** Ends the request with a complete response, or breaks off a stream that has started, which no other response can replace. */
	function endWithResponse(response: SavedResponse): readonly GatewayAction[] {
		if (hasStartedResponse) {
			return endWithFailure(createFailure('serverFailed', `status ${response.head.status}`));
		}

		hasEnded = true;
		return createResponseActions(response);
	}

	function recordCompletion({placement}: Send, head: EndpointResponseHead, now: Timestamp): readonly GatewayAction[] {
		return head.isUndelimited ? context.recordUncertainCompletion(request, placement.endpoint, now) : context.recordCompletion(request, now);
	}

	function completeStream(finishedSend: Send, head: EndpointResponseHead, now: Timestamp): readonly GatewayAction[] {
		if (finishedSend.splitter.getIncompleteByteCount() > 0) {
			return handleBrokenSend('the stream ended inside an event', now);
		}

		// Only the end of the connection delimits it, and an endpoint that cuts off what isn't read closes it, too.
		if (head.isUndelimited && isLeftUnread(finishedSend, now)) {
			return handleBrokenSend('the end of an undelimited stream is uncertain', now);
		}

		hasEnded = true;
		return [...closeSend('answered', `status ${head.status}`, now), ...recordCompletion(finishedSend, head, now), ...startStream(head), createEndAction(head.status)];
	}

	/** Retries after an error status. The endpoint isn't penalised, since the request itself is often the cause. */
	function handleFailedStatus(response: SavedResponse, now: Timestamp): readonly GatewayAction[] {
		savedErrorResponse = response;
		return [
			...closeSend('failedStatus', `status ${response.head.status}`, now),
			...retryOrEnd(createFailure('serverFailed', `status ${response.head.status}`), true, now),
		];
	}

	function handleTimePassed(now: Timestamp): readonly GatewayAction[] {
		if (now >= request.deadlineAt) {
			return [...cancelCurrentSend(), ...closeSend('deadline', '', now), ...endWithFailure(createFailure('deadlineExceeded'))];
		}

		if (now >= deferredUntil) {
			return send(now, deferredFailure);
		}

		if (current?.memory !== undefined && current.pausedAt === undefined) {
			const memoryActions = checkMemoryUse(current, current.memory, now);
			if (memoryActions.length > 0) {
				return memoryActions;
			}
		}

		const renewals = reserve(current?.memory?.takeDueRenewals(now) ?? []);
		if (current === undefined || now < current.checkAt) {
			return renewals;
		}

		if (current.memory !== undefined && current.memory.getState() !== 'held') {
			return handleReservationFailure(current, current.memory, now);
		}

		return [...renewals, ...checkSilence(current, now)];
	}

	/** Checks whether the memory of a send without progress is used, and abandons the send if it isn't. */
	function checkMemoryUse(silentSend: Send, memory: MemoryReservation, now: Timestamp): readonly GatewayAction[] {
		const check = memory.takeUseCheck(now);
		switch (check.kind) {
			case 'none': {
				return [];
			}

			case 'ask': {
				return check.reservations.map(({endpoint}): GatewayAction => ({kind: 'probeEndpoint', key: request.key, endpoint}));
			}

			case 'unused': {
				const mayRetry = canRetry() && context.retryQuota.tryTake(request.service, now);
				return mayRetry || check.isOverdue
					? abandonUnusedMemory(silentSend, check.holders, mayRetry, now)
					: reportSilence(silentSend, canRetry() ? 'quotaExhausted' : 'retryForbidden', now);
			}
		}
	}

	/** Ends a send whose memory is unused. The request is sent again if it may be, or else ends. */
	function abandonUnusedMemory({placement}: Send, holders: readonly ListedEndpoint[], mayRetry: boolean, now: Timestamp): readonly GatewayAction[] {
		context.registry.recordFailure(placement.endpoint.id, now);
		const closeActions = [...cancelCurrentSend(), ...closeSend('memoryUnused', holders.map(({id}) => id).join(','), now)];
		const failure = createFailure('serverLost', 'the endpoint did not begin the request');
		return [...closeActions, ...(mayRetry ? send(now, failure) : endWithFailure(failure))];
	}

	/**
	Checks a send without recent progress. The request is sent again if its endpoint has begun to answer a later request of
	at least its length, or doesn't answer a probe, or reports that it has no open request. The endpoint is probed only if
	nothing was received from it recently. A response that only dribbles needs no further proof.
	*/
	function checkSilence(silentSend: Send, now: Timestamp): readonly GatewayAction[] {
		const {placement, lastProgressAt, isProbed} = silentSend;
		const {id} = placement.endpoint;
		silentSend.checkAt = now + silenceTimeouts.recheckMs;
		silentSend.isProbed = false;
		if (!mayRepeat() || !canRetry()) {
			return reportSilence(silentSend, 'retryForbidden', now);
		}

		if (silentSend.unproductiveBytes > 0) {
			return abandonSilentSend(silentSend, 'the response does not progress', now);
		}

		const isOvertaken = context.registry.isOvertaken(id, getSentRequest(silentSend), lastProgressAt);
		if (!isOvertaken && context.registry.hasRespondedSince(id, now - silenceTimeouts.minimumMs)) {
			return reportSilence(silentSend, 'endpointResponded', now);
		}

		if (!isOvertaken && !isProbed) {
			silentSend.isProbed = true;
			silentSend.checkAt = now + silenceTimeouts.probeMs;
			return [
				...reportSilence(silentSend, 'probed', now),
				{kind: 'probeEndpoint', key: request.key, endpoint: placement.endpoint},
			];
		}

		return abandonSilentSend(silentSend, 'the endpoint went silent', now);
	}

	/** Sends the request of a silent send to another endpoint if the retry quota allows it. */
	function abandonSilentSend(silentSend: Send, detail: string, now: Timestamp): readonly GatewayAction[] {
		silentSend.isProbed = false;
		if (!canRetry()) {
			return reportSilence(silentSend, 'retryForbidden', now);
		}

		if (!context.retryQuota.tryTake(request.service, now)) {
			return reportSilence(silentSend, 'quotaExhausted', now);
		}

		context.registry.recordFailure(silentSend.placement.endpoint.id, now);
		return [
			...reportSilence(silentSend, 'abandoned', now),
			...cancelCurrentSend(),
			...closeSend('silent', detail, now),
			...send(now, createFailure('serverLost', detail)),
		];
	}

	function reportSilence(silentSend: Send, outcome: SilenceOutcome, now: Timestamp): readonly GatewayAction[] {
		return createSilenceReports(request.key, silentSend, outcome, now - silentSend.lastProgressAt);
	}

	/** Returns a send's data for the overtaking check, without `promptTokens` if the prompt is split, since the response then also depends on the helpers. */
	function getSentRequest({placement, sentAt}: Send): SentRequest {
		return {sentAt, promptTokens: placement.helpers.length === 0 ? request.prompt?.promptTokens ?? 0 : undefined};
	}

	/** Begins or ends a pause of the gateway's reading, which is no pause of the stream. */
	function updateReading(isPaused: boolean, now: Timestamp): void {
		if (current === undefined) {
			return;
		}

		if (isPaused) {
			pauseSend(current, now);
		} else {
			const pausedMs = resumeSend(route, current, now);
			previousEventAt = previousEventAt === undefined ? undefined : previousEventAt + pausedMs;
		}
	}

	function recordProgress(send: Send, now: Timestamp): void {
		send.lastProgressAt = now;
		send.unproductiveBytes = 0;
		send.isProbed = false;
		send.memory?.recordProgress(now);
		send.checkAt = send.pausedAt === undefined ? now + getSilenceTimeoutMs(route, send) : Number.POSITIVE_INFINITY;
		context.registry.recordProgress(send.placement.endpoint.id, getSentRequest(send), now);
	}

	function apply(event: RequestEvent, now: Timestamp): readonly GatewayAction[] {
		if ('sendId' in event && event.sendId !== current?.id) {
			return [];
		}

		switch (event.kind) {
			case 'started': {
				return start(now);
			}

			case 'responseStarted': {
				return startResponse(event.head, now);
			}

			case 'responseBytes': {
				return addBytes(event.bytes, event.isFragmented ?? false, now);
			}

			case 'responseEnded': {
				return completeResponse(now);
			}

			case 'readingPaused':
			case 'readingResumed': {
				updateReading(event.kind === 'readingPaused', now);
				return [];
			}

			case 'sendFailed': {
				return handleSendFailure(event.wasSent, event.detail, now);
			}

			case 'probeAnswered': {
				return handleProbeResponse(event.endpoint, event.report, now);
			}

			case 'memoryAnswered': {
				return recordReservationResponse(event.reservationId, event.isHeld, now);
			}

			case 'clientGone': {
				hasEnded = true;
				return [...cancelCurrentSend(), ...closeSend('clientGone', '', now), {kind: 'forgetRequest', key: request.key}];
			}

			case 'graceEnded': {
				const closeActions = [...cancelCurrentSend(), ...closeSend('stopped', '', now)];
				return [...closeActions, ...endWithFailure(isKnownNotRun() ? createNotRunFailure('draining', 'the process ends', 0) : createFailure('outcomeUnknown', 'the process ends'))];
			}

			case 'timePassed': {
				return handleTimePassed(now);
			}
		}
	}

	/** Records an endpoint's report, and abandons a silent send if its endpoint has no open request. */
	function handleProbeResponse(endpoint: EndpointId, report: EndpointReport | undefined, now: Timestamp): readonly GatewayAction[] {
		context.registry.recordProbeResponse(endpoint, now);
		for (const id of report?.usedReservations ?? []) {
			current?.memory?.recordUse(id, now);
		}

		return current?.isProbed === true && current.placement.endpoint.id === endpoint && report?.openRequests === 0
			? abandonSilentSend(current, 'the endpoint has no open request', now)
			: [];
	}

	function handleSendFailure(wasSent: boolean, detail: string, now: Timestamp): readonly GatewayAction[] {
		if (wasSent) {
			return handleBrokenSend(detail, now);
		}

		unreachedCount += 1;
		const {placement} = current ?? {};
		const closeActions = closeSend('notRun', detail, now);
		return [
			...closeActions,
			...(placement === undefined ? [] : context.recordUnreachable(placement.endpoint.id, now)),
			...retryOrEnd(isKnownNotRun() ? createNotRunFailure('endpointUnreachable', detail, unreachableRetryMs) : createFailure('serverLost', detail), false, now),
		];
	}

	return {
		step: (event, now) => hasEnded ? [] : apply(event, now),
		getWakeAt: () => Math.min(
			request.deadlineAt,
			deferredUntil,
			current?.checkAt ?? Number.POSITIVE_INFINITY,
			current?.memory?.getRenewAt() ?? Number.POSITIVE_INFINITY,
			current?.pausedAt === undefined ? current?.memory?.getUseCheckAt() ?? Number.POSITIVE_INFINITY : Number.POSITIVE_INFINITY,
		),
		isEnded: () => hasEnded,
	};
}
