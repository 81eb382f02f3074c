/**
Runs the gateway's state machine: passes events from callers, endpoints and the platform to it and performs the actions
that it returns.
*/
import {Buffer} from 'node:buffer';
import type {
	GatewayRequest, ListedEndpoint, RequestKey, SegmentId,
} from '@currantcross/core/gateway/gateway-types';
import {formatDelays, noDelays} from '@currantcross/core/arrival-delays';
import type {ColdReport} from '@currantcross/core/gateway/cold-endpoints';
import {isStreamResponse} from '@currantcross/core/gateway/request-send';
import type {Gateway} from '@currantcross/core/gateway/gateway';
import type {PeerChange} from '@currantcross/core/gateway/peer-changes';
import type {
	ResponseSummary, GatewayEvent, GatewayAction, ReportedDecision, RequestEvent, SendId, TimingReport,
} from '@currantcross/core/gateway/gateway-events';
import {getErrorText} from '@currantcross/core/error-text';
import type {Failure} from '@currantcross/core/errors';
import type {EndpointCheck, QuarantineReport} from '@currantcross/core/gateway/segment-quarantine';
import type {ServiceSegment} from '@currantcross/core/gateway/segment-suspicion';
import type {Reservation} from '@currantcross/core/gateway/memory-reservation';
import type {Milliseconds} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import {waitForRecentReads} from '@currantcross/core/loop-monitor';
import {getForwardedHeaders, type CallerExchange} from './caller-exchange.js';
import type {ConnectionUse} from './connection-uses.js';
import type {ControlResponse, EndpointClient} from './endpoint-client.js';
import type {ControlRequest, PlatformHost, WireFormat} from './gateway-hosts.js';
import type {GatewayMetrics} from './metrics.js';
import {createResponseThrottle} from './response-throttle.js';

export type GatewayDriverHost = Readonly<{
	/** Name of this gateway. */
	name: string;
	platform: Pick<PlatformHost, 'recordQuarantine' | 'removeQuarantine' | 'recordCrashes'>;
	client: EndpointClient;
	wireFormat: WireFormat;
	logger: Logger;
	metrics: GatewayMetrics;
	/** How many bytes callers may hold in all, `Infinity` if that is not bounded. */
	callerMemoryLimit: number;
	publishChange(change: PeerChange): void;
	readConfiguration(): void;
}>;

export type GatewayDriver = Readonly<{
	/** Passes an event to the gateway and performs the resulting actions. */
	dispatch(event: GatewayEvent): void;
	/** Starts a request, whose caller has not left by what the loop has read. Returns the function to call if the caller disconnects. */
	submit(request: GatewayRequest, exchange: CallerExchange): () => void;
	close(): void;
}>;

const okStatus = 200;
const misdirectedStatus = 421;
const unavailableStatus = 503;
/** Longest time that a timer of Node.js can be set to; it would fire at once if set to more. */
const maximumTimerMs = 2_147_483_647;
/** Time that a send may wait for a connection without being logged. */
const loggedSendDelayMs = 100;
/** Maximum number of characters of an endpoint's text in one line of the log. */
const maximumLoggedCharacters = 64;
/** Maximum number of segments in one line of the log. */
const maximumLoggedSegments = 16;

type SendAction = Extract<GatewayAction, {kind: 'send'}>;

type OpenRequest = Readonly<{request: GatewayRequest; exchange: CallerExchange}>;

/** Returns the endpoint and the tokens of each reservation, for the log. */
function formatReservations(reservations: readonly Reservation[]): string | undefined {
	return reservations.length === 0 ? undefined : reservations.map(({endpoint, tokens}) => `${endpoint.id}:${tokens}`).join(',');
}

/** Returns the ids of the first segments, for the log. */
function formatSegments(segments: readonly SegmentId[]): string | undefined {
	return segments.length === 0 ? undefined : segments.slice(0, maximumLoggedSegments).join(',');
}

function getSegmentFields({service, segment}: ServiceSegment): Readonly<Record<string, string>> {
	return {service, segment};
}

/** Creates a driver for the gateway. */
export function createGatewayDriver(gateway: Gateway, host: GatewayDriverHost): GatewayDriver {
	const openRequests = new Map<RequestKey, OpenRequest>();
	/** Sends that wait until the loop has read what has arrived. */
	const heldSends = new Set<SendId>();
	/** Tells of each open send that was written on which connection. */
	const connectionUses = new Map<SendId, () => ConnectionUse | undefined>();
	const throttle = createResponseThrottle({...host, dispatch: dispatchRelayEvent});
	/** Request that is being submitted. */
	let submittedKey: RequestKey | undefined;
	let timer: NodeJS.Timeout | undefined;
	let timerDueAt = Number.POSITIVE_INFINITY;

	function dispatch(event: GatewayEvent): void {
		const now = performance.now();
		for (const action of gateway.step(event, now)) {
			perform(action);
		}

		setTimer(now);
	}

	function dispatchRelayEvent(key: RequestKey, event: RequestEvent): void {
		dispatch({kind: 'requestChanged', key, event});
	}

	/** Sets the timer for the gateway's next wake-up, unless an earlier one is set. */
	function setTimer(now: number): void {
		const wakeAt = gateway.tryGetWakeAt();
		if (wakeAt === undefined || (timer !== undefined && timerDueAt <= wakeAt)) {
			return;
		}

		clearTimeout(timer);
		timerDueAt = wakeAt;
		timer = setTimeout(() => {
			timer = undefined;
			timerDueAt = Number.POSITIVE_INFINITY;
			dispatch({kind: 'timePassed'});
		}, Math.min(maximumTimerMs, Math.max(1, Math.ceil(wakeAt - now))));
	}

	function perform(action: GatewayAction): void {
		switch (action.kind) {
			case 'send': {
				performSend(action);
				return;
			}

			case 'reserveMemory': {
				void performReservation(action.key, action.reservation);
				return;
			}

			case 'releaseMemory': {
				void performRelease(action.reservation);
				return;
			}

			case 'probeEndpoint': {
				void performProbe(action.key, action.endpoint);
				return;
			}

			case 'cancelSend': {
				heldSends.delete(action.sendId);
				throttle.end(action.sendId);
				host.client.cancel(action.sendId, action.how);
				return;
			}

			case 'startResponse': {
				openRequests.get(action.key)?.exchange.startResponse(action);
				return;
			}

			case 'writeResponse': {
				openRequests.get(action.key)?.exchange.write(action.bytes);
				return;
			}

			case 'endResponse': {
				const openRequest = takeOpenRequest(action.key);
				openRequest?.exchange.end();
				reportResponse(openRequest, action.summary);
				return;
			}

			case 'breakResponse': {
				const openRequest = takeOpenRequest(action.key);
				openRequest?.exchange.breakConnection();
				reportFailure(openRequest, action.failure, 'broken');
				return;
			}

			case 'failRequest': {
				const openRequest = takeOpenRequest(action.key);
				openRequest?.exchange.fail(action.failure);
				reportFailure(openRequest, action.failure, 'failed');
				return;
			}

			case 'forgetRequest': {
				reportDisconnect(takeOpenRequest(action.key));
				return;
			}

			case 'publishChange': {
				host.publishChange(action.change);
				return;
			}

			case 'readConfiguration': {
				host.readConfiguration();
				return;
			}

			case 'reportEndpoint': {
				host.logger.info('endpointChanged', {change: action.change.kind, endpoint: action.change.id, address: action.change.address});
				return;
			}

			case 'reportEvacuations': {
				const {changes, source, listAgeMs} = action;
				host.logger.info('evacuationsChanged', {
					begun: changes.begun.join(','), ended: changes.ended.join(','), source, listAgeMs: Math.round(listAgeMs),
				});
				host.metrics.recordEvacuations(changes.begun.length, changes.ended.length);
				return;
			}

			case 'checkEndpoint': {
				void performCheck(action.endpoint);
				return;
			}

			case 'recordQuarantine': {
				void performStoreCall('quarantineNotRecorded', getSegmentFields(action.quarantine), async () => host.platform.recordQuarantine({...action.quarantine, gateway: host.name}));
				return;
			}

			case 'removeQuarantine': {
				void performStoreCall('quarantineNotRemoved', getSegmentFields(action.segment), async () => host.platform.removeQuarantine(action.segment));
				return;
			}

			case 'recordCrashes': {
				void performStoreCall('crashesNotRecorded', {crashes: action.crashes.length}, async () => host.platform.recordCrashes(host.name, action.crashes));
				return;
			}

			case 'reportQuarantine': {
				reportQuarantine(action.report);
				return;
			}

			case 'reportLimit': {
				const {endpoint, requestsPerSecond, source} = action.report;
				host.logger.info('limitChanged', {endpoint, requestsPerSecond: requestsPerSecond ?? 'none', source});
				return;
			}

			case 'reportColdEndpoint': {
				reportColdEndpoint(action.report);
				return;
			}

			case 'reportTiming': {
				reportTiming(action.report);
				return;
			}

			case 'reportDecision': {
				reportDecision(action.key, action.decision);
			}
		}
	}

	function reportColdEndpoint(report: ColdReport): void {
		switch (report.kind) {
			case 'cold': {
				host.logger.info('endpointCold', {endpoint: report.endpoint, remainingMs: Math.round(report.remainingMs), source: report.source});
				return;
			}

			case 'warm': {
				host.logger.info('endpointWarm', {endpoint: report.endpoint});
			}
		}
	}

	function reportTiming({
		route, source, isMinimum, endpoint, servers, predictedMs, observedMs, pace, told,
	}: TimingReport): void {
		host.metrics.recordPaceObservation(source, told);
		if (source !== 'pauses' && !isMinimum) {
			host.metrics.recordTiming(route, predictedMs, observedMs);
		}

		if (told > 0) {
			host.logger.info('paceObserved', {
				endpoint, route, source, servers, isMinimum, predictedMs: Math.round(predictedMs), observedMs: Math.round(observedMs), pace: Number(pace.toFixed(2)),
			});
		}
	}

	function reportQuarantine(report: QuarantineReport): void {
		switch (report.kind) {
			case 'crashed': {
				host.logger.warn('serverCrashed', {endpoint: report.endpoint, segments: formatSegments(report.segments)});
				return;
			}

			case 'quarantined': {
				const {segment: {service, segment}, source, remainingMs} = report;
				host.logger.warn('segmentQuarantined', {
					service, segment, source, remainingMs: Math.round(remainingMs),
				});
				return;
			}

			case 'tried': {
				host.logger.warn('segmentTried', getSegmentFields(report.segment));
				return;
			}

			case 'released': {
				const {segment: {service, segment}, reason} = report;
				host.logger.warn('segmentReleased', {service, segment, reason});
			}
		}
	}

	/** Logs and counts a request whose caller disconnected. */
	function reportDisconnect(openRequest: OpenRequest | undefined): void {
		host.logger.info('requestEnded', {
			request: openRequest?.request.requestId, outcome: 'clientGone', ...formatDelays(openRequest?.request.delays ?? noDelays), ageMs: getAgeMs(openRequest),
		});
		host.metrics.recordRequest('clientGone', getAgeMs(openRequest) ?? 0);
	}

	/** Removes an open request and returns it. */
	function takeOpenRequest(key: RequestKey): OpenRequest | undefined {
		const openRequest = openRequests.get(key);
		openRequests.delete(key);
		return openRequest;
	}

	function getAgeMs(openRequest: OpenRequest | undefined): number | undefined {
		return openRequest === undefined ? undefined : Math.round(performance.now() - openRequest.request.arrivedAt);
	}

	function reportResponse(openRequest: OpenRequest | undefined, outcome: ResponseSummary): void {
		const {status, sends, firstEventMs, longestPauseMs} = outcome;
		host.logger.info('requestEnded', {
			request: openRequest?.request.requestId, route: openRequest?.request.route.name, outcome: 'answered', status, sends, ageMs: getAgeMs(openRequest),
			firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
			longestPauseMs: firstEventMs === undefined ? undefined : Math.round(longestPauseMs),
			tokens: openRequest?.request.prompt?.promptTokens,
		});
		host.metrics.recordRequest('answered', getAgeMs(openRequest) ?? 0);
		if (firstEventMs !== undefined) {
			host.metrics.recordFirstEvent(firstEventMs);
		}
	}

	function reportFailure(openRequest: OpenRequest | undefined, failure: Failure, outcome: 'broken' | 'failed'): void {
		host.logger.info('requestEnded', {
			request: openRequest?.request.requestId, route: openRequest?.request.route.name, outcome, error: failure.kind, ran: failure.ran,
			detail: failure.detail, retryAfterMs: failure.retryAfterMs, ...formatDelays(openRequest?.request.delays ?? noDelays), ageMs: getAgeMs(openRequest),
		});
		host.metrics.recordRequest(failure.kind, getAgeMs(openRequest) ?? 0);
	}

	function reportDecision(key: RequestKey, decision: ReportedDecision): void {
		const openRequest = openRequests.get(key)?.request;
		const request = openRequest?.requestId;
		switch (decision.kind) {
			case 'placed': {
				const {
					sendId, endpoint, helpers, reservations, firstEventMs, candidates, sharedSegments, resentAfter,
				} = decision;
				host.logger.info('requestPlaced', {
					request, sendId, endpoint, resentAfter, helpers: helpers.length, helperIds: helpers.length === 0 ? undefined : helpers.join(','), reservations: formatReservations(reservations), firstEventMs, candidates, segments: formatSegments(sharedSegments),
					fingerprint: openRequest?.fingerprint,
					priority: openRequest?.priority,
					...formatDelays(openRequest?.delays ?? noDelays),
					waitedMs: openRequest === undefined ? undefined : Math.round(performance.now() - openRequest.arrivedAt - openRequest.delays.totalMs),
					configurationAgeMs: Math.round(gateway.getConfigurationAgeMs(performance.now())),
				});
				return;
			}

			case 'deferred': {
				const {priority, firstEventMs, interferenceCost} = decision;
				host.metrics.recordDeferral(priority);
				host.logger.info('requestDeferred', {
					request, priority, firstEventMs: Math.round(firstEventMs), interferenceCost: Number(interferenceCost.toFixed(1)),
				});
				return;
			}

			case 'silenceChecked': {
				const {sendId, endpoint, silentMs, outcome} = decision;
				host.logger.info('silenceChecked', {
					request, sendId, endpoint, silentMs, outcome,
				});
				return;
			}

			case 'sendEnded': {
				const {sendId, endpoint, result, mayHaveRun, hasEvents, detail, response} = decision;
				const use = connectionUses.get(sendId)?.();
				connectionUses.delete(sendId);
				host.metrics.recordSend(result);
				host.logger.info('sendEnded', {
					request, sendId, endpoint, result, mayHaveRun, hasEvents, ...use, status: response?.status, verdict: response?.verdict, refusal: response?.refusalText,
					responseId: response === undefined || response.id === request ? undefined : response.id?.slice(0, maximumLoggedCharacters) ?? 'none',
					detail: detail === '' ? undefined : detail,
				});
			}
		}
	}

	async function performReservation(key: RequestKey, reservation: Reservation): Promise<void> {
		const isHeld = await sendControlRequest(reservation, host.wireFormat.formatReservation(reservation));
		dispatchRelayEvent(key, {kind: 'memoryAnswered', reservationId: reservation.id, isHeld});
	}

	/** Sends a control request, and records if the endpoint says in its response that it is leaving, stays cold, or wants no requests for some time. */
	async function callEndpoint(endpoint: ListedEndpoint, controlRequest: ControlRequest): Promise<ControlResponse> {
		const response = await host.client.sendControlRequest(endpoint.address, controlRequest);
		const {isLeaving, retryAfterMs, coldRemainingMs} = host.wireFormat.parseResponseHead(response.status, response.headers);
		if (isLeaving) {
			dispatch({kind: 'endpointLeaving', endpoint});
		}

		if (coldRemainingMs !== undefined && response.status !== misdirectedStatus) {
			dispatch({kind: 'endpointColdStated', endpoint, remainingMs: coldRemainingMs});
		}

		if (response.status === unavailableStatus && retryAfterMs !== undefined) {
			dispatch({kind: 'endpointResting', endpoint, restMs: retryAfterMs});
		}

		return response;
	}

	/** Probes an endpoint. Any response shows that it is alive; only model servers send reports. Without a response, the request's own timeout applies. */
	async function performProbe(key: RequestKey, endpoint: ListedEndpoint): Promise<void> {
		const request = openRequests.get(key)?.request.requestId;
		try {
			const {body} = await callEndpoint(endpoint, host.wireFormat.formatProbe());
			const report = host.wireFormat.parseReport(body);
			const hasEngine = gateway.tryGetConfiguration()?.services.get(endpoint.service)?.engine !== undefined;
			if (report === undefined && hasEngine) {
				host.logger.warn('probeFailed', {request, endpoint: endpoint.id, reason: 'the response is not a report'});
			}

			dispatchRelayEvent(key, {kind: 'probeAnswered', endpoint: endpoint.id, report});
		} catch (error) {
			host.logger.info('probeFailed', {request, endpoint: endpoint.id, reason: getErrorText(error)});
		}
	}

	/** Asks an endpoint whose connections broke for its report. Without one it is taken for crashed; any other response shows that it is alive. */
	async function performCheck(endpoint: ListedEndpoint): Promise<void> {
		let result: EndpointCheck = {isAlive: false, startedAt: undefined};
		try {
			const {body} = await callEndpoint(endpoint, host.wireFormat.formatProbe());
			result = {isAlive: true, startedAt: host.wireFormat.parseReport(body)?.startedAt};
		} catch (error) {
			host.logger.info('probeFailed', {endpoint: endpoint.id, reason: getErrorText(error)});
		}

		dispatch({kind: 'endpointChecked', endpoint: endpoint.id, result});
	}

	/** Calls the store. A failed call for a quarantine is repeated after the next poll, one for crashes with the next crash. */
	async function performStoreCall(failureEvent: 'quarantineNotRecorded' | 'quarantineNotRemoved' | 'crashesNotRecorded', fields: Readonly<Record<string, string | number>>, call: () => Promise<void>): Promise<void> {
		try {
			await call();
		} catch (error) {
			host.logger.warn(failureEvent, {...fields, reason: getErrorText(error)});
		}
	}

	/** Releases reserved memory. Retries once; after a second failure the reservation expires at the endpoint. */
	async function performRelease(reservation: Reservation): Promise<void> {
		const controlRequest = host.wireFormat.formatRelease(reservation);
		if (!await sendControlRequest(reservation, controlRequest)) {
			await sendControlRequest(reservation, controlRequest);
		}
	}

	/** Sends a control request about a reservation. Returns whether the endpoint accepted it. */
	async function sendControlRequest({endpoint, id}: Reservation, controlRequest: ControlRequest): Promise<boolean> {
		try {
			const {status} = await callEndpoint(endpoint, controlRequest);
			if (status === okStatus) {
				return true;
			}

			host.logger.info('orderRefused', {endpoint: endpoint.id, reservation: id, status});
		} catch (error) {
			host.logger.warn('orderFailed', {endpoint: endpoint.id, reservation: id, reason: getErrorText(error)});
		}

		return false;
	}

	/**
	Sends a request. The caller's close may be among what the loop has not read yet, unless the request has just been submitted, before which
	the loop has read. The send waits for that, and is left out if it is cancelled, its time is over, or the caller has left.
	*/
	function performSend(action: SendAction): void {
		if (action.key === submittedKey) {
			startSend(action, action.remainingMs);
			return;
		}

		const heldAt = performance.now();
		heldSends.add(action.sendId);
		waitForRecentReads(() => {
			const remainingMs = action.remainingMs - (performance.now() - heldAt);
			if (heldSends.delete(action.sendId) && remainingMs > 0 && openRequests.get(action.key)?.exchange.hasCallerLeft() === false) {
				startSend(action, remainingMs);
			}
		});
	}

	function startSend(action: SendAction, remainingMs: Milliseconds): void {
		const openRequest = openRequests.get(action.key);
		if (openRequest === undefined) {
			return;
		}

		const {key, sendId, endpoint, helpers, lastEventId} = action;
		const {message, body} = openRequest.exchange;
		const headers = [
			...getForwardedHeaders(message.rawHeaders, message.headers.connection, host.wireFormat.excludedRequestHeaders),
			...host.wireFormat.formatSendHead({
				remainingMs,
				endpointId: endpoint.id,
				organisation: openRequest.request.organisation,
				helpers,
				lastEventId,
				admissionPriority: gateway.tryGetAdmissionPriority(openRequest.request),
			}),
		];
		if (body.length > 0) {
			headers.push('Content-Length', String(body.length));
		}

		/** Cancels the send if the caller's close has been read, of which the server tells a turn later or more. Returns whether it was. */
		const cancelIfDeparted = (): boolean => {
			const hasLeft = openRequest.exchange.hasCallerLeft();
			if (hasLeft) {
				dispatchRelayEvent(key, {kind: 'clientGone'});
			}

			return hasLeft;
		};

		const handedOverAt = performance.now();
		let isHeld = false;
		let receivedBytes = 0;
		let wasFragmented = false;
		host.client.send({
			sendId, address: endpoint.address, method: message.method ?? 'GET', target: message.url ?? '/', headers, body: Buffer.from(body.buffer, body.byteOffset, body.byteLength),
		}, {
			onStart(getUse) {
				if (cancelIfDeparted()) {
					return;
				}

				connectionUses.set(sendId, getUse);
				const waitedMs = performance.now() - handedOverAt;
				if (waitedMs > loggedSendDelayMs) {
					host.logger.info('sendDelayed', {
						request: openRequest.request.requestId, sendId, endpoint: endpoint.id, waitedMs: Math.round(waitedMs),
					});
				}
			},
			onRelease() {
				cancelIfDeparted();
			},
			onHead(status, responseHeaders) {
				const head = host.wireFormat.parseResponseHead(status, responseHeaders);
				isHeld = !isStreamResponse(openRequest.request, head);
				if (!isHeld) {
					throttle.start({
						key, sendId, requestId: openRequest.request.requestId, exchange: openRequest.exchange,
					});
				}

				dispatchRelayEvent(key, {kind: 'responseStarted', sendId, head});
			},
			onBytes(bytes, isFragmented) {
				receivedBytes += bytes.length;
				if (isHeld) {
					openRequest.exchange.setReceivedBytes(receivedBytes);
				}

				if (isFragmented && !wasFragmented) {
					wasFragmented = true;
					host.logger.info('responseFragmented', {request: openRequest.request.requestId, sendId, endpoint: endpoint.id});
				}

				dispatchRelayEvent(key, {
					kind: 'responseBytes', sendId, bytes, isFragmented,
				});
				throttle.update(sendId);
			},
			onEnd() {
				throttle.end(sendId);
				dispatchRelayEvent(key, {kind: 'responseEnded', sendId});
			},
			onFailure(wasSent, detail) {
				throttle.end(sendId);
				dispatchRelayEvent(key, {
					kind: 'sendFailed', sendId, wasSent, detail,
				});
			},
		});
	}

	return {
		dispatch,
		submit(request, exchange) {
			openRequests.set(request.key, {request, exchange});
			submittedKey = request.key;
			dispatch({kind: 'requestArrived', request});
			submittedKey = undefined;
			return () => {
				dispatchRelayEvent(request.key, {kind: 'clientGone'});
			};
		},
		close() {
			clearTimeout(timer);
		},
	};
}
