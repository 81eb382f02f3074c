import {describe, expect, test} from 'vitest';
import {createGateway, type Gateway} from './gateway.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureConfiguration, fixtureGatewaySettings, fixtureIdempotentRoute, fixtureStreamRoute,
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
});
