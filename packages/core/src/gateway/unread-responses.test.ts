import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {createEndpointRegistry} from './endpoint-registry.js';
import {createForwardedRequest} from './forwarded-request.js';
import {createGateway} from './gateway.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, createFixtureHead, fixtureConfiguration, fixtureGatewaySettings, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayAction, RequestEvent} from './gateway-events.js';
import {createRetryQuota} from './retry-quota.js';

const route = {...fixtureStreamRoute, timeoutMs: 9000};
/** Longer than any timeout of a silent send. */
const longMs = 7000;

/** Starts a stream that has delivered its first event at 20 ms. */
function startStream(isResumable: boolean) {
	const gateway = createGateway(fixtureGatewaySettings);
	gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
	gateway.step({kind: 'endpointsListed', endpoints: createFixtureEndpoints('models', 4)}, 0);
	const sendId = gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest({...route, isResumable})}, 0).find(action => action.kind === 'send')?.sendId ?? 0;
	const step = (event: RequestEvent, now: number): readonly GatewayAction[] => gateway.step({kind: 'requestChanged', key: 1, event}, now);
	const start = (isUndelimited: boolean): void => {
		step({kind: 'responseStarted', sendId, head: createFixtureHead({isUndelimited})}, 10);
		step({kind: 'responseBytes', sendId, bytes: Buffer.from('id: 1\ndata: x\n\n')}, 20);
	};

	/** Wakes the gateway whenever it asks for it, and returns all that it does until a time. */
	const wakeUntil = (from: number, until: number): readonly GatewayAction[] => {
		const actions: GatewayAction[] = [];
		for (let now = from; now < until; now += 50) {
			actions.push(...gateway.step({kind: 'timePassed'}, now));
		}

		return actions;
	};

	return {
		gateway, sendId, step, start, wakeUntil,
	};
}

const kindsOf = (actions: readonly GatewayAction[]): readonly string[] => actions.map(({kind}) => kind).filter(kind => kind !== 'publishChange');
const resultsOf = (actions: readonly GatewayAction[]): readonly string[] => actions
	.flatMap(action => action.kind === 'reportDecision' && action.decision.kind === 'sendEnded' ? [action.decision.result] : []);

// Guards against an endpoint that is taken for silent, since the gateway itself doesn't read from it.
test('a stream that the gateway does not read for long is neither probed nor sent again, and goes on as if no time had passed', () => {
	const {gateway, sendId, step, start, wakeUntil} = startStream(true);
	start(false);
	step({kind: 'readingPaused', sendId}, 30);
	expect(kindsOf(wakeUntil(30, longMs))).toEqual([]);
	expect(gateway.tryGetWakeAt()).toBeGreaterThan(longMs);
	step({kind: 'readingResumed', sendId}, longMs);
	expect(kindsOf(wakeUntil(longMs, longMs + 900))).toEqual([]);
	step({kind: 'responseBytes', sendId, bytes: Buffer.from('id: 2\ndata: x\n\n')}, longMs + 900);
	const ended = step({kind: 'responseEnded', sendId}, longMs + 910).find(action => action.kind === 'endResponse');
	expect(ended?.summary.longestPauseMs).toBe(910);
});

test('a stream that is read again is checked for silence from then on', () => {
	const {sendId, step, start, wakeUntil} = startStream(true);
	start(false);
	step({kind: 'readingPaused', sendId}, 30);
	step({kind: 'readingResumed', sendId}, 3000);
	expect(kindsOf(wakeUntil(3000, 5000))).toContain('probeEndpoint');
});

// Guards against a caller that reads nothing and keeps its request, and its server's work, for good.
test('a stream that is not read is broken off at its deadline', () => {
	const {sendId, step, start, wakeUntil} = startStream(true);
	start(false);
	step({kind: 'readingPaused', sendId}, 30);
	expect(kindsOf(wakeUntil(30, route.timeoutMs + 100))).toEqual(['cancelSend', 'reportDecision', 'breakResponse']);
});

test('the send of a stream that is not read is cancelled at once when its caller leaves', () => {
	const {sendId, step, start} = startStream(true);
	start(false);
	step({kind: 'readingPaused', sendId}, 30);
	expect(step({kind: 'clientGone'}, 40)).toContainEqual({kind: 'cancelSend', sendId, how: 'abort'});
});

const broken = (sendId: number): RequestEvent => ({
	kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
});

// Guards against a sound endpoint, or a sound prompt, that is held to blame for a response that the endpoint cut off since nobody read it.
test('an endpoint that cuts off a stream which was not read for long is not taken for crashed, and the stream is broken off', () => {
	const {sendId, step, start} = startStream(true);
	start(false);
	step({kind: 'readingPaused', sendId}, 30);
	const actions = step(broken(sendId), 4000);
	expect(resultsOf(actions)).toEqual(['unread']);
	expect(kindsOf(actions)).toEqual(['reportDecision', 'breakResponse']);
});

test('such a stream is resumed elsewhere if its caller reads again, and its route allows it', () => {
	for (const isResumable of [true, false]) {
		const {sendId, step, start} = startStream(isResumable);
		start(false);
		step({kind: 'readingPaused', sendId}, 30);
		step({kind: 'readingResumed', sendId}, 2000);
		const kinds = kindsOf(step(broken(sendId), 2010));
		expect(kinds).toContain(isResumable ? 'send' : 'breakResponse');
		expect(kinds).not.toContain('checkEndpoint');
	}
});

test('an endpoint whose connection breaks during a short pause is checked, as ever, and the stream is resumed elsewhere', () => {
	const {sendId, step, start} = startStream(true);
	start(false);
	step({kind: 'readingPaused', sendId}, 30);
	const actions = step(broken(sendId), 200);
	expect(resultsOf(actions)).toEqual(['broken']);
	expect(kindsOf(actions)).toContain('checkEndpoint');
	expect(kindsOf(actions)).toContain('send');
});

// Guards against a stream that looks complete, though its endpoint has cut it off: without a length its end is that of the connection.
test('an undelimited stream that was not read for long is not taken for complete when its connection closes', () => {
	for (const [pausedMs, last] of [[4000, 'breakResponse'], [200, 'endResponse']] as const) {
		const {sendId, step, start} = startStream(false);
		start(true);
		step({kind: 'readingPaused', sendId}, 30);
		step({kind: 'readingResumed', sendId}, 30 + pausedMs);
		expect(kindsOf(step({kind: 'responseEnded', sendId}, 40 + pausedMs))).toContain(last);
	}
});

// Guards against an endpoint that is taken for slow, or for fast, since the gateway doesn't read from it and then gets all at once.
test('nothing is learned of the times of a stream that was paused', () => {
	for (const isPaused of [true, false]) {
		const learned: string[] = [];
		const [endpoint] = createFixtureEndpoints('models', 1);
		const request = createForwardedRequest(createFixtureGatewayRequest(route), {
			registry: createEndpointRegistry(fixtureGatewaySettings.endpoints),
			retryQuota: createRetryQuota(fixtureGatewaySettings.retryQuota),
			memoryIdleMs: 9000,
			createSendId: () => 1,
			createReservationId: () => 'm',
			choosePlacement: () => endpoint === undefined
				? {kind: 'deferred', untilAt: 1, reports: []}
				: {
					kind: 'placed',
					placement: {
						endpoint, helpers: [], prefillMs: 10, firstEventMs: 10, interferenceCost: 0,
					},
					candidates: 1,
					trialActions: [],
				},
			isPermitted: () => true,
			checkCredential: () => undefined,
			mayRepeat: () => true,
			recordBrokenSend: () => [],
			recordUnreachable: () => [],
			recordLeaving: () => [],
			recordLimit: () => [],
			recordCold: () => [],
			recordCompletion: () => [],
			recordUncertainCompletion: () => [],
			learnWork({kind}) {
				learned.push(kind);
				return [];
			},
			recordWork: () => undefined,
		});
		request.step({kind: 'started'}, 0);
		request.step({kind: 'responseStarted', sendId: 1, head: createFixtureHead({load: undefined})}, 10);
		if (isPaused) {
			request.step({kind: 'readingPaused', sendId: 1}, 20);
			request.step({kind: 'readingResumed', sendId: 1}, 1020);
		}

		for (let id = 1; id <= 20; id += 1) {
			request.step({kind: 'responseBytes', sendId: 1, bytes: Buffer.from(`id: ${id}\ndata: x\n\n`)}, 1020 + id);
		}

		expect(new Set(learned)).toEqual(new Set(isPaused ? [] : ['responseTimed', 'pausesTimed']));
	}
});
