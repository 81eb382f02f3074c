import {describe, expect, test} from 'vitest';
import {createGateway, type Gateway} from './gateway.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, createFixtureHead, fixtureConfiguration, fixtureGatewaySettings, fixtureIdempotentRoute, fixtureStreamRoute,
} from './gateway-fixtures.js';
import type {GatewayAction, SendId} from './gateway-events.js';
import type {ServedRoute} from './gateway-types.js';

const brokenAt = 20;

function startGateway(): Gateway {
	const gateway = createGateway(fixtureGatewaySettings);
	gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
	gateway.step({kind: 'endpointsListed', endpoints: [...createFixtureEndpoints('models', 4), ...createFixtureEndpoints('shop', 3)]}, 0);
	return gateway;
}

/** Puts a configuration in force in which some routes are replaced. */
function replaceRoutes(gateway: Gateway, replace: (route: ServedRoute) => readonly ServedRoute[]): void {
	const configuration = {...fixtureConfiguration, version: 2, routes: fixtureConfiguration.routes.flatMap(route => replace(route))};
	gateway.step({kind: 'configurationVerified', configuration, verifiedAt: 10}, 10);
}

function getSendIds(actions: readonly GatewayAction[]): readonly SendId[] {
	return actions.flatMap(action => action.kind === 'send' ? [action.sendId] : []);
}

/** Starts a request, changes routes, and breaks the connection of the send. Returns the actions that follow. */
function breakSendAfterChange(route: ServedRoute, replace: (route: ServedRoute) => readonly ServedRoute[]): readonly GatewayAction[] {
	const gateway = startGateway();
	const [sendId = 0] = getSendIds(gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(route)}, 0));
	replaceRoutes(gateway, replace);
	return gateway.step({
		kind: 'requestChanged', key: 1, event: {
			kind: 'sendFailed', sendId, wasSent: true, detail: 'ECONNRESET',
		},
	}, brokenAt);
}

describe('a request that may have run', () => {
	// Guards against a request that runs twice, since its route had allowed that only when it arrived.
	test.each([
		['non-idempotent', fixtureIdempotentRoute, {kind: 'nonIdempotent'}],
		['one whose streams can not be resumed', fixtureStreamRoute, {isResumable: false}],
	] as const)('is not sent again if its route has become %s since it arrived', (_, arrivalRoute, changes) => {
		const actions = breakSendAfterChange(arrivalRoute, route => [route.name === arrivalRoute.name ? {...route, ...changes} : route]);
		expect(getSendIds(actions)).toEqual([]);
		expect(actions.find(action => action.kind === 'failRequest')).toMatchObject({failure: {kind: 'serverLost', ran: 'unknown'}});
	});

	test.each([fixtureIdempotentRoute, fixtureStreamRoute])('is sent again if its route ($name) has changed otherwise, or is gone', arrivalRoute => {
		expect(getSendIds(breakSendAfterChange(arrivalRoute, route => [{...route, timeoutMs: route.timeoutMs + 1}]))).toHaveLength(1);
		expect(getSendIds(breakSendAfterChange(arrivalRoute, route => route.name === arrivalRoute.name ? [] : [route]))).toHaveLength(1);
	});

	// Guards against a request that runs twice, since a copy of its refusal, taken for one while its route allowed repeats, is forgotten later.
	test('is not sent again if a refusal may have been a copy of the one before, and its route has become non-idempotent since', () => {
		const gateway = createGateway(fixtureGatewaySettings);
		const [first, ...others] = createFixtureEndpoints('shop', 3);
		const models = createFixtureEndpoints('models', 4);
		gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
		gateway.step({kind: 'endpointsListed', endpoints: [...models, ...(first === undefined ? [] : [first])]}, 0);
		let sendIds = getSendIds(gateway.step({kind: 'requestArrived', request: createFixtureGatewayRequest(fixtureIdempotentRoute)}, 0));
		const refusal = createFixtureHead({
			status: 503, isNotRun: true, refusalText: '1', faultyAddress: models[0]?.address,
		});
		for (const now of [1, 2]) {
			sendIds = getSendIds(gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'responseStarted', sendId: sendIds[0] ?? 0, head: refusal}}, now));
			expect(sendIds).toHaveLength(1);
		}

		gateway.step({kind: 'endpointsListed', endpoints: [...models, ...(first === undefined ? [] : [first]), ...others]}, 3);
		replaceRoutes(gateway, route => [route.name === fixtureIdempotentRoute.name ? {...route, kind: 'nonIdempotent'} : route]);
		const actions = gateway.step({
			kind: 'requestChanged', key: 1, event: {
				kind: 'sendFailed', sendId: sendIds[0] ?? 0, wasSent: false, detail: 'ECONNREFUSED',
			},
		}, brokenAt);
		expect(getSendIds(actions)).toEqual([]);
		expect(actions.find(action => action.kind === 'failRequest')).toMatchObject({failure: {ran: 'unknown'}});
	});
});
