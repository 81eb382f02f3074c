/**
Drives the decisions of a gateway: feeds them what callers, endpoints and the platform say, and performs their actions.
*/
import {Buffer} from 'node:buffer';
import type {GatewayRequest, RequestKey} from '@currantcross/core/gateway/gateway-types';
import type {Gateway} from '@currantcross/core/gateway/gateway';
import type {WorkChange} from '@currantcross/core/gateway/load-view';
import type {
	AnswerOutcome, GatewayEvent, RelayAction, RelayDecision, RelayEvent,
} from '@currantcross/core/gateway/relay-types';
import {getErrorText} from '@currantcross/core/error-text';
import type {Failure} from '@currantcross/core/errors';
import type {Reservation} from '@currantcross/core/gateway/memory-reservation';
import type {Logger} from '@currantcross/daemon/logger';
import {getForwardedHeaders, type CallerExchange} from './caller-exchange.js';
import type {EndpointClient} from './endpoint-client.js';
import type {Dialect, EndpointOrder} from './gateway-hosts.js';
import type {GatewayMetrics} from './metrics.js';

export type GatewayDriverHost = Readonly<{
	client: EndpointClient;
	dialect: Dialect;
	logger: Logger;
	metrics: GatewayMetrics;
	publishWork(change: WorkChange): void;
}>;

export type GatewayDriver = Readonly<{
	dispatch(event: GatewayEvent): void;
	/** Starts a request, and returns what to call when its caller leaves. */
	submit(request: GatewayRequest, exchange: CallerExchange): () => void;
	close(): void;
}>;

const okStatus = 200;

type OpenRequest = Readonly<{request: GatewayRequest; exchange: CallerExchange}>;

/** Creates the driver of one gateway. */
export function createGatewayDriver(gateway: Gateway, host: GatewayDriverHost): GatewayDriver {
	const openRequests = new Map<RequestKey, OpenRequest>();
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Number.POSITIVE_INFINITY;

	function dispatch(event: GatewayEvent): void {
		const now = performance.now();
		for (const action of gateway.step(event, now)) {
			perform(action);
		}

		setTimer(now);
	}

	function dispatchRequest(key: RequestKey, event: RelayEvent): void {
		dispatch({kind: 'requestChanged', key, event});
	}

	function setTimer(now: number): void {
		const wakeAt = gateway.tryGetWakeAt();
		if (wakeAt === undefined || (timer !== undefined && timerAt <= wakeAt)) {
			return;
		}

		clearTimeout(timer);
		timerAt = wakeAt;
		timer = setTimeout(() => {
			timer = undefined;
			timerAt = Number.POSITIVE_INFINITY;
			dispatch({kind: 'timePassed'});
		}, Math.max(1, Math.ceil(wakeAt - now)));
	}

	function perform(action: RelayAction): void {
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
				void performProbe(action);
				return;
			}

			case 'cancelSend': {
				host.client.cancel(action.sendId);
				return;
			}

			case 'startAnswer': {
				openRequests.get(action.key)?.exchange.startAnswer(action);
				return;
			}

			case 'writeAnswer': {
				openRequests.get(action.key)?.exchange.write(action.bytes);
				return;
			}

			case 'endAnswer': {
				const open = takeRequest(action.key);
				open?.exchange.end();
				reportAnswer(open, action.outcome);
				return;
			}

			case 'breakAnswer': {
				const open = takeRequest(action.key);
				open?.exchange.breakOff();
				reportFailure(open, action.failure, 'broken');
				return;
			}

			case 'failRequest': {
				const open = takeRequest(action.key);
				open?.exchange.fail(action.failure);
				reportFailure(open, action.failure, 'failed');
				return;
			}

			case 'forgetRequest': {
				reportGone(takeRequest(action.key));
				return;
			}

			case 'publishWork': {
				host.publishWork(action.change);
				return;
			}

			case 'reportEndpoint': {
				host.logger.info('endpointChanged', {change: action.change.kind, endpoint: action.change.id, address: action.change.address});
				return;
			}

			case 'reportDecision': {
				reportDecision(action.key, action.decision);
			}
		}
	}

	function reportGone(open: OpenRequest | undefined): void {
		host.logger.info('requestEnded', {request: open?.request.requestId, outcome: 'clientGone', ageMs: getAgeMs(open)});
		host.metrics.recordRequest('clientGone', getAgeMs(open) ?? 0);
	}

	function takeRequest(key: RequestKey): OpenRequest | undefined {
		const open = openRequests.get(key);
		openRequests.delete(key);
		return open;
	}

	function getAgeMs(open: OpenRequest | undefined): number | undefined {
		return open === undefined ? undefined : Math.round(performance.now() - open.request.arrivedAt);
	}

	function reportAnswer(open: OpenRequest | undefined, outcome: AnswerOutcome): void {
		const {status, sends, firstEventMs, longestPauseMs} = outcome;
		host.logger.info('requestEnded', {
			request: open?.request.requestId, route: open?.request.route.name, outcome: 'answered', status, sends, ageMs: getAgeMs(open),
			firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
			longestPauseMs: firstEventMs === undefined ? undefined : Math.round(longestPauseMs),
			tokens: open?.request.prompt?.promptTokens,
		});
		host.metrics.recordRequest('answered', getAgeMs(open) ?? 0);
		if (firstEventMs !== undefined) {
			host.metrics.recordFirstEvent(firstEventMs);
		}
	}

	function reportFailure(open: OpenRequest | undefined, failure: Failure, outcome: 'broken' | 'failed'): void {
		host.logger.info('requestEnded', {
			request: open?.request.requestId, route: open?.request.route.name, outcome, error: failure.kind, ran: failure.ran,
			detail: failure.detail, retryAfterMs: failure.retryAfterMs, ageMs: getAgeMs(open),
		});
		host.metrics.recordRequest(failure.kind, getAgeMs(open) ?? 0);
	}

	function reportDecision(key: RequestKey, decision: RelayDecision): void {
		const request = openRequests.get(key)?.request.requestId;
		switch (decision.kind) {
			case 'placed': {
				const {
					sendId, endpoint, helpers, reservations, firstEventMs, candidates,
				} = decision;
				host.logger.info('requestPlaced', {
					request, sendId, endpoint, helpers, reservations, firstEventMs, candidates, configurationAgeMs: Math.round(gateway.getConfigurationAgeMs(performance.now())),
				});
				return;
			}

			case 'sendEnded': {
				const {sendId, endpoint, result, mayHaveRun, detail} = decision;
				host.metrics.recordSend(result);
				host.logger.info('sendEnded', {
					request, sendId, endpoint, result, mayHaveRun, detail: detail === '' ? undefined : detail,
				});
			}
		}
	}

	async function performReservation(key: RequestKey, reservation: Reservation): Promise<void> {
		const isHeld = await sendOrder(reservation, host.dialect.formatReservation(reservation));
		dispatchRequest(key, {kind: 'memoryAnswered', reservationId: reservation.id, isHeld});
	}

	/** Any answer is a sign of life; without one, the request's own time runs out. */
	async function performProbe({key, sendId, endpoint}: Extract<RelayAction, {kind: 'probeEndpoint'}>): Promise<void> {
		try {
			await host.client.order(endpoint.address, host.dialect.formatProbe());
			dispatchRequest(key, {kind: 'probeAnswered', sendId});
		} catch (error) {
			host.logger.info('probeFailed', {endpoint: endpoint.id, sendId, reason: getErrorText(error)});
		}
	}

	/** Frees memory; without an answer it is tried once more, and then left to the end of its hold. */
	async function performRelease(reservation: Reservation): Promise<void> {
		const order = host.dialect.formatRelease(reservation);
		if (!await sendOrder(reservation, order)) {
			await sendOrder(reservation, order);
		}
	}

	async function sendOrder({endpoint, id}: Reservation, order: EndpointOrder): Promise<boolean> {
		try {
			const status = await host.client.order(endpoint.address, order);
			if (status === okStatus) {
				return true;
			}

			host.logger.info('orderRefused', {endpoint: endpoint.id, reservation: id, status});
		} catch (error) {
			host.logger.warn('orderFailed', {endpoint: endpoint.id, reservation: id, reason: getErrorText(error)});
		}

		return false;
	}

	function performSend(action: Extract<RelayAction, {kind: 'send'}>): void {
		const open = openRequests.get(action.key);
		if (open === undefined) {
			return;
		}

		const {key, sendId, endpoint, helpers, remainingMs, lastEventId} = action;
		const {message, body} = open.exchange;
		const headers = [
			...getForwardedHeaders(message.rawHeaders, message.headers.connection, host.dialect.ownedHeaders),
			...host.dialect.formatSendHead({
				remainingMs,
				endpointId: endpoint.id,
				organisation: open.request.organisation,
				helpers,
				lastEventId,
			}),
		];
		if (body.length > 0) {
			headers.push('Content-Length', String(body.length));
		}

		host.client.send({
			sendId, address: endpoint.address, method: message.method ?? 'GET', target: message.url ?? '/', headers, body: Buffer.from(body),
		}, {
			onHead(status, answerHeaders) {
				dispatchRequest(key, {kind: 'answerStarted', sendId, head: host.dialect.parseAnswerHead(status, answerHeaders)});
			},
			onBytes(bytes) {
				dispatchRequest(key, {kind: 'answerBytes', sendId, bytes});
			},
			onEnd() {
				dispatchRequest(key, {kind: 'answerEnded', sendId});
			},
			onFailure(wasSent, detail) {
				dispatchRequest(key, {
					kind: 'sendFailed', sendId, wasSent, detail,
				});
			},
		});
	}

	return {
		dispatch,
		submit(request, exchange) {
			openRequests.set(request.key, {request, exchange});
			dispatch({kind: 'requestArrived', request});
			return () => {
				dispatchRequest(request.key, {kind: 'clientGone'});
			};
		},
		close() {
			clearTimeout(timer);
		},
	};
}
