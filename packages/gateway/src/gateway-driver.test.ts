/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- the other members of the parts are not used */
/**
Tests the order in which the driver performs actions and the event loop reads.
*/
import {setTimeout as wait} from 'node:timers/promises';
import {createFixtureEndpoints, createFixtureGatewayRequest, fixtureIdempotentRoute} from '@currantcross/core/gateway/gateway-fixtures';
import type {GatewayEvent} from '@currantcross/core/gateway/gateway-events';
import {expect, test} from 'vitest';
import type {EndpointListener} from './endpoint-client.js';
import {createGatewayDriver, type GatewayDriver} from './gateway-driver.js';

type DriverParameters = Parameters<typeof createGatewayDriver>;
type Exchange = Parameters<GatewayDriver['submit']>[1];

const key = 1;
const settleMs = 20;

const [endpoint] = createFixtureEndpoints('shop', 1);

type Run = Readonly<{
	driver: GatewayDriver;
	sent: readonly number[];
	cancelled: readonly number[];
	exchange: Exchange;
	leave(): void;
	/** Lets the connections be open to which the sends are written. */
	start(): void;
	/** Lets the sends be written that were held. */
	release(): void;
}>;

/** Creates a driver whose gateway sends the request with each event of this kind. */
function createRun(sendingEvent: GatewayEvent['kind'], remainingMs = 1000): Run {
	const sent: number[] = [];
	const cancelled: number[] = [];
	const listeners: EndpointListener[] = [];
	const send = {
		kind: 'send', key, sendId: 7, endpoint, helpers: [], remainingMs, lastEventId: undefined,
	} as const;
	let hasLeft = false;
	const gateway = {
		step(event: GatewayEvent) {
			if (event.kind === 'requestChanged' && event.event.kind === 'clientGone') {
				return [{kind: 'cancelSend', sendId: 7, how: 'abort'}];
			}

			return event.kind === sendingEvent ? [send] : [];
		},
		tryGetWakeAt: () => undefined,
		tryGetAdmissionPriority: () => undefined,
	} as unknown as DriverParameters[0];
	const host = {
		client: {
			send({sendId}: Readonly<{sendId: number}>, listener: EndpointListener) {
				sent.push(sendId);
				listeners.push(listener);
			},
			cancel(sendId: number) {
				cancelled.push(sendId);
			},
		},
		wireFormat: {formatSendHead: () => [], excludedRequestHeaders: new Set()},
	} as unknown as DriverParameters[1];
	const exchange = {
		message: {
			rawHeaders: [], headers: {}, method: 'GET', url: '/',
		}, body: new Uint8Array(0), hasCallerLeft: () => hasLeft,
	} as unknown as Exchange;
	return {
		driver: createGatewayDriver(gateway, host),
		sent,
		cancelled,
		exchange,
		leave() {
			hasLeft = true;
		},
		start() {
			for (const {onStart} of listeners) {
				onStart?.(() => undefined);
			}
		},
		release() {
			for (const {onRelease} of listeners) {
				onRelease?.();
			}
		},
	};
}

const request = createFixtureGatewayRequest(fixtureIdempotentRoute, {key});

test('a request that has just been submitted is sent at once', () => {
	const {driver, sent, exchange} = createRun('requestArrived');
	driver.submit(request, exchange);
	expect(sent).toEqual([7]);
});

// Guards against a later send that is made before the close of its caller is read, although the loop reads without delay.
test('a later send of a request is left out if its caller\'s close is read in the next turn, and made otherwise', async () => {
	const departed = createRun('timePassed');
	departed.driver.submit(request, departed.exchange);
	departed.driver.dispatch({kind: 'timePassed'});
	setImmediate(departed.leave);
	const waiting = createRun('timePassed');
	waiting.driver.submit(request, waiting.exchange);
	waiting.driver.dispatch({kind: 'timePassed'});
	await wait(settleMs);
	expect(departed.sent).toEqual([]);
	expect(waiting.sent).toEqual([7]);
});

// Guards against a send whose deadline has passed while it waited for the loop to read.
test('a later send of a request is left out if its time is over before the loop has read once more', async () => {
	const {driver, sent, exchange} = createRun('timePassed', 0);
	driver.submit(request, exchange);
	driver.dispatch({kind: 'timePassed'});
	await wait(settleMs);
	expect(sent).toEqual([]);
});

// Guards against requests that are written although their callers' closes have been read, of which the server tells a turn or two later.
test.each([
	['open', false], ['open', true], ['released', false], ['released', true],
] as const)('a send whose connection is %s is cancelled if its caller\'s close has been read (%s)', (state, isDeparted) => {
	const departed = createRun('requestArrived');
	departed.driver.submit(request, departed.exchange);
	if (isDeparted) {
		departed.leave();
	}

	if (state === 'open') {
		departed.start();
	} else {
		departed.release();
	}

	expect(departed.cancelled).toEqual(isDeparted ? [7] : []);
});

// Guards against logs that don't show why a request was sent again: what was written where, and what the response said.
test('the line of a send that has ended shows its connection, the status, the id and the refusal of its response', () => {
	const lines: Array<readonly [string, Readonly<Record<string, unknown>>]> = [];
	const placed = {
		kind: 'placed', sendId: 7, endpoint: 'shop-0', helpers: [], reservations: [], firstEventMs: 0, candidates: 2, sharedSegments: [], resentAfter: 'replaced',
	};
	const ended = {
		kind: 'sendEnded', sendId: 7, endpoint: 'shop-0', result: 'notRun', mayHaveRun: false, hasEvents: false, detail: 'status 503', response: {
			status: 503, verdict: 'notRun', id: request.requestId, refusalText: '1',
		},
	};
	const use = {connection: 3, requestNumber: 2, writtenBytes: 120};
	const gateway = {
		step: ({kind}: GatewayEvent) => kind === 'requestArrived'
			? [{kind: 'reportDecision', key, decision: placed}, {
				kind: 'send', key, sendId: 7, endpoint, helpers: [], remainingMs: 1000, lastEventId: undefined,
			}]
			: [{kind: 'reportDecision', key, decision: ended}],
		tryGetWakeAt: () => undefined,
		tryGetAdmissionPriority: () => undefined,
		getConfigurationAgeMs: () => 0,
	} as unknown as DriverParameters[0];
	const host = {
		client: {
			send(_request: unknown, listener: EndpointListener) {
				listener.onStart?.(() => use);
			},
		},
		wireFormat: {formatSendHead: () => [], excludedRequestHeaders: new Set()},
		logger: {
			info(event: string, fields: Readonly<Record<string, unknown>>) {
				lines.push([event, fields]);
			},
		},
		metrics: {recordSend: () => undefined},
	} as unknown as DriverParameters[1];
	const exchange = {
		message: {
			rawHeaders: [], headers: {}, method: 'GET', url: '/',
		}, body: new Uint8Array(0), hasCallerLeft: () => false,
	} as unknown as Exchange;
	const driver = createGatewayDriver(gateway, host);
	driver.submit(request, exchange);
	driver.dispatch({kind: 'timePassed'});
	expect(lines).toMatchObject([
		['requestPlaced', {sendId: 7, resentAfter: 'replaced'}],
		['sendEnded', {
			sendId: 7, result: 'notRun', ...use, status: 503, verdict: 'notRun', responseId: undefined, refusal: '1',
		}],
	]);
});
