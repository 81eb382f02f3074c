import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {createNotRunFailure} from '../errors.js';
import {createEndpointRegistry} from './endpoint-registry.js';
import {createGateway, type Gateway} from './gateway.js';
import {
	createFixtureEndpoints, createFixtureHead, createFixtureGatewayRequest, fixtureNonIdempotentRoute, fixtureConfiguration, fixtureGatewaySettings,
	fixtureIdempotentRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayRequest, ServedRoute} from './gateway-types.js';
import type {GatewayAction, RequestEvent} from './gateway-events.js';
import {createForwardedRequest, type PlacementDecision} from './forwarded-request.js';
import {createRetryQuota} from './retry-quota.js';

/** A gateway with the fixtures' configuration and endpoints, whose actions are returned as text. */
type GatewayHarness = Readonly<{
	gateway: Gateway;
	step(event: RequestEvent, now: number): readonly string[];
	submit(request: GatewayRequest): readonly string[];
	/** Returns the id of the latest send. */
	getSendId(): number;
	/** Returns the endpoint of the latest send. */
	getEndpointId(): string;
}>;

/** Returns the length among the headers of a response, if it has one, as it is shown below. */
function getLength(headers: readonly string[]): string {
	const index = headers.indexOf('Content-Length');
	return index === -1 ? '' : ` length ${headers[index + 1]}`;
}

function formatAction(action: GatewayAction): readonly string[] {
	switch (action.kind) {
		case 'send': {
			return [`send ${action.endpoint.service}${action.lastEventId === undefined ? '' : ` after ${action.lastEventId}`}`];
		}

		case 'reserveMemory': {
			return [`reserve ${action.reservation.tokens}`];
		}

		case 'releaseMemory': {
			return ['release'];
		}

		case 'probeEndpoint': {
			return ['probe'];
		}

		case 'cancelSend': {
			return [action.how === 'abort' ? 'cancel' : 'discard'];
		}

		case 'startResponse': {
			return [`start ${action.status}${getLength(action.headers)}`];
		}

		case 'writeResponse': {
			return [`write ${Buffer.from(action.bytes).toString().trim().replaceAll('\n', '|')}`];
		}

		case 'endResponse': {
			return ['end'];
		}

		case 'breakResponse': {
			return ['break'];
		}

		case 'failRequest': {
			return [`fail ${action.failure.kind} ran=${action.failure.ran}`];
		}

		case 'forgetRequest': {
			return ['forget'];
		}

		case 'publishChange':
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
			return [];
		}
	}
}

function createHarness(): GatewayHarness {
	const gateway = createGateway(fixtureGatewaySettings);
	let sendId = 0;
	let endpointId = '';
	gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
	gateway.step({kind: 'endpointsListed', endpoints: [...createFixtureEndpoints('models', 16), ...createFixtureEndpoints('shop', 3)]}, 0);

	function format(actions: readonly GatewayAction[]): readonly string[] {
		for (const action of actions) {
			if (action.kind === 'send') {
				sendId = action.sendId;
				endpointId = action.endpoint.id;
			}
		}

		return actions.flatMap(action => formatAction(action));
	}

	return {
		gateway,
		step: (event, now) => format(gateway.step({kind: 'requestChanged', key: 1, event}, now)),
		submit: request => format(gateway.step({kind: 'requestArrived', request}, request.arrivedAt)),
		getSendId: () => sendId,
		getEndpointId: () => endpointId,
	};
}

function startRequest(route: ServedRoute, changes: Partial<GatewayRequest> = {}): GatewayHarness {
	const harness = createHarness();
	harness.submit(createFixtureGatewayRequest(route, changes));
	return harness;
}

function getBytes(text: string): Uint8Array {
	return Buffer.from(text);
}

function answer(harness: GatewayHarness, text: string, changes: Parameters<typeof createFixtureHead>[0] = {}, now = 10): readonly string[] {
	const sendId = harness.getSendId();
	return [
		...harness.step({kind: 'responseStarted', sendId, head: createFixtureHead(changes)}, now),
		...harness.step({kind: 'responseBytes', sendId, bytes: getBytes(text)}, now),
		...harness.step({kind: 'responseEnded', sendId}, now),
	];
}

const events = (...ids: readonly number[]): string => ids.map(id => `id: ${id}\ndata: x\n\n`).join('');

describe('a request whose endpoints do not accept connections', () => {
	function refuseConnection(harness: GatewayHarness, now: number): readonly string[] {
		return harness.step({
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: false, detail: 'ECONNREFUSED',
		}, now);
	}

	// Guards against requests that fail while most endpoints are up, as refused connections count against the endpoints of the route.
	test('is sent on until an endpoint accepts it, though more have gone than its route allows', () => {
		const harness = startRequest(fixtureStreamRoute);
		const goneCount = 12;
		const actions = Array.from({length: goneCount}, (_, index) => refuseConnection(harness, index + 1));
		expect(actions.flat().filter(action => action === 'send models')).toHaveLength(goneCount);
		expect(answer(harness, events(1, 2), {}, 20).at(-1)).toBe('end');
	});

	// Guards against an error that blames load for endpoints that are gone.
	test('fails as unreachable if none accepts it', () => {
		const harness = startRequest(fixtureIdempotentRoute);
		const actions = [1, 2, 3].map(now => refuseConnection(harness, now));
		expect(actions.at(-1)).toEqual(['fail endpointUnreachable ran=no']);
	});

	// Guards against gateways that each find out by a request of their own that an endpoint, which looks idle, is gone.
	test('is not sent to endpoints that a peer has found gone', () => {
		const harness = createHarness();
		const gone = Array.from({length: 15}, (_, index) => `models-${index}`);
		harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: gone.map(endpoint => ({kind: 'endpointUnreachable', endpoint}))}, 0);
		harness.submit(createFixtureGatewayRequest(fixtureStreamRoute, {arrivedAt: 1}));
		expect(harness.getEndpointId()).toBe('models-15');
	});

	test('tells the peers of an endpoint that is gone, once', () => {
		const harness = startRequest(fixtureStreamRoute);
		const sendFailed = {
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: false, detail: 'ECONNREFUSED',
		} as const;
		const endpoint = harness.getEndpointId();
		const actions = harness.gateway.step({kind: 'requestChanged', key: 1, event: sendFailed}, 1);
		expect(actions).toContainEqual({kind: 'publishChange', change: {kind: 'endpointUnreachable', endpoint}});
		expect(harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'endpointUnreachable', endpoint}]}, 2)).toEqual([]);
	});
});

describe('a request that is not repeatable', () => {
	test('ends with the response of its endpoint', () => {
		expect(answer(startRequest(fixtureNonIdempotentRoute), 'done')).toEqual(['start 200 length 4', 'write done', 'end']);
	});

	test('fails as possibly run, without a retry, if the connection breaks', () => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		expect(harness.step({
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: true, detail: 'ECONNRESET',
		}, 10)).toEqual(['fail serverLost ran=unknown']);
	});

	test('is sent again if nothing can have reached its endpoint', () => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		expect(harness.step({
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: false, detail: 'ECONNREFUSED',
		}, 10)).toEqual(['send shop']);
	});

	test('is sent again if its endpoint states that it has not run it', () => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head: createFixtureHead({status: 503, isNotRun: true, hasStamp: false})}, 10)).toEqual(['discard', 'send shop']);
	});

	// Guards against a server that names itself as the cause, and that gets the request again if its address is listed under an older id, too.
	test('is sent to another endpoint if the one that refuses it names its own address as the cause', () => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		const endpoints = createFixtureEndpoints('shop', 3);
		const refused = endpoints.find(({id}) => id === harness.getEndpointId());
		const older = endpoints.filter(({id}) => id === refused?.id).map(endpoint => ({...endpoint, id: 'older'}));
		harness.gateway.step({kind: 'endpointsListed', endpoints: [...older, ...endpoints]}, 5);
		const head = createFixtureHead({
			status: 503, isNotRun: true, hasStamp: false, faultyAddress: refused?.address,
		});
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head}, 10)).toEqual(['discard', 'send shop']);
		expect(harness.getEndpointId()).not.toBe(refused?.id);
	});

	// Guards against requests that run twice, or that callers repeat, because the status of a refusal alone is taken for one.
	test.each([408, 421, 429, 503])('fails as possibly run, without a second send, after status %i without the statement that it has not run', status => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		const head = createFixtureHead({status, hasStamp: false, retryAfterMs: 100});
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head}, 10)).toEqual(['cancel', 'fail serverFailed ran=unknown']);
	});

	// Guards against servers that get no request until they are listed anew, and against one that refuses at once and so gets nearly all.
	test.each([
		['stated as not run', true],
		['not stated', false],
	] as const)('pauses an endpoint that refuses it with 421 (%s) as after another failure', (_, isNotRun) => {
		const harness = createHarness();
		const sentTo: string[] = [];
		const openSends: Array<Readonly<{key: number; sendId: number}>> = [];
		for (let key = 1; key <= 200; key += 1) {
			const now = key * 50;
			harness.gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: now}, now);
			let actions = harness.gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(fixtureNonIdempotentRoute, {key, arrivedAt: now})}, now);
			let sent = actions.find(action => action.kind === 'send');
			while (sent?.kind === 'send') {
				const {sendId, endpoint} = sent;
				sentTo.push(endpoint.id);
				sent = undefined;
				if (endpoint.id === 'shop-0') {
					const head = createFixtureHead({status: 421, isNotRun, hasStamp: false});
					actions = harness.gateway.step({kind: 'requestChanged', key, event: {kind: 'responseStarted', sendId, head}}, now);
					sent = actions.find(action => action.kind === 'send');
				} else {
					openSends.push({key, sendId});
				}
			}

			const ended = openSends.length > 3 ? openSends.shift() : undefined;
			if (ended !== undefined) {
				harness.gateway.step({kind: 'requestChanged', key: ended.key, event: {kind: 'responseStarted', sendId: ended.sendId, head: createFixtureHead()}}, now);
				harness.gateway.step({kind: 'requestChanged', key: ended.key, event: {kind: 'responseEnded', sendId: ended.sendId}}, now);
			}
		}

		const refusals = sentTo.filter(id => id === 'shop-0').length;
		// In 10 s: pauses of 0.4, 0.8, 1.6 and 3.2 s, and 4 s from then on.
		expect(refusals).toBeGreaterThanOrEqual(4);
		expect(refusals).toBeLessThanOrEqual(8);
		expect(new Set(sentTo.slice(-20)).size).toBeGreaterThanOrEqual(2);
	});

	// Guards against requests to a server that has asked for none for some time.
	test('is not sent to endpoints that asked for time until that has passed, and is refused with the time to come back if all have', () => {
		const harness = createHarness();
		const sendTimes: number[] = [];
		for (let now = 0; now < 6000; now += 100) {
			harness.gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: now}, now);
			for (const route of [fixtureNonIdempotentRoute, fixtureIdempotentRoute]) {
				const key = 100 + (2 * now) + (route === fixtureIdempotentRoute ? 1 : 0);
				let actions = harness.gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(route, {key, arrivedAt: now})}, now);
				let sent = actions.find(action => action.kind === 'send');
				while (sent?.kind === 'send') {
					sendTimes.push(now);
					const head = createFixtureHead({
						status: 503, isNotRun: true, hasStamp: false, retryAfterMs: 3000,
					});
					actions = harness.gateway.step({kind: 'requestChanged', key, event: {kind: 'responseStarted', sendId: sent.sendId, head}}, now);
					sent = actions.find(action => action.kind === 'send');
				}

				const failure = actions.find(action => action.kind === 'failRequest');
				expect(failure).toMatchObject({failure: {kind: 'overloaded', ran: 'no'}});
				expect(failure?.kind === 'failRequest' && failure.failure.retryAfterMs).toBeGreaterThanOrEqual(3000 - (now % 3000));
			}
		}

		expect(sendTimes).toEqual([0, 0, 0, 3000, 3000, 3000]);
	});

	// Guards against an earlier refusal that a server writes once more on a connection, and that would be taken for this request's. The
	// gateway's own control requests have no id, and neither have the responses to them.
	test.each([
		['a refusal', {
			status: 503, isNotRun: true, hasStamp: false, retryAfterMs: 2000,
		}],
		['a refusal that names another server', {
			status: 503, isNotRun: true, hasStamp: false, faultyAddress: '10.0.4.1:80',
		}],
		['a response of another instance', {status: 421, isNotRun: true, hasStamp: false}],
		['a limit', {status: 200, requestsPerSecond: 0}],
	])('fails as possibly run, without a second send, after %s with the id of an earlier request or without an id', (_, changes) => {
		for (const requestId of ['r-0', undefined]) {
			const harness = startRequest(fixtureNonIdempotentRoute);
			const head = createFixtureHead({...changes, requestId});
			expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head}, 10)).toEqual(['cancel', 'fail serverLost ran=unknown']);
			const others = Array.from({length: 6}, (__, index) => harness.gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(fixtureNonIdempotentRoute, {key: 10 + index, arrivedAt: 11})}, 11));
			expect(others.flat().filter(({kind}) => kind === 'send')).toHaveLength(6);
		}
	});

	test('fails as not run if every endpoint refuses it as not run', () => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		let actions: readonly string[] = [];
		for (let index = 0; index < 3; index += 1) {
			actions = harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head: createFixtureHead({status: 503, isNotRun: true, hasStamp: false})}, 10);
		}

		expect(actions).toEqual(['discard', 'fail overloaded ran=no']);
	});

	// Guards against a response that contradicts itself and is taken for a refusal.
	test.each([200, 400, 404, 500, 504])('ends with a response of status %i, though that also states that it has not run', status => {
		expect(answer(startRequest(fixtureNonIdempotentRoute), 'done', {status, isNotRun: true})).toEqual([`start ${status} length 4`, 'write done', 'end']);
	});

	test('forwards the error response of its endpoint unchanged', () => {
		expect(answer(startRequest(fixtureNonIdempotentRoute), 'oops', {status: 500})).toEqual(['start 500 length 4', 'write oops', 'end']);
	});

	test('fails as possibly run at its deadline', () => {
		const harness = startRequest(fixtureNonIdempotentRoute);
		expect(harness.gateway.step({kind: 'timePassed'}, 1000).flatMap(action => formatAction(action))).toEqual(['cancel', 'fail deadlineExceeded ran=unknown']);
	});

	// Guards against a failure that leaves open whether the request ran, after a gateway stood still until no time was left.
	test('fails as not run, to be sent again at once, if its deadline may have passed before it was read', () => {
		const {submit} = createHarness();
		expect(submit(createFixtureGatewayRequest(fixtureNonIdempotentRoute, {deadlineAt: 10}))).toEqual(['fail deadlineUnreachable ran=no']);
	});

	test('fails as not run, without being sent, if its key was verified too long ago', () => {
		const harness = createHarness();
		expect(harness.submit(createFixtureGatewayRequest(fixtureNonIdempotentRoute, {arrivedAt: 4001}))).toEqual(['fail platformUnavailable ran=no']);
	});
});

describe('an idempotent request', () => {
	// Guards against a request that has run and is reported as not run by the status that is passed on in the end.
	test.each([408, 421, 429, 503])('is sent again after status %i without the statement that it has not run, and fails as possibly run if the second send ends so too', status => {
		const harness = startRequest(fixtureIdempotentRoute);
		const head = createFixtureHead({status, hasStamp: false});
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head}, 10)).toEqual(['cancel', 'send shop']);
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head}, 20)).toEqual(['cancel', 'fail serverFailed ran=unknown']);
	});

	test('is sent again after an error response, and ends with that response if the second send fails too', () => {
		const harness = startRequest(fixtureIdempotentRoute);
		expect(answer(harness, 'oops', {status: 500})).toEqual(['send shop']);
		expect(harness.step({
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: true, detail: 'reset',
		}, 20)).toEqual(['start 500 length 4', 'write oops', 'end']);
	});

	test('fails once as many endpoints as its route allows may have run it', () => {
		const harness = startRequest(fixtureIdempotentRoute);
		harness.step({
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: true, detail: 'reset',
		}, 10);
		expect(harness.step({
			kind: 'sendFailed', sendId: harness.getSendId(), wasSent: true, detail: 'reset',
		}, 20)).toEqual(['fail serverLost ran=unknown']);
	});

	// Guards against responses that are waited for until the deadline, since a byte now and then counts as progress.
	test.each([
		['a body', fixtureIdempotentRoute, 'x', ['send shop']],
		['a stream, before its first event', fixtureStreamRoute, ':', ['send models']],
		['blank lines of a stream', fixtureStreamRoute, '\n', ['send models']],
	])('is sent again if its endpoint goes on with a byte at a time of %s', (_, route, part, expected) => {
		const harness = startRequest({...route, timeoutMs: 9000});
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		const actions: string[] = [];
		for (let now = 20; now < 1500 && actions.length === 0; now += 20) {
			harness.step({kind: 'responseBytes', sendId, bytes: getBytes(part)}, now);
			actions.push(...harness.gateway.step({kind: 'timePassed'}, now).flatMap(action => formatAction(action)));
		}

		expect(actions).toEqual(['cancel', ...expected]);
	});

	test('waits for a body that comes slowly but at a usual pace', () => {
		const harness = startRequest({...fixtureIdempotentRoute, timeoutMs: 9000});
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		for (let now = 20; now < 4000; now += 200) {
			harness.step({kind: 'responseBytes', sendId, bytes: getBytes('x'.repeat(1200))}, now);
			expect(harness.gateway.step({kind: 'timePassed'}, now).flatMap(action => formatAction(action))).toEqual([]);
		}
	});

	test('is sent again if its endpoint goes silent and does not answer a probe', () => {
		const harness = startRequest({...fixtureIdempotentRoute, timeoutMs: 5000});
		expect(harness.gateway.step({kind: 'timePassed'}, 899).flatMap(action => formatAction(action))).toEqual([]);
		expect(harness.gateway.step({kind: 'timePassed'}, 901).flatMap(action => formatAction(action))).toEqual(['probe']);
		expect(harness.gateway.step({kind: 'timePassed'}, 1202).flatMap(action => formatAction(action))).toEqual(['cancel', 'send shop']);
	});

	test('stays at its silent endpoint if the endpoint answers a probe', () => {
		const harness = startRequest({...fixtureIdempotentRoute, timeoutMs: 5000});
		harness.gateway.step({kind: 'timePassed'}, 901);
		expect(harness.step({kind: 'probeAnswered', endpoint: harness.getEndpointId(), report: undefined}, 910)).toEqual([]);
		expect(harness.gateway.step({kind: 'timePassed'}, 1202).flatMap(action => formatAction(action))).toEqual([]);
	});

	test.each([
		['a response to another request', {requestId: 'r-2'}],
		['a response without proof of its origin', {hasStamp: false}],
		['an encoded response', {isEncoded: true}],
	])('rejects %s and is sent again', (_, changes) => {
		const harness = startRequest(fixtureIdempotentRoute);
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head: createFixtureHead(changes)}, 10)).toEqual(['cancel', 'send shop']);
	});

	// Guards against a response without a length that the end of the gateway's process cuts off, and that looks complete.
	test.each([false, true])('forwards a response with its length, also one that its endpoint sends with neither a length nor chunks (%s)', isUndelimited => {
		expect(answer(startRequest(fixtureIdempotentRoute), 'whole', {isUndelimited})).toEqual(['start 200 length 5', 'write whole', 'end']);
	});

	// Guards against a length on a response whose form has none.
	test.each([204, 304])('forwards a response that has no body without a length (%i)', status => {
		expect(answer(startRequest(fixtureIdempotentRoute), '', {status, isUndelimited: true})).toContain(`start ${status}`);
	});
});

describe('a prompt that needs the memory of several servers', () => {
	const prompt = {promptTokens: 700_000, maximumTokens: 1000};
	const route = {
		...fixtureStreamRoute, timeoutMs: 15_000, objectiveMs: 3000, longestPauseMs: 1000,
	};
	const getReservationId = (sendId: number, index: number): string => `gateway-1.life-1.${sendId}.${index}`;

	function submit(): Readonly<{harness: GatewayHarness; actions: readonly string[]; ids: readonly string[]}> {
		const harness = createHarness();
		const actions = harness.submit(createFixtureGatewayRequest(route, {prompt}));
		return {harness, actions, ids: actions.map((_, index) => getReservationId(1, index))};
	}

	function answerReservation(harness: GatewayHarness, reservationId: string, isHeld: boolean, now: number): readonly string[] {
		return harness.step({kind: 'memoryAnswered', reservationId, isHeld}, now);
	}

	test('is sent once all reservations are held, and releases them when it ends', () => {
		const {harness, actions, ids} = submit();
		expect(actions.every(action => action.startsWith('reserve '))).toBe(true);
		const last = ids.map(id => answerReservation(harness, id, true, 10)).at(-1);
		expect(last).toEqual(['send models']);
		expect(answer(harness, events(1), {}, 20)).toEqual(['start 200', 'write id: 1|data: x', ...ids.map(() => 'release'), 'end']);
	});

	test('renews its reservations at the renewal interval', () => {
		const {harness, actions, ids} = submit();
		for (const id of ids) {
			answerReservation(harness, id, true, 10);
		}

		expect(harness.gateway.step({kind: 'timePassed'}, 1199).flatMap(action => formatAction(action))).toEqual([]);
		expect(harness.gateway.step({kind: 'timePassed'}, 1200).flatMap(action => formatAction(action))).toEqual(actions);
	});

	test('releases its reservations if one is refused, and fails as not run after further refusals', () => {
		const {harness, ids} = submit();
		const last = ids.map((id, index) => answerReservation(harness, id, index > 0, 10)).at(-1);
		expect(last?.slice(0, ids.length)).toEqual(ids.map(() => 'release'));
		expect(last?.slice(ids.length).every(action => action.startsWith('reserve '))).toBe(true);
		let actions: readonly string[] = [];
		for (let sendId = 2; sendId <= 4; sendId += 1) {
			for (let index = 0; index < 15; index += 1) {
				actions = [...actions, ...answerReservation(harness, getReservationId(sendId, index), false, 20)];
			}
		}

		expect(actions.at(-1)).toBe('fail overloaded ran=no');
	});

	// Guards against memory that is known to be unused and is held further without a line in the log.
	test('reports that unused memory is held further if the request may not be sent again', () => {
		const harness = createHarness();
		harness.submit(createFixtureGatewayRequest({...route, isResumable: false}, {prompt}));
		for (let index = 0; index < 16; index += 1) {
			answerReservation(harness, getReservationId(1, index), true, 10);
		}

		const actions = [3000, 3401].flatMap(now => harness.gateway.step({kind: 'timePassed'}, now));
		expect(actions).toContainEqual(expect.objectContaining({
			kind: 'reportDecision', decision: expect.objectContaining({kind: 'silenceChecked', outcome: 'retryForbidden'}) as unknown,
		}));
	});

	test('releases its reservations if they are not answered in time', () => {
		const {harness, ids} = submit();
		const actions = harness.gateway.step({kind: 'timePassed'}, 401).flatMap(action => formatAction(action));
		expect(actions.slice(0, ids.length)).toEqual(ids.map(() => 'release'));
	});
});

describe('a helper that is reported as busy', () => {
	const prompt = {promptTokens: 180_000, maximumTokens: 1000};
	const route = {
		...fixtureStreamRoute, timeoutMs: 15_000, objectiveMs: 3000, longestPauseMs: 1000,
	};

	const head = createFixtureHead({
		status: 503, isNotRun: true, hasStamp: false, faultyAddress: '10.0.6.3:80',
	});

	function refuse(harness: GatewayHarness, now: number): readonly GatewayAction[] {
		return harness.gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseStarted', sendId: harness.getSendId(), head}}, now);
	}

	function getUsedAddresses(actions: readonly GatewayAction[]): readonly string[] {
		return actions.flatMap(action => action.kind === 'send' ? [action.endpoint.address, ...action.helpers.map(({address}) => address)] : []);
	}

	test('is excluded for this request, but remains available to others', () => {
		const harness = startRequest(route, {prompt});
		expect(getUsedAddresses(refuse(harness, 20))).not.toContain('10.0.6.3:80');
		const others = Array.from({length: 16}, (_, index) => harness.gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(fixtureStreamRoute, {key: index + 2})}, 30));
		expect(others.flatMap(actions => getUsedAddresses(actions)).length).toBe(16);
	});

	// Guards against a prompt that runs twice because a copy of the refusal, which bears the same id, follows where the next response is expected.
	test.each([true, false])('closes the connection on which it is reported before the prompt is sent again (resumable: %s)', isResumable => {
		const harness = startRequest({...route, isResumable}, {prompt});
		const receiver = harness.getEndpointId();
		expect(harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head}, 20)).toEqual(['cancel', 'send models']);
		expect(harness.getEndpointId()).toBe(receiver);
	});
});

describe('a huge prompt that would miss its objective anyway', () => {
	const prompt = {promptTokens: 500_000, maximumTokens: 1000};
	const route = {
		...fixtureStreamRoute, timeoutMs: 15_000, objectiveMs: 3000, longestPauseMs: 1000,
	};

	/** Starts a gateway whose servers all decode short prompts of another gateway. */
	function startBusyGateway(): GatewayHarness {
		const harness = createHarness();
		for (let id = 0; id < 16 * 3; id += 1) {
			const work = {
				id, endpoint: `models-${id % 16}`, helpers: [], promptTokens: 5000, readMs: 34, longestPauseMs: 250, priority: 1, serviceMs: 0,
			};
			harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'started', work}]}, 0);
			harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'writing', id}]}, 0);
		}

		return harness;
	}

	function step(harness: GatewayHarness, now: number): readonly string[] {
		return harness.gateway.step({kind: 'timePassed'}, now).flatMap(action => formatAction(action));
	}

	test('is deferred while it would delay short requests, and sent once they have ended', () => {
		const harness = startBusyGateway();
		expect(harness.submit(createFixtureGatewayRequest(route, {prompt}))).toEqual([]);
		expect(step(harness, 200)).toEqual([]);
		harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'reset'}]}, 300);
		expect(step(harness, 400).length).toBeGreaterThan(0);
	});

	test('is deferred only as long as its first event can still arrive well before the estimated client timeout', () => {
		const harness = startBusyGateway();
		harness.submit(createFixtureGatewayRequest(route, {prompt}));
		const startedAt = Array.from({length: 75}, (_, index) => (index + 1) * 200).find(now => step(harness, now).length > 0);
		expect(startedAt).toBeLessThan(6000);
	});
});

describe('a gateway whose servers have no free slots', () => {
	test('refuses a prompt at once if its first event is predicted too close to the estimated client timeout, or after it', () => {
		const harness = createHarness();
		const openWork = Array.from({length: 16 * 30}, (_, index) => ({
			id: index, endpoint: `models-${index % 16}`, helpers: [], promptTokens: 5000, readMs: 34, longestPauseMs: 250, priority: 1, serviceMs: 0,
		}));
		for (const work of openWork) {
			harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'started', work}]}, 0);
			harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'writing', id: work.id}]}, 0);
		}

		expect(harness.submit(createFixtureGatewayRequest(fixtureStreamRoute))).toEqual(['fail deadlineUnreachable ran=no']);
		harness.gateway.step({kind: 'peerChanged', gateway: 'gateway-2', changes: [{kind: 'reset'}]}, 0);
		expect(harness.submit(createFixtureGatewayRequest(fixtureStreamRoute))).toEqual(['send models']);
	});
});

describe('a stream', () => {
	test('forwards each event as soon as it is complete', () => {
		const harness = startRequest(fixtureStreamRoute);
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		expect(harness.step({kind: 'responseBytes', sendId, bytes: getBytes('id: 1\nda')}, 20)).toEqual([]);
		expect(harness.step({kind: 'responseBytes', sendId, bytes: getBytes('ta: x\n\nid: 2\n')}, 30)).toEqual(['start 200', 'write id: 1|data: x']);
	});

	test('resumes after its last complete event at another endpoint if the connection breaks', () => {
		const harness = startRequest(fixtureStreamRoute);
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		harness.step({kind: 'responseBytes', sendId, bytes: getBytes(`${events(1, 2)}id: 3\nda`)}, 20);
		expect(harness.step({
			kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
		}, 30)).toEqual(['send models after 2']);
		expect(answer(harness, events(3, 4), {}, 40)).toEqual(['write id: 3|data: x||id: 4|data: x', 'end']);
	});

	test('rejects a response that skips an event, and resumes at another endpoint', () => {
		const harness = startRequest(fixtureStreamRoute);
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		expect(harness.step({kind: 'responseBytes', sendId, bytes: getBytes(events(1, 3))}, 20)).toEqual(['start 200', 'write id: 1|data: x', 'cancel', 'send models after 1']);
	});

	// Guards against the text of an error in the middle of a caller's stream, and against a stream that looks complete without its end.
	describe.each([
		['500', {status: 500}],
		['500 without a stamp', {status: 500, hasStamp: false}],
		['404', {status: 404}],
		['400', {status: 400}],
		['204', {status: 204}],
		['204 without a stamp', {status: 204, hasStamp: false}],
		['301', {status: 301, headers: ['content-type', 'text/event-stream']}],
		['503 as not run', {status: 503, isNotRun: true, hasStamp: false}],
		['421', {status: 421, hasStamp: false}],
		['421 as not run', {status: 421, isNotRun: true, hasStamp: false}],
		['200 without a stamp', {hasStamp: false}],
		['200 with a content encoding', {isEncoded: true}],
		['500 as undelimited', {status: 500, isUndelimited: true}],
	])('that broke off and is answered with %s by the next endpoint', (_, changes) => {
		test.each([
			['whole', ['{"error":"no"}\n\n'], events(1, 2, 3), false],
			['in parts', ['{"err', 'or":', '"no"}\n\n'], events(1, 2, 3), false],
			['as events', [events(4, 5)], events(1, 2, 3), false],
			['in the middle of an event', ['ta: x\n\n'], `${events(1, 2, 3)}id: 4\nda`, false],
			['after an undelimited response', ['{"error":"no"}\n\n'], events(1, 2, 3), true],
		])('receives nothing of an error that comes %s, and is broken off', (__, parts, firstBytes, isUndelimited) => {
			const harness = startRequest(fixtureStreamRoute);
			const firstId = harness.getSendId();
			harness.step({kind: 'responseStarted', sendId: firstId, head: createFixtureHead({isUndelimited})}, 10);
			harness.step({kind: 'responseBytes', sendId: firstId, bytes: getBytes(firstBytes)}, 20);
			const actions = [
				...harness.step({
					kind: 'sendFailed', sendId: firstId, wasSent: true, detail: 'reset',
				}, 30),
				...harness.step({kind: 'responseStarted', sendId: harness.getSendId(), head: createFixtureHead(changes)}, 40),
			];
			const secondId = harness.getSendId();
			for (const part of parts) {
				actions.push(...harness.step({kind: 'responseBytes', sendId: secondId, bytes: getBytes(part)}, 50));
			}

			actions.push(...harness.step({kind: 'responseEnded', sendId: secondId}, 60), ...harness.step({kind: 'timePassed'}, 60_000));
			expect(actions.filter(action => /^(?:write|start|end)/v.test(action))).toEqual([]);
			expect(actions).toContain('break');
		});
	});

	// Guards against a response that has no end and no content, and of which the caller or the memory gets all.
	test.each(['\n', ':\n\n', 'retry: 1\n\n', 'data'])('is sent again if its endpoint goes on with %j and no event', part => {
		const harness = startRequest(fixtureStreamRoute);
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		harness.step({kind: 'responseBytes', sendId, bytes: getBytes(events(1))}, 20);
		const actions = Array.from({length: 5}, () => harness.step({kind: 'responseBytes', sendId, bytes: getBytes(part.repeat(65_536 / part.length))}, 30)).flat();
		expect(actions.filter(action => !action.startsWith('write'))).toEqual(['cancel', 'send models after 1']);
	});

	test('is broken off if the response ends inside an event', () => {
		const harness = startRequest({...fixtureStreamRoute, maximumEndpoints: 1});
		expect(answer(harness, `${events(1)}id: 2\n`)).toEqual(['start 200', 'write id: 1|data: x', 'break']);
	});

	test('is broken off if the connection breaks and its route is not resumable', () => {
		const harness = startRequest({...fixtureStreamRoute, isResumable: false});
		const sendId = harness.getSendId();
		harness.step({kind: 'responseStarted', sendId, head: createFixtureHead()}, 10);
		harness.step({kind: 'responseBytes', sendId, bytes: getBytes(events(1))}, 20);
		expect(harness.step({
			kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
		}, 30)).toEqual(['break']);
	});

	// Guards against a stream that looks complete when the gateway, or a later endpoint, breaks it off.
	test('is sent in chunks if its endpoint sends it with neither a length nor chunks', () => {
		const harness = startRequest(fixtureStreamRoute);
		expect(answer(harness, events(1), {isUndelimited: true})).toEqual(['start 200', 'write id: 1|data: x', 'end']);
	});

	describe.each([false, true])('that is resumed at an endpoint which sends it with neither a length nor chunks (first response: %s)', isUndelimited => {
		function resume(): GatewayHarness {
			const harness = startRequest({...fixtureStreamRoute, maximumEndpoints: 2});
			const sendId = harness.getSendId();
			harness.step({kind: 'responseStarted', sendId, head: createFixtureHead({isUndelimited})}, 10);
			harness.step({kind: 'responseBytes', sendId, bytes: getBytes(events(1))}, 20);
			harness.step({
				kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
			}, 30);
			return harness;
		}

		test('is complete when the endpoint closes the connection after an event', () => {
			expect(answer(resume(), events(2), {isUndelimited: true}, 40)).toEqual(['write id: 2|data: x', 'end']);
		});

		test('is broken off when the endpoint closes the connection inside an event', () => {
			expect(answer(resume(), `${events(2)}id: 3`, {isUndelimited: true}, 40)).toEqual(['write id: 2|data: x', 'break']);
		});

		test('is broken off when the connection is reset', () => {
			const harness = resume();
			const sendId = harness.getSendId();
			harness.step({kind: 'responseStarted', sendId, head: createFixtureHead({isUndelimited: true})}, 40);
			harness.step({kind: 'responseBytes', sendId, bytes: getBytes(events(2))}, 40);
			expect(harness.step({
				kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
			}, 50)).toEqual(['break']);
		});
	});

	test('cancels its send when its caller disconnects', () => {
		expect(startRequest(fixtureStreamRoute).step({kind: 'clientGone'}, 10)).toEqual(['cancel', 'forget']);
	});
});

test('a request that may have run and is then deferred and refused fails as possibly run', () => {
	const [endpoint] = createFixtureEndpoints('models', 1);
	if (endpoint === undefined) {
		throw new Error('the fixtures contain no endpoint');
	}

	const placement = {
		endpoint, helpers: [], prefillMs: 10, firstEventMs: 10, interferenceCost: 0,
	};
	const decisions: PlacementDecision[] = [
		{
			kind: 'placed', placement, candidates: 1, trialActions: [],
		},
		{kind: 'deferred', untilAt: 300, reports: []},
		{kind: 'refused', failure: createNotRunFailure('deadlineUnreachable')},
	];
	const request = createForwardedRequest(createFixtureGatewayRequest(fixtureStreamRoute), {
		registry: createEndpointRegistry(fixtureGatewaySettings.endpoints),
		retryQuota: createRetryQuota(fixtureGatewaySettings.retryQuota),
		memoryIdleMs: 9000,
		createSendId: () => 1,
		createReservationId: () => 'm',
		choosePlacement: () => decisions.shift() ?? {kind: 'refused', failure: createNotRunFailure('overloaded')},
		isPermitted: () => true,
		checkCredential: () => undefined,
		mayRepeat: () => true,
		recordBrokenSend: () => [],
		recordLimit: () => [],
		recordCompletion: () => [],
		recordUncertainCompletion: () => [],
		learnWork: () => [],
		recordWork: () => undefined,
	});
	request.step({kind: 'started'}, 0);
	request.step({
		kind: 'sendFailed', sendId: 1, wasSent: true, detail: 'ECONNRESET',
	}, 100);
	const actions = request.step({kind: 'timePassed'}, 300);
	expect(actions).toMatchObject([{kind: 'failRequest', failure: {kind: 'serverLost', ran: 'unknown'}}]);
});
